import sys
from pathlib import Path

import pytest
import trio

from fescueseam.conf.documents import SettingsFile
from fescueseam.conf.loading import load_process_settings
from fescueseam.conf.models import Role
from fescueseam_standins.caller import Outcome, RequestResult
from fescueseam_standins.demo.plan import (
    ENDPOINT_COUNTS,
    ProcessPlan,
    plan_agent,
    plan_backend,
    plan_balancer,
    plan_deployment,
    read_settings_file,
)
from fescueseam_standins.demo.processes import Launcher, StartError
from fescueseam_standins.demo.traffic import RequestRecord, Tally, is_correct

EXAMPLES = Path(__file__).parents[5] / "examples"
SLEEPING_COMMAND = (sys.executable, "-c", "import time; time.sleep(60)")
SIGTERM_IGNORING_COMMAND = (
    sys.executable,
    "-c",
    "import signal, time; signal.signal(15, signal.SIG_IGN); print(1, flush=True); time.sleep(60)",
)


@pytest.mark.parametrize("deployment", sorted(ENDPOINT_COUNTS))
def test_planned_overlays_are_valid_settings(deployment: str, tmp_path: Path) -> None:
    plan = plan_deployment(deployment, EXAMPLES)
    base = read_settings_file(plan.folder / "processes" / "base.json")
    processes = [plan_balancer(plan, balancer, tmp_path) for balancer in plan.balancers]
    processes += [plan_agent(plan, endpoint, tmp_path) for endpoint in plan.endpoints]
    for process in processes:
        overlay = SettingsFile(process.name, (tmp_path / f"{process.name}.json").read_bytes())
        settings = load_process_settings(base, [overlay])
        assert settings.name == process.name
        assert (settings.role is Role.BALANCER) == process.name.startswith("balancer")
    addresses = [item.address for item in (*plan.balancers, *plan.endpoints)]
    assert len(set(addresses)) == len(addresses)
    assert {endpoint.data_centre for endpoint in plan.endpoints} == {
        centre.name for centre in plan.cfg.data_centres
    }


def test_backend_server_listens_on_the_ports_of_its_classes() -> None:
    plan = plan_deployment("ribera-norte", EXAMPLES)
    command = " ".join(plan_backend(plan, plan.endpoints[0]).command)
    assert "--stream-port 10443 --request-port 18443 --udp-port 15683" in command
    last = " ".join(plan_backend(plan, plan.endpoints[-1]).command)
    assert "--request-port 10443 --udp-port 15683" in last
    assert "18443" not in last


def test_launcher_terminates_or_kills_its_processes(tmp_path: Path, monkeypatch) -> None:
    monkeypatch.setattr("fescueseam_standins.demo.processes.STOP_TIMEOUT_S", 0.5)
    launcher = Launcher(tmp_path)
    sleeping = launcher.start(ProcessPlan("sleeping", SLEEPING_COMMAND, "http://127.0.0.9:1/"))
    ignoring = launcher.start(
        ProcessPlan("ignoring", SIGTERM_IGNORING_COMMAND, "http://127.0.0.9:1/")
    )

    async def run() -> None:
        with trio.fail_after(20):
            while not ignoring.log.read_text():
                await trio.sleep(0.05)
            await launcher.close()

    trio.run(run)
    assert sleeping.popen.returncode == -15
    assert ignoring.popen.returncode == -9


def test_early_exit_is_reported_with_the_process_output(tmp_path: Path) -> None:
    launcher = Launcher(tmp_path)
    command = (sys.executable, "-c", "print('why')")
    process = launcher.start(ProcessPlan("early", command, "http://127.0.0.9:1/"))
    process.popen.wait()
    with pytest.raises(StartError, match="why"):
        trio.run(launcher.wait_ready, ["early"])


def test_response_is_correct_only_for_its_own_request() -> None:
    answered = RequestResult(Outcome.ANSWERED, 0.1, "acopio", "acopio-1", "acopio acopio-1 id=r-1")
    assert is_correct(answered, "acopio", "r-1")
    assert not is_correct(answered, "acopio", "r-11")
    assert not is_correct(answered, "bitacora", "r-1")
    tally = Tally()
    tally.add(RequestRecord("bitacora", "r-1", answered), correct=False)
    tally.add(RequestRecord("bitacora", "r-2", RequestResult(Outcome.REFUSED, 0.1)), correct=False)
    assert (len(tally.wrong), len(tally.refused), len(tally.broken)) == (1, 1, 0)
    assert tally.count(Outcome.ANSWERED) == tally.count(Outcome.ANSWERED, "bitacora") == 1
    assert tally.outcomes.total() == 2

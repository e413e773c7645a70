import json
import os
import signal
import sys
import time
from pathlib import Path

import httpx
import pytest

from fescueseam.conf.accepted import AcceptedConfiguration, encode_accepted
from fescueseam.conf.models import Configuration, DataCentre, Service, ServiceClass
from fescueseam_standins.demo.plan import ProcessPlan
from fescueseam_standins.demo.processes import Launcher
from fescueseam_standins.loopback import claim_network

SUBNET = f"{claim_network()}.40"
STORE_URL = f"http://{SUBNET}.1:7000"
PROCESSES = {
    "b0": ("balancer", "solo", 2),
    "b1": ("balancer", "semarang", 3),
    "katalog-0": ("agent", "solo", 4),
    "katalog-1": ("agent", "semarang", 5),
    "katalog-2": ("agent", "solo", 6),
}
START_TIMEOUT_S = 60.0
CONFIGURATION_TIMEOUT_S = 6.0
SUSPICION_TIMEOUT_S = 3.0


def make_configuration(version, address="10.77.0.1"):
    return Configuration(
        version=version,
        services=(Service("katalog", address, (ServiceClass("listing", 443),)),),
        data_centres=tuple(DataCentre(name, "jawa-tengah") for name in ("semarang", "solo")),
    )


def write_settings(path, name, role, data_centre, host):
    settings = {
        "name": name,
        "data_centre": data_centre,
        "region": "jawa-tengah",
        "address": f"{SUBNET}.{host}",
        "control_port": 7010,
        "metrics_port": 7020,
        "store_url": STORE_URL,
        "keys": [{"key_id": 1, "secret": "a long secret of this test, and of this test only"}],
        "role": role,
        "fabric_address": f"{SUBNET}.9",
    }
    if role == "agent":
        load = f"http://{SUBNET}.{host}:7030/load"
        settings |= {
            "service": "katalog",
            "backend": {"address": f"{SUBNET}.{host}", "load_url": load},
        }
    path.write_text(json.dumps(settings))


@pytest.fixture
def launcher(tmp_path):
    launcher = Launcher(tmp_path)
    platform = (sys.executable, "-m", "fescueseam_standins.platform")
    launcher.start(
        ProcessPlan("platform", (*platform, "--address", f"{SUBNET}.1", "--port", "7000"), "")
    )
    program = str(Path(sys.executable).with_name("fescueseamd"))
    for name, (role, data_centre, host) in PROCESSES.items():
        path = tmp_path / f"{name}.json"
        write_settings(path, name, role, data_centre, host)
        launcher.start(ProcessPlan(name, (program, role, "--base", str(path)), ""))
    yield launcher
    for process in launcher.processes.values():
        if process.is_running():
            process.popen.send_signal(signal.SIGCONT)
            process.popen.kill()
            process.popen.wait()


@pytest.fixture
def client():
    with httpx.Client(timeout=2.0, trust_env=False) as client:
        yield client


def fetch_status(client, name):
    host = PROCESSES[name][2]
    return client.get(f"http://{SUBNET}.{host}:7020/status").json()


def wait_until(check, timeout_s):
    """Return the seconds until the check first holds."""
    started = time.monotonic()
    last_error, checks = "none", 0
    while True:
        checks += 1
        try:
            if check():
                return time.monotonic() - started
        except httpx.HTTPError as exc:
            last_error = repr(exc)
        waited_s = time.monotonic() - started
        assert (
            waited_s < timeout_s
        ), f"condition not met within {timeout_s} s: {checks} checks, last error {last_error}"
        time.sleep(0.1)


def write_configuration(client, cfg, version):
    body = encode_accepted(AcceptedConfiguration(f"op-{cfg.version}", cfg))
    headers = {"If-Match": f'"{version}"'}
    reply = client.put(f"{STORE_URL}/objects/config", json=body, headers=headers)
    assert reply.status_code == 200
    return reply.json()["version"]


def set_store_outage(client, is_down):
    assert client.post(f"{STORE_URL}/faults", json={"outage": is_down}).status_code == 200


def test_control_holds_while_real_processes_are_frozen_killed_and_cut_from_the_store(
    launcher, client
):
    wait_until(lambda: client.get(f"{STORE_URL}/calls").status_code == 200, START_TIMEOUT_S)
    version = write_configuration(client, make_configuration(1), 0)
    wait_until(
        lambda: all("katalog" in fetch_status(client, n)["tables"] for n in PROCESSES),
        START_TIMEOUT_S,
    )
    wait_until(
        lambda: all(fetch_status(client, n)["hears_peers"] for n in PROCESSES), START_TIMEOUT_S
    )

    # A configuration change reaches every process although the store fails right after it.
    write_configuration(client, make_configuration(2, "10.77.0.2"), version)
    wait_until(
        lambda: any(fetch_status(client, n)["config_version"] == 2 for n in ("b0", "b1")),
        CONFIGURATION_TIMEOUT_S,
    )
    set_store_outage(client, True)
    wait_until(
        lambda: all(fetch_status(client, n)["config_version"] == 2 for n in PROCESSES),
        CONFIGURATION_TIMEOUT_S,
    )

    # A frozen agent is suspected and recovers while the store is down.
    frozen = launcher.processes["katalog-0"].popen.pid
    os.kill(frozen, signal.SIGSTOP)
    wait_until(
        lambda: all(fetch_status(client, n)["suspects"] == ["katalog-0"] for n in ("b0", "b1")),
        SUSPICION_TIMEOUT_S,
    )
    os.kill(frozen, signal.SIGCONT)
    wait_until(
        lambda: all(fetch_status(client, n)["suspects"] == [] for n in ("b0", "b1")),
        SUSPICION_TIMEOUT_S,
    )

    # One balancer is killed; the other renews the lease of every agent, without which agents
    # deliver nothing.
    os.kill(launcher.processes["b0"].popen.pid, signal.SIGKILL)
    agents = [name for name, (role, *_) in PROCESSES.items() if role == "agent"]
    for _ in range(15):
        time.sleep(0.2)
        assert [fetch_status(client, name)["hears_peers"] for name in agents] == [True] * 3
    assert fetch_status(client, "b1")["suspects"] == []

    # When the store is back, a killed agent leaves the table with only a few writes.
    os.kill(launcher.processes["katalog-2"].popen.pid, signal.SIGKILL)
    wait_until(lambda: fetch_status(client, "b1")["suspects"] == ["katalog-2"], SUSPICION_TIMEOUT_S)
    calls = client.get(f"{STORE_URL}/calls").json()
    epoch = fetch_status(client, "b1")["tables"]["katalog"]
    set_store_outage(client, False)
    wait_until(lambda: fetch_status(client, "b1")["tables"]["katalog"] > epoch, 40.0)
    after = client.get(f"{STORE_URL}/calls").json()
    assert after["writes"] - calls["writes"] <= 4
    assert fetch_status(client, "b1")["config_version"] == 2

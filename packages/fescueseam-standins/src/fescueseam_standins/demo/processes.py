"""Start the processes of a demonstration and stop them by process id."""

import subprocess
from pathlib import Path

import httpx
import trio
from attrs import frozen

from .plan import ProcessPlan

READY_POLL_INTERVAL_S = 0.25
READY_TIMEOUT_S = 60.0
PROBE_TIMEOUT_S = 2.0
STOP_TIMEOUT_S = 6.0
STOP_POLL_INTERVAL_S = 0.05
LOG_TAIL_LINES = 15


class StartError(Exception):
    """A process did not become ready."""


@frozen
class RunningProcess:
    """One process that the launcher started."""

    plan: ProcessPlan
    popen: subprocess.Popen[bytes]
    log: Path

    def is_running(self) -> bool:
        """Return whether the process is still running."""
        return self.popen.poll() is None

    def read_log_tail(self) -> str:
        """Return the last lines that the process wrote."""
        lines = self.log.read_text(errors="replace").splitlines()
        return "\n".join(lines[-LOG_TAIL_LINES:])


class Launcher:
    """Launcher that keeps track of the processes it started."""

    def __init__(self, scratch_folder: Path) -> None:
        self._scratch_folder = scratch_folder
        self.processes: dict[str, RunningProcess] = {}

    def start(self, plan: ProcessPlan) -> RunningProcess:
        """Start a process and write its output to a log file."""
        log = self._scratch_folder / f"{plan.name}.log"
        with log.open("wb") as output:
            popen = subprocess.Popen(
                plan.command, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT
            )
        process = RunningProcess(plan, popen, log)
        self.processes[plan.name] = process
        return process

    def kill(self, name: str) -> int:
        """Kill one process at once; return its process id."""
        process = self.processes.pop(name)
        process.popen.kill()
        process.popen.wait()
        return process.popen.pid

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until every named process reports that it is ready."""
        pending = dict.fromkeys(names, "not probed")
        async with httpx.AsyncClient(timeout=PROBE_TIMEOUT_S, trust_env=False) as client:
            with trio.move_on_after(READY_TIMEOUT_S):
                while pending:
                    for name in list(pending):
                        pending[name] = await self._probe(client, name)
                        if not pending[name]:
                            del pending[name]
                    await trio.sleep(READY_POLL_INTERVAL_S)
        if pending:
            reasons = [f"{name}: {reason}" for name, reason in pending.items()]
            raise StartError("processes not ready in time: " + "; ".join(reasons))

    async def close(self) -> None:
        """Ask every process to stop; kill those that do not within the time limit."""
        for process in self.processes.values():
            if process.is_running():
                process.popen.terminate()
        with trio.move_on_after(STOP_TIMEOUT_S, shield=True):
            while any(process.is_running() for process in self.processes.values()):
                await trio.sleep(STOP_POLL_INTERVAL_S)
        for process in self.processes.values():
            if process.is_running():
                process.popen.kill()
            process.popen.wait()

    async def _probe(self, client: httpx.AsyncClient, name: str) -> str:
        process = self.processes[name]
        if not process.is_running():
            code = process.popen.returncode
            raise StartError(f"{name} exited with code {code}\n{process.read_log_tail()}")
        try:
            response = await client.get(process.plan.ready_url)
        except httpx.HTTPError as exc:
            return type(exc).__name__
        return "" if response.is_success else f"status {response.status_code}"

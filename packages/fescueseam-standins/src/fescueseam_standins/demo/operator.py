"""Run operators' commands through the command line."""

import subprocess
from pathlib import Path

import trio

from .plan import DeploymentPlan, find_program

COMMAND_TIMEOUT_S = 30.0


class CommandError(Exception):
    """An operators' command failed."""


class Operator:
    """Operator who runs commands against the store of one deployment."""

    def __init__(self, plan: DeploymentPlan) -> None:
        self._store_url = plan.store_url

    async def apply(self, folder: Path) -> str:
        """Apply the configuration of a folder."""
        return await self._run_command("apply", str(folder))

    async def drain(self, endpoint: str) -> str:
        """Drain a backend server."""
        return await self._run_command("drain", endpoint)

    async def set_data_centre_state(self, name: str, state: str) -> str:
        """Take a data centre out of service or back in."""
        return await self._run_command("data-centre", state, name)

    async def _run_command(self, *arguments: str) -> str:
        command = [find_program("fescueseam"), *arguments, "--store", self._store_url]
        with trio.fail_after(COMMAND_TIMEOUT_S):
            completed = await trio.run_process(
                command, capture_stdout=True, stderr=subprocess.STDOUT, check=False
            )
        output = completed.stdout.decode(errors="replace").strip()
        if completed.returncode != 0:
            raise CommandError(
                f"{' '.join(command)} exited with code {completed.returncode}: {output}"
            )
        return output

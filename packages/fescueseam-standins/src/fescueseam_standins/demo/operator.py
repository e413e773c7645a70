"""Give operators' commands as an operator would, by the command line."""

import subprocess
from pathlib import Path

import trio

from .plan import DeploymentPlan, find_program

COMMAND_TIMEOUT_S = 30.0


class CommandError(Exception):
    """Report an operators' command that failed."""


class Operator:
    """Hold where the operators' command finds the store."""

    def __init__(self, plan: DeploymentPlan) -> None:
        self._store_url = plan.store_url

    async def apply(self, folder: Path) -> str:
        """Apply the configuration of a folder."""
        return await self._run_command("apply", str(folder))

    async def drain(self, endpoint: str) -> str:
        """Let a backend server drain."""
        return await self._run_command("drain", endpoint)

    async def set_data_centre_state(self, name: str, state: str) -> str:
        """Take a data centre out or bring it back in."""
        return await self._run_command("data-centre", state, name)

    async def _run_command(self, *arguments: str) -> str:
        command = [find_program("fescueseam"), *arguments, "--store", self._store_url]
        with trio.fail_after(COMMAND_TIMEOUT_S):
            completed = await trio.run_process(
                command, capture_stdout=True, stderr=subprocess.STDOUT, check=False
            )
        output = completed.stdout.decode(errors="replace").strip()
        if completed.returncode != 0:
            raise CommandError(f"{' '.join(command)} gave {completed.returncode}: {output}")
        return output

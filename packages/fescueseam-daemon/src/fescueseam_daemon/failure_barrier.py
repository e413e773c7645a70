"""Barrier that keeps an unexpected exception in one event from ending a process."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from attrs import frozen

from fescueseam.exceptions import SettingsError

RESTART_DELAY_S = 0.25
"""Delay before a failed background loop is started again, in seconds."""


@frozen
class FailureBarrier:
    """Handles unexpected exceptions of single events and of background loops.

    Each is recorded, the event is dropped and the next one is handled. MemoryError ends the
    process, and so does an error that the process reports itself, such as an address in use.
    """

    record: Callable[[str, Exception], None]
    """Logs and counts a failure by the place where it occurred."""

    def run(self, place: str, step: Callable[..., object], *args: Any) -> None:
        """Run the handling of one event."""
        try:
            step(*args)
        except MemoryError:
            raise
        except Exception as exc:
            self.record(place, exc)

    async def run_task(self, place: str, task: Callable[[], Awaitable[None]]) -> bool:
        """Run a task once; return whether it succeeded."""
        try:
            await task()
        except (MemoryError, SettingsError):
            raise
        except Exception as exc:
            self.record(place, exc)
            return False
        return True

    async def keep_running(self, place: str, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a background loop until it returns; start it again when it fails."""
        while not await self.run_task(place, loop):
            await trio.sleep(RESTART_DELAY_S)

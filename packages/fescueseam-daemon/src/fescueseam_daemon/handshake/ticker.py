"""Carry out decisions, and come back to them while an answer is awaited."""

from typing import Protocol

import trio
from attrs import define, field

from fescueseam.handshake.effects import Effects
from fescueseam_daemon.handshake.node import Node

TICK_INTERVAL_S = 0.02
"""Look for overdue answers this often while any is awaited, in seconds."""


class TickedCore(Protocol):
    """Decide what is overdue."""

    def has_pending_work(self) -> bool:
        """Tell whether anything is due soon."""

    def tick(self, now: float) -> Effects:
        """Return what is due."""


@define(eq=False)
class Ticker:
    """Tick one role's decisions only while they wait for something."""

    node: Node
    core: TickedCore
    _has_work: trio.Event = field(factory=trio.Event)

    def execute(self, effects: Effects) -> None:
        """Carry out effects; go on ticking if they leave something to wait for."""
        self.node.execute(effects)
        if self.core.has_pending_work():
            self._has_work.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._has_work.wait()
            while self.core.has_pending_work():
                await trio.sleep(TICK_INTERVAL_S)
                self.node.execute(self.core.tick(trio.current_time()))
            self._has_work = trio.Event()

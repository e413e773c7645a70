"""Carry out decisions, and come back to them while an answer is awaited."""

from typing import Protocol

import trio
from attrs import define, field

from fescueseam.handshake.effects import Effects
from fescueseam_daemon.handshake.node import Node

TICK_S = 0.02
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
    _awaited: trio.Event = field(factory=trio.Event)

    def carry_out(self, effects: Effects) -> None:
        """Carry out effects; go on ticking if they leave something to wait for."""
        self.node.carry_out(effects)
        if self.core.has_pending_work():
            self._awaited.set()

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            await self._awaited.wait()
            while self.core.has_pending_work():
                await trio.sleep(TICK_S)
                self.node.carry_out(self.core.tick(trio.current_time()))
            self._awaited = trio.Event()

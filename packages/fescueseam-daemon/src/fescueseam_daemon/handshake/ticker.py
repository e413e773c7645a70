"""Timer that runs only while a balancer or an agent has pending work."""

from typing import Protocol

import trio
from attrs import define, field

from fescueseam.handshake.effects import Effects
from fescueseam_daemon.handshake.node import Node

TICK_INTERVAL_S = 0.02
"""Interval between ticks while work is pending, in seconds."""


class TickedCore(Protocol):
    """Decisions with timeouts: those of a balancer or an agent."""

    def has_pending_work(self) -> bool:
        """Return whether anything awaits a reply or a timeout."""

    def tick(self, now: float) -> Effects:
        """Return the effects of the timeouts that have expired."""


@define(eq=False)
class Ticker:
    """Executes effects, and ticks the decisions while they have pending work."""

    node: Node
    core: TickedCore
    _has_work: trio.Event = field(factory=trio.Event)

    def execute(self, effects: Effects) -> None:
        """Execute effects, and start ticking if work is pending."""
        self.node.execute(effects)
        if self.core.has_pending_work():
            self._has_work.set()

    async def run(self) -> None:
        """Tick while work is pending, until cancelled."""
        while True:
            await self._has_work.wait()
            while self.core.has_pending_work():
                await trio.sleep(TICK_INTERVAL_S)
                self.node.barrier.run("tick", self._tick)
            self._has_work = trio.Event()

    def _tick(self) -> None:
        self.node.execute(self.core.tick(trio.current_time()))

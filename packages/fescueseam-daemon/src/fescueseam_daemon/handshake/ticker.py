"""Timer that runs only while a balancer or an agent has pending work."""

import math
from typing import Protocol

import trio
from attrs import define, field

from fescueseam.handshake.effects import Effects
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.udp import UdpSocket

TICK_INTERVAL_S = 0.02
"""Interval between ticks while work is pending, in seconds."""
MAX_READING_LAG_S = 0.5
"""Longest time for which unread packets hold back timeouts, in seconds. The lost ones among the
answers are noticed after it even if this process is never done with reading."""


class TickedCore(Protocol):
    """Decisions with timeouts: those of a balancer or an agent."""

    def has_pending_work(self) -> bool:
        """Return whether anything awaits a reply or a timeout."""

    def tick(self, now: float, heard_until: float | None = None) -> Effects:
        """Return the effects of the timeouts that have expired.

        Packets that arrived after `heard_until` may not have been read yet.
        """


@define(eq=False)
class Ticker:
    """Executes effects, and ticks the decisions while they have pending work."""

    node: Node
    core: TickedCore
    answer_sockets: tuple[UdpSocket, ...]
    """Sockets that receive what the timeouts wait for."""
    _heard_until: float = -math.inf
    """Time of the last tick at which no packet waited to be read."""
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
        now = trio.current_time()
        # An overloaded process would take answers that it has not read for missing ones, and send
        # everything again.
        if not any(sock.has_unread_data() for sock in self.answer_sockets):
            self._heard_until = now
        heard_until = max(self._heard_until, now - MAX_READING_LAG_S)
        self.node.execute(self.core.tick(now, heard_until))

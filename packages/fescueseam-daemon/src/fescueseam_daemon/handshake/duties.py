"""Measures whether a balancer is behind, and applies the step that it takes."""

from collections.abc import Callable, Iterable

import trio
from attrs import define, field

from fescueseam.handshake.balancer import Balancer
from fescueseam.handshake.member import Load, Member
from fescueseam.handshake.members import NEIGHBOUR_TIMEOUT_S
from fescueseam.overload.duties import (
    SHED_REPORT_STRETCH,
    DutyControl,
    Peer,
    Step,
    StepChange,
    compute_capacity,
    compute_share,
)
from fescueseam_daemon.handshake.node import Node

SAMPLE_INTERVAL_S = 0.1
"""Interval between samples, in seconds."""
SAMPLES_PER_UPDATE = 3
"""Number of samples after which the step is chosen again."""
BITS_PER_MBIT = 1_000_000


@define(eq=False)
class DutyMonitor:
    """Samples the load of this process while the capacity of its machine is known."""

    node: Node
    core: Balancer
    send_report: Callable[[Iterable[Member]], None]
    """Reports the state of this process to some members."""
    control: DutyControl = field(init=False)
    _unsent: int = 0
    _sent_bytes: int = 0

    def __attrs_post_init__(self) -> None:
        settings = self.node.settings
        capacity = compute_capacity(
            settings.processor_share, settings.processors, settings.link_mbps
        )
        self.control = DutyControl(self.node.own.name, capacity, trio.current_time())
        self.core.fleet.own_load = Load(capacity=capacity)

    def is_resting(self) -> bool:
        """Return whether this balancer has left the rotation for a time."""
        return self.control.step is Step.REST

    async def run(self) -> None:
        """Sample until cancelled."""
        if self.control.capacity <= 0:
            await trio.sleep_forever()
        self._unsent, self._sent_bytes = self._count_unsent(), self._count_sent_bytes()
        while True:
            for _ in range(SAMPLES_PER_UPDATE):
                due = trio.current_time() + SAMPLE_INTERVAL_S
                await trio.sleep_until(due)
                self._sample(trio.current_time() - due)
            self._update(trio.current_time())

    def _sample(self, late_s: float) -> None:
        unsent, sent_bytes = self._count_unsent(), self._count_sent_bytes()
        link_share = 0.0
        if self.node.settings.link_mbps:
            sent_bits = 8 * (sent_bytes - self._sent_bytes)
            link_bits_per_s = self.node.settings.link_mbps * BITS_PER_MBIT
            link_share = sent_bits / (link_bits_per_s * (SAMPLE_INTERVAL_S + late_s))
        has_unread = any(sock.has_unread_data() for sock in self.node.sockets)
        self.control.record_sample(
            late_s, has_unread, unsent - self._unsent, link_share, trio.current_time()
        )
        self._unsent, self._sent_bytes = unsent, sent_bytes

    def _update(self, now: float) -> None:
        peers = self._list_peers(now)
        change = self.control.update(peers, now)
        self.node.own_gauges = {
            "duty_step": float(self.control.step),
            "processing_pressure": self.control.pressure,
        }
        step = self.control.step
        self.core.finder.budget.share = compute_share(
            self.control.capacity, (peer.capacity for peer in peers if peer.in_rotation), step
        )
        if change is None:
            return
        fleet = self.core.fleet
        fleet.own_load = Load(
            capacity=self.control.capacity,
            lagging=step > Step.NONE,
            resting=step is Step.REST,
        )
        fleet.far_report_stretch = SHED_REPORT_STRETCH if step > Step.NONE else 1.0
        self._log(change)
        self.send_report(fleet.list_neighbours(now))

    def _list_peers(self, now: float) -> list[Peer]:
        own = self.node.own
        return [
            Peer(
                member.identity.name,
                member.load.capacity,
                member.load.lagging,
                now - member.last_heard_at < NEIGHBOUR_TIMEOUT_S
                and not member.load.leaving
                and not member.load.resting,
            )
            for member in self.core.fleet.list_balancers()
            if member.identity.data_centre == own.data_centre
        ]

    def _log(self, change: StepChange) -> None:
        fields = {
            "pressure": change.pressure,
            "capacity": round(self.control.capacity, 2),
            "in_rotation": change.in_rotation,
        }
        if change.after is Step.REST:
            self.node.log_event("rotation-left", fields)
        elif change.before is Step.REST:
            self.node.log_event("rotation-joined", fields)
        elif change.after is Step.SHED:
            self.node.log_event("duties-shed", fields)
        else:
            self.node.log_event("duties-resumed", fields)

    def _count_unsent(self) -> int:
        return sum(sock.refused_datagrams for sock in self.node.sockets)

    def _count_sent_bytes(self) -> int:
        return sum(sock.sent_bytes for sock in self.node.sockets)

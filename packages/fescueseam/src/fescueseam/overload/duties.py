"""What a balancer does as its own processor or link falls behind.

Load pattern: balancers of uneven size that get equal shares of the flows, and a burst that the
small ones cannot follow.
"""

import hashlib
import math
from collections.abc import Iterable
from enum import IntEnum

from attrs import define, field, frozen

LINK_MBPS_PER_PROCESSOR = 20.0
"""Link that counts like a whole processor, in Mbit/s."""
CAPACITY_DIGITS = 3
"""Digits after the point of a capacity. Ranks compare the own one with those in reports, which
carry fewer digits than a number in memory has."""
LATE_S = 0.04
"""Delay of a timer from which the process counts as behind, in seconds. Together with a way of some
milliseconds, answers are then read close to the timeout of offers (0.06 s)."""
UNREAD_SAMPLES = 3
"""Number of samples in a row with unread packets from which the process counts as behind."""
FULL_LINK_SHARE = 0.9
"""Share of the link from which the process counts as behind."""
PRESSURE_TIME_CONSTANT_S = 1.0
"""Time constant of the average of the samples, in seconds."""
SHED_PRESSURE, REST_PRESSURE, CALM_PRESSURE = 0.5, 0.8, 0.2
"""Shares of the samples in which the process is behind from which it sheds duties, leaves the
rotation, and below which it takes them back."""
SHED_AFTER_S = 0.5
"""Time under pressure after which duties are shed, in seconds."""
REST_AFTER_S = 3.0
"""Time after shedding duties before the rotation may be left, in seconds. The neighbours have
heard of it by then."""
CALM_S = 3.0
"""Time without pressure after which a step is taken back, in seconds."""
START_GRACE_S = 10.0
"""Time after the start in which the rotation is not left, in seconds."""
MOST_SHARE = 2.0
"""Largest share of duties, relative to the mean of the neighbours. A small balancer that is not
behind does as much as an equal one: what it asks for, its own callers wait for."""
SHED_SHARE = 0.25
"""Factor on that share while duties are shed."""
SHED_REPORT_STRETCH = 1.5
"""Factor on the intervals of far reports while duties are shed; a report counts as overdue after
3.2 intervals."""


class Step(IntEnum):
    """What a balancer leaves to the others."""

    NONE = 0
    SHED = 1
    """Watches of the store, most searches, and some of the reports to far members."""
    REST = 2
    """New flows too: it reports that it is not ready, and goes on forwarding what arrives."""


@frozen
class Peer:
    """What a balancer knows of one of its data centre, or of itself."""

    name: str
    capacity: float = 0.0
    lagging: bool = False
    in_rotation: bool = True
    """Whether it was heard lately, and neither stops nor rests."""


@frozen
class StepChange:
    """A step that was taken or taken back."""

    before: Step
    after: Step
    pressure: float
    in_rotation: int
    """Balancers of the data centre in rotation, with this one before the change."""


def hash_name(name: str) -> bytes:
    """Return a number that ranks a process among equals."""
    return hashlib.blake2b(name.encode(), digest_size=8).digest()


def compute_capacity(
    processor_share: float | None, processors: float | None, link_mbps: float | None
) -> float:
    """Return a machine's capacity, 1 for a whole processor; 0 if nothing is known."""
    limits = []
    if processor_share:
        limits.append(processor_share * (processors or 1))
    if link_mbps:
        limits.append(link_mbps / LINK_MBPS_PER_PROCESSOR)
    return round_capacity(min(limits, default=0.0))


def round_capacity(capacity: float) -> float:
    """Return a capacity as it is compared with others."""
    return round(capacity, CAPACITY_DIGITS)


def compute_share(capacity: float, neighbours: Iterable[float], step: Step) -> float:
    """Return the share of duties relative to the mean of the data centre's balancers."""
    known = [item for item in (capacity, *neighbours) if item > 0]
    share = 1.0
    if capacity > 0:
        share = min(MOST_SHARE, max(1.0, capacity * len(known) / sum(known)))
    return share * SHED_SHARE if step > Step.NONE else share


def may_rest(own: Peer, neighbours: Iterable[Peer]) -> bool:
    """Return whether a balancer may leave the rotation.

    Only the smaller half may, by capacity and a hash of the name, and none if those that may leave
    at the same moment would take the data centre below half, or if most of those that stay are
    behind too and could not take its flows.
    """
    others = list(neighbours)
    total = len(others) + 1
    ahead = [item for item in others if _rank(item) < _rank(own)]
    leaving_too = sum(item.in_rotation and item.lagging for item in ahead)
    staying = sum(item.in_rotation for item in others) - leaving_too
    calm = sum(item.in_rotation and not item.lagging for item in others)
    return len(ahead) < total // 2 and 2 * staying >= total and 2 * calm >= staying


def must_return(neighbours: Iterable[Peer]) -> bool:
    """Return whether a resting balancer is needed, because fewer than half are in rotation."""
    others = list(neighbours)
    return 2 * sum(item.in_rotation for item in others) < len(others) + 1


def _rank(peer: Peer) -> tuple[float, bytes]:
    return peer.capacity, hash_name(peer.name)


@define(eq=False)
class DutyControl:
    """Pressure on one process, and the step that it has taken."""

    own_name: str
    capacity: float
    """Capacity of the machine; with 0, unknown, no step is taken."""
    started_at: float
    step: Step = Step.NONE
    pressure: float = 0.0
    """Moving average of the samples in which the process was behind."""
    _sampled_at: float = field(init=False)
    _unread_samples: int = 0
    _step_at: float = field(init=False)
    _pressed_since: float | None = None
    _calm_since: float | None = None

    def __attrs_post_init__(self) -> None:
        self._sampled_at = self._step_at = self.started_at

    def record_sample(
        self, late_s: float, has_unread: bool, unsent: int, link_share: float, now: float
    ) -> None:
        """Record how late a timer was, whether packets wait, and what the link did not take."""
        self._unread_samples = self._unread_samples + 1 if has_unread else 0
        is_behind = (
            late_s >= LATE_S
            or self._unread_samples >= UNREAD_SAMPLES
            or unsent > 0
            or link_share >= FULL_LINK_SHARE
        )
        decay = math.exp((self._sampled_at - now) / PRESSURE_TIME_CONSTANT_S)
        self.pressure = self.pressure * decay + float(is_behind) * (1 - decay)
        self._sampled_at = now
        if self.pressure < SHED_PRESSURE:
            self._pressed_since = None
        elif self._pressed_since is None:
            self._pressed_since = now
        if self.pressure > CALM_PRESSURE:
            self._calm_since = None
        elif self._calm_since is None:
            self._calm_since = now

    def update(self, neighbours: Iterable[Peer], now: float) -> StepChange | None:
        """Take a step or take it back; return the change, if any."""
        if self.capacity <= 0:
            return None
        others = list(neighbours)
        step = self._choose_step(others, now)
        if step is self.step:
            return None
        in_rotation = sum(item.in_rotation for item in others) + (self.step is not Step.REST)
        change = StepChange(self.step, step, round(self.pressure, 2), in_rotation)
        self.step, self._step_at = step, now
        self._calm_since = None
        return change

    def _choose_step(self, others: list[Peer], now: float) -> Step:
        if self.step is Step.REST and must_return(others):
            return Step.SHED
        if self.step is not Step.NONE and self._has_lasted(self._calm_since, CALM_S, now):
            return Step(self.step - 1)
        if self.step is Step.NONE and self._has_lasted(self._pressed_since, SHED_AFTER_S, now):
            return Step.SHED
        if (
            self.step is Step.SHED
            and self.pressure >= REST_PRESSURE
            and now - self._step_at >= REST_AFTER_S
            and now - self.started_at >= START_GRACE_S
            and may_rest(Peer(self.own_name, self.capacity, True), others)
        ):
            return Step.REST
        return self.step

    def _has_lasted(self, since: float | None, duration_s: float, now: float) -> bool:
        return since is not None and now - since >= duration_s

"""Openings that wait beside one backend server: which are let in, and which goes next."""

import math
from operator import attrgetter

from attrs import define, field, frozen

from fescueseam.handshake.segments import FlowId
from fescueseam.overload.waits import estimate_service_time_s, estimate_wait_s

WAITING_LIMIT = 256
"""Largest number of openings that wait beside one backend server."""
LOWER_CLASS_SHARE = 0.1
"""Share of the freed slots that each waiting class gets at least, however low its priority is."""
TAKEN_WEIGHT = 0.05
"""Weight of the newest freed slot in the moving averages of the classes' shares."""
UNUSABLE_FACTOR = 1.5
"""Ratio of the expected to the remaining wait from which on an opening no longer waits."""
HANDSHAKE_TIME_S = 0.015
"""Time from the delivery of an opening to its request, in seconds."""
IDLE_SLOTS_LIMIT = 0.2
"""Number of slots that may be idle for handshakes before more requests are delivered than there are
slots."""


@frozen
class ServerState:
    """What the expected wait at a backend server depends on."""

    at_work: int
    """Number of requests at work or in their handshake."""
    slots: int
    service_time_s: float
    """Time for which a request takes a slot, without its wait in the server's own queue."""
    cold: bool = False

    def compute_delivery_limit(self) -> int:
        """Return how many requests may be at work while others wait.

        Those beyond the slots are in their handshake when a slot becomes free. If requests take
        long, a slot that is idle meanwhile costs less than a wait behind them in the server.
        """
        slots = max(1, self.slots)
        service_time_s = estimate_service_time_s(self.service_time_s, self.cold)
        idle_slots = slots * HANDSHAKE_TIME_S / service_time_s
        return slots + min(slots, math.ceil(idle_slots - IDLE_SLOTS_LIMIT))


@frozen
class Waiter:
    """One opening that waits."""

    flow: FlowId
    priority: int
    """Priority of its class; 0 is the highest."""
    late: bool
    """Whether it can only meet its time limit, not its target."""
    rank: int
    """Rank of its caller among those of its class; 0 goes first."""
    arrived_at: float
    usable_until: float
    """Time until which it has to be delivered."""
    order: tuple[int, bool, int, float] = field(init=False)
    """Sort key of the order in which openings go."""

    @order.default
    def _compute_order(self) -> tuple[int, bool, int, float]:
        return (self.priority, self.late, self.rank, self.arrived_at)


get_order = attrgetter("order")
"""Returns the sort key of a waiting opening."""


@frozen
class HoldDecision:
    """Whether an opening may wait, and the expected wait behind the decision."""

    holds: bool
    wait_s: float
    waiting: int


@define(eq=False)
class WaitingRoom:
    """Openings that wait for a slot of one backend server.

    Higher classes go first, then those that can meet their target, then callers with little recent
    use, then the oldest.
    """

    _waiters: dict[FlowId, Waiter] = field(factory=dict)
    _credits: dict[int, float] = field(factory=dict)
    """Freed slots that a waiting class has earned by its least share, by priority."""
    _taken_shares: dict[tuple[int, bool], float] = field(factory=dict)
    """Moving average of the share of the freed slots, by priority and whether it was late."""

    def __len__(self) -> int:
        """Return the number of openings that wait."""
        return len(self._waiters)

    def __contains__(self, flow: object) -> bool:
        """Return whether an opening waits."""
        return flow in self._waiters

    def decide(self, waiter: Waiter, state: ServerState, now: float) -> HoldDecision:
        """Return whether an opening may wait; it may if a slot is expected while it is usable."""
        group = waiter.order[:2]
        higher = own = 0
        for item in self._waiters.values():
            higher += item.order[:2] < group
            own += item.order[:2] == group and item.order < waiter.order
        wait_s = self._estimate_wait_s(waiter, higher, own, state)
        holds = wait_s <= waiter.usable_until - now
        if holds and len(self._waiters) >= WAITING_LIMIT:
            last = max(self._waiters.values(), key=get_order)
            holds = waiter.order < last.order
        return HoldDecision(holds, wait_s, len(self._waiters))

    def add(self, waiter: Waiter) -> Waiter | None:
        """Let an opening wait; return the one that it displaces if the room is full."""
        displaced = None
        if len(self._waiters) >= WAITING_LIMIT:
            displaced = max(self._waiters.values(), key=get_order)
            del self._waiters[displaced.flow]
        self._waiters[waiter.flow] = waiter
        return displaced

    def remove(self, flow: FlowId) -> None:
        """Forget an opening, if it waits."""
        self._waiters.pop(flow, None)

    def remove_all(self) -> list[Waiter]:
        """Remove and return all openings."""
        waiters = list(self._waiters.values())
        self._waiters.clear()
        return waiters

    def remove_unusable(self, state: ServerState, now: float) -> list[Waiter]:
        """Remove and return the openings that are not expected to get a slot in time."""
        unusable = []
        group: tuple[int, bool] | None = None
        kept = higher = 0
        for waiter in sorted(self._waiters.values(), key=get_order):
            if waiter.order[:2] != group:
                group, higher = waiter.order[:2], kept
            remaining_s = waiter.usable_until - now
            wait_s = self._estimate_wait_s(waiter, higher, kept - higher, state)
            if remaining_s <= 0 or wait_s > UNUSABLE_FACTOR * remaining_s:
                del self._waiters[waiter.flow]
                unusable.append(waiter)
            else:
                kept += 1
        return unusable

    def count_of_caller(self, caller: int) -> int:
        """Return how many openings of a caller address wait."""
        return sum(flow[0] == caller for flow in self._waiters)

    def take_next(self) -> Waiter | None:
        """Remove and return the opening that gets the next free slot."""
        if not self._waiters:
            return None
        waiting = {item.priority for item in self._waiters.values()}
        self._credits = {item: self._credits.get(item, 0.0) for item in waiting}
        priority = min(waiting)
        owed = [item for item in waiting if self._credits[item] >= 1.0]
        if owed:
            priority = max(owed, key=lambda item: (self._credits[item], -item))
        for item in waiting:
            self._credits[item] = min(1.0, self._credits[item] + LOWER_CLASS_SHARE)
        self._credits[priority] = 0.0
        candidates = [item for item in self._waiters.values() if item.priority == priority]
        waiter = min(candidates, key=get_order)
        del self._waiters[waiter.flow]
        self.record_taken(waiter.priority, waiter.late)
        return waiter

    def record_taken(self, priority: int, late: bool = False) -> None:
        """Record that a request of a class got a slot."""
        taken = (priority, late)
        self._taken_shares.setdefault(taken, 0.0)
        for item, share in self._taken_shares.items():
            self._taken_shares[item] = share + (float(item == taken) - share) * TAKEN_WEIGHT

    def _estimate_wait_s(self, waiter: Waiter, higher: int, own: int, state: ServerState) -> float:
        """Return the expected wait behind some of higher groups and some of its own group."""
        group = waiter.order[:2]
        # Openings of higher classes that come later go first too.
        share = 1.0 - sum(item for other, item in self._taken_shares.items() if other < group)
        # It is delivered while the last requests before it are still at work.
        excess = state.at_work - state.compute_delivery_limit()
        ahead = excess + max(1, state.slots) + higher + own / max(LOWER_CLASS_SHARE, share)
        return estimate_wait_s(ahead, state.slots, state.service_time_s, state.cold)

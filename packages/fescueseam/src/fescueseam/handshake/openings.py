"""Opening packets that wait for an agent or for the end of the handshake, and their timeouts."""

import heapq
from collections import OrderedDict

from attrs import define, field, frozen

from fescueseam.handshake.free_slots import FREE_SLOT_OFFERS_LIMIT
from fescueseam.handshake.segments import FlowId, Segment
from fescueseam.overload.admission import (
    IN_TIME_OFFERS_LIMIT,
    LATE_OFFERS_LIMIT,
    LONGEST_WAIT_S,
    WAIT_STEPS,
)
from fescueseam.overload.return_order import ReturnOrder

OFFER_TIMEOUT_S = 0.06
"""Longest time to wait for an agent's answer to an offered opening, in seconds. Then the opening is
offered to another agent."""
OPENING_ANSWER_TIMEOUT_S = 0.04
"""Longest wait for the backend server's answer to an opening packet, in seconds. Then the packet
goes back to its balancer."""
OVERFLOW_REQUESTS_PER_SLOT = 6
"""Number of busy flows per slot below which opening packets marked DELIVER_EVEN_IF_BUSY are
admitted. Balancers set this mark if no backend server has a free slot. From this number on, a
further request would wait too long to be of use."""
DELIVERED_RETENTION_S = 0.4
"""Time for which a delivered opening is kept, in seconds, as the backend server may return it."""
OFFERS_LIMIT = FREE_SLOT_OFFERS_LIMIT + IN_TIME_OFFERS_LIMIT + LATE_OFFERS_LIMIT
"""Largest number of offers of one opening: a search for a free slot and a few requests to queue
it. More would not end before the caller retransmits the opening."""
OFFERED_LIMIT = 8192
"""Largest number of offered openings that are remembered: those of 0.4 s at 20,000 a second."""
DEFERRED_OFFERS_LIMIT = 2
"""Largest number of offers in each attempt to place a deferred opening."""
DEFERRED_TIMEOUT_S = 1.2
"""Longest time that an opening waits for an agent to become ready, in seconds; callers give up
after 1.4 s."""
DEFERRED_RETRY_INTERVAL_S = 0.04
"""Interval between attempts to place a deferred opening, in seconds."""
DEFERRED_RETRIES_PER_TICK = 4
"""Largest number of deferred openings retried in one tick; at a tick of 20 ms this exceeds a
balancer's share of the new flows."""
DEFERRED_LIMIT = 2048
"""Largest number of deferred openings; callers retry those beyond it."""
WAIT_ANSWER_MARGIN_S = 0.1
"""Time beyond the allowed wait after which a waiting opening counts as unanswered, in seconds."""
ATTEMPT_DELAYS_S = (0.0, 0.2, 0.6)
"""Times after the first packet of an opening at which callers retransmit it, in seconds."""
BUSY_BACKOFF_S = 0.06
"""Time for which other agents are preferred to one without a free slot, in seconds: about a service
time."""
REJECTED_BACKOFF_S = 0.15
"""Time for which an agent is offered no flow after it rejected an opening, in seconds. Its next
report then shows its state. An opening counts as rejected if the agent does not answer it, returns
it for another reason than busy slots, or returns it although it was marked DELIVER_EVEN_IF_BUSY."""


@define(eq=False)
class DeliveredOpening:
    """An opening packet that was delivered to the backend server and is not answered yet."""

    segment: Segment
    delivered_at: float


@frozen
class WaitSearch:
    """Service and priority for which agents are asked for room to wait, and how many at most."""

    key: str
    limit: int


@define(eq=False)
class PendingOpening:
    """An opening packet whose caller has not answered the handshake yet."""

    segment: Segment
    service: str
    """Service that it opens a flow of; empty until the configuration is known."""
    agent: str
    """Name of the agent that it was last offered to; empty before the first offer."""
    sent_at: float
    """Time of the last offer or deferral."""
    tried_agents: set[str] = field(factory=set)
    """Names of the agents that are no longer asked for a free slot: it was offered to them, or they
    did not answer a search for its flow."""
    rejecting_agents: set[str] = field(factory=set)
    """Names of the agents that are skipped until a deferred opening is retried: they rejected it or
    did not answer a search for its flow."""
    even_if_busy: bool = False
    """Whether agents are asked to accept the opening even if every slot is busy."""
    free_slot_offers_limit: int = FREE_SLOT_OFFERS_LIMIT
    """Number of agents that are asked for a free slot."""
    offers_left: int = OFFERS_LIMIT
    unanswered_offers: dict[str, float] = field(factory=dict)
    """Agents that left an offer unanswered, or gave its opening up late, and when it was sent."""
    was_unanswered: bool = False
    """Whether an agent has left an offer unanswered, so that an answer may only have been lost."""
    deferred_at: float | None = None
    """Time at which it was first deferred; None before that."""
    opened_at: float = field()
    """Time at which its caller sent the first packet, as far as the attempt tells it."""
    requested_at: float = field()
    """Time of the first try of its request, as far as it is known."""
    is_retry: bool = False
    """Whether it follows a refusal of an earlier try."""
    can_wait: bool = True
    """Whether an agent may be asked to let it wait; not if an agent may be of an earlier build."""
    wait_step: int = 0
    """Number of the wait that the last offer allows; 0 if it allows none."""
    kept_free: int = 0
    """Number of agents that were kept free of its class at the last choice."""
    wait_offers: int = 0
    """Number of offers that allowed a wait."""
    in_time_offers_limit: int | None = None
    """Number of agents that are asked to let it wait within its target; None before the first."""
    wait_search: WaitSearch | None = None
    """Search for room to wait whose result was not recorded yet."""
    full_agents: set[str] = field(factory=set)
    """Names of the agents that had no room to let it wait."""
    waits_until: float | None = None
    """Time until which the agent's final answer is awaited, once it has said that it waits."""

    @opened_at.default
    def _compute_opened_at(self) -> float:
        attempt = min(self.segment.attempt, len(ATTEMPT_DELAYS_S) - 1)
        return self.sent_at - ATTEMPT_DELAYS_S[attempt]

    @requested_at.default
    def _get_opened_at(self) -> float:
        return self.opened_at

    def record_waiting(self, now: float) -> None:
        """Record that its agent lets it wait."""
        wait_s = WAIT_STEPS[self.wait_step].wait_s or LONGEST_WAIT_S
        self.waits_until = now + wait_s + WAIT_ANSWER_MARGIN_S

    def is_overdue(self, now: float) -> bool:
        """Return whether the agent should have answered the last offer."""
        if self.waits_until is not None:
            return now >= self.waits_until
        return now - self.sent_at >= OFFER_TIMEOUT_S

    def reset_for_retry(self) -> None:
        """Forget earlier attempts, before a deferred opening is placed again."""
        self.tried_agents.clear()
        self.rejecting_agents.clear()
        # It has waited longer than for a slot already.
        self.even_if_busy = True
        self.offers_left = DEFERRED_OFFERS_LIMIT
        self.wait_offers = 0
        self.in_time_offers_limit = None
        self.full_agents.clear()


@define(eq=False)
class OfferedOpenings:
    """Openings that were offered to an agent and may still be returned by it."""

    unanswered: dict[FlowId, PendingOpening] = field(factory=dict)
    """Openings without an answer of the agent, which are offered elsewhere after a timeout."""
    delivered: OrderedDict[FlowId, PendingOpening] = field(factory=OrderedDict)
    """Openings that were delivered to a backend server, in the order of delivery."""

    def __len__(self) -> int:
        """Return the number of openings."""
        return len(self.unanswered) + len(self.delivered)

    def __contains__(self, flow: object) -> bool:
        """Return whether the opening of a flow is known."""
        return flow in self.unanswered or flow in self.delivered

    def find(self, flow: FlowId) -> PendingOpening | None:
        """Return the opening of a flow, or None if there is none."""
        return self.unanswered.get(flow) or self.delivered.get(flow)

    def add(self, flow: FlowId, opening: PendingOpening) -> None:
        """Add an opening that was just offered; it has no answer yet."""
        self.delivered.pop(flow, None)
        self.unanswered[flow] = opening

    def record_delivery(self, flow: FlowId, now: float) -> PendingOpening:
        """Record that an unanswered opening was delivered, and return it."""
        self.expire(now)
        opening = self.delivered[flow] = self.unanswered.pop(flow)
        return opening

    def discard(self, flow: FlowId) -> None:
        """Forget the opening of a flow, if any."""
        self.unanswered.pop(flow, None)
        self.delivered.pop(flow, None)

    def expire(self, now: float) -> None:
        """Forget delivered openings after their retention time."""
        while self.delivered:
            flow, opening = next(iter(self.delivered.items()))
            if now - opening.sent_at < DELIVERED_RETENTION_S:
                break
            del self.delivered[flow]


class DeferredOpenings(dict[FlowId, PendingOpening]):
    """Openings that wait for an agent to become ready."""

    def has_room(self) -> bool:
        """Return whether one more opening may be deferred."""
        return len(self) < DEFERRED_LIMIT

    def take_due(
        self, now: float, orders: dict[FlowId, ReturnOrder]
    ) -> list[tuple[FlowId, PendingOpening]]:
        """Remove and return the openings to be retried now, the first in a given order.

        Only a few are retried at a time: their outcome shows whether agents accept flows again.
        """
        first = heapq.nsmallest(
            DEFERRED_RETRIES_PER_TICK, self.items(), key=lambda item: orders[item[0]]
        )
        due = [item for item in first if now - item[1].sent_at >= DEFERRED_RETRY_INTERVAL_S]
        for flow, opening in due:
            del self[flow]
            opening.reset_for_retry()
        return due

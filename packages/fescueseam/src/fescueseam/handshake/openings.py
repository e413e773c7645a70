"""Opening packets that wait for an agent or for the end of the handshake, and their timeouts."""

from attrs import define, field

from fescueseam.handshake.segments import Segment

OFFER_TIMEOUT_S = 0.06
"""Longest time to wait for an agent's answer to an opening, in seconds, before another agent is
offered it."""
DELIVERED_RETENTION_S = 0.4
"""Time for which a delivered opening is kept, in seconds, as the backend server may return it."""
FREE_SLOT_OFFERS_LIMIT = 8
"""Largest number of agents that are asked for a free slot; after them, agents are asked to accept
the opening even if every slot is busy."""
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
BUSY_BACKOFF_S = 0.06
"""Time for which other agents are preferred to one without a free slot, in seconds: about a service
time."""
REJECTED_BACKOFF_S = 0.15
"""Time for which an agent is offered no flow after it rejected an opening for good, in seconds: for
another reason than busy slots, or although the opening could wait for one. Its next report tells
its state."""


@define(eq=False)
class PendingOpening:
    """An opening packet whose caller has not answered the handshake yet."""

    segment: Segment
    service: str
    agent: str
    """Name of the agent that it was last offered to; empty before the first offer."""
    sent_at: float
    """Time of the last offer or deferral."""
    tried_agents: set[str] = field(factory=set)
    """Names of the agents that are no longer asked for a free slot."""
    rejecting_agents: set[str] = field(factory=set)
    """Names of the agents that rejected the opening for good and are not asked again."""
    even_if_busy: bool = False
    """Whether agents are asked to accept the opening even if every slot is busy."""
    deferred_at: float | None = None
    """Time at which it was first deferred; None before that."""
    delivered: bool = False
    """Whether the agent has delivered the opening to its backend server."""

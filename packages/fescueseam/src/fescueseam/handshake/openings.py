"""Hold the opening packets that no agent has answered yet, and the waits that belong to them."""

from attrs import define, field

from fescueseam.handshake.segments import Segment

OFFER_TIMEOUT_S = 0.06
"""Offer an opening packet elsewhere after this time without an answer, in seconds."""
DELIVERED_RETENTION_S = 0.4
"""Keep a delivered opening packet this long, in seconds: the backend server may still return it."""
OFFER_ATTEMPTS_LIMIT = 8
"""Offer an opening packet to this many agents before it is refused."""
DEFERRED_TIMEOUT_S = 1.2
"""Keep an opening packet for an agent that is about to be ready this long, in seconds; callers
give up after 1.4 s."""
DEFERRED_RETRY_INTERVAL_S = 0.04
"""Try to place a deferred opening packet this often, in seconds."""
DEFERRED_RETRIES_PER_TICK = 4
"""Try this many deferred opening packets at once; with a tick of 20 ms that is more than a
balancer's share of the new flows."""
DEFERRED_LIMIT = 2048
"""Bound the deferred opening packets; callers send those beyond it again."""
BUSY_BACKOFF_S = 0.06
"""Prefer others for this long after an agent had no free slot, in seconds: about a service time."""
REJECTED_BACKOFF_S = 0.15
"""Offer an agent nothing for this long after it turned down even what would wait, in seconds; its
next report says more."""


@define(eq=False)
class PendingOpening:
    """Hold an opening packet until the caller has answered the handshake."""

    segment: Segment
    service: str
    agent: str
    sent_at: float
    tried_agents: set[str] = field(factory=set)
    """Name the agents that the packet was offered to."""
    rejecting_agents: set[str] = field(factory=set)
    """Name those that would not take it with free slots either."""
    even_if_busy: bool = False
    deferred_at: float | None = None
    """Hold when it began to wait for an agent that is about to be ready."""
    delivered: bool = False
    """Tell that the agent has delivered the packet to its backend server."""

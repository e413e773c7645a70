"""One member of the system: its identity, its reported load and what is known of it."""

import math
from enum import StrEnum

from attrs import define, field, frozen

from fescueseam.handshake.segments import ServiceAddress


class Role(StrEnum):
    """Role of a process."""

    BALANCER = "balancer"
    AGENT = "agent"


class Availability(StrEnum):
    """State of a backend server, which decides whether it gets new flows."""

    ABSENT = "absent"
    """The backend server has stopped answering."""
    UNKNOWN = "unknown"
    """The agent has started and has not received a heartbeat yet."""
    READY = "ready"
    DRAINING = "draining"
    LEFT = "left"
    """There is no backend server: it has deregistered or never started."""


LEAVING_STATES = (Availability.DRAINING, Availability.LEFT)
"""States that end only with a heartbeat of a server that is ready."""


@frozen
class Identity:
    """Name, role and address of a process."""

    name: str
    role: Role
    address: int
    data_centre: str
    service: str = ""
    incarnation: int = 0


@frozen
class HeldFlows:
    """Which flows an agent's backend server may hold, by their service addresses."""

    service_addresses: frozenset[ServiceAddress] = frozenset()
    """Service addresses of the flows that the agent knows."""
    has_unknown_flows: bool = False
    """Whether the backend server may hold flows that the agent does not know, of any address."""


NO_FLOWS = HeldFlows()
UNKNOWN_FLOWS = HeldFlows(has_unknown_flows=True)


@frozen
class RouteWork:
    """What the requests of a service address take at one backend server, as learned there."""

    address: ServiceAddress
    mean_s: float
    """Mean service time, in seconds."""
    deviation_s: float = 0.0
    """Mean deviation of the service time, in seconds."""
    requests_per_flow: float = 1.0
    flows: int = 0
    """Number of open flows of the route."""
    busy_share: float = 0.0
    """Share of time for which one of these flows has a request at work."""


@frozen
class Load:
    """Load and state of a backend server, as its agent reports them."""

    availability: Availability = Availability.ABSENT
    busy: int = 0
    """Number of flows with a pending request."""
    flows: int = 0
    """Number of open flows."""
    slots: int = 0
    utilisation: float = 0.0
    """Share of busy slots, averaged over some seconds."""
    service_time_s: float = 0.0
    cold: bool = False
    leaving: bool = False
    """Whether the process itself is shutting down."""
    failing: float = 0.0
    """Share of the latest requests that got no answer."""
    held: HeldFlows = NO_FLOWS
    work: tuple[RouteWork, ...] = ()
    """Learned work of the service addresses that the backend server has served lately; empty in
    most reports."""
    slowness: float = 0.0
    """Recent service times relative to the usual ones, if they are longer; otherwise 0."""
    flow_bytes: float = 0.0
    """Mean bytes of the answers on one flow, as learned; 0 before that."""
    capacity: float = 0.0
    """Capacity of a balancer's machine, 1 for a whole processor; 0 if its settings do not say."""
    lagging: bool = False
    """Whether a balancer is behind with its packets and leaves duties to others."""
    resting: bool = False
    """Whether a balancer has left the rotation for a time because it is behind."""


@define
class Member:
    """Newest known state of one process. Times are of the local monotonic clock."""

    identity: Identity
    listed_at: float
    """Time at which the member was first listed."""
    last_heard_at: float = -math.inf
    """Time of the last message from the member."""
    load: Load = field(factory=Load)
    sequence: int = 0
    had_backend: bool = False
    """Whether a report, also of an earlier start, has said that it knows a backend server."""
    flows_sent_since_report: int = 0
    """Number of flows offered to the member since its last report."""
    unanswered_at: float | None = None
    """Time at which the member left a packet unanswered; None once a message arrives. Until then it
    is offered no new flow."""
    probed_at: float = -math.inf
    """Time at which it was last asked for a report because it left a packet unanswered."""
    busy_until: float = 0.0
    """Time until which other members are preferred, because it did not admit a flow."""
    excluded_until: float = 0.0
    """Time until which it is offered no new flow, because it rejected one or did not answer."""
    last_report_sent_at: float = -math.inf
    """Time at which this process last sent the member a report."""
    work_sent_at: float = -math.inf
    """Time at which this process last sent the member the learned work of its backend server."""
    work: dict[ServiceAddress, RouteWork] = field(factory=dict)
    """Learned work, as last reported."""
    pinned_busy: float = 0.0
    """Number of requests that its long flows have at work on average, as last reported."""
    slow_factor: float = 1.0
    """Factor on its service times while it is slower than before or than its peers; see
    `overload.speeds`."""
    passed_over: int = 0
    """Number of openings that were offered to others first since it was last tried, while it is
    set aside."""
    reported_unreachable: bool = False
    """Whether the member was last reported as unreachable, so that each change is reported once."""

    def is_without_backend(self) -> bool:
        """Return whether its last report says that it knows no backend server."""
        return self.load.availability in (Availability.UNKNOWN, Availability.LEFT)

    def compute_age_ms(self, now: float) -> int | None:
        """Return the age of its last message in milliseconds; None if it was never heard."""
        return compute_age_ms(self.last_heard_at, now)

    def has_reported_backend(self) -> bool:
        """Return whether it has reported a backend server, and not that this has left.

        A report after a restart of the agent does not know the server yet.
        """
        has_left = self.load.availability is Availability.LEFT
        return self.last_heard_at != -math.inf and self.had_backend and not has_left


def compute_age_ms(heard_at: float, now: float) -> int | None:
    """Return an age in milliseconds; None if the time is -infinity, which stands for never."""
    return None if heard_at == -math.inf else round((now - heard_at) * 1000)

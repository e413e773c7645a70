"""Effects that the daemon carries out for a decision of a balancer or an agent."""

from typing import Any

from attrs import field, frozen

from fescueseam.handshake.notices import NoticeBody
from fescueseam.handshake.segments import Mark, Segment


@frozen(slots=True)
class Forward:
    """Forward a packet to another balancer or agent."""

    address: int
    segment: Segment = field(repr=False)
    mark: Mark
    returned: bool = False


@frozen(slots=True)
class Deliver:
    """Deliver a packet to the backend server beside this agent."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class SendToCaller:
    """Send a backend server's packet to the caller."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class SendReset:
    """Answer a caller's packet with a reset."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class SendNotice:
    """Send a notice to another balancer or agent."""

    address: int
    body: NoticeBody


@frozen(slots=True)
class LogEvent:
    """Log an event and count it."""

    event: str
    fields: dict[str, Any] = field(factory=dict)


@frozen(slots=True)
class Observe:
    """Record a value in the histogram of a metric and service."""

    metric: str
    service: str
    value: float


Effect = Forward | Deliver | SendToCaller | SendReset | SendNotice | LogEvent | Observe
Effects = list[Effect]

"""Define what the steering decisions ask their caller to do."""

from typing import Any

from attrs import field, frozen

from fescueseam.handshake.notices import NoticeBody
from fescueseam.handshake.segments import Mark, Segment


@frozen(slots=True)
class Forward:
    """Hand a packet to another process of the system."""

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
    """Forward a backend server's packet to its caller."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class SendReset:
    """Answer a caller's packet with a reset."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class SendNotice:
    """Send a notice to another process of the system."""

    address: int
    body: NoticeBody


@frozen(slots=True)
class LogEvent:
    """Write a line of the log and count it."""

    event: str
    fields: dict[str, Any] = field(factory=dict)


@frozen(slots=True)
class Observe:
    """Record a value in a histogram of a service."""

    metric: str
    service: str
    value: float


Effect = Forward | Deliver | SendToCaller | SendReset | SendNotice | LogEvent | Observe
Effects = list[Effect]

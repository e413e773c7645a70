"""Define what the steering decisions ask their caller to do."""

from typing import Any

from attrs import field, frozen

from fescueseam.handshake.notices import Body
from fescueseam.handshake.segments import Mark, Segment


@frozen(slots=True)
class Hand:
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
class Answer:
    """Forward a backend server's packet to its caller."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class Reset:
    """Answer a caller's packet with a reset."""

    segment: Segment = field(repr=False)


@frozen(slots=True)
class Tell:
    """Send a notice to another process of the system."""

    address: int
    body: Body


@frozen(slots=True)
class Note:
    """Write a line of the log and count it."""

    event: str
    fields: dict[str, Any] = field(factory=dict)


@frozen(slots=True)
class Observe:
    """Record a value in a histogram of a service."""

    measure: str
    service: str
    value: float


Effect = Hand | Deliver | Answer | Reset | Tell | Note | Observe
Effects = list[Effect]

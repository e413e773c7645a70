"""Define what a decision asks its caller to do."""

from enum import StrEnum

from attrs import field, frozen

from fescueseam.conf.models import ServiceClass
from fescueseam.exceptions import ErrorKind
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Message
from fescueseam.packets.ip import Packet


@frozen
class Send:
    """Send a message to the control port of a process."""

    address: str
    port: int
    message: Message


@frozen
class Deliver:
    """Hand a packet to the backend server beside this agent."""

    flow: FlowKey
    service_class: ServiceClass
    packet: Packet = field(repr=False)
    opening: bool = False


@frozen
class Refuse:
    """Refuse an opening packet in the caller's protocol; nothing has run."""

    kind: ErrorKind
    service_class: ServiceClass
    packet: Packet = field(repr=False)


@frozen
class Drop:
    """Drop a packet or message and count the kind."""

    kind: ErrorKind
    class_name: str = ""


@frozen
class CloseFlow:
    """Close what the daemon keeps for a flow."""

    flow: FlowKey


@frozen
class Probe:
    """Ask the backend server beside this agent for its load now."""


class Metric(StrEnum):
    """Name what is observed for each service and class."""

    OPENING_S = "opening_seconds"
    WAIT_S = "wait_seconds"
    FLOW_LIFE_S = "flow_life_seconds"
    ATTEMPTS = "placement_attempts"


@frozen
class Observe:
    """Record a value in a histogram of a class."""

    metric: Metric
    value: float
    class_name: str


Effect = Send | Deliver | Refuse | Drop | CloseFlow | Probe | Observe
Effects = list[Effect]

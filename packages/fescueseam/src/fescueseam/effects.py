"""Define the actions that decisions return to their caller."""

from enum import StrEnum

from attrs import field, frozen

from fescueseam.conf.models import ServiceClass
from fescueseam.exceptions import ErrorKind
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Message
from fescueseam.packets.ip import Packet


@frozen
class Send:
    """A message to send to the control port of a process."""

    address: str
    port: int
    message: Message


@frozen
class Deliver:
    """A packet to deliver to the backend server beside this agent."""

    flow: FlowKey
    service_class: ServiceClass
    packet: Packet = field(repr=False)
    opening: bool = False


@frozen
class Refuse:
    """An opening packet to refuse in the caller's protocol; its request has not run."""

    kind: ErrorKind
    service_class: ServiceClass
    packet: Packet = field(repr=False)


@frozen
class Drop:
    """A packet or message to drop and to count under its error kind."""

    kind: ErrorKind
    class_name: str = ""


@frozen
class CloseFlow:
    """A flow that has ended and whose state in the daemon is to be closed."""

    flow: FlowKey


@frozen
class Probe:
    """A load query to send to the backend server beside this agent now."""


class Metric(StrEnum):
    """Histograms that are recorded for each service and class."""

    OPENING_S = "opening_seconds"
    """Time from an opening packet until its delivery is confirmed, in seconds."""
    WAIT_S = "wait_seconds"
    """Time that an opening waited before it was refused, in seconds."""
    FLOW_LIFE_S = "flow_life_seconds"
    """Time from the delivery of an opening to the end of its flow, in seconds."""
    ATTEMPTS = "placement_attempts"
    """Number of candidates that were offered an opening until it was delivered."""


@frozen
class Observe:
    """A value to record in a histogram, labelled with a class."""

    metric: Metric
    value: float
    class_name: str


Effect = Send | Deliver | Refuse | Drop | CloseFlow | Probe | Observe
Effects = list[Effect]

"""Record what happens in the simulation, for the checks."""

from collections import Counter

from attrs import define, field, frozen

from fescueseam.effects import Observe


@frozen
class Delivery:
    """Packet that an agent delivered to its backend server."""

    time: float
    agent: str
    service: str
    data_centre: str
    call_id: int
    packet_number: int


@frozen
class Refusal:
    """Refusal, with the number of runs of the call up to then."""

    time: float
    process: str
    call_id: int
    kind: str
    runs: int


@frozen
class Event:
    """Action of an operator, or a failure."""

    time: float
    verb: str
    subject: str


@define(eq=False)
class Journal:
    """Record of a simulation run, read by the checks."""

    events: list[Event] = field(factory=list)
    openings: list[Delivery] = field(factory=list)
    misdelivered: list[Delivery] = field(factory=list)
    last_delivered_at: dict[str, float] = field(factory=dict)
    """Time of the last delivery into each data centre."""
    deliveries_while_out: list[Delivery] = field(factory=list)
    """Deliveries into a data centre while it was out."""
    refusals: list[Refusal] = field(factory=list)
    observations: list[Observe] = field(factory=list)
    message_counts: Counter[str] = field(factory=Counter)

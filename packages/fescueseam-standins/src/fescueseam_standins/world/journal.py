"""Note what happened in the world, for the checks."""

from collections import Counter

from attrs import define, field, frozen

from fescueseam.effects import Observe


@frozen
class Delivery:
    """Note one packet that an agent handed to its backend server."""

    time: float
    agent: str
    service: str
    data_centre: str
    call_id: int
    packet_number: int


@frozen
class Refusal:
    """Note one refusal, and how often the call had run by then."""

    time: float
    process: str
    call_id: int
    kind: str
    runs: int


@frozen
class Event:
    """Note one thing that operators or a failure did."""

    time: float
    verb: str
    subject: str


@define(eq=False)
class Journal:
    """Hold what happened, for the checks."""

    events: list[Event] = field(factory=list)
    openings: list[Delivery] = field(factory=list)
    misdelivered: list[Delivery] = field(factory=list)
    last_delivered_at: dict[str, float] = field(factory=dict)
    """Tell for each data centre when a packet was last delivered into it."""
    deliveries_while_out: list[Delivery] = field(factory=list)
    """List deliveries into a data centre that is out."""
    refusals: list[Refusal] = field(factory=list)
    observations: list[Observe] = field(factory=list)
    message_counts: Counter[str] = field(factory=Counter)

"""Notices that balancers and agents send each other."""

from enum import IntEnum

from attrs import frozen

from fescueseam.handshake.member import Identity, Load
from fescueseam.handshake.outages import NO_OUTAGE, Outage
from fescueseam.handshake.segments import FlowId


class Holding(IntEnum):
    """Whether an agent's backend server holds a flow."""

    NO = 0
    YES = 1
    UNSURE = 2
    """Not known: the agent started after its backend server and has not seen the flow since. A
    balancer's reply uses it with the name of the agent that the balancer remembers."""
    HALF_OPEN = 3
    """The opening packet was delivered; the handshake is not complete."""
    WAITING = 4
    """The opening packet waits at the agent for a free slot and was not delivered."""


@frozen
class Report:
    """Identity, load and configuration state of the sender."""

    identity: Identity
    load: Load
    rules_version: int = 0
    outage: Outage = NO_OUTAGE
    cold_bounds: tuple[tuple[str, float], ...] = ()
    """Largest number of openings per second for a cold backend server, by service."""
    known_members: tuple[Identity, ...] = ()
    """Members that a balancer considers reachable; named only on request."""
    requests_report: bool = False
    """Whether the receiver should reply with a report."""
    requests_members: bool = False
    """Whether the reply should name the members that the receiver knows."""
    outage_held_s: float = 0.0
    """Time for which the held data centres of the outage stay out, in seconds."""
    member_count: int = 0
    """Number of members that a balancer knows, itself included; 0 if the store has had one era."""


@frozen
class Locate:
    """Asks an agent whether its backend server holds a flow, or a balancer which agent holds it."""

    flow: FlowId
    service: str


@frozen
class Located:
    """Reply to a Locate; also sent without one when an opening packet is delivered."""

    flow: FlowId
    holding: Holding
    agent: str = ""
    """Name of the agent that a balancer remembers for the flow; empty in an agent's reply."""


@frozen
class LocateBatch:
    """Asks an agent about several flows of one service."""

    flows: tuple[FlowId, ...]
    service: str


@frozen
class LocatedBatch:
    """Reply to a LocateBatch, with an answer for each of its flows."""

    answers: tuple[Located, ...]


@frozen
class HomeHandover:
    """Homes of flows that a stopping balancer hands over to a neighbouring one."""

    homes: tuple[Located, ...]


NoticeBody = Report | Locate | Located | LocateBatch | LocatedBatch | HomeHandover


@frozen
class Notice:
    """One notice with its sender."""

    sender: str
    incarnation: int
    sequence: int
    body: NoticeBody

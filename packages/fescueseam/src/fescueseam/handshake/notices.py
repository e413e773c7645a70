"""Define the notices that balancers and agents send each other."""

from enum import IntEnum

from attrs import frozen

from fescueseam.handshake.members import Identity, Load
from fescueseam.handshake.rules import NO_OUTAGE, Outage
from fescueseam.handshake.segments import FlowId


class Holding(IntEnum):
    """Tell whether an agent's backend server holds a flow."""

    NO = 0
    YES = 1
    UNSURE = 2
    """The agent started after its backend server and has not seen the flow since."""
    HALF_OPEN = 3
    """The opening packet was delivered; the caller has not answered yet."""


@frozen
class Report:
    """Say who the sender is, how it is and what it has in force."""

    identity: Identity
    load: Load
    rules_version: int = 0
    outage: Outage = NO_OUTAGE
    cold_bounds: tuple[tuple[str, float], ...] = ()
    """List services with the openings a second that a cold backend server bears."""
    known_members: tuple[Identity, ...] = ()
    """List members that the sender has heard lately."""
    requests_report: bool = False
    """Ask for a full report in return."""


@frozen
class Locate:
    """Ask an agent whether its backend server holds a flow, or a balancer where it is."""

    flow: FlowId
    service: str


@frozen
class Located:
    """Answer a Locate, or say unasked that an opening packet was delivered."""

    flow: FlowId
    holding: Holding
    agent: str = ""
    """Name the agent where the sender, a balancer, remembers the flow."""


NoticeBody = Report | Locate | Located


@frozen
class Notice:
    """Hold one notice with its sender."""

    sender: str
    incarnation: int
    sequence: int
    body: NoticeBody

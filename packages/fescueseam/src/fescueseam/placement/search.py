"""State of a recorder: searches for homes, known homes and loads of members."""

from enum import Enum

from attrs import define, field, frozen

from fescueseam.conf.models import ServiceClass
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Load
from fescueseam.packets.ip import FlowPhase, Packet

QUEUED_PACKETS_LIMIT = 8
"""Most packets queued for one flow until its home is known."""


class SearchStage(Enum):
    """The stage of the search for the home of a flow."""

    ASKING = "asking"
    """The members are asked whether they hold the flow."""
    PLACING = "placing"
    """The opening is offered to a candidate."""
    WAITING = "waiting"
    """Every candidate is full; the search waits for a free slot."""
    UNRESOLVED = "unresolved"
    """A candidate may have delivered the opening but has not answered."""


@frozen
class FlowHome:
    """The member that holds a flow."""

    member: str
    incarnation: int
    repeatable: bool = True


@define(eq=False)
class HomeSearch:
    """The search for the home of one flow."""

    flow: FlowKey
    service_class: ServiceClass
    packet: Packet
    phase: FlowPhase
    started: float
    stage: SearchStage = SearchStage.ASKING
    claim: int = 0
    """Number of the claim that needs a majority of the row's members; 0 if none is needed."""
    unanswered: set[str] = field(factory=set)
    """Members that have not answered yet."""
    granted_by: set[str] = field(factory=set)
    majority: int = 0
    attempt: int = 0
    """Number that identifies the current offer."""
    attempt_count: int = 0
    """Number of offers so far."""
    candidate: str = ""
    rejected_by: set[str] = field(factory=set)
    may_have_run: bool = False
    """Whether the flow may run although no candidate confirmed it; it is not refused then."""
    barred: bool = False
    """Whether another recorder may have refused the flow; it is not placed then."""
    last_sent: float = 0.0
    resends: int = 0
    queue: list[Packet] = field(factory=list)

    def enqueue(self, packet: Packet) -> bool:
        """Queue a later packet of the flow; return whether there was room."""
        if len(self.queue) >= QUEUED_PACKETS_LIMIT:
            return False
        self.queue.append(packet)
        return True


@define
class PeerLoad:
    """The last load received from a member."""

    load: Load = field(factory=Load)
    full_until: float = 0.0
    """Until when the member counts as full."""

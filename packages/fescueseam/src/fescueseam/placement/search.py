"""Hold what a recorder knows of a flow."""

from enum import Enum

from attrs import define, field, frozen

from fescueseam.conf.models import ServiceClass
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Load
from fescueseam.packets.ip import FlowPhase, Packet

QUEUED_PACKETS_LIMIT = 8
"""Bound the packets kept for one flow until its home is known."""


class SearchStage(Enum):
    """Tell how far the search for a flow's home has come."""

    ASKING = "asking"
    PLACING = "placing"
    WAITING = "waiting"
    UNRESOLVED = "unresolved"
    """Wait for the answer of a candidate that may have delivered the opening."""


@frozen
class FlowHome:
    """Name the member that holds a flow."""

    member: str
    incarnation: int
    repeatable: bool = True


@define(eq=False)
class HomeSearch:
    """Hold the search for the home of one flow."""

    flow: FlowKey
    service_class: ServiceClass
    packet: Packet
    phase: FlowPhase
    started: float
    stage: SearchStage = SearchStage.ASKING
    claim: int = 0
    """Number the claim on a majority of the row's members; zero needs none."""
    unanswered: set[str] = field(factory=set)
    """Name the members that have not answered the ask."""
    granted_by: set[str] = field(factory=set)
    majority: int = 0
    attempt: int = 0
    attempt_count: int = 0
    candidate: str = ""
    rejected_by: set[str] = field(factory=set)
    may_have_run: bool = False
    """Tell that the flow may run although no candidate said so; it is not refused then."""
    barred: bool = False
    """Tell that another recorder may have refused the flow; it is not placed then."""
    last_sent: float = 0.0
    resends: int = 0
    queue: list[Packet] = field(factory=list)

    def enqueue(self, packet: Packet) -> bool:
        """Keep a later packet of the flow; return whether there was room."""
        if len(self.queue) >= QUEUED_PACKETS_LIMIT:
            return False
        self.queue.append(packet)
        return True


@define
class PeerLoad:
    """Hold the last load heard from a member."""

    load: Load = field(factory=Load)
    heard: float = 0.0
    full_until: float = 0.0
    """Take the member for full until this time."""

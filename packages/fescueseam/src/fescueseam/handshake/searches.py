"""Find the agent that holds a flow which this balancer does not know."""

from attrs import define, field

from fescueseam.handshake.notices import Holding
from fescueseam.handshake.segments import FlowId, Segment

HINT_TIMEOUT_S = 0.02
"""Wait this long for the balancers of the own data centre, in seconds, before agents are asked."""
LOCATE_RETRY_INTERVAL_S = 0.08
"""Ask agents that have not answered again after this time, in seconds."""
LOCATE_ROUNDS_LIMIT = 3
"""Ask this many times; a caller sends its packet again after about as long."""
BUFFERED_SEGMENTS_LIMIT = 17
"""Keep this many packets of one flow: a whole window and an opening packet."""
SEARCHES_LIMIT = 4096
"""Bound the searches under way; the packets beyond it are dropped and come again."""


@define(eq=False)
class HomeSearch:
    """Hold one question, first to the balancers nearby and then to the agents of a service."""

    flow: FlowId
    services: tuple[str, ...]
    started_at: float
    next_round_at: float
    excluded_agent: str = ""
    """Name an agent that has just denied the flow."""
    pending_hints: set[str] = field(factory=set)
    """Name the balancers that have not said yet whether they remember the flow."""
    is_checking_hint: bool = False
    """Tell that only the agent named by a balancer was asked so far."""
    answers: dict[str, Holding | None] = field(factory=dict)
    """Hold the answer of each agent by name; None until it comes."""
    unreachable_agents: frozenset[str] = frozenset()
    """Name the agents that were asked although they are taken for gone: reports may be lost."""
    rounds: int = 1
    probe_target: str = ""
    """Name the agent that is being tried with the packet itself."""
    probed_agents: set[str] = field(factory=set)
    segments: list[Segment] = field(factory=list)

    def buffer_segment(self, segment: Segment) -> None:
        """Keep a packet until the home is known; one beyond the bound is sent again anyway."""
        if len(self.segments) < BUFFERED_SEGMENTS_LIMIT:
            self.segments.append(segment)

    def list_pending_agents(self) -> list[str]:
        """Return the agents that have not answered."""
        return [name for name, holding in self.answers.items() if holding is None]

    def find_probe_candidate(self) -> str | None:
        """Return an agent that may hold the flow and was not tried yet."""
        for name, holding in self.answers.items():
            if holding is Holding.UNSURE and name not in self.probed_agents:
                return name
        return None

    def has_only_openings(self) -> bool:
        """Tell whether every packet kept is an opening one."""
        return all(segment.opens for segment in self.segments)

"""State of the searches for the agents that hold unknown flows."""

from attrs import define, field

from fescueseam.handshake.notices import Holding
from fescueseam.handshake.segments import FlowId, Segment

HINT_TIMEOUT_S = 0.02
"""Longest time to wait for the neighbouring balancers, and then for the agent that one of them
names, in seconds."""
LOCATE_RETRY_INTERVAL_S = 0.08
"""Interval at which agents that have not answered are asked again, in seconds."""
LOCATE_ROUNDS_LIMIT = 3
"""Largest number of rounds in which agents are asked. A caller retransmits its packet after about
the time that they take."""
BUFFERED_SEGMENTS_LIMIT = 17
"""Largest number of packets buffered for one flow: a full window and an opening packet."""
BUFFERED_SEGMENTS_IN_ALL_LIMIT = 8192
"""Largest number of packets buffered for all flows: some 12 MB of full packets. Beyond it each
search keeps one packet, and callers retransmit the others."""
SEARCHES_LIMIT = 4096
"""Largest number of searches in progress; packets of further flows are dropped, and callers
retransmit them."""


@define(eq=False)
class HomeSearch:
    """The search for one flow's home, first among neighbouring balancers and then among agents."""

    flow: FlowId
    services: tuple[str, ...]
    started_at: float
    next_round_at: float
    """Time at which missing answers are overdue."""
    excluded_agent: str = ""
    """Name of an agent that has just returned a packet of the flow; empty if there is none."""
    pending_hints: set[str] = field(factory=set)
    """Names of the neighbouring balancers that have not answered yet."""
    is_checking_hint: bool = False
    """Whether only the agent that a balancer named has been asked so far."""
    answers: dict[str, Holding | None] = field(factory=dict)
    """Answer of each agent that was asked, by name; None while it is missing."""
    unreachable_agents: frozenset[str] = frozenset()
    """Names of the agents that were asked although they seem unreachable: their reports may be lost
    while their backend servers are alive."""
    departed_agents: frozenset[str] = frozenset()
    """Names of the agents whose last report says that they have no backend server. Their answers
    are waited for in the first round only."""
    rounds: int = 0
    """Number of rounds in which agents have been asked."""
    is_widened: bool = False
    """Whether the agents with unknown flows, of whichever service, have been asked too."""
    waits_for_budget: bool = False
    """Whether the next round waits because too many questions were sent lately."""
    probe_target: str = ""
    """Name of the agent whose backend server is being probed with the first buffered packet; empty
    if there is none."""
    probed_agents: set[str] = field(factory=set)
    """Names of all agents that were probed."""
    segments: list[Segment] = field(factory=list)
    """Packets that wait for the home, in order of arrival."""

    def buffer_segment(self, segment: Segment) -> bool:
        """Buffer a packet until the home is known; return whether there was room for it."""
        has_room = len(self.segments) < BUFFERED_SEGMENTS_LIMIT
        if has_room:
            self.segments.append(segment)
        return has_room

    def list_pending_agents(self) -> list[str]:
        """Return the names of the agents that have not answered."""
        return [name for name, holding in self.answers.items() if holding is None]

    def has_pending_agents(self) -> bool:
        """Return whether an agent has not answered."""
        return None in self.answers.values()

    def has_rounds_left(self) -> bool:
        """Return whether agents that have not answered are asked again."""
        return self.rounds < LOCATE_ROUNDS_LIMIT and any(
            holding is None and name not in self.departed_agents
            for name, holding in self.answers.items()
        )

    def record_answer(self, agent_name: str, holding: Holding, is_undecided: bool) -> None:
        """Record an agent's first answer; ask one that is undecided again while rounds are left."""
        if self.answers[agent_name] is None and not (
            is_undecided and self.rounds < LOCATE_ROUNDS_LIMIT
        ):
            self.answers[agent_name] = holding

    def list_denying_agents(self) -> frozenset[str]:
        """Return the names of the agents that do not hold the flow."""
        return frozenset(name for name, item in self.answers.items() if item is Holding.NO)

    def list_missing_agents(self) -> list[str]:
        """Return the names of the agents that may hold the flow and have not answered."""
        optional = self.unreachable_agents | self.departed_agents
        return [name for name in self.list_pending_agents() if name not in optional]

    def find_probe_candidate(self) -> str | None:
        """Return the name of an agent that may hold the flow and has not been probed, if any."""
        for name, holding in self.answers.items():
            if holding is Holding.UNSURE and name not in self.probed_agents:
                return name
        return None

    def has_only_openings(self) -> bool:
        """Return whether all buffered packets are openings."""
        return all(segment.opens for segment in self.segments)

"""Selection of the agent that an opening is offered to next."""

from collections.abc import Callable

from attrs import define, field

from fescueseam.handshake.choice import choose_agent, list_eligible
from fescueseam.handshake.member import Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.openings import PendingOpening
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.segments import FlowId
from fescueseam.overload.admission import limit_priority
from fescueseam.overload.remote import RemotePreference
from fescueseam.overload.reserve import ServerReserves


@define(eq=False)
class AgentSelector:
    """Selects among the agents that are not kept free for a higher class."""

    fleet: Fleet
    configuration: ActiveConfiguration
    get_remote_penalty_s: Callable[[], float]
    reserves: ServerReserves = field(factory=ServerReserves)
    remote: RemotePreference = field(init=False)

    def __attrs_post_init__(self) -> None:
        own = self.fleet.own
        self.remote = RemotePreference(own.name, own.data_centre)

    def choose(
        self, opening: PendingOpening, flow: FlowId, excluded: set[str], now: float
    ) -> Member | None:
        """Return the agent to offer an opening to; None if no agent is eligible."""
        reserved = self.find_reserved(opening, flow, now)
        opening.kept_free = len(reserved)
        return self._choose_any(opening, flow, excluded | reserved, now)

    def find_reserved(self, opening: PendingOpening, flow: FlowId, now: float) -> set[str]:
        """Return the agents that are kept free of the class of a flow."""
        needs = self.configuration.find_needs(flow)
        if needs is None:
            return set()
        service, priority = opening.service, limit_priority(needs.priority)
        if not self.reserves.compute_share(service, priority, now):
            return set()
        agents = [item.identity.name for item in self.fleet.list_agents((service,))]
        reserved = self.reserves.select_reserved(service, priority, agents, now)
        # Where no other agent is eligible, the class would get nothing at all.
        has_other = list_eligible(self.fleet, self.configuration, service, reserved, now)
        return reserved if has_other else set()

    def _choose_any(
        self, opening: PendingOpening, flow: FlowId, excluded: set[str], now: float
    ) -> Member | None:
        # An opening that asks to wait goes to agents that had a free slot lately: they shorten its
        # wait, and those without one were asked by others.
        may_wait = opening.can_wait and self.configuration.find_needs(flow) is not None
        compares_queues = opening.even_if_busy and not may_wait
        member = self._choose(opening, flow, excluded, compares_queues, now)
        if member is None and opening.even_if_busy and may_wait:
            # Only servers that are set aside for their speed are left; their room counts now.
            member = self._choose(opening, flow, excluded, True, now)
        return member

    def _choose(
        self,
        opening: PendingOpening,
        flow: FlowId,
        excluded: set[str],
        compares_queues: bool,
        now: float,
    ) -> Member | None:
        return choose_agent(
            self.fleet,
            self.configuration,
            opening.service,
            excluded,
            now,
            self.get_remote_penalty_s(),
            self.remote,
            flow[2:],
            compares_queues,
        )

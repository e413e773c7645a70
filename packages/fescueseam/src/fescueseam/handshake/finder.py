"""Ask the agents of a service which of them holds a flow."""

from collections.abc import Callable

from attrs import define, field

from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendNotice
from fescueseam.handshake.members import Fleet, Member, compute_service_tag
from fescueseam.handshake.notices import Holding, Locate, Located
from fescueseam.handshake.searches import (
    HINT_TIMEOUT_S,
    LOCATE_RETRY_INTERVAL_S,
    LOCATE_ROUNDS_LIMIT,
    SEARCHES_LIMIT,
    HomeSearch,
)
from fescueseam.handshake.segments import FlowId, Mark, Purpose, Segment, format_flow

FoundHandler = Callable[[HomeSearch, Member, Holding, float], Effects]
"""Return what follows once an agent holds the flow."""
NotFoundHandler = Callable[[HomeSearch, float], Effects]
"""Return what follows once no agent is left to ask."""


@define(eq=False)
class HomeFinder:
    """Hold the searches under way and end each with one of two outcomes."""

    fleet: Fleet
    on_found: FoundHandler
    on_not_found: NotFoundHandler
    searches: dict[FlowId, HomeSearch] = field(factory=dict)

    def start(
        self,
        flow: FlowId,
        services: tuple[str, ...],
        segment: Segment,
        excluded_agent: str,
        now: float,
    ) -> Effects:
        """Ask who may know a flow, except an agent that has just denied it.

        Flows move between the balancers of a data centre whenever one of them starts or ends, so
        these are asked first: they are few, and agents are many.
        """
        if len(self.searches) >= SEARCHES_LIMIT:
            return [
                LogEvent("packet-dropped", {"flow": format_flow(flow), "reason": "searches-full"})
            ]
        search = HomeSearch(flow, services, now, now + HINT_TIMEOUT_S, excluded_agent)
        search.buffer_segment(segment)
        self.searches[flow] = search
        neighbours = self.fleet.list_neighbours(now)
        search.pending_hints = {member.identity.name for member in neighbours}
        if not neighbours:
            return self._ask_agents(search, now)
        body = Locate(flow, services[0])
        return [SendNotice(member.identity.address, body) for member in neighbours]

    def handle_located(self, name: str, body: Located, now: float) -> Effects:
        """Take the answer of an agent or of a balancer nearby."""
        search = self.searches.get(body.flow)
        if search is not None and name in search.pending_hints:
            return self._handle_hint(search, name, body, now)
        if search is None or name not in search.answers:
            return []
        if body.holding in (Holding.YES, Holding.HALF_OPEN):
            member = self.fleet.find(name)
            if member is None:
                return []
            del self.searches[search.flow]
            return self.on_found(search, member, body.holding, now)
        if search.answers[name] is None:
            search.answers[name] = body.holding
        if search.is_checking_hint:
            return self._ask_agents(search, now)
        return self._advance(search, now)

    def handle_returned_packet(self, flow: FlowId, name: str, now: float) -> Effects:
        """Take back the packet that an agent was tried with."""
        search = self.searches[flow]
        if search.probe_target != name:
            return []
        search.probe_target = ""
        search.answers[name] = Holding.NO
        return self._advance(search, now)

    def tick(self, now: float) -> Effects:
        """Ask again or give up where answers are overdue."""
        effects: Effects = []
        for search in list(self.searches.values()):
            if now >= search.next_round_at:
                effects += self._handle_timeout(search, now)
        return effects

    def _handle_hint(self, search: HomeSearch, name: str, body: Located, now: float) -> Effects:
        search.pending_hints.discard(name)
        member = self.fleet.find(body.agent) if body.agent != search.excluded_agent else None
        if member is None or self.fleet.is_unreachable(member, now):
            return [] if search.pending_hints else self._ask_agents(search, now)
        if search.has_only_openings():
            del self.searches[search.flow]
            return self.on_found(search, member, body.holding, now)
        # The balancer may remember an earlier home, and packets must not go to a wrong server.
        search.pending_hints.clear()
        search.is_checking_hint = True
        search.next_round_at = now + HINT_TIMEOUT_S
        search.answers[member.identity.name] = None
        return self._send_locate(search, [member.identity.name])

    def _ask_agents(self, search: HomeSearch, now: float) -> Effects:
        search.pending_hints.clear()
        search.is_checking_hint = False
        search.next_round_at = now + LOCATE_RETRY_INTERVAL_S
        if search.has_only_openings():
            # Nobody nearby has offered it; a second half-open flow elsewhere does no harm.
            return self._report_not_found(search, now)
        gone = set()
        for member in self.fleet.list_agents(search.services):
            name = member.identity.name
            is_gone = self.fleet.is_unreachable(member, now)
            if name == search.excluded_agent or (is_gone and not member.has_reported_backend()):
                continue
            search.answers.setdefault(name, None)
            if is_gone:
                # Its server may live while its reports are lost.
                gone.add(name)
        search.unreachable_agents = frozenset(gone)
        silent = search.list_pending_agents()
        return self._send_locate(search, silent) if silent else self._advance(search, now)

    def _send_locate(self, search: HomeSearch, names: list[str]) -> Effects:
        effects: Effects = []
        for name in names:
            member = self.fleet.find(name)
            if member is not None:
                body = Locate(search.flow, member.identity.service)
                effects.append(SendNotice(member.identity.address, body))
        return effects

    def _handle_timeout(self, search: HomeSearch, now: float) -> Effects:
        if search.pending_hints or search.is_checking_hint:
            return self._ask_agents(search, now)
        search.next_round_at = now + LOCATE_RETRY_INTERVAL_S
        if search.rounds < LOCATE_ROUNDS_LIMIT and not search.probe_target:
            search.rounds += 1
            return self._send_locate(search, search.list_pending_agents())
        if search.probe_target:
            search.answers[search.probe_target] = None
            search.probe_target = ""
            if search.find_probe_candidate() is not None:
                return self._advance(search, now)
        elif search.find_probe_candidate() is not None:
            return self._probe_next(search)
        return self._report_not_found(search, now)

    def _advance(self, search: HomeSearch, now: float) -> Effects:
        if search.list_pending_agents() and search.rounds < LOCATE_ROUNDS_LIMIT:
            return []
        if search.probe_target:
            return []
        if search.find_probe_candidate() is not None:
            return self._probe_next(search)
        return self._report_not_found(search, now)

    def _probe_next(self, search: HomeSearch) -> Effects:
        name = search.find_probe_candidate()
        member = None if name is None else self.fleet.find(name)
        if name is None or member is None:
            return []
        search.probe_target = name
        search.probed_agents.add(name)
        mark = Mark(
            Purpose.PROBE, compute_service_tag(member.identity.service), self.fleet.own.address
        )
        return [Forward(member.identity.address, search.segments[0], mark)]

    def _report_not_found(self, search: HomeSearch, now: float) -> Effects:
        del self.searches[search.flow]
        return self.on_not_found(search, now)

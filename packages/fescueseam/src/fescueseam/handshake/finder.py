"""Ask the agents of a service which of them holds a flow."""

from collections.abc import Callable

from attrs import define, field

from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendNotice
from fescueseam.handshake.members import Fleet, Member, compute_service_tag
from fescueseam.handshake.notices import Holding, Locate, Located
from fescueseam.handshake.searches import (
    ASK_INTERVAL_S,
    ASK_LIMIT,
    HINT_TIMEOUT_S,
    SEARCHES_LIMIT,
    Search,
)
from fescueseam.handshake.segments import FlowId, Mark, Purpose, Segment, format_flow

Found = Callable[[Search, Member, Holding, float], Effects]
"""Return what follows once an agent holds the flow."""
Missing = Callable[[Search, float], Effects]
"""Return what follows once no agent is left to ask."""


@define(eq=False)
class Finder:
    """Hold the searches under way and end each with one of two outcomes."""

    fleet: Fleet
    found: Found
    missing: Missing
    searches: dict[FlowId, Search] = field(factory=dict)

    def start(
        self, flow: FlowId, services: tuple[str, ...], segment: Segment, exclude: str, now: float
    ) -> Effects:
        """Ask who may know a flow, except an agent that has just denied it.

        Flows move between the balancers of a data centre whenever one of them starts or ends, so
        these are asked first: they are few, and agents are many.
        """
        if len(self.searches) >= SEARCHES_LIMIT:
            return [
                LogEvent("packet-dropped", {"flow": format_flow(flow), "reason": "searches-full"})
            ]
        search = Search(flow, services, now, now + HINT_TIMEOUT_S, exclude)
        search.keep(segment)
        self.searches[flow] = search
        neighbours = self.fleet.list_neighbours(now)
        search.hinting = {member.identity.name for member in neighbours}
        if not neighbours:
            return self._ask_agents(search, now)
        body = Locate(flow, services[0])
        return [SendNotice(member.identity.address, body) for member in neighbours]

    def handle_located(self, name: str, body: Located, now: float) -> Effects:
        """Take the answer of an agent or of a balancer nearby."""
        search = self.searches.get(body.flow)
        if search is not None and name in search.hinting:
            return self._take_hint(search, name, body, now)
        if search is None or name not in search.asked:
            return []
        if body.holding in (Holding.YES, Holding.HALF_OPEN):
            member = self.fleet.find(name)
            if member is None:
                return []
            del self.searches[search.flow]
            return self.found(search, member, body.holding, now)
        if search.asked[name] is None:
            search.asked[name] = body.holding
        if search.is_hinted:
            return self._ask_agents(search, now)
        return self._advance(search, now)

    def handle_return(self, flow: FlowId, name: str, now: float) -> Effects:
        """Take back the packet that an agent was tried with."""
        search = self.searches[flow]
        if search.probing != name:
            return []
        search.probing = ""
        search.asked[name] = Holding.NO
        return self._advance(search, now)

    def tick(self, now: float) -> Effects:
        """Ask again or give up where answers are overdue."""
        effects: Effects = []
        for search in list(self.searches.values()):
            if now >= search.next_ask:
                effects += self._ask_again(search, now)
        return effects

    def _take_hint(self, search: Search, name: str, body: Located, now: float) -> Effects:
        search.hinting.discard(name)
        member = self.fleet.find(body.agent) if body.agent != search.exclude else None
        if member is None or self.fleet.is_unreachable(member, now):
            return [] if search.hinting else self._ask_agents(search, now)
        if search.opens_only():
            del self.searches[search.flow]
            return self.found(search, member, body.holding, now)
        # The balancer may remember an earlier home, and packets must not go to a wrong server.
        search.hinting.clear()
        search.is_hinted = True
        search.next_ask = now + HINT_TIMEOUT_S
        search.asked[member.identity.name] = None
        return self._ask(search, [member.identity.name])

    def _ask_agents(self, search: Search, now: float) -> Effects:
        search.hinting.clear()
        search.is_hinted = False
        search.next_ask = now + ASK_INTERVAL_S
        if search.opens_only():
            # Nobody nearby has offered it; a second half-open flow elsewhere does no harm.
            return self._conclude(search, now)
        gone = set()
        for member in self.fleet.list_agents(search.services):
            name = member.identity.name
            is_gone = self.fleet.is_unreachable(member, now)
            if name == search.exclude or (is_gone and not member.has_reported_backend()):
                continue
            search.asked.setdefault(name, None)
            if is_gone:
                # Its server may live while its reports are lost.
                gone.add(name)
        search.gone = frozenset(gone)
        silent = search.list_silent()
        return self._ask(search, silent) if silent else self._advance(search, now)

    def _ask(self, search: Search, names: list[str]) -> Effects:
        effects: Effects = []
        for name in names:
            member = self.fleet.find(name)
            if member is not None:
                body = Locate(search.flow, member.identity.service)
                effects.append(SendNotice(member.identity.address, body))
        return effects

    def _ask_again(self, search: Search, now: float) -> Effects:
        if search.hinting or search.is_hinted:
            return self._ask_agents(search, now)
        search.next_ask = now + ASK_INTERVAL_S
        if search.asks < ASK_LIMIT and not search.probing:
            search.asks += 1
            return self._ask(search, search.list_silent())
        if search.probing:
            search.asked[search.probing] = None
            search.probing = ""
            if search.next_unsure() is not None:
                return self._advance(search, now)
        elif search.next_unsure() is not None:
            return self._probe(search)
        return self._conclude(search, now)

    def _advance(self, search: Search, now: float) -> Effects:
        if search.list_silent() and search.asks < ASK_LIMIT:
            return []
        if search.probing:
            return []
        if search.next_unsure() is not None:
            return self._probe(search)
        return self._conclude(search, now)

    def _probe(self, search: Search) -> Effects:
        name = search.next_unsure()
        member = None if name is None else self.fleet.find(name)
        if name is None or member is None:
            return []
        search.probing = name
        search.probed.add(name)
        mark = Mark(
            Purpose.PROBE, compute_service_tag(member.identity.service), self.fleet.own.address
        )
        return [Forward(member.identity.address, search.segments[0], mark)]

    def _conclude(self, search: Search, now: float) -> Effects:
        del self.searches[search.flow]
        return self.missing(search, now)

"""Ask the agents of a service which of them holds a flow."""

from collections.abc import Callable

from attrs import define, field

from fescueseam.steering.effects import Effects, Hand, Note, Tell
from fescueseam.steering.members import Fleet, Member, compute_tag
from fescueseam.steering.notices import Holding, Locate, Located
from fescueseam.steering.searches import ASK_INTERVAL_S, ASK_LIMIT, SEARCHES_LIMIT, Search
from fescueseam.steering.segments import FlowId, Mark, Purpose, Segment, format_flow

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
        """Ask every agent that may hold a flow, except one that has just denied it."""
        if len(self.searches) >= SEARCHES_LIMIT:
            return [Note("packet-dropped", {"flow": format_flow(flow), "reason": "searches-full"})]
        asked: dict[str, Holding | None] = {}
        gone = set()
        for member in self.fleet.list_agents(services):
            name = member.identity.name
            if name == exclude:
                continue
            if self.fleet.is_gone(member, now):
                # Its server may live while its reports are lost; a new flow does not wait for it.
                if segment.opens or not member.was_beside_server():
                    continue
                gone.add(name)
            asked[name] = None
        search = Search(flow, services, asked, now, now + ASK_INTERVAL_S, frozenset(gone))
        search.keep(segment)
        self.searches[flow] = search
        if not asked:
            return self._advance(search, now)
        return self._ask(search, list(asked))

    def handle_located(self, name: str, body: Located, now: float) -> Effects:
        """Take an agent's answer."""
        search = self.searches.get(body.flow)
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

    def _ask(self, search: Search, names: list[str]) -> Effects:
        effects: Effects = []
        for name in names:
            member = self.fleet.find(name)
            if member is not None:
                body = Locate(search.flow, member.identity.service)
                effects.append(Tell(member.identity.address, body))
        return effects

    def _ask_again(self, search: Search, now: float) -> Effects:
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
        mark = Mark(Purpose.PROBE, compute_tag(member.identity.service), self.fleet.own.address)
        return [Hand(member.identity.address, search.segments[0], mark)]

    def _conclude(self, search: Search, now: float) -> Effects:
        del self.searches[search.flow]
        return self.missing(search, now)

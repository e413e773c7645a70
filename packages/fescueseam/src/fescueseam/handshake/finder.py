"""Searches for the agents that hold unknown flows."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from fescueseam.handshake.containment import contain
from fescueseam.handshake.denials import DenialCache
from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendNotice
from fescueseam.handshake.hints import HintStatistics
from fescueseam.handshake.member import Availability, Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, Locate, Located
from fescueseam.handshake.questions import QuestionBudget, combine_questions
from fescueseam.handshake.searches import (
    BUFFERED_SEGMENTS_IN_ALL_LIMIT,
    HINT_TIMEOUT_S,
    LOCATE_RETRY_INTERVAL_S,
    SEARCHES_LIMIT,
    HomeSearch,
)
from fescueseam.handshake.segments import (
    FlowId,
    Mark,
    Purpose,
    Segment,
    compute_service_tag,
    format_flow,
)

FoundHandler = Callable[[HomeSearch, Member, Holding, float], Effects]
"""Handles a search whose home was found, given the home and its answer; returns the effects."""
NotFoundHandler = Callable[[HomeSearch, float], Effects]
"""Handles a search that ended without a home; returns the effects."""


@define(eq=False)
class HomeFinder:
    """The searches in progress; each ends with one call of `on_found` or `on_not_found`."""

    fleet: Fleet
    on_found: FoundHandler
    on_not_found: NotFoundHandler
    searches: dict[FlowId, HomeSearch] = field(factory=dict)
    buffered_segments: int = 0
    """Number of packets that wait for the end of a search."""
    budget: QuestionBudget = field(factory=QuestionBudget)
    denials: DenialCache = field(factory=DenialCache)
    hints: HintStatistics = field(factory=HintStatistics)
    _asked_in_tick: set[str] | None = None
    """Agents to which this tick sends a question anyway, so that more flows in it cost nothing;
    None outside ticks."""

    def start(
        self,
        flow: FlowId,
        services: tuple[str, ...],
        segment: Segment,
        excluded_agent: str,
        now: float,
        likely_agent: str = "",
    ) -> Effects:
        """Start the search for a flow's home; skip the agent that has just returned its packet.

        Neighbouring balancers are asked before agents: flows move between the balancers of a data
        centre whenever one of them starts or stops, and there are far fewer balancers than agents.
        """
        if len(self.searches) >= SEARCHES_LIMIT:
            return [
                LogEvent("packet-dropped", {"flow": format_flow(flow), "reason": "searches-full"})
            ]
        search = HomeSearch(flow, services, now, now + HINT_TIMEOUT_S, excluded_agent)
        self.searches[flow] = search
        self.buffer_segment(search, segment)
        likely = self.fleet.find(likely_agent) if likely_agent != excluded_agent else None
        if likely is not None and not segment.opens and not self.fleet.is_unreachable(likely, now):
            return self._check_hint(search, likely, now)
        denying_agents = self.denials.find(flow, segment.sequence, now)
        if denying_agents:
            search.answers = dict.fromkeys(denying_agents, Holding.NO)
            return self._ask_agents(search, now)
        neighbours = self._list_asked_neighbours(now) if self.hints.should_ask() else []
        if not neighbours or not self.budget.take(len(neighbours), now):
            return self._ask_agents(search, now)
        search.pending_hints = {member.identity.name for member in neighbours}
        body = Locate(flow, services[0])
        return [SendNotice(member.identity.address, body) for member in neighbours]

    def _list_asked_neighbours(self, now: float) -> list[Member]:
        # One that is behind would answer after the timeout.
        neighbours = self.fleet.list_neighbours(now)
        return [member for member in neighbours if not member.load.lagging] or neighbours

    def buffer_segment(self, search: HomeSearch, segment: Segment) -> None:
        """Let a packet wait for the end of the search for its flow, if there is room."""
        has_room = self.buffered_segments < BUFFERED_SEGMENTS_IN_ALL_LIMIT
        if not search.segments or has_room:
            self.buffered_segments += search.buffer_segment(segment)

    def handle_located(self, sender_name: str, body: Located, now: float) -> Effects:
        """Handle the answer of an agent or of a neighbouring balancer."""
        search = self.searches.get(body.flow)
        if search is not None and sender_name in search.pending_hints:
            return self._handle_hint(search, sender_name, body, now)
        if search is None or sender_name not in search.answers:
            return []
        is_waiting = body.holding is Holding.WAITING and search.has_only_openings()
        if body.holding in (Holding.YES, Holding.HALF_OPEN) or is_waiting:
            member = self.fleet.find(sender_name)
            if member is None:
                return []
            self.discard(search.flow)
            return self.on_found(search, member, body.holding, now)
        is_undecided = body.holding is Holding.UNSURE and self._is_starting(sender_name)
        search.record_answer(sender_name, body.holding, is_undecided)
        if search.is_checking_hint:
            return self._ask_agents(search, now)
        return [] if search.has_pending_agents() else self._advance(search, now)

    def handle_returned_packet(self, flow: FlowId, agent_name: str, now: float) -> Effects:
        """Handle the return of the packet with which an agent was probed."""
        search = self.searches[flow]
        if not search.probe_target or search.probe_target != agent_name:
            return []
        search.probe_target = ""
        search.answers[agent_name] = Holding.NO
        return self._advance(search, now)

    def tick(self, now: float, heard_until: float) -> Effects:
        """Ask, ask again, probe or give up in the searches whose time has come.

        Answers that arrived after `heard_until` may not have been read yet.
        """
        effects: Effects = []
        self._asked_in_tick = set()
        for search in list(self.searches.values()):
            if search.waits_for_budget or heard_until >= search.next_round_at:
                effects += contain(
                    "search-timeout",
                    partial(self._handle_timeout, search, now),
                    partial(self.discard, search.flow),
                )
        self._asked_in_tick = None
        return combine_questions(effects)

    def is_partitioned(self, search: HomeSearch, now: float) -> bool:
        """Return whether this balancer rather than half of the agents seems to be cut off."""
        agents = self.fleet.list_agents(search.services)
        unreachable_count = sum(1 for member in agents if self.fleet.is_unreachable(member, now))
        return 2 * unreachable_count >= len(agents)

    def discard(self, flow: FlowId) -> None:
        """End the search for a flow's home, if any."""
        search = self.searches.pop(flow, None)
        if search is not None:
            self.buffered_segments -= len(search.segments)

    def _handle_hint(
        self, search: HomeSearch, balancer_name: str, body: Located, now: float
    ) -> Effects:
        search.pending_hints.discard(balancer_name)
        member = self.fleet.find(body.agent) if body.agent != search.excluded_agent else None
        if member is None or self.fleet.is_unreachable(member, now):
            return [] if search.pending_hints else self._ask_agents_without_hint(search, now)
        self.hints.record(True)
        if search.has_only_openings():
            self.discard(search.flow)
            return self.on_found(search, member, body.holding, now)
        return self._check_hint(search, member, now)

    def _check_hint(self, search: HomeSearch, member: Member, now: float) -> Effects:
        # The hint may be stale, and packets must not reach a backend server without the flow, so
        # the agent is asked first.
        search.pending_hints.clear()
        search.is_checking_hint = True
        search.next_round_at = now + HINT_TIMEOUT_S
        search.answers[member.identity.name] = None
        return self._send_locate(search, [member.identity.name])

    def _ask_agents_without_hint(self, search: HomeSearch, now: float) -> Effects:
        self.hints.record(False)
        return self._ask_agents(search, now)

    def _is_starting(self, agent_name: str) -> bool:
        """Return whether an agent will soon know which flows its backend server holds.

        It has started without a server that is known from before, as after a loss of power. The
        first heartbeat tells it more cheaply than a probe for each flow does.
        """
        member = self.fleet.find(agent_name)
        return (
            member is not None
            and member.load.availability is Availability.UNKNOWN
            and not member.had_backend
        )

    def _ask_agents(self, search: HomeSearch, now: float) -> Effects:
        search.pending_hints.clear()
        search.is_checking_hint = False
        if search.has_only_openings():
            # No neighbouring balancer has offered the opening, so it is placed as a new one. If an
            # agent admitted an earlier copy, a second half-open flow elsewhere does no harm.
            return self._report_not_found(search, now)
        self._add_candidates(search, self.fleet.list_holders(search.services, search.flow[2:]), now)
        return self._ask_pending_agents(search, now) or self._advance(search, now)

    def _add_candidates(self, search: HomeSearch, members: list[Member], now: float) -> None:
        """Add agents that are to be asked; those that have answered are not asked again."""
        unreachable, departed = set(search.unreachable_agents), set(search.departed_agents)
        for member in members:
            name = member.identity.name
            is_unreachable = self.fleet.is_unreachable(member, now)
            if name == search.excluded_agent or (
                is_unreachable and not member.has_reported_backend()
            ):
                continue
            search.answers.setdefault(name, None)
            if is_unreachable:
                # The backend server may be alive while only the agent's reports are lost.
                unreachable.add(name)
            elif member.load.availability is Availability.LEFT:
                departed.add(name)
        search.unreachable_agents = frozenset(unreachable)
        search.departed_agents = frozenset(departed)

    def _widen(self, search: HomeSearch, now: float) -> Effects | None:
        """Ask the agents that may hold flows unknown to them; return None if there are none.

        Their backend servers may hold the flow from a time when its route had another service.
        """
        if search.is_widened or search.has_only_openings():
            return None
        search.is_widened = True
        known = len(search.answers)
        self._add_candidates(search, self.fleet.list_agents_with_unknown_flows(), now)
        if len(search.answers) == known:
            return None
        search.rounds = 0
        return self._ask_pending_agents(search, now)

    def _ask_pending_agents(self, search: HomeSearch, now: float) -> Effects:
        """Ask the agents that have not answered, or wait for the budget of questions."""
        names = search.list_pending_agents()
        unasked = set(names) - (self._asked_in_tick or set())
        search.waits_for_budget = not self.budget.take(len(unasked), now)
        if search.waits_for_budget:
            return []
        if self._asked_in_tick is not None:
            self._asked_in_tick |= unasked
        search.rounds += 1
        search.next_round_at = now + LOCATE_RETRY_INTERVAL_S
        return self._send_locate(search, names)

    def _send_locate(self, search: HomeSearch, agent_names: list[str]) -> Effects:
        effects: Effects = []
        for name in agent_names:
            member = self.fleet.find(name)
            if member is not None:
                body = Locate(search.flow, member.identity.service)
                effects.append(SendNotice(member.identity.address, body))
        return effects

    def _handle_timeout(self, search: HomeSearch, now: float) -> Effects:
        if search.pending_hints:
            return self._ask_agents_without_hint(search, now)
        if search.is_checking_hint:
            return self._ask_agents(search, now)
        if search.waits_for_budget or (search.has_rounds_left() and not search.probe_target):
            return self._ask_pending_agents(search, now)
        search.next_round_at = now + LOCATE_RETRY_INTERVAL_S
        if search.probe_target:
            search.answers[search.probe_target] = None
            search.probe_target = ""
            if search.find_probe_candidate() is not None:
                return self._advance(search, now)
        elif search.find_probe_candidate() is not None:
            return self._probe_next(search)
        return self._report_not_found(search, now)

    def _advance(self, search: HomeSearch, now: float) -> Effects:
        if search.probe_target or search.waits_for_budget or search.has_rounds_left():
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
        effects = self._widen(search, now)
        if effects is not None:
            return effects
        self.discard(search.flow)
        if not search.has_only_openings():
            sequence = search.segments[-1].sequence
            self.denials.record(search.flow, search.list_denying_agents(), sequence, now)
        for name in search.list_pending_agents():
            member = self.fleet.find(name)
            if member is not None and member.is_without_backend():
                # Its silence keeps flows from being reset; its machine may be gone.
                self.fleet.record_unanswered(name, now)
        return self.on_not_found(search, now)

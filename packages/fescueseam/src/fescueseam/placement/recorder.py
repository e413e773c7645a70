"""Find the homes of flows and place new flows."""

import itertools
from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from fescueseam.claims.registry import GRANT_LIFETIME_S, PACKET_LIFETIME_S, count_majority
from fescueseam.conf.models import ServiceClass
from fescueseam.effects import Drop, Effects, Metric, Observe, Refuse, Send
from fescueseam.exceptions import ErrorKind
from fescueseam.flows.expiring_set import ExpiringFlowSet
from fescueseam.flows.keys import FlowKey, compute_bucket
from fescueseam.messages import types
from fescueseam.packets.ip import FlowPhase, Packet, find_flow_phase
from fescueseam.placement.buckets import RecordedBuckets
from fescueseam.placement.choice import (
    FULL_MEMBER_BACKOFF_S,
    ChooseCandidate,
    choose_least_utilised,
)
from fescueseam.placement.home_cache import HomeCache
from fescueseam.placement.search import FlowHome, HomeSearch, PeerLoad, SearchStage
from fescueseam.routing.message_builder import MessageBuilder
from fescueseam.routing.table import Member, MemberState, Row
from fescueseam.routing.view import View

SEARCHES_LIMIT = 4096
REFUSALS_LIMIT = 16384
FIRST_RESEND_DELAY_S = 0.05
"""Time before the first resend, in seconds; it doubles with each resend."""
RESENDS_LIMIT = 4
UNKNOWN_FLOW_TTL_S = 1.0
"""How long packets of a flow that no member holds are dropped without asking again, in seconds."""


@define
class Recorder:
    """The recorder of a member: finds and remembers the homes of the flows in its buckets."""

    builder: MessageBuilder
    choose: ChooseCandidate = choose_least_utilised
    adopt_orphans_until: float = 0.0
    """Until when a flow that is unknown to all other members is sent to this member as its home."""
    homes: HomeCache = field(factory=HomeCache)
    searches: dict[FlowKey, HomeSearch] = field(factory=dict)
    waiting_searches: OrderedDict[FlowKey, HomeSearch] = field(factory=OrderedDict)
    loads: dict[str, PeerLoad] = field(factory=dict)
    _buckets: RecordedBuckets = field(init=False)
    _refused_flows: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(REFUSALS_LIMIT))
    _unknown_flows: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(REFUSALS_LIMIT))
    _numbers: Iterator[int] = field(init=False)
    """Numbers for attempts and claims; numbers of earlier incarnations are not reused."""

    def __attrs_post_init__(self) -> None:
        builder = self.builder
        self._buckets = RecordedBuckets(builder.name, builder.service, builder.view)
        self._numbers = itertools.count(builder.incarnation + 1)

    @property
    def view(self) -> View:
        """Return the view that decisions use."""
        return self.builder.view

    def handle_packet(self, packet: Packet, service_class: ServiceClass, now: float) -> Effects:
        """Send a packet to the home of its flow, or start the search for one."""
        flow = packet.flow
        home = self._find_home(flow, now)
        if home is not None:
            return [self._carry_to_home(home, packet, service_class)]
        search = self.searches.get(flow)
        if search is not None:
            return self._handle_pending_packet(search, packet, now)
        phase = find_flow_phase(packet, service_class.transport)
        if self._refused_flows.contains(flow, now):
            return self._refuse_again(packet, service_class, phase)
        if self.homes.is_placement_blocked(flow, now):
            return [Drop(ErrorKind.DUPLICATE_OPENING, service_class.name)]
        if phase is not FlowPhase.OPENING and self._unknown_flows.contains(flow, now):
            return [Drop(ErrorKind.UNKNOWN_FLOW, service_class.name)]
        if len(self.searches) >= SEARCHES_LIMIT:
            return [Drop(ErrorKind.TABLE_FULL, service_class.name)]
        return self._start_search(HomeSearch(flow, service_class, packet, phase, now), now)

    def handle_ask_answer(self, sender: str, answer: types.AskAnswer, now: float) -> Effects:
        """Handle the answer of a member that was asked about a flow."""
        search = self.searches.get(answer.flow)
        if search is None or search.stage is not SearchStage.ASKING:
            return []
        if answer.holds:
            return self._complete_search(search, sender, now)
        if answer.claim != search.claim:
            # The answer belongs to an earlier search, whose grants were released.
            return []
        search.unanswered.discard(sender)
        search.barred = search.barred or answer.barred
        if answer.granted:
            search.granted_by.add(sender)
        return self._evaluate_answers(search, now)

    def handle_placed(self, sender: str, body: types.Placed, now: float) -> Effects:
        """Handle the reply of a member that has delivered an opening."""
        self._record_load(sender, body.load)
        search = self.searches.get(body.flow)
        if search is not None:
            return self._complete_search(search, sender, now)
        home = self.homes.find(body.flow)
        if home is not None and home.member != sender:
            # The sender answered too late and the flow was placed elsewhere.
            return self.builder.build_send_by_name(sender, types.Release(body.flow))
        return []

    def handle_full(self, sender: str, body: types.Full, epoch: int, now: float) -> Effects:
        """Handle a rejection: the member has not delivered the opening and will not do so."""
        self._record_load(sender, body.load).full_until = now + FULL_MEMBER_BACKOFF_S
        search = self.searches.get(body.flow)
        if search is None or search.attempt != body.attempt:
            return []
        if search.stage not in (SearchStage.PLACING, SearchStage.UNRESOLVED):
            return []
        search.rejected_by.add(sender)
        # Another recorder may have placed a copy: the sender, or one that only a newer table shows.
        search.may_have_run = search.may_have_run or body.known or epoch > self._find_epoch()
        return self._place_next(search, now)

    def handle_free(self, sender: str, load: types.Load, now: float) -> Effects:
        """Offer waiting openings to a member that has free slots again."""
        self._record_load(sender, load).full_until = 0.0
        for search in self.searches.values():
            # Openings that are currently offered elsewhere may be offered to this member again.
            if now < search.started + search.service_class.wait_s:
                search.rejected_by.discard(sender)
        effects: Effects = []
        free_slots = max(1, load.slots - load.busy)
        # Oldest first: a search whose offer was rejected was added again behind younger ones.
        waiting = sorted(self.waiting_searches.values(), key=lambda search: search.started)
        for search in waiting[:free_slots]:
            member = self._find_candidate(search, sender)
            if member is not None:
                del self.waiting_searches[search.flow]
                effects += self._offer(search, member, now)
        return effects

    def handle_not_here(
        self, sender: str, packet: Packet, service_class: ServiceClass, now: float
    ) -> Effects:
        """Remove a home that does not hold the flow, and handle the packet again."""
        home = self.homes.find(packet.flow)
        if home is None or home.member != sender:
            return []
        self.homes.remove(packet.flow, now)
        return self.handle_packet(packet, service_class, now)

    def knows_flow(self, flow: FlowKey) -> bool:
        """Return whether the home of a flow is known or searched for."""
        return flow in self.searches or flow in self.homes

    def has_refused(self, flow: FlowKey, now: float) -> bool:
        """Return whether the flow was refused recently."""
        return self._refused_flows.contains(flow, now)

    def tick(self, now: float) -> Effects:
        """Resend unanswered messages and end searches that timed out."""
        effects: Effects = []
        for search in list(self.searches.values()):
            effects += self._advance_search(search, now)
        self._buckets.update(now)
        for flows in (self._refused_flows, self._unknown_flows, self.homes):
            flows.expire(now)
        return effects

    # Searches

    def _start_search(self, search: HomeSearch, now: float) -> Effects:
        is_opening = search.phase is FlowPhase.OPENING
        may_open = search.phase in (FlowPhase.OPENING, FlowPhase.UNKNOWN)
        if may_open and not search.service_class.repeatable:
            search.claim = next(self._numbers)
        self.searches[search.flow] = search
        if is_opening and not search.claim and self._buckets.is_settled(search.flow, now):
            return self._place_next(search, now)
        return self._ask_members(search, now)

    def _find_epoch(self) -> int:
        table = self.view.find_table(self.builder.service)
        return table.epoch if table is not None else 0

    def _find_row(self, flow: FlowKey) -> Row:
        service = self.builder.service
        table = self.view.find_table(service)
        if table is None:
            return Row((), ())
        return self.view.find_row(service, compute_bucket(flow, table.seed, table.buckets))

    def _ask_members(self, search: HomeSearch, now: float) -> Effects:
        members = self._find_row(search.flow).members
        search.stage = SearchStage.ASKING
        search.last_sent = now
        search.majority = count_majority(len(members))
        search.unanswered = {
            member.name
            for member in members
            if self.view.is_usable(member) and member.state is not MemberState.RETIRED
        }
        if not search.unanswered:
            return self._evaluate_answers(search, now)
        return self._send_asks(search)

    def _send_asks(self, search: HomeSearch) -> Effects:
        body = types.Ask(search.flow, search.claim)
        return [
            self.builder.build_send(member, body, search.service_class.name)
            for member in self._find_row(search.flow).members
            if member.name in search.unanswered
        ]

    def _evaluate_answers(self, search: HomeSearch, now: float) -> Effects:
        if search.claim:
            return self._evaluate_grants(search, now)
        if search.unanswered:
            return []
        if search.phase in (FlowPhase.OPENING, FlowPhase.UNKNOWN):
            return self._place_next(search, now)
        if now < self.adopt_orphans_until and not self._has_unheard_suspect(search):
            return self._adopt_orphan(search)
        return self._end_unknown(search, now)

    def _adopt_orphan(self, search: HomeSearch) -> Effects:
        # No other member holds the flow, so its home was an earlier incarnation of this member,
        # which lost its state in a restart.
        self._remove_search(search)
        this_member = self.builder.find_member(self.builder.name)
        if this_member is None:
            return []
        packets = (search.packet, *search.queue)
        return [
            self._carry_to_home(this_member, packet, search.service_class) for packet in packets
        ]

    def _evaluate_grants(self, search: HomeSearch, now: float) -> Effects:
        has_majority = len(search.granted_by) >= search.majority
        # A packet that is not marked as an opening may belong to a flow that was placed before the
        # grants. Only answers from all members rule that out.
        is_new_flow = search.phase is FlowPhase.OPENING or not search.unanswered
        if has_majority and is_new_flow:
            return self._place_next(search, now)
        if len(search.granted_by) + len(search.unanswered) < search.majority:
            return self._abandon_claim(search)
        return []

    # Placement

    def _place_next(self, search: HomeSearch, now: float) -> Effects:
        candidates = self._list_candidates(search)
        member = self.choose(candidates, self.loads, now)
        in_time = now < search.started + search.service_class.opening_deadline_s
        if search.barred:
            return self._abandon_claim(search)
        if member is not None and in_time:
            return self._offer(search, member, now)
        if search.may_have_run or self._has_unheard_suspect(search):
            return self._end_unresolved(search, now)
        if now < search.started + search.service_class.wait_s:
            search.stage = SearchStage.WAITING
            self.waiting_searches[search.flow] = search
            return []
        return self._refuse(search, now)

    def _list_candidates(self, search: HomeSearch) -> list[Member]:
        return [
            member
            for member in self._find_row(search.flow).candidates
            if member.name not in search.rejected_by and self.view.is_usable(member)
        ]

    def _has_unheard_suspect(self, search: HomeSearch) -> bool:
        # A suspected member may be alive, and a recorder that does not suspect it may have placed
        # the flow there.
        return any(
            member.name in self.view.suspects and member.name not in search.rejected_by
            for member in self._find_row(search.flow).members
            if member.state is not MemberState.RETIRED
        )

    def _find_candidate(self, search: HomeSearch, name: str) -> Member | None:
        search.rejected_by.discard(name)
        for member in self._list_candidates(search):
            if member.name == name:
                return member
        return None

    def _offer(self, search: HomeSearch, member: Member, now: float) -> Effects:
        search.stage = SearchStage.PLACING
        search.attempt = next(self._numbers)
        search.attempt_count += 1
        search.candidate = member.name
        search.last_sent = now
        search.resends = 0
        return [self._send_place(search, member)]

    def _send_place(self, search: HomeSearch, member: Member) -> Send:
        body = types.Place(search.attempt, search.packet.raw, search.last_sent - search.started)
        return self.builder.build_send(member, body, search.service_class.name)

    def _complete_search(self, search: HomeSearch, holder: str, now: float) -> Effects:
        self._remove_search(search)
        member = self.builder.find_member(holder)
        if member is None:
            return []
        home = FlowHome(holder, member.incarnation, search.service_class.repeatable)
        self.homes.add(search.flow, home)
        effects: Effects = []
        if search.stage is SearchStage.ASKING:
            effects.append(self._carry_to_home(member, search.packet, search.service_class))
        else:
            name = search.service_class.name
            effects.append(Observe(Metric.OPENING_S, now - search.started, name))
            effects.append(Observe(Metric.ATTEMPTS, search.attempt_count, name))
        for packet in search.queue:
            effects.append(self._carry_to_home(member, packet, search.service_class))
        return effects

    # Searches that end without a home

    def _refuse(self, search: HomeSearch, now: float) -> Effects:
        self._remove_search(search)
        self._refused_flows.add(search.flow, now + PACKET_LIFETIME_S)
        name = search.service_class.name
        return [
            Observe(Metric.WAIT_S, now - search.started, name),
            Refuse(ErrorKind.NO_CAPACITY, search.service_class, search.packet),
        ]

    def _refuse_again(
        self, packet: Packet, service_class: ServiceClass, phase: FlowPhase
    ) -> Effects:
        if phase in (FlowPhase.OPENING, FlowPhase.UNKNOWN):
            return [Refuse(ErrorKind.NO_CAPACITY, service_class, packet)]
        return [Drop(ErrorKind.UNKNOWN_FLOW, service_class.name)]

    def _end_unknown(self, search: HomeSearch, now: float) -> Effects:
        self._remove_search(search)
        self._unknown_flows.add(search.flow, now + UNKNOWN_FLOW_TTL_S)
        return [Drop(ErrorKind.UNKNOWN_FLOW, search.service_class.name)]

    def _abandon_claim(self, search: HomeSearch) -> Effects:
        # Nothing was delivered under this claim, so its grants can be released.
        self._remove_search(search)
        body = types.Release(search.flow, search.claim)
        effects: Effects = [
            self.builder.build_send(member, body, search.service_class.name)
            for member in self._find_row(search.flow).members
            if member.name in search.granted_by
        ]
        return [*effects, Drop(ErrorKind.UNRESOLVED_CLAIM, search.service_class.name)]

    def _end_unresolved(self, search: HomeSearch, now: float) -> Effects:
        self._remove_search(search)
        if search.claim:
            self.homes.block_placement(search.flow, now + GRANT_LIFETIME_S)
        return [Drop(ErrorKind.UNRESOLVED_CLAIM, search.service_class.name)]

    def _remove_search(self, search: HomeSearch) -> None:
        self.searches.pop(search.flow, None)
        self.waiting_searches.pop(search.flow, None)

    # Pending searches

    def _handle_pending_packet(self, search: HomeSearch, packet: Packet, now: float) -> Effects:
        name = search.service_class.name
        if search.stage is SearchStage.UNRESOLVED:
            return self._handle_unresolved_packet(search, packet, now)
        # The first flight of a client may consist of several packets that all look like openings,
        # so only an exact copy counts as a duplicate.
        if packet.raw == search.packet.raw:
            return [Drop(ErrorKind.DUPLICATE_OPENING, name)]
        return [] if search.enqueue(packet) else [Drop(ErrorKind.TABLE_FULL, name)]

    def _handle_unresolved_packet(self, search: HomeSearch, packet: Packet, now: float) -> Effects:
        # The candidate may hold the flow although its answer was lost, so resend the offer and send
        # it later packets of the flow.
        member = self.builder.find_member(search.candidate)
        if member is None:
            return [Drop(ErrorKind.UNRESOLVED_CLAIM, search.service_class.name)]
        effects: Effects = []
        if now >= search.last_sent + FIRST_RESEND_DELAY_S:
            search.last_sent = now
            effects.append(self._send_place(search, member))
        if packet.raw != search.packet.raw:
            effects.append(self._carry_to_home(member, packet, search.service_class))
        return effects

    def _advance_search(self, search: HomeSearch, now: float) -> Effects:
        if search.stage is SearchStage.WAITING:
            is_over = now >= search.started + search.service_class.wait_s
            return self._refuse(search, now) if is_over else []
        if search.stage is SearchStage.UNRESOLVED:
            is_over = now >= search.started + PACKET_LIFETIME_S
            return self._end_unresolved(search, now) if is_over else []
        if now < search.last_sent + FIRST_RESEND_DELAY_S * 2**search.resends:
            return []
        if search.resends >= RESENDS_LIMIT:
            return self._time_out(search, now)
        search.resends += 1
        if search.stage is SearchStage.ASKING:
            return self._send_asks(search)
        member = self.builder.find_member(search.candidate)
        return [self._send_place(search, member)] if member is not None else []

    def _time_out(self, search: HomeSearch, now: float) -> Effects:
        if search.stage is SearchStage.ASKING:
            return self._time_out_ask(search, now)
        if not search.service_class.repeatable:
            search.stage = SearchStage.UNRESOLVED
            return []
        search.may_have_run = True
        search.rejected_by.add(search.candidate)
        release = self.builder.build_send_by_name(search.candidate, types.Release(search.flow))
        return release + self._place_next(search, now)

    def _time_out_ask(self, search: HomeSearch, now: float) -> Effects:
        if search.claim:
            return self._abandon_claim(search)
        if search.phase in (FlowPhase.ESTABLISHED, FlowPhase.CLOSING):
            return self._end_unknown(search, now)
        return self._place_next(search, now)

    # Peers

    def _find_home(self, flow: FlowKey, now: float) -> Member | None:
        home = self.homes.find(flow)
        if home is None:
            return None
        member = self.builder.find_member(home.member)
        if member is None or self.view.is_data_centre_out(member.data_centre):
            self.homes.remove(flow, now)
            return None
        return member

    def _record_load(self, name: str, load: types.Load) -> PeerLoad:
        peer = self.loads.setdefault(name, PeerLoad())
        peer.load = load
        return peer

    def _carry_to_home(self, member: Member, packet: Packet, service_class: ServiceClass) -> Send:
        return self.builder.build_send(
            member, types.Carry(packet.raw, homed=True), service_class.name
        )

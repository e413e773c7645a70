"""Find and remember the homes of the flows whose buckets this member records."""

import itertools
from collections import OrderedDict
from collections.abc import Iterator

from attrs import define, field

from fescueseam.claims.registry import GRANT_S, PACKET_LIFETIME_S, count_majority
from fescueseam.conf.models import ServiceClass
from fescueseam.effects import Drop, Effects, Measure, Observe, Refuse, Send
from fescueseam.exceptions import ErrorKind
from fescueseam.flows.expiring_set import FlowMemory
from fescueseam.flows.keys import FlowKey, compute_bucket
from fescueseam.messages import types
from fescueseam.packets.adapter import Packet, Phase, find_phase
from fescueseam.placement.buckets import RecordedBuckets
from fescueseam.placement.choice import FULL_BELIEF_S, ChooseCandidate, choose_least_utilised
from fescueseam.placement.home_cache import Homes
from fescueseam.placement.search import Home, Opening, PeerLoad, Stage
from fescueseam.routing.message_builder import Outbox
from fescueseam.routing.table import Member, MemberState, Row
from fescueseam.routing.view import View

OPENINGS_LIMIT = 4096
REFUSALS_LIMIT = 16384
RESEND_S = 0.05
"""Wait this long for an answer before the first resend; the wait doubles with each."""
RESENDS_LIMIT = 4
UNKNOWN_S = 1.0
"""Drop packets of a flow that no member holds for this long before asking again."""


@define
class Recorder:
    """Hold homes, searches, waits and refusals; decide the next step of each."""

    outbox: Outbox
    choose: ChooseCandidate = choose_least_utilised
    orphans_until: float = 0.0
    """Take a flow that no member holds for one of this member's own until this time."""
    homes: Homes = field(factory=Homes)
    openings: dict[FlowKey, Opening] = field(factory=dict)
    waiting: OrderedDict[FlowKey, Opening] = field(factory=OrderedDict)
    loads: dict[str, PeerLoad] = field(factory=dict)
    _buckets: RecordedBuckets = field(init=False)
    _refused: FlowMemory = field(factory=lambda: FlowMemory(REFUSALS_LIMIT))
    _unknown: FlowMemory = field(factory=lambda: FlowMemory(REFUSALS_LIMIT))
    _numbers: Iterator[int] = field(init=False)
    """Number attempts and claims; no number of an earlier incarnation comes again."""

    def __attrs_post_init__(self) -> None:
        outbox = self.outbox
        self._buckets = RecordedBuckets(outbox.name, outbox.service, outbox.view)
        self._numbers = itertools.count(outbox.incarnation + 1)

    @property
    def view(self) -> View:
        """Return the view that every decision rests on."""
        return self.outbox.view

    def handle_packet(self, packet: Packet, service_class: ServiceClass, now: float) -> Effects:
        """Send a packet to its flow's home, or begin to find one."""
        flow = packet.flow
        home = self._find_home(flow, now)
        if home is not None:
            return [self._carry_home(home, packet, service_class)]
        opening = self.openings.get(flow)
        if opening is not None:
            return self._repeat(opening, packet, now)
        phase = find_phase(packet, service_class.transport)
        if self._refused.holds(flow, now):
            return self._refuse_again(packet, service_class, phase)
        if self.homes.is_spent(flow, now):
            return [Drop(ErrorKind.DUPLICATE_OPENING, service_class.name)]
        if phase is not Phase.OPENING and self._unknown.holds(flow, now):
            return [Drop(ErrorKind.UNKNOWN_FLOW, service_class.name)]
        if len(self.openings) >= OPENINGS_LIMIT:
            return [Drop(ErrorKind.TABLE_FULL, service_class.name)]
        return self._start(Opening(flow, service_class, packet, phase, now), now)

    def handle_ask_answer(self, sender: str, answer: types.AskAnswer, now: float) -> Effects:
        """Take a member's answer to an ask."""
        opening = self.openings.get(answer.flow)
        if opening is None or opening.stage is not Stage.ASKING:
            return []
        if answer.holds:
            return self._settle(opening, sender, now)
        if answer.claim != opening.claim:
            # The answer belongs to an earlier search, whose grants were given back.
            return []
        opening.silent.discard(sender)
        opening.barred = opening.barred or answer.barred
        if answer.granted:
            opening.granted.add(sender)
        return self._judge_answers(opening, now)

    def handle_placed(self, sender: str, body: types.Placed, now: float) -> Effects:
        """Take it that a member has delivered an opening."""
        self._note_load(sender, body.load, now)
        opening = self.openings.get(body.flow)
        if opening is not None:
            return self._settle(opening, sender, now)
        home = self.homes.find(body.flow)
        if home is not None and home.member != sender:
            # The sender was given up before it answered; the flow lives elsewhere.
            return self.outbox.send_by_name(sender, types.Release(body.flow))
        return []

    def handle_full(self, sender: str, body: types.Full, epoch: int, now: float) -> Effects:
        """Take it that a member has not delivered an opening and never will."""
        self._note_load(sender, body.load, now).full_until = now + FULL_BELIEF_S
        opening = self.openings.get(body.flow)
        if opening is None or opening.attempt != body.attempt:
            return []
        if opening.stage not in (Stage.PLACING, Stage.UNRESOLVED):
            return []
        opening.turned_down.add(sender)
        # Another recorder, or one that this table does not show, may have placed a copy.
        opening.abandoned = opening.abandoned or body.known or epoch > self._find_epoch()
        return self._place_next(opening, now)

    def handle_free(self, sender: str, load: types.Load, now: float) -> Effects:
        """Offer waiting openings to a member that has room again."""
        self._note_load(sender, load, now).full_until = 0.0
        for opening in self.openings.values():
            # An opening that is being offered elsewhere may come back to this member.
            if now < opening.started + opening.service_class.wait_s:
                opening.turned_down.discard(sender)
        effects: Effects = []
        room = max(1, load.slots - load.busy)
        # The oldest first; one that was offered in vain stands behind younger ones.
        waiting = sorted(self.waiting.values(), key=lambda opening: opening.started)
        for opening in waiting[:room]:
            member = self._find_candidate(opening, sender)
            if member is not None:
                del self.waiting[opening.flow]
                effects += self._offer(opening, member, now)
        return effects

    def handle_not_here(
        self, sender: str, packet: Packet, service_class: ServiceClass, now: float
    ) -> Effects:
        """Forget a home that does not hold the flow, and handle the packet anew."""
        home = self.homes.find(packet.flow)
        if home is None or home.member != sender:
            return []
        self.homes.forget(packet.flow, now)
        return self.handle_packet(packet, service_class, now)

    def knows(self, flow: FlowKey) -> bool:
        """Tell whether the flow is being placed or its home is known."""
        return flow in self.openings or flow in self.homes

    def has_refused(self, flow: FlowKey, now: float) -> bool:
        """Tell whether the flow was refused lately."""
        return self._refused.holds(flow, now)

    def tick(self, now: float) -> Effects:
        """Resend what was not answered and end waits that are over."""
        effects: Effects = []
        for opening in list(self.openings.values()):
            effects += self._advance(opening, now)
        self._buckets.update(now)
        for memory in (self._refused, self._unknown, self.homes):
            memory.expire(now)
        return effects

    # Start of a search

    def _start(self, opening: Opening, now: float) -> Effects:
        marked = opening.phase is Phase.OPENING
        opens = opening.phase in (Phase.OPENING, Phase.UNMARKED)
        if opens and not opening.service_class.repeatable:
            opening.claim = next(self._numbers)
        self.openings[opening.flow] = opening
        if marked and not opening.claim and self._buckets.is_settled(opening.flow, now):
            return self._place_next(opening, now)
        return self._ask(opening, now)

    def _find_epoch(self) -> int:
        table = self.view.find_table(self.outbox.service)
        return table.epoch if table is not None else 0

    def _find_row(self, flow: FlowKey) -> Row:
        service = self.outbox.service
        table = self.view.find_table(service)
        if table is None:
            return Row((), ())
        return self.view.find_row(service, compute_bucket(flow, table.seed, table.buckets))

    def _ask(self, opening: Opening, now: float) -> Effects:
        row = self._find_row(opening.flow).members
        opening.stage = Stage.ASKING
        opening.sent = now
        opening.majority = count_majority(len(row))
        opening.silent = {
            member.name
            for member in row
            if self.view.is_usable(member) and member.state is not MemberState.RETIRED
        }
        if not opening.silent:
            return self._judge_answers(opening, now)
        return self._send_asks(opening)

    def _send_asks(self, opening: Opening) -> Effects:
        body = types.Ask(opening.flow, opening.claim)
        return [
            self.outbox.send(member, body, opening.service_class.name)
            for member in self._find_row(opening.flow).members
            if member.name in opening.silent
        ]

    def _judge_answers(self, opening: Opening, now: float) -> Effects:
        if opening.claim:
            return self._judge_grants(opening, now)
        if opening.silent:
            return []
        if opening.phase in (Phase.OPENING, Phase.UNMARKED):
            return self._place_next(opening, now)
        if now < self.orphans_until and not self._has_unheard(opening):
            return self._take_orphan(opening)
        return self._forget(opening, now)

    def _take_orphan(self, opening: Opening) -> Effects:
        # Every other member has denied the flow, so its home was this member's earlier
        # incarnation, whose memory of it is gone.
        self._remove(opening)
        own = self.outbox.find_member(self.outbox.name)
        if own is None:
            return []
        packets = (opening.packet, *opening.queue)
        return [self._carry_home(own, packet, opening.service_class) for packet in packets]

    def _judge_grants(self, opening: Opening, now: float) -> Effects:
        enough = len(opening.granted) >= opening.majority
        # An unmarked packet may belong to a flow older than any grant; only every answer rules
        # that out.
        complete = opening.phase is Phase.OPENING or not opening.silent
        if enough and complete:
            return self._place_next(opening, now)
        if len(opening.granted) + len(opening.silent) < opening.majority:
            return self._give_up(opening)
        return []

    # Placement

    def _place_next(self, opening: Opening, now: float) -> Effects:
        candidates = self._list_candidates(opening)
        member = self.choose(candidates, self.loads, now)
        in_time = now < opening.started + opening.service_class.opening_deadline_s
        if opening.barred:
            return self._give_up(opening)
        if member is not None and in_time:
            return self._offer(opening, member, now)
        if opening.abandoned or self._has_unheard(opening):
            return self._end_unresolved(opening, now)
        if now < opening.started + opening.service_class.wait_s:
            opening.stage = Stage.WAITING
            self.waiting[opening.flow] = opening
            return []
        return self._refuse(opening, now)

    def _list_candidates(self, opening: Opening) -> list[Member]:
        return [
            member
            for member in self._find_row(opening.flow).candidates
            if member.name not in opening.turned_down and self.view.is_usable(member)
        ]

    def _has_unheard(self, opening: Opening) -> bool:
        # A suspected candidate may live, and another recorder may not suspect it.
        return any(
            member.name in self.view.suspects and member.name not in opening.turned_down
            for member in self._find_row(opening.flow).members
            if member.state is not MemberState.RETIRED
        )

    def _find_candidate(self, opening: Opening, name: str) -> Member | None:
        opening.turned_down.discard(name)
        for member in self._list_candidates(opening):
            if member.name == name:
                return member
        return None

    def _offer(self, opening: Opening, member: Member, now: float) -> Effects:
        opening.stage = Stage.PLACING
        opening.attempt = next(self._numbers)
        opening.attempts += 1
        opening.candidate = member.name
        opening.sent = now
        opening.resends = 0
        return [self._send_place(opening, member)]

    def _send_place(self, opening: Opening, member: Member) -> Send:
        body = types.Place(opening.attempt, opening.packet.raw, opening.sent - opening.started)
        return self.outbox.send(member, body, opening.service_class.name)

    def _settle(self, opening: Opening, holder: str, now: float) -> Effects:
        self._remove(opening)
        member = self.outbox.find_member(holder)
        if member is None:
            return []
        home = Home(holder, member.incarnation, opening.service_class.repeatable)
        self.homes.add(opening.flow, home)
        effects: Effects = []
        if opening.stage is Stage.ASKING:
            effects.append(self._carry_home(member, opening.packet, opening.service_class))
        else:
            name = opening.service_class.name
            effects.append(Observe(Measure.OPENING_S, now - opening.started, name))
            effects.append(Observe(Measure.ATTEMPTS, opening.attempts, name))
        for packet in opening.queue:
            effects.append(self._carry_home(member, packet, opening.service_class))
        return effects

    # Ends without a home

    def _refuse(self, opening: Opening, now: float) -> Effects:
        self._remove(opening)
        self._refused.add(opening.flow, now + PACKET_LIFETIME_S)
        name = opening.service_class.name
        return [
            Observe(Measure.WAIT_S, now - opening.started, name),
            Refuse(ErrorKind.NO_CAPACITY, opening.service_class, opening.packet),
        ]

    def _refuse_again(self, packet: Packet, service_class: ServiceClass, phase: Phase) -> Effects:
        if phase in (Phase.OPENING, Phase.UNMARKED):
            return [Refuse(ErrorKind.NO_CAPACITY, service_class, packet)]
        return [Drop(ErrorKind.UNKNOWN_FLOW, service_class.name)]

    def _forget(self, opening: Opening, now: float) -> Effects:
        self._remove(opening)
        self._unknown.add(opening.flow, now + UNKNOWN_S)
        return [Drop(ErrorKind.UNKNOWN_FLOW, opening.service_class.name)]

    def _give_up(self, opening: Opening) -> Effects:
        # Nothing was delivered under this claim, so its grants can be given back.
        self._remove(opening)
        body = types.Release(opening.flow, opening.claim)
        effects: Effects = [
            self.outbox.send(member, body, opening.service_class.name)
            for member in self._find_row(opening.flow).members
            if member.name in opening.granted
        ]
        return [*effects, Drop(ErrorKind.UNRESOLVED_CLAIM, opening.service_class.name)]

    def _end_unresolved(self, opening: Opening, now: float) -> Effects:
        self._remove(opening)
        if opening.claim:
            self.homes.spend(opening.flow, now + GRANT_S)
        return [Drop(ErrorKind.UNRESOLVED_CLAIM, opening.service_class.name)]

    def _remove(self, opening: Opening) -> None:
        self.openings.pop(opening.flow, None)
        self.waiting.pop(opening.flow, None)

    # Time

    def _repeat(self, opening: Opening, packet: Packet, now: float) -> Effects:
        name = opening.service_class.name
        if opening.stage is Stage.UNRESOLVED:
            return self._repeat_unresolved(opening, packet, now)
        # A client's first flight may take several packets, each of which looks like an opening.
        if packet.raw == opening.packet.raw:
            return [Drop(ErrorKind.DUPLICATE_OPENING, name)]
        return [] if opening.keep(packet) else [Drop(ErrorKind.TABLE_FULL, name)]

    def _repeat_unresolved(self, opening: Opening, packet: Packet, now: float) -> Effects:
        # If the candidate has delivered the opening, the flow lives there although its answer
        # was lost.
        member = self.outbox.find_member(opening.candidate)
        if member is None:
            return [Drop(ErrorKind.UNRESOLVED_CLAIM, opening.service_class.name)]
        effects: Effects = []
        if now >= opening.sent + RESEND_S:
            opening.sent = now
            effects.append(self._send_place(opening, member))
        if packet.raw != opening.packet.raw:
            effects.append(self._carry_home(member, packet, opening.service_class))
        return effects

    def _advance(self, opening: Opening, now: float) -> Effects:
        if opening.stage is Stage.WAITING:
            over = now >= opening.started + opening.service_class.wait_s
            return self._refuse(opening, now) if over else []
        if opening.stage is Stage.UNRESOLVED:
            over = now >= opening.started + PACKET_LIFETIME_S
            return self._end_unresolved(opening, now) if over else []
        if now < opening.sent + RESEND_S * 2**opening.resends:
            return []
        if opening.resends >= RESENDS_LIMIT:
            return self._time_out(opening, now)
        opening.resends += 1
        if opening.stage is Stage.ASKING:
            return self._send_asks(opening)
        member = self.outbox.find_member(opening.candidate)
        return [self._send_place(opening, member)] if member is not None else []

    def _time_out(self, opening: Opening, now: float) -> Effects:
        if opening.stage is Stage.ASKING:
            return self._time_out_ask(opening, now)
        if not opening.service_class.repeatable:
            opening.stage = Stage.UNRESOLVED
            return []
        opening.abandoned = True
        opening.turned_down.add(opening.candidate)
        release = self.outbox.send_by_name(opening.candidate, types.Release(opening.flow))
        return release + self._place_next(opening, now)

    def _time_out_ask(self, opening: Opening, now: float) -> Effects:
        if opening.claim:
            return self._give_up(opening)
        if opening.phase in (Phase.ESTABLISHED, Phase.CLOSING):
            return self._forget(opening, now)
        return self._place_next(opening, now)

    # Peers

    def _find_home(self, flow: FlowKey, now: float) -> Member | None:
        home = self.homes.find(flow)
        if home is None:
            return None
        member = self.outbox.find_member(home.member)
        if member is None or self.view.is_out(member.data_centre):
            self.homes.forget(flow, now)
            return None
        return member

    def _note_load(self, name: str, load: types.Load, now: float) -> PeerLoad:
        peer = self.loads.setdefault(name, PeerLoad())
        peer.load = load
        peer.heard = now
        return peer

    def _carry_home(self, member: Member, packet: Packet, service_class: ServiceClass) -> Send:
        return self.outbox.send(member, types.Carry(packet.raw, homed=True), service_class.name)

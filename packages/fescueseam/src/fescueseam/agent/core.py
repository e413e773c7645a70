"""Take messages, packets and reports in; return what the agent has to do."""

from attrs import define, evolve, field

from fescueseam.admission.gate import Gate, LoadReport, Verdict
from fescueseam.agent.home import ADOPT_S, HOLD_S, Home, Offer
from fescueseam.claims.registry import ClaimRegistry
from fescueseam.conf.models import AdmissionRules, ServiceClass
from fescueseam.effects import Drop, Effects, Probe, Send
from fescueseam.exceptions import ErrorKind, FescueseamError, MessageError, PacketError
from fescueseam.flows.keys import FlowKey, compute_bucket
from fescueseam.messages import types
from fescueseam.packets.adapter import Packet, parse_packet
from fescueseam.placement.choice import ChooseCandidate, choose_least_utilised
from fescueseam.placement.recorder import Recorder
from fescueseam.routing.message_builder import Outbox
from fescueseam.routing.table import Member, MemberState
from fescueseam.routing.view import View

PAUSE_S = 1.0
"""Take a gap between two events that is longer than this for a pause of the process."""
PAUSE_SHADOW_S = 1.0
"""Turn offers down for this long after a pause, because they may be old."""
BIDDING_S = 0.004
"""Wait this long for offers once recorders are told of a free slot, in seconds."""
LOCAL_STEPS_LIMIT = 64


@define
class Agent:
    """Join the recorder, the home and the claims of one member."""

    name: str
    incarnation: int
    service: str
    data_centre: str
    started: float
    rules: AdmissionRules
    view: View = field(factory=View)
    choose: ChooseCandidate = choose_least_utilised
    stopping: bool = False
    """Refuse new flows because the process is shutting down."""
    recorder: Recorder = field(init=False)
    home: Home = field(init=False)
    claims: ClaimRegistry = field(init=False)
    _outbox: Outbox = field(init=False)
    _waiters: dict[str, float] = field(factory=dict)
    """Hold until when each recorder that was turned down wants to hear of free slots."""
    _bidding_until: float = float("-inf")
    """Hold offers until then, so that the opening that has waited longest can come in."""
    _known_room: int = 0
    """Count the free slots that waiting recorders know of."""
    _last_event: float = field(init=False)
    _woke: float = float("-inf")
    _was_out: bool = False

    def __attrs_post_init__(self) -> None:
        self._outbox = Outbox(self.name, self.incarnation, self.service, self.view)
        self.recorder = Recorder(self._outbox, self.choose, self.started + ADOPT_S)
        self.home = Home(Gate(self.rules, self.started), self.started)
        self.claims = ClaimRegistry(self.started)
        self._last_event = self.started

    def handle_message(self, message: types.Message, now: float) -> Effects:
        """Return what to do with a message of another process."""
        self._note_event(now)
        if message.target != self.name or message.service != self.service:
            return [Drop(ErrorKind.WRONG_SERVICE, message.class_name)]
        try:
            return self._resolve(self._dispatch(message, now), now)
        except FescueseamError as exc:
            return [Drop(exc.kind, message.class_name)]

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Take a load report of the backend server and judge the held offers anew."""
        self._note_event(now)
        effects = self.home.take_report(report, now)
        self.update_draining(report.draining)
        effects += self._judge_held(report.requested, now)
        return self._resolve(effects + self._tell_waiters(now), now)

    def handle_backend_lost(self, now: float) -> Effects:
        """Take it that the backend server has gone and every flow with it."""
        self._note_event(now)
        self.home.gate.note_lost(now)
        effects = self.home.close_all(now)
        return self._resolve(effects + self._turn_down_held(now), now)

    def handle_answer(self, flow: FlowKey, now: float) -> None:
        """Note that the backend server has answered on a flow."""
        self.home.touch(flow, now)

    def handle_closed(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Close a flow that is seen to have ended."""
        effects = self.home.close(flow, success, now)
        return self._resolve(effects + self._tell_waiters(now), now)

    def update_draining(self, reported: bool) -> None:
        """Combine the operators' drain rule, the backend server's own and a shutdown."""
        drained = self.view.is_draining(self.name)
        self.home.gate.draining = reported or drained or self.stopping

    def tick(self, now: float) -> Effects:
        """Advance every timer."""
        self._note_event(now)
        effects = self._follow_data_centre(now)
        effects += self.recorder.tick(now)
        effects += self.home.expire(now)
        effects += self._expire_held(now)
        return self._resolve(effects + self._tell_waiters(now), now)

    # Messages

    def _dispatch(self, message: types.Message, now: float) -> Effects:
        body = message.body
        match body:
            case types.Carry():
                return self._take_carry(message, body, now)
            case types.Place():
                return self._take_place(message, body, now)
            case types.Placed():
                return self.recorder.handle_placed(message.sender, body, now)
            case types.Full():
                return self.recorder.handle_full(message.sender, body, message.epoch, now)
            case types.NotHere():
                packet, service_class = self._read_packet(body.packet)
                return self.recorder.handle_not_here(message.sender, packet, service_class, now)
            case types.Ask():
                return self._take_ask(message, body, now)
            case types.AskAnswer():
                return self.recorder.handle_ask_answer(message.sender, body, now)
            case types.Release():
                return self._take_release(message, body, now)
            case types.Free():
                return self.recorder.handle_free(message.sender, body.load, now)
        raise MessageError(type(body).__name__)

    def _take_carry(self, message: types.Message, body: types.Carry, now: float) -> Effects:
        packet, service_class = self._read_packet(body.packet)
        barred = self._find_bar()
        if barred is not None:
            return [Drop(barred, service_class.name)]
        delivered = self.home.pass_packet(packet, now)
        if delivered is not None:
            return delivered
        if body.homed:
            adopted = self.home.adopt(packet, service_class, now)
            if adopted is not None:
                return adopted
            return [self._answer(message, types.NotHere(packet.flow, packet.raw))]
        if packet.flow in self.home.held:
            return [Drop(ErrorKind.DUPLICATE_OPENING, service_class.name)]
        relayed = self._relay(message, packet)
        if relayed is not None:
            return [relayed]
        return self.recorder.handle_packet(packet, service_class, now)

    def _relay(self, message: types.Message, packet: Packet) -> Send | None:
        # A balancer that is behind chose the recorder by an earlier epoch. The epoch in the
        # message grows with each relay, so no message goes round for ever.
        table = self.view.find_table(self.service)
        if table is None or message.epoch >= table.epoch:
            return None
        if packet.flow in self.recorder.homes or packet.flow in self.recorder.openings:
            return None
        bucket = compute_bucket(packet.flow, table.seed, table.buckets)
        recorder = self.view.find_recorder(self.service, bucket)
        if recorder is None or recorder.name == self.name:
            return None
        relayed = evolve(
            message,
            sender=self.name,
            incarnation=self.incarnation,
            target=recorder.name,
            epoch=table.epoch,
            config_version=self.view.cfg.version,
        )
        return Send(recorder.address, recorder.control_port, relayed)

    def _take_place(self, message: types.Message, body: types.Place, now: float) -> Effects:
        packet, service_class = self._read_packet(body.packet)
        offer = Offer(
            message.sender,
            message.incarnation,
            body.attempt,
            packet,
            service_class,
            now,
            body.age_s,
        )
        if self.home.has_delivered(packet.flow, now):
            return self._tell_placed(offer, now)
        held = self.home.held.get(packet.flow)
        if held is not None:
            return [] if held.recorder == offer.recorder else self._tell_full(offer, now)
        return self._judge_offer(offer, now)

    def _judge_offer(self, offer: Offer, now: float, bid_over: bool = False) -> Effects:
        barred = self._find_bar() is not None or now < self._woke + PAUSE_SHADOW_S
        if barred or self.home.is_refusing(offer, now):
            return self._tell_full(offer, now)
        verdict = self.home.judge(offer, now)
        if verdict is Verdict.ADMIT and now < self._bidding_until and not bid_over:
            verdict = Verdict.VERIFY
        if verdict is Verdict.ADMIT:
            effects = self.home.open(offer.packet, offer.service_class, now)
            self._known_room -= 1
            return effects + self._tell_placed(offer, now)
        if verdict is Verdict.VERIFY:
            return self.home.hold(offer)
        self._waiters[offer.recorder] = now + offer.service_class.wait_s
        self._known_room = 0
        # What the agent cannot see, the end of a QUIC flow, the backend server may report.
        stale = self.home.gate.is_stale(now)
        return self._tell_full(offer, now) + ([Probe()] if stale else [])

    def _take_ask(self, message: types.Message, body: types.Ask, now: float) -> Effects:
        table = self.view.find_table(self.service)
        current = table is not None and message.epoch >= table.epoch
        granted = (
            body.claim > 0
            and current
            and self.claims.grant(body.flow, message.sender, message.incarnation, body.claim, now)
        )
        holds = self.home.has_delivered(body.flow, now) or (
            body.flow in self.home.held and self.home.held[body.flow].recorder != message.sender
        )
        barred = self.home.has_turned_down_another(body.flow, message.sender, now) or (
            message.sender != self.name and self.recorder.has_refused(body.flow, now)
        )
        answer = types.AskAnswer(body.flow, holds, granted, body.claim, barred)
        return [self._answer(message, answer)]

    def _take_release(self, message: types.Message, body: types.Release, now: float) -> Effects:
        self.claims.release(body.flow, message.sender, message.incarnation, body.claim)
        record = self.home.flows.find(body.flow)
        if record is None or not record.service_class.repeatable:
            return []
        return self.home.close(body.flow, False, now) + self._tell_waiters(now)

    # Offers

    def _judge_held(self, requested: float, now: float) -> Effects:
        # The next report leaves time for other offers; one that takes no time leaves none.
        if now < self._bidding_until and requested < now:
            return [Probe()] if self.home.held else []
        effects: Effects = []
        # The slot goes to the opening that has waited longest.
        held = sorted(self.home.held.items(), key=lambda item: item[1].started)
        for flow, offer in held:
            if offer.arrived <= requested:
                del self.home.held[flow]
                effects += self._judge_offer(offer, now, bid_over=True)
        return effects

    def _turn_down_held(self, now: float) -> Effects:
        effects: Effects = []
        while self.home.held:
            _, offer = self.home.held.popitem(last=False)
            effects += self._tell_full(offer, now)
        return effects

    def _expire_held(self, now: float) -> Effects:
        effects: Effects = []
        for flow, offer in list(self.home.held.items()):
            if now >= offer.arrived + HOLD_S:
                del self.home.held[flow]
                effects += self._tell_full(offer, now)
        return effects

    def _tell_placed(self, offer: Offer, now: float) -> Effects:
        load = self.home.gate.describe_load(now)
        body = types.Placed(offer.attempt, offer.packet.flow, load)
        return self._tell(offer.recorder, body, offer.service_class)

    def _tell_full(self, offer: Offer, now: float) -> Effects:
        self.home.turn_down(offer, now)
        if self.home.has_ended(offer.packet.flow, now):
            # It has run here, so no "not run" may follow from this member's word: it gives none.
            return []
        load = self.home.gate.describe_load(now)
        flow = offer.packet.flow
        known = offer.recorder != self.name and self.recorder.knows(flow)
        body = types.Full(offer.attempt, flow, load, known)
        return self._tell(offer.recorder, body, offer.service_class)

    def _tell_waiters(self, now: float) -> Effects:
        # A recorder may have more openings waiting than it was turned down for since it was last
        # told, so it is told of every slot that comes free until its wait is over.
        load = self.home.gate.describe_load(now)
        room = load.slots - load.busy
        grown, self._known_room = room > max(0, self._known_room), room
        if not grown or not self._waiters:
            return []
        self._waiters = {name: end for name, end in self._waiters.items() if end > now}
        if len(self._waiters) > 1 and now >= self._bidding_until:
            self._bidding_until = now + BIDDING_S
        effects: Effects = []
        for name in self._waiters:
            effects += self._tell(name, types.Free(load), None)
        return effects

    # Data centre, lease and pauses

    def _find_bar(self) -> ErrorKind | None:
        if self.view.is_out(self.data_centre):
            return ErrorKind.DATA_CENTRE_OUT
        if not self.view.leased:
            return ErrorKind.LEASE_LAPSED
        return None

    def _follow_data_centre(self, now: float) -> Effects:
        out = self.view.is_out(self.data_centre)
        changed, self._was_out = out != self._was_out, out
        if not changed:
            return []
        # Flows of a data centre that is out are given up; on its return every server is taken
        # for cold.
        self.home.gate.cool(now)
        return self.home.close_all(now) if out else []

    def _note_event(self, now: float) -> None:
        if now - self._last_event > PAUSE_S:
            self._woke = now
        self._last_event = now

    # Helpers

    def _read_packet(self, raw: bytes) -> tuple[Packet, ServiceClass]:
        packet = parse_packet(raw)
        service = self.view.find_service(packet.flow.destination)
        if service is None or service.name != self.service:
            raise PacketError(str(packet.flow), ErrorKind.WRONG_SERVICE)
        service_class = self.view.find_class(self.service, packet.flow.destination_port)
        if service_class is None:
            raise PacketError(str(packet.flow), ErrorKind.UNKNOWN_CLASS)
        return packet, service_class

    def _answer(self, message: types.Message, body: types.Body) -> Send:
        effects = self._tell(message.sender, body, None)
        if not effects or not isinstance(effects[0], Send):
            raise MessageError(f"unknown sender {message.sender}", ErrorKind.STALE_TARGET)
        return effects[0]

    def _tell(self, name: str, body: types.Body, service_class: ServiceClass | None) -> Effects:
        class_name = service_class.name if service_class is not None else ""
        if name == self.name:
            # The agent answers itself even while no table lists it.
            own = Member(name, self.data_centre, "", 0, self.incarnation, MemberState.ACTIVE)
            return [self._outbox.send(own, body, class_name)]
        return self._outbox.send_by_name(name, body, class_name)

    def _resolve(self, effects: Effects, now: float) -> Effects:
        """Handle messages to this agent itself at once; return the rest."""
        done: Effects = []
        pending = list(effects)
        steps = 0
        while pending:
            effect = pending.pop(0)
            if not isinstance(effect, Send) or effect.message.target != self.name:
                done.append(effect)
                continue
            steps += 1
            if steps > LOCAL_STEPS_LIMIT:
                done.append(Drop(ErrorKind.TABLE_FULL))
                continue
            pending = self._dispatch(effect.message, now) + pending
        return done

"""The core of an agent: maps messages, load reports and timers to effects."""

from attrs import define, evolve, field

from fescueseam.admission.gate import Gate, LoadReport, Verdict
from fescueseam.agent.home import ADOPTION_WINDOW_S, HELD_OFFER_TIMEOUT_S, Home, Offer
from fescueseam.claims.registry import ClaimRegistry
from fescueseam.conf.models import AdmissionRules, ServiceClass
from fescueseam.effects import Drop, Effects, Probe, Send
from fescueseam.exceptions import ErrorKind, FescueseamError, MessageError, PacketError
from fescueseam.flows.keys import FlowKey, compute_bucket
from fescueseam.messages import types
from fescueseam.packets.ip import Packet, parse_packet
from fescueseam.placement.choice import ChooseCandidate, choose_least_utilised
from fescueseam.placement.recorder import Recorder
from fescueseam.routing.message_builder import MessageBuilder
from fescueseam.routing.table import Member, MemberState
from fescueseam.routing.view import View

PAUSE_THRESHOLD_S = 1.0
"""Shortest gap between two events that counts as a pause of the process, in seconds."""
REJECT_AFTER_PAUSE_S = 1.0
"""How long after a pause offers are rejected, because they may be stale, in seconds."""
OFFER_COLLECTION_S = 0.004
"""How long offers are collected after recorders were told of a free slot, in seconds."""

LOCAL_MESSAGES_LIMIT = 64
"""Most messages to itself that an agent handles for one event."""


@define
class Agent:
    """The core of an agent process: recorder, home and claims of one member of a service."""

    name: str
    incarnation: int
    service: str
    data_centre: str
    started: float
    rules: AdmissionRules
    view: View = field(factory=View)
    choose: ChooseCandidate = choose_least_utilised
    stopping: bool = False
    """Whether the process is shutting down and admits no new flows."""
    recorder: Recorder = field(init=False)
    home: Home = field(init=False)
    claims: ClaimRegistry = field(init=False)
    _builder: MessageBuilder = field(init=False)
    _waiting_recorders: dict[str, float] = field(factory=dict)
    """Until when each recorder with a rejected offer is told of free slots."""
    _collecting_until: float = float("-inf")
    """Until when offers are held, so that the opening that has waited longest gets the slot."""
    _announced_free_slots: int = 0
    """The free slots that the waiting recorders know of."""
    _last_event: float = field(init=False)
    _resumed: float = float("-inf")
    _was_data_centre_out: bool = False

    def __attrs_post_init__(self) -> None:
        self._builder = MessageBuilder(self.name, self.incarnation, self.service, self.view)
        self.recorder = Recorder(self._builder, self.choose, self.started + ADOPTION_WINDOW_S)
        self.home = Home(Gate(self.rules, self.started), self.started)
        self.claims = ClaimRegistry(self.started)
        self._last_event = self.started

    def handle_message(self, message: types.Message, now: float) -> Effects:
        """Handle a message from another process."""
        self._detect_pause(now)
        if message.target != self.name or message.service != self.service:
            return [Drop(ErrorKind.WRONG_SERVICE, message.class_name)]
        try:
            return self._handle_own_messages(self._dispatch(message, now), now)
        except FescueseamError as exc:
            return [Drop(exc.kind, message.class_name)]

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Handle a load report of the backend server, then decide on the held offers."""
        self._detect_pause(now)
        effects = self.home.handle_report(report, now)
        self.update_draining(report.draining)
        effects += self._judge_held_offers(report.requested, now)
        return self._handle_own_messages(effects + self._notify_waiting_recorders(now), now)

    def handle_backend_lost(self, now: float) -> Effects:
        """Handle the failure of the backend server, which ends every flow."""
        self._detect_pause(now)
        self.home.gate.note_lost(now)
        effects = self.home.close_all_flows(now)
        return self._handle_own_messages(effects + self._reject_held_offers(now), now)

    def handle_backend_packet(self, flow: FlowKey, now: float) -> None:
        """Record a packet from the backend server on a flow."""
        self.home.record_backend_packet(flow, now)

    def handle_flow_closed(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Close a flow that has ended."""
        effects = self.home.close_flow(flow, success, now)
        return self._handle_own_messages(effects + self._notify_waiting_recorders(now), now)

    def update_draining(self, reported: bool) -> None:
        """Drain if the backend server reports it, operators set it, or the agent is stopping."""
        drained = self.view.is_draining(self.name)
        self.home.gate.draining = reported or drained or self.stopping

    def tick(self, now: float) -> Effects:
        """Run all timers that are due."""
        self._detect_pause(now)
        effects = self._apply_data_centre_state(now)
        effects += self.recorder.tick(now)
        effects += self.home.tick(now)
        effects += self._expire_held_offers(now)
        return self._handle_own_messages(effects + self._notify_waiting_recorders(now), now)

    # Messages

    def _dispatch(self, message: types.Message, now: float) -> Effects:
        body = message.body
        match body:
            case types.Carry():
                return self._handle_carry(message, body, now)
            case types.Place():
                return self._handle_place(message, body, now)
            case types.Placed():
                return self.recorder.handle_placed(message.sender, body, now)
            case types.Full():
                return self.recorder.handle_full(message.sender, body, message.epoch, now)
            case types.NotHere():
                packet, service_class = self._read_packet(body.packet)
                return self.recorder.handle_not_here(message.sender, packet, service_class, now)
            case types.Ask():
                return self._handle_ask(message, body, now)
            case types.AskAnswer():
                return self.recorder.handle_ask_answer(message.sender, body, now)
            case types.Release():
                return self._handle_release(message, body, now)
            case types.Free():
                return self.recorder.handle_free(message.sender, body.load, now)
        raise MessageError(type(body).__name__)

    def _handle_carry(self, message: types.Message, body: types.Carry, now: float) -> Effects:
        packet, service_class = self._read_packet(body.packet)
        reason = self._find_unavailable_reason()
        if reason is not None:
            return [Drop(reason, service_class.name)]
        delivered = self.home.deliver_packet(packet, now)
        if delivered is not None:
            return delivered
        if body.homed:
            adopted = self.home.adopt_flow(packet, service_class, now)
            if adopted is not None:
                return adopted
            return [self._reply(message, types.NotHere(packet.flow, packet.raw))]
        if packet.flow in self.home.held_offers:
            return [Drop(ErrorKind.DUPLICATE_OPENING, service_class.name)]
        relayed = self._relay_carry(message, packet)
        if relayed is not None:
            return [relayed]
        return self.recorder.handle_packet(packet, service_class, now)

    def _relay_carry(self, message: types.Message, packet: Packet) -> Send | None:
        # The balancer chose the recorder by the table of an earlier epoch. The epoch in the message
        # grows with each relay, so no message loops.
        table = self.view.find_table(self.service)
        if table is None or message.epoch >= table.epoch:
            return None
        if packet.flow in self.recorder.homes or packet.flow in self.recorder.searches:
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

    def _handle_place(self, message: types.Message, body: types.Place, now: float) -> Effects:
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
            return self._reply_placed(offer, now)
        held = self.home.held_offers.get(packet.flow)
        if held is not None:
            return [] if held.recorder == offer.recorder else self._reject_offer(offer, now)
        return self._judge_offer(offer, now)

    def _judge_offer(self, offer: Offer, now: float, collection_over: bool = False) -> Effects:
        is_unavailable = (
            self._find_unavailable_reason() is not None
            or now < self._resumed + REJECT_AFTER_PAUSE_S
        )
        if is_unavailable or self.home.has_rejected(offer, now):
            return self._reject_offer(offer, now)
        verdict = self.home.judge(offer, now)
        if verdict is Verdict.ADMIT and now < self._collecting_until and not collection_over:
            verdict = Verdict.VERIFY
        if verdict is Verdict.ADMIT:
            effects = self.home.open_flow(offer.packet, offer.service_class, now)
            self._announced_free_slots -= 1
            return effects + self._reply_placed(offer, now)
        if verdict is Verdict.VERIFY:
            return self.home.hold_offer(offer)
        self._waiting_recorders[offer.recorder] = now + offer.service_class.wait_s
        self._announced_free_slots = 0
        # The agent cannot see the end of a QUIC flow, but a new report may show it.
        is_stale = self.home.gate.is_report_stale(now)
        return self._reject_offer(offer, now) + ([Probe()] if is_stale else [])

    def _handle_ask(self, message: types.Message, body: types.Ask, now: float) -> Effects:
        table = self.view.find_table(self.service)
        is_current = table is not None and message.epoch >= table.epoch
        granted = (
            body.claim > 0
            and is_current
            and self.claims.grant(body.flow, message.sender, message.incarnation, body.claim, now)
        )
        holds = self.home.has_delivered(body.flow, now) or (
            body.flow in self.home.held_offers
            and self.home.held_offers[body.flow].recorder != message.sender
        )
        barred = self.home.has_rejected_for_other_recorder(body.flow, message.sender, now) or (
            message.sender != self.name and self.recorder.has_refused(body.flow, now)
        )
        answer = types.AskAnswer(body.flow, holds, granted, body.claim, barred)
        return [self._reply(message, answer)]

    def _handle_release(self, message: types.Message, body: types.Release, now: float) -> Effects:
        self.claims.release(body.flow, message.sender, message.incarnation, body.claim)
        record = self.home.flows.find(body.flow)
        if record is None or not record.service_class.repeatable:
            return []
        return self.home.close_flow(body.flow, False, now) + self._notify_waiting_recorders(now)

    # Offers

    def _judge_held_offers(self, requested: float, now: float) -> Effects:
        # While offers are collected, request another report: its round trip leaves time for other
        # offers. If this report took no time, the next would not either, so decide now.
        if now < self._collecting_until and requested < now:
            return [Probe()] if self.home.held_offers else []
        effects: Effects = []
        # Free slots go to the openings that have waited longest.
        held = sorted(self.home.held_offers.items(), key=lambda item: item[1].started)
        for flow, offer in held:
            if offer.arrived <= requested:
                del self.home.held_offers[flow]
                effects += self._judge_offer(offer, now, collection_over=True)
        return effects

    def _reject_held_offers(self, now: float) -> Effects:
        effects: Effects = []
        while self.home.held_offers:
            _, offer = self.home.held_offers.popitem(last=False)
            effects += self._reject_offer(offer, now)
        return effects

    def _expire_held_offers(self, now: float) -> Effects:
        effects: Effects = []
        for flow, offer in list(self.home.held_offers.items()):
            if now >= offer.arrived + HELD_OFFER_TIMEOUT_S:
                del self.home.held_offers[flow]
                effects += self._reject_offer(offer, now)
        return effects

    def _reply_placed(self, offer: Offer, now: float) -> Effects:
        load = self.home.gate.describe_load(now)
        body = types.Placed(offer.attempt, offer.packet.flow, load)
        return self._send_to(offer.recorder, body, offer.service_class)

    def _reject_offer(self, offer: Offer, now: float) -> Effects:
        self.home.record_rejection(offer, now)
        if self.home.has_ended(offer.packet.flow, now):
            # The flow has run here, and a rejection could make the recorder refuse it as not run.
            return []
        load = self.home.gate.describe_load(now)
        flow = offer.packet.flow
        known = offer.recorder != self.name and self.recorder.knows_flow(flow)
        body = types.Full(offer.attempt, flow, load, known)
        return self._send_to(offer.recorder, body, offer.service_class)

    def _notify_waiting_recorders(self, now: float) -> Effects:
        # Since its last notification, a recorder may have more waiting openings than rejected
        # offers, so it is told of every freed slot until its wait ends.
        load = self.home.gate.describe_load(now)
        free_slots = load.slots - load.busy
        has_grown, self._announced_free_slots = (
            free_slots > max(0, self._announced_free_slots),
            free_slots,
        )
        if not has_grown or not self._waiting_recorders:
            return []
        self._waiting_recorders = {
            name: end for name, end in self._waiting_recorders.items() if end > now
        }
        if len(self._waiting_recorders) > 1 and now >= self._collecting_until:
            self._collecting_until = now + OFFER_COLLECTION_S
        effects: Effects = []
        for name in self._waiting_recorders:
            effects += self._send_to(name, types.Free(load), None)
        return effects

    # Data centre, lease and pauses

    def _find_unavailable_reason(self) -> ErrorKind | None:
        if self.view.is_data_centre_out(self.data_centre):
            return ErrorKind.DATA_CENTRE_OUT
        if not self.view.has_lease:
            return ErrorKind.LEASE_LAPSED
        return None

    def _apply_data_centre_state(self, now: float) -> Effects:
        is_out = self.view.is_data_centre_out(self.data_centre)
        changed, self._was_data_centre_out = is_out != self._was_data_centre_out, is_out
        if not changed:
            return []
        # When a data centre is taken out, its flows are closed. When it returns, every backend
        # server counts as cold.
        self.home.gate.reset_warm_up(now)
        return self.home.close_all_flows(now) if is_out else []

    def _detect_pause(self, now: float) -> None:
        if now - self._last_event > PAUSE_THRESHOLD_S:
            self._resumed = now
        self._last_event = now

    # Helpers

    def _read_packet(self, raw: bytes) -> tuple[Packet, ServiceClass]:
        packet = parse_packet(raw)
        service = self.view.find_service(packet.flow.destination)
        if service is None or service.name != self.service:
            raise PacketError(str(packet.flow), ErrorKind.WRONG_SERVICE)
        service_class = self.view.find_service_class(self.service, packet.flow.destination_port)
        if service_class is None:
            raise PacketError(str(packet.flow), ErrorKind.UNKNOWN_CLASS)
        return packet, service_class

    def _reply(self, message: types.Message, body: types.Body) -> Send:
        effects = self._send_to(message.sender, body, None)
        if not effects or not isinstance(effects[0], Send):
            raise MessageError(
                f"no table lists the sender {message.sender}", ErrorKind.STALE_TARGET
            )
        return effects[0]

    def _send_to(self, name: str, body: types.Body, service_class: ServiceClass | None) -> Effects:
        class_name = service_class.name if service_class is not None else ""
        if name == self.name:
            # The agent replies to itself even if no table lists it.
            this_member = Member(
                name, self.data_centre, "", 0, self.incarnation, MemberState.ACTIVE
            )
            return [self._builder.build_send(this_member, body, class_name)]
        return self._builder.build_send_by_name(name, body, class_name)

    def _handle_own_messages(self, effects: Effects, now: float) -> Effects:
        """Handle messages to this agent itself at once; return all other effects."""
        remaining: Effects = []
        pending = list(effects)
        handled = 0
        while pending:
            effect = pending.pop(0)
            if not isinstance(effect, Send) or effect.message.target != self.name:
                remaining.append(effect)
                continue
            handled += 1
            if handled > LOCAL_MESSAGES_LIMIT:
                remaining.append(Drop(ErrorKind.TABLE_FULL))
                continue
            pending = self._dispatch(effect.message, now) + pending
        return remaining

"""Decide for the flows whose home is the backend server beside this agent."""

import math
from collections import OrderedDict

from attrs import define, evolve, field, frozen

from fescueseam.admission.gate import MAX_REPORT_LAG_S, Gate, LoadReport, Verdict
from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.conf.models import FlowKind, ServiceClass, Transport
from fescueseam.effects import CloseFlow, Deliver, Drop, Effects, Metric, Observe, Probe
from fescueseam.exceptions import ErrorKind
from fescueseam.flows.expiring_set import ExpiringFlowSet
from fescueseam.flows.keys import FlowKey, compute_digest
from fescueseam.flows.table import FlowRecord, FlowTable
from fescueseam.packets.ip import FlowPhase, Packet, find_flow_phase

REJECTIONS_LIMIT = 16384
ENDED_FLOWS_LIMIT = 16384
HELD_OFFERS_LIMIT = 256
HELD_OFFER_TIMEOUT_S = 0.2
"""Bound the wait for the backend server's report before an opening is turned down."""
REQUEST_IDLE_S = 0.25
"""Free the slot of a flow that is no longer reported only if it was silent this long."""
MIN_SILENCE_BEFORE_REPLY_S = 0.02
"""Take an answer after at least this much silence for a reply, not for part of the handshake."""
REPLIED_REQUEST_IDLE_S = 0.04
"""Take a request at a warm server for done once it has been silent this long after a reply."""
IDLE_CHECK_INTERVAL_S = 0.25
"""Look for idle flows this often, because there may be thousands."""
REPORT_LAG_DECAY = 0.9995
"""Shorten the lag that reports are taken to have by this factor at each report."""
ADOPTION_WINDOW_S = 30.0
"""Adopt flows that a recorder holds this agent for the home of, this long after a start."""
TCP_FIN = 0x01


@frozen
class Offer:
    """Hold an opening that a recorder offers."""

    recorder: str
    incarnation: int
    attempt: int
    packet: Packet = field(repr=False)
    service_class: ServiceClass
    arrived: float
    age_s: float = 0.0
    """Tell how long the opening had waited when it was offered, in seconds."""

    @property
    def started(self) -> float:
        """Return when the opening began to look for a home."""
        return self.arrived - self.age_s


@frozen
class Rejection:
    """Remember the last attempt that was turned down for a flow."""

    recorder: str
    incarnation: int
    attempt: int
    expires: float


@define
class Home:
    """Hold flows, held offers and what was turned down."""

    gate: Gate
    started: float
    flows: FlowTable = field(factory=FlowTable)
    held_offers: OrderedDict[FlowKey, Offer] = field(factory=OrderedDict)
    _idle_checked: float = float("-inf")
    _report_lag_s: float = REQUEST_IDLE_S
    """Take reports to be this late; a slot freed in error doubles it."""
    _rejections: OrderedDict[FlowKey, Rejection] = field(factory=OrderedDict)
    _ended_repeatable: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(ENDED_FLOWS_LIMIT))

    def has_delivered(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a flow is open here or has run here lately."""
        return self.flows.find(flow) is not None or self.flows.has_run(flow, now)

    def has_rejected(self, offer: Offer, now: float) -> bool:
        """Tell whether the offer, or another recorder's for the flow, was turned down before."""
        flow = offer.packet.flow
        known = self._rejections.get(flow)
        if known is None or known.expires <= now:
            return False
        same = (known.recorder, known.incarnation) == (offer.recorder, offer.incarnation)
        return not same or offer.attempt <= known.attempt

    def has_rejected_for_other_recorder(self, flow: FlowKey, recorder: str, now: float) -> bool:
        """Tell whether an offer of the flow by another recorder was turned down lately."""
        known = self._rejections.get(flow)
        return known is not None and known.expires > now and known.recorder != recorder

    def judge(self, offer: Offer, now: float) -> Verdict:
        """Return the verdict on an offer; openings that must not repeat need room to remember."""
        if not self.flows.has_room():
            return Verdict.FULL
        verdict = self.gate.judge(offer.service_class.kind, offer.arrived, now)
        if verdict is Verdict.VERIFY and len(self.held_offers) >= HELD_OFFERS_LIMIT:
            return Verdict.FULL
        return verdict

    def record_rejection(self, offer: Offer, now: float) -> None:
        """Remember that an offer was turned down, so that a late copy of it is too."""
        expires = now + PACKET_LIFETIME_S
        entry = Rejection(offer.recorder, offer.incarnation, offer.attempt, expires)
        if self.has_rejected(offer, now):
            # What was turned down first stands: neither a late copy of an earlier attempt nor
            # another recorder's offer may make room for a copy of it.
            entry = evolve(self._rejections[offer.packet.flow], expires=expires)
        self._rejections[offer.packet.flow] = entry
        self._rejections.move_to_end(offer.packet.flow)
        while len(self._rejections) > REJECTIONS_LIMIT:
            self._rejections.popitem(last=False)

    def open_flow(self, packet: Packet, service_class: ServiceClass, now: float) -> Effects:
        """Open a flow that was admitted."""
        self.gate.take(service_class.kind, now)
        record = FlowRecord(packet.flow, service_class, now, now)
        if service_class.transport is Transport.UDP and not service_class.repeatable:
            record.opening_digest = compute_digest(packet.payload)
        self.flows.add(record)
        return [Deliver(packet.flow, service_class, packet, opening=True)]

    def deliver_packet(self, packet: Packet, now: float) -> Effects | None:
        """Deliver a packet of an open flow; return None if the flow is not held here."""
        record = self.flows.find(packet.flow)
        if record is None:
            if self.flows.has_run(packet.flow, now):
                return [Drop(ErrorKind.DUPLICATE_OPENING)]
            return None
        if record.is_opening_copy(packet.payload):
            return [Drop(ErrorKind.DUPLICATE_OPENING, record.service_class.name)]
        self._record_activity(record, now, from_backend=False)
        record.finishing = record.finishing or bool(packet.tcp_flags & TCP_FIN)
        effects: Effects = [Deliver(packet.flow, record.service_class, packet)]
        if find_flow_phase(packet, record.service_class.transport) is FlowPhase.CLOSING:
            effects += self.close_flow(packet.flow, True, now)
        return effects

    def adopt_flow(self, packet: Packet, service_class: ServiceClass, now: float) -> Effects | None:
        """Take over a flow of an earlier incarnation of this agent, soon after a start."""
        if now > self.started + ADOPTION_WINDOW_S:
            return None
        if find_flow_phase(packet, service_class.transport) is not FlowPhase.ESTABLISHED:
            return None
        self.gate.take(service_class.kind, now)
        self.flows.add(FlowRecord(packet.flow, service_class, now, now))
        return [Deliver(packet.flow, service_class, packet, opening=True)]

    def record_backend_packet(self, flow: FlowKey, now: float) -> None:
        """Note that the backend server has answered."""
        record = self.flows.find(flow)
        if record is not None:
            self._record_activity(record, now, from_backend=True)

    def close_flow(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Close a flow and give its slot or connection back."""
        record = self.flows.remove(flow)
        if record is None:
            return []
        if record.counted:
            self.gate.give_back(record.service_class.kind, success, now)
        if not record.service_class.repeatable:
            self.flows.quarantine(flow, now + PACKET_LIFETIME_S)
        else:
            self._ended_repeatable.add(flow, now + PACKET_LIFETIME_S)
        life_s = now - record.opened
        return [CloseFlow(flow), Observe(Metric.FLOW_LIFE_S, life_s, record.service_class.name)]

    def has_ended(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a flow that may be repeated has run here lately."""
        return self._ended_repeatable.contains(flow, now)

    def close_all_flows(self, now: float) -> Effects:
        """Close every flow, none of them a success."""
        effects: Effects = []
        for record in self.flows:
            effects += self.close_flow(record.key, False, now)
        return effects

    def _close_flows_opened_before(self, restart: float, now: float) -> Effects:
        # A flow that opened after the restart lives; without an uptime none is known to.
        effects: Effects = []
        for record in self.flows:
            if math.isinf(restart) or record.opened < restart:
                effects += self.close_flow(record.key, False, now)
        return effects

    def hold_offer(self, offer: Offer) -> Effects:
        """Hold an offer until the backend server has reported."""
        self.held_offers[offer.packet.flow] = offer
        return [Probe()]

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Take a load report; end the flows that a restart has cut."""
        restarted = self.gate.note_report(report, now)
        if restarted:
            return self._close_flows_opened_before(now - report.uptime_s, now)
        self._reconcile_slots(report, now)
        return []

    def expire(self, now: float) -> Effects:
        """Close flows that have been idle for too long."""
        self._free_answered_requests(now)
        effects: Effects = []
        if now < self._idle_checked + IDLE_CHECK_INTERVAL_S:
            return effects
        self._idle_checked = now
        for record in self.flows:
            if record.is_idle(now):
                effects += self.close_flow(record.key, True, now)
        return effects

    def _record_activity(self, record: FlowRecord, now: float, from_backend: bool) -> None:
        if from_backend and now >= record.last_seen + MIN_SILENCE_BEFORE_REPLY_S:
            record.replied_after_pause = True
        record.last_seen = now
        record.last_from_backend = from_backend
        if not record.counted:
            record.counted = True
            self._report_lag_s = min(MAX_REPORT_LAG_S, 2 * self._report_lag_s)
            self.gate.take(record.service_class.kind, now)
            # The report that freed the slot was wrong, so no other one is believed for a while.
            self.gate.distrust_reports()

    def _free_answered_requests(self, now: float) -> None:
        # A datagram service has done its work once it has answered; nothing else is to come. The
        # end of other requests is hidden: one that was answered after a pause and is silent again
        # is taken for done, but only where a wrong guess overloads no cold server.
        warm = self.gate.is_warm()
        for record in self._list_counted_requests():
            if not record.last_from_backend:
                continue
            plain = record.service_class.transport is Transport.UDP
            silent_s = now - record.last_seen
            if (plain and silent_s >= REQUEST_IDLE_S) or (
                warm and record.replied_after_pause and silent_s >= REPLIED_REQUEST_IDLE_S
            ):
                self._free_slot(record, now)

    def _reconcile_slots(self, report: LoadReport, now: float) -> None:
        # A report can lag and mislead. It frees a slot but ends no flow. It tells nothing of a
        # flow that opened within its lag; at a server that is warming up the lag is the longest.
        warm = self.gate.is_warm()
        if not warm and not self.gate.trusts_reports:
            return
        lag_s = self._report_lag_s if warm else MAX_REPORT_LAG_S
        self._report_lag_s = max(REQUEST_IDLE_S, self._report_lag_s * REPORT_LAG_DECAY)
        requests = self._list_counted_requests()
        streams = sum(record.counted for record in self.flows) - len(requests)
        idle_s = REQUEST_IDLE_S if warm else MAX_REPORT_LAG_S
        known = [record for record in requests if record.opened + lag_s <= report.requested]
        silent = [record for record in known if record.last_seen + idle_s <= report.requested]
        excess = len(known) - max(report.busy, report.connections - streams)
        # A finished request has answered long after it opened, a running one has not.
        silent.sort(key=lambda record: record.opened - record.last_seen)
        for record in silent[: max(0, excess)]:
            self._free_slot(record, now)

    def _list_counted_requests(self) -> list[FlowRecord]:
        return [
            record
            for record in self.flows
            if record.counted and record.service_class.kind is FlowKind.REQUEST
        ]

    def _free_slot(self, record: FlowRecord, now: float) -> None:
        record.counted = False
        self.gate.give_back(FlowKind.REQUEST, True, now)

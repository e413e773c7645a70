"""The flows that an agent holds for its backend server, and the offers of new ones."""

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
"""Longest time an offer waits for a load report before it is rejected, in seconds."""
REQUEST_IDLE_S = 0.25
"""Silence after which a request is taken for finished, in seconds.

Applies to datagram requests that were answered, and to requests that a load report of a warm
server no longer counts. Also the shortest assumed lag of reports.
"""
MIN_SILENCE_BEFORE_REPLY_S = 0.02
"""Shortest silence after which a packet of the backend server counts as its reply, in seconds.

A packet that follows sooner may be part of the handshake.
"""
REPLIED_REQUEST_IDLE_S = 0.04
"""Silence after the reply to a request at a warm server until its slot is freed, in seconds."""
IDLE_CHECK_INTERVAL_S = 0.25
"""Time between scans for idle flows, in seconds; there may be thousands of flows."""
REPORT_LAG_DECAY = 0.9995
"""Factor by which each report shortens the assumed lag of reports."""
ADOPTION_WINDOW_S = 30.0
"""How long after its start an agent adopts flows of its earlier incarnation, in seconds."""
TCP_FIN = 0x01


@frozen
class Offer:
    """An opening that a recorder offers to this member."""

    recorder: str
    incarnation: int
    attempt: int
    packet: Packet = field(repr=False)
    service_class: ServiceClass
    arrived: float
    age_s: float = 0.0
    """How long the search for a home had taken when the offer was sent, in seconds."""

    @property
    def started(self) -> float:
        """Return when the search for a home started."""
        return self.arrived - self.age_s


@frozen
class Rejection:
    """The first recorder whose offer of a flow was rejected, and its newest rejected attempt."""

    recorder: str
    incarnation: int
    attempt: int
    expires: float


@define
class Home:
    """The member in its role as home of flows.

    Holds the flows that are open at its backend server, the offers that wait for a load report, and
    the offers that it has rejected. Its gate limits what it admits.
    """

    gate: Gate
    started: float
    flows: FlowTable = field(factory=FlowTable)
    held_offers: OrderedDict[FlowKey, Offer] = field(factory=OrderedDict)
    _idle_checked: float = float("-inf")
    _report_lag_s: float = REQUEST_IDLE_S
    """Assumed lag of load reports, in seconds; doubled when a slot was freed too early."""
    _rejections: OrderedDict[FlowKey, Rejection] = field(factory=OrderedDict)
    _ended_repeatable: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(ENDED_FLOWS_LIMIT))

    def has_delivered(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow is open here, or non-repeatable and recently closed."""
        return self.flows.find(flow) is not None or self.flows.has_run(flow, now)

    def has_rejected(self, offer: Offer, now: float) -> bool:
        """Return whether this offer, or one of another recorder for the flow, was rejected."""
        flow = offer.packet.flow
        rejection = self._rejections.get(flow)
        if rejection is None or rejection.expires <= now:
            return False
        is_same_recorder = (rejection.recorder, rejection.incarnation) == (
            offer.recorder,
            offer.incarnation,
        )
        return not is_same_recorder or offer.attempt <= rejection.attempt

    def has_rejected_for_other_recorder(self, flow: FlowKey, recorder: str, now: float) -> bool:
        """Return whether an offer of the flow by another recorder was rejected recently."""
        rejection = self._rejections.get(flow)
        return rejection is not None and rejection.expires > now and rejection.recorder != recorder

    def judge(self, offer: Offer, now: float) -> Verdict:
        """Return the decision on an offer; FULL also if no quarantine entry is left for the flow.

        Without an entry, a delayed copy of a non-repeatable opening could run again.
        """
        if not self.flows.has_room():
            return Verdict.FULL
        verdict = self.gate.judge(offer.service_class.kind, offer.arrived, now)
        if verdict is Verdict.VERIFY and len(self.held_offers) >= HELD_OFFERS_LIMIT:
            return Verdict.FULL
        return verdict

    def record_rejection(self, offer: Offer, now: float) -> None:
        """Record a rejected offer, so that delayed copies of it are rejected too."""
        expires = now + PACKET_LIFETIME_S
        rejection = Rejection(offer.recorder, offer.incarnation, offer.attempt, expires)
        if self.has_rejected(offer, now):
            # The earlier entry stays. If a delayed copy of an older attempt or an offer of another
            # recorder replaced it, a copy of the rejected offer could be admitted.
            rejection = evolve(self._rejections[offer.packet.flow], expires=expires)
        self._rejections[offer.packet.flow] = rejection
        self._rejections.move_to_end(offer.packet.flow)
        while len(self._rejections) > REJECTIONS_LIMIT:
            self._rejections.popitem(last=False)

    def open_flow(self, packet: Packet, service_class: ServiceClass, now: float) -> Effects:
        """Open an admitted flow."""
        self.gate.take(service_class.kind, now)
        record = FlowRecord(packet.flow, service_class, now, now)
        if service_class.transport is Transport.UDP and not service_class.repeatable:
            record.opening_digest = compute_digest(packet.payload)
        self.flows.add(record)
        return [Deliver(packet.flow, service_class, packet, opening=True)]

    def deliver_packet(self, packet: Packet, now: float) -> Effects | None:
        """Deliver a packet of an open flow; return None for a flow that is unknown here."""
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
        """Take over a flow of an earlier incarnation of this agent, or return None."""
        if now > self.started + ADOPTION_WINDOW_S:
            return None
        if find_flow_phase(packet, service_class.transport) is not FlowPhase.ESTABLISHED:
            return None
        self.gate.take(service_class.kind, now)
        self.flows.add(FlowRecord(packet.flow, service_class, now, now))
        return [Deliver(packet.flow, service_class, packet, opening=True)]

    def record_backend_packet(self, flow: FlowKey, now: float) -> None:
        """Record a packet from the backend server."""
        record = self.flows.find(flow)
        if record is not None:
            self._record_activity(record, now, from_backend=True)

    def close_flow(self, flow: FlowKey, success: bool, now: float) -> Effects:
        """Close a flow and free its slot or connection."""
        record = self.flows.remove(flow)
        if record is None:
            return []
        if record.holds_capacity:
            self.gate.give_back(record.service_class.kind, success, now)
        if not record.service_class.repeatable:
            self.flows.quarantine(flow, now + PACKET_LIFETIME_S)
        else:
            self._ended_repeatable.add(flow, now + PACKET_LIFETIME_S)
        life_s = now - record.opened
        return [CloseFlow(flow), Observe(Metric.FLOW_LIFE_S, life_s, record.service_class.name)]

    def has_ended(self, flow: FlowKey, now: float) -> bool:
        """Return whether a repeatable flow was recently closed here."""
        return self._ended_repeatable.contains(flow, now)

    def close_all_flows(self, now: float) -> Effects:
        """Close every flow as failed."""
        effects: Effects = []
        for record in self.flows:
            effects += self.close_flow(record.key, False, now)
        return effects

    def _close_flows_opened_before(self, restart: float, now: float) -> Effects:
        # Flows that opened after the restart go on. Without an uptime, the time of the restart is
        # unknown and all flows are closed.
        effects: Effects = []
        for record in self.flows:
            if math.isinf(restart) or record.opened < restart:
                effects += self.close_flow(record.key, False, now)
        return effects

    def hold_offer(self, offer: Offer) -> Effects:
        """Keep an offer until the next load report and request one."""
        self.held_offers[offer.packet.flow] = offer
        return [Probe()]

    def handle_report(self, report: LoadReport, now: float) -> Effects:
        """Process a load report; close the flows that ended with a restart."""
        restarted = self.gate.note_report(report, now)
        if restarted:
            return self._close_flows_opened_before(now - report.uptime_s, now)
        self._reconcile_slots(report, now)
        return []

    def tick(self, now: float) -> Effects:
        """Free the slots of answered requests and close idle flows."""
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
            record.replied_after_silence = True
        record.last_seen = now
        record.last_from_backend = from_backend
        if not record.holds_capacity:
            record.holds_capacity = True
            self._report_lag_s = min(MAX_REPORT_LAG_S, 2 * self._report_lag_s)
            self.gate.take(record.service_class.kind, now)
            # The slot was freed while the request was running, so reports are not trusted for now.
            self.gate.distrust_reports()

    def _free_answered_requests(self, now: float) -> None:
        # A datagram service has finished a request once it has answered. The end of other requests
        # is not visible: one that was answered after a silence and is silent again counts as
        # finished, but only at a warm server, since a wrong guess could overload a cold one.
        is_warm = self.gate.is_warm()
        for record in self._list_requests_with_slots():
            if not record.last_from_backend:
                continue
            is_datagram = record.service_class.transport is Transport.UDP
            silent_s = now - record.last_seen
            if (is_datagram and silent_s >= REQUEST_IDLE_S) or (
                is_warm and record.replied_after_silence and silent_s >= REPLIED_REQUEST_IDLE_S
            ):
                self._free_slot(record, now)

    def _reconcile_slots(self, report: LoadReport, now: float) -> None:
        # A report may be delayed or wrong, so it frees slots but closes no flow. It says nothing
        # about flows that opened within its lag; during warm-up the longest lag is assumed.
        is_warm = self.gate.is_warm()
        if not is_warm and not self.gate.trusts_reports:
            return
        lag_s = self._report_lag_s if is_warm else MAX_REPORT_LAG_S
        self._report_lag_s = max(REQUEST_IDLE_S, self._report_lag_s * REPORT_LAG_DECAY)
        requests = self._list_requests_with_slots()
        streams = sum(record.holds_capacity for record in self.flows) - len(requests)
        idle_s = REQUEST_IDLE_S if is_warm else MAX_REPORT_LAG_S
        covered = [record for record in requests if record.opened + lag_s <= report.requested]
        idle = [record for record in covered if record.last_seen + idle_s <= report.requested]
        excess = len(covered) - max(report.busy, report.connections - streams)
        # A request whose last packet came long after its opening has most likely finished, so free
        # these first.
        idle.sort(key=lambda record: record.opened - record.last_seen)
        for record in idle[: max(0, excess)]:
            self._free_slot(record, now)

    def _list_requests_with_slots(self) -> list[FlowRecord]:
        return [
            record
            for record in self.flows
            if record.holds_capacity and record.service_class.kind is FlowKind.REQUEST
        ]

    def _free_slot(self, record: FlowRecord, now: float) -> None:
        record.holds_capacity = False
        self.gate.give_back(FlowKind.REQUEST, True, now)

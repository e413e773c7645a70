"""Decisions of an agent about the packets to and from its backend server."""

from attrs import define, evolve, field

from fescueseam.handshake.backend import BackendMonitor, Heartbeat, HeartbeatOutcome
from fescueseam.handshake.effects import (
    Deliver,
    Effects,
    LogEvent,
    Observe,
    SendNotice,
    SendReset,
    SendToCaller,
)
from fescueseam.handshake.failures import FailureTracker, compute_stuck_after
from fescueseam.handshake.flows import IDLE_FLOW_TIMEOUT_S, Flow, FlowTable
from fescueseam.handshake.holders import build_held_flows
from fescueseam.handshake.load_averages import LoadAverages
from fescueseam.handshake.member import Availability, Load, Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import (
    Holding,
    Locate,
    LocateBatch,
    Located,
    LocatedBatch,
    Report,
)
from fescueseam.handshake.opening_admission import OpeningAdmission, return_packet
from fescueseam.handshake.outages import OutageHolds
from fescueseam.handshake.segments import (
    FlowId,
    Purpose,
    Segment,
    compute_service_tag,
    format_flow,
)
from fescueseam.overload.speeds import RECOVERED_RATIO
from fescueseam.overload.work import LearnedWork


@define(eq=False)
class Agent:
    """Admission and flow table of one agent.

    Packets that its backend server cannot take are returned to the balancer.
    """

    fleet: Fleet
    backend: BackendMonitor
    started_at: float
    flows: FlowTable = field(factory=FlowTable)
    failures: FailureTracker = field(factory=FailureTracker)
    averages: LoadAverages = field(factory=LoadAverages)
    outage_holds: OutageHolds = field(factory=OutageHolds)
    work: LearnedWork = field(factory=LearnedWork)
    admission: OpeningAdmission = field(init=False)
    _service_tag: int = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.admission = OpeningAdmission(self.fleet.own, self.backend, self.flows, self.averages)
        self._service_tag = compute_service_tag(self.backend.service)

    def handle_packet(self, segment: Segment, now: float) -> Effects:
        """Return the effects of a caller's packet that a balancer forwarded."""
        flow = segment.get_flow_from_caller()
        if segment.mark.service_tag != self._service_tag:
            fields = {"flow": format_flow(flow), "reason": "wrong-service"}
            return [
                LogEvent("packet-returned", fields),
                return_packet(
                    segment, self.backend.service, segment.mark.origin, Purpose.WRONG_SERVICE
                ),
            ]
        entry = self.flows.find(flow)
        if segment.opens:
            return self.admission.admit(segment, flow, entry, now)
        if entry is not None:
            self._update_utilisation(now)
            self._record_caller_packet(flow, entry, segment, now)
            if segment.resets:
                self.flows.remove(flow)
            return [Deliver(segment)]
        is_unsure = segment.mark.purpose is Purpose.PROBE or not self.backend.may_deny_flows(now)
        if is_unsure and not self.backend.is_missing(now):
            entry = self.flows.add(flow, now)
            entry.probe_origin = segment.mark.origin
            self.flows.record_caller_packet(flow, entry, segment, now)
            return [LogEvent("flow-probed", {"flow": format_flow(flow)}), Deliver(segment)]
        return [return_packet(segment, self.backend.service, segment.mark.origin, Purpose.NOT_HERE)]

    def handle_backend_packet(self, segment: Segment, now: float) -> Effects:
        """Return the effects of a packet that the backend server sent."""
        self.backend.record_packet()
        if segment.returned:
            return self._handle_returned_packet(segment, now)
        flow = segment.get_flow_to_caller()
        effects: Effects = [SendToCaller(segment)]
        opening = self.admission.take_delivered(flow)
        if opening is not None:
            duration_s = now - opening.delivered_at
            effects.append(Observe("opening_seconds", self.backend.service, duration_s))
        entry = self.flows.find(flow)
        if entry is None:
            if segment.resets:
                return effects
            entry = self.flows.add(flow, now)
        if entry.probe_origin:
            effects.append(SendNotice(entry.probe_origin, Located(flow, Holding.YES)))
            entry.probe_origin = 0
        if not segment.opens:
            if not entry.is_open:
                self.averages.record_flow()
            self.flows.mark_open(flow, entry)
            self.averages.record_answer_bytes(segment.data_bytes)
        self._update_utilisation(now)
        end = self.flows.record_backend_packet(flow, entry, segment, now)
        if end is not None:
            is_usual = not self.backend.cold_start.is_cold(now)
            self.work.record_end(flow, end.answered, self.flows.busy, is_usual, now)
            self.failures.record_request_end(not end.answered, now)
        if end is not None and end.answered:
            slots = max(1, self.backend.get_slots(1))
            self.averages.record_service_time(end.duration_s, (self.flows.busy + 1) / slots)
            effects.append(Observe("service_seconds", self.backend.service, end.duration_s))
        elif end is not None:
            fields = {
                "flow": format_flow(flow),
                "at_work_ms": round(end.duration_s * 1000),
                "failing": round(self.failures.compute_failing_share(0, now), 2),
            }
            effects.append(LogEvent("request-unanswered", fields))
        if end is not None and self.work.slowness.poll_turned_slow():
            effects += self.report_to_all(now)
        if segment.resets:
            self.flows.mark_ended(flow, entry)
        return effects + self.admission.admit_waiting(now) if end is not None else effects

    def handle_locate(self, origin: int, body: Locate, now: float) -> Effects:
        """Reply whether the backend server holds a flow."""
        holding = self._find_holding(body.flow, body.service, now)
        return [SendNotice(origin, Located(body.flow, holding))]

    def handle_locate_batch(self, origin: int, body: LocateBatch, now: float) -> Effects:
        """Reply for each flow whether the backend server holds it."""
        answers = (
            Located(item, self._find_holding(item, body.service, now)) for item in body.flows
        )
        return [SendNotice(origin, LocatedBatch(tuple(answers)))]

    def handle_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> tuple[HeartbeatOutcome, Effects]:
        """Record a heartbeat; return its outcome and its effects."""
        before = self.backend.compute_availability(now)
        outcome = self.backend.record_heartbeat(heartbeat, now)
        effects: Effects = []
        if outcome is HeartbeatOutcome.NEW_START:
            # Flows of the previous start stay in the table, so that their callers are sent a reset
            # as soon as the backend server returns a packet.
            self.flows.clear_pending_requests()
            self.failures = FailureTracker()
            self.work.reset_pending()
            fields = {"backend": heartbeat.name, "sequence": heartbeat.sequence}
            effects.append(LogEvent("backend-started", fields))
        after = self.backend.compute_availability(now)
        if before is not after or outcome is HeartbeatOutcome.NEW_START:
            fields = {
                "backend": heartbeat.name,
                "was": before.value,
                "is": after.value,
                "sequence": heartbeat.sequence,
                "cold_left_ms": round(heartbeat.cold_left_s * 1000),
            }
            effects += [LogEvent("backend-state", fields), *self.report_to_all(now)]
        return outcome, effects

    def handle_deregistration(self, name: str, now: float) -> Effects:
        """Record that a backend server has deregistered, and report it."""
        if not self.backend.record_deregistration(name, now):
            return []
        return self._report_departure(name, now)

    def handle_report(self, body: Report, now: float) -> Effects:
        """Apply the rules and the outage of a balancer's report if they are newer."""
        effects: Effects = []
        if body.rules_version > self.admission.rules_version:
            self.admission.rules_version = body.rules_version
            self.admission.cold_bounds = dict(body.cold_bounds)
            effects.append(LogEvent("rules-taken", {"config": body.rules_version}))
        previous = self.admission.outage
        outage = self.outage_holds.apply(previous, body.outage, now, body.outage_held_s)
        if self.admission.take_outage(outage, body.outage.revision > 0, now):
            fields = {
                "out": sorted(outage.data_centres),
                "revision": outage.revision,
                "store_era": outage.era,
            }
            effects.append(LogEvent("outage-taken", fields))
        if outage.held - previous.held:
            held_fields = {"held": sorted(outage.held), "store_era": outage.era}
            effects.append(LogEvent("outage-held", held_fields))
        return effects

    def has_pending_work(self) -> bool:
        """Return whether an opening packet awaits the backend server's answer."""
        return self.admission.has_pending_work()

    def start_shutdown(self, now: float) -> Effects:
        """Stop admitting flows and report this to the balancers."""
        self.admission.leaving = True
        return [*self.admission.admit_waiting(now), *self.report_to_all(now)]

    def has_accepted_work(self, now: float) -> bool:
        """Return whether a stop now would cut off a request or an accepted flow."""
        has_left = self.backend.compute_availability(now) is Availability.LEFT
        return not has_left and self.flows.count_at_work(now) > 0

    def describe_load(self, now: float) -> Load:
        """Return the load for the next report, without the learned work."""
        self._update_utilisation(now)
        slowness = self.work.compute_slowness(self.flows.is_pending, now)
        stuck = self.flows.count_stuck(compute_stuck_after(self.averages.service_time_s), now)
        return Load(
            availability=self.backend.compute_availability(now),
            busy=self.flows.busy + len(self.admission.waiting),
            flows=self.flows.count_open(),
            slots=self.backend.get_slots(0),
            utilisation=self.averages.utilisation,
            service_time_s=self.averages.service_time_s,
            failing=self.failures.compute_failing_share(stuck, now),
            cold=self.admission.may_be_cold(now),
            leaving=self.admission.leaving,
            held=build_held_flows(self.flows, self.backend, now),
            slowness=slowness if slowness >= RECOVERED_RATIO else 0.0,
            flow_bytes=self.averages.flow_bytes,
        )

    def build_report(
        self, now: float, requests_report: bool = False, requests_members: bool = False
    ) -> Report:
        """Return a report for balancers."""
        return Report(
            self.fleet.own,
            self.describe_load(now),
            self.admission.rules_version,
            self.admission.outage,
            requests_report=requests_report,
            requests_members=requests_members,
        )

    def report_to_all(self, now: float) -> Effects:
        """Report to every reachable balancer."""
        members = [
            item for item in self.fleet.list_balancers() if not self.fleet.is_unreachable(item, now)
        ]
        for member in members:
            member.last_report_sent_at = now
        return self._report_to(members, now)

    def _report_departure(self, backend: str, now: float) -> Effects:
        fields = {"backend": backend, "is": Availability.LEFT.value}
        return [LogEvent("backend-state", fields), *self.report_to_all(now)]

    def report_to_due_balancers(self, elapsed_s: float, now: float) -> Effects:
        """Report to the balancers whose report is due."""
        return self._report_to(self.fleet.select_due_members(elapsed_s, now), now)

    def _report_to(self, members: list[Member], now: float) -> Effects:
        if not members:
            return []
        body = self.build_report(now)
        work = self.work.collect_report(self.flows.flows, now)
        body_with_work = evolve(body, load=evolve(body.load, work=work)) if work else body
        effects: Effects = []
        for member in members:
            is_work_due = self.work.is_due(member.work_sent_at, now)
            if is_work_due:
                member.work_sent_at = now
            effects.append(
                SendNotice(member.identity.address, body_with_work if is_work_due else body)
            )
        return effects

    def tick(self, now: float, heard_until: float | None = None) -> Effects:
        """Return unanswered opening packets to their balancers and expire old flows.

        Packets that arrived after `heard_until`, by default now, may not have been read yet.
        """
        effects: Effects = []
        self.backend.record_running(now)
        heard_until = now if heard_until is None else heard_until
        effects += self.admission.handle_overdue_openings(now, heard_until)
        effects += self.admission.admit_waiting(now)
        self.flows.expire(now, IDLE_FLOW_TIMEOUT_S)
        if self.backend.notice_absence(now):
            effects += self._report_departure("", now)
        return effects

    def _find_holding(self, flow: FlowId, service: str, now: float) -> Holding:
        entry = self.flows.find(flow)
        if service != self.backend.service:
            return Holding.NO
        if flow in self.admission.waiting:
            return Holding.WAITING
        if entry is None or entry.probe_origin:
            is_certain = self.backend.may_deny_flows(now) or self.backend.is_missing(now)
            return Holding.NO if is_certain else Holding.UNSURE
        if entry.is_open:
            return Holding.YES
        return Holding.HALF_OPEN if entry.answered else Holding.NO

    def _handle_returned_packet(self, segment: Segment, now: float) -> Effects:
        flow = segment.get_flow_from_caller()
        opening = self.admission.take_delivered(flow)
        if segment.opens:
            self.flows.remove(flow)
            origin = segment.mark.origin or (opening.segment.mark.origin if opening else 0)
            fields = {"flow": format_flow(flow), "reason": "backend-returned"}
            return [
                LogEvent("opening-returned", fields),
                return_packet(segment, self.backend.service, origin, Purpose.NOT_ADMITTING),
            ]
        entry = self.flows.remove(flow)
        if entry is not None and entry.is_open and not entry.ended:
            fields = {"flow": format_flow(flow), "reason": "backend-lost-it"}
            return [LogEvent("flow-reset", fields), SendReset(segment)]
        return [return_packet(segment, self.backend.service, segment.mark.origin, Purpose.NOT_HERE)]

    def _record_caller_packet(
        self, flow: FlowId, entry: Flow, segment: Segment, now: float
    ) -> None:
        requests = entry.requests
        self.flows.record_caller_packet(flow, entry, segment, now)
        if entry.pending_request_at == now:
            is_new = entry.requests > requests
            slots = self.backend.get_slots(1)
            self.work.record_request(flow, is_new, self.flows.busy, slots, now)

    def _update_utilisation(self, now: float) -> None:
        self.averages.record_busy_slots(self.flows.busy, self.backend.get_slots(0), now)

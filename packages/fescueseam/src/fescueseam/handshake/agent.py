"""Decide what an agent does with the packets to and from its backend server."""

import math
from collections import OrderedDict

from attrs import define, field

from fescueseam.handshake.backend import Backend, Heartbeat, Verdict
from fescueseam.handshake.cold_start import UNKNOWN_BOUND_PER_S
from fescueseam.handshake.effects import Answer, Deliver, Effects, Hand, Note, Observe, Reset, Tell
from fescueseam.handshake.failures import Failures, compute_stuck_after
from fescueseam.handshake.flows import Flow, FlowTable
from fescueseam.handshake.members import Availability, Fleet, Load, Member, compute_tag
from fescueseam.handshake.notices import Holding, Locate, Located, Report
from fescueseam.handshake.rules import Outage
from fescueseam.handshake.segments import FlowId, Mark, Purpose, Segment, format_flow

ANSWER_TIMEOUT_S = 0.04
"""Pass an opening packet on if the backend server has not answered after this time, in seconds."""
INSIST_FACTOR = 6
"""Take this many requests a slot when no other backend server has room; the rest would wait too
long to be of use."""
AVERAGING_S = 3.0
"""Average utilisation over about this time, in seconds."""
SERVICE_TIME_SHARE = 0.1
"""Weigh a new service time by this part in the running mean."""
IDLE_KEPT_S = 60.0
"""Forget a flow idle for longer than any is kept by callers, in seconds."""
BUSY = "busy"
"""Name the one objection that passes by itself within a service time."""


@define(eq=False)
class Waiting:
    """Hold an opening packet that the backend server has not answered yet."""

    segment: Segment
    sent_at: float


@define(eq=False)
class Agent:
    """Admit new flows, remember open ones and pass on what belongs elsewhere."""

    fleet: Fleet
    backend: Backend
    started: float
    flows: FlowTable = field(factory=FlowTable)
    outage: Outage = field(factory=Outage)
    cold_bounds: dict[str, float] = field(factory=dict)
    rules_version: int = 0
    leaving: bool = False
    failures: Failures = field(factory=Failures)
    service_time_s: float = 0.0
    utilisation: float = 0.0
    _updated: float = 0.0
    _waiting: OrderedDict[FlowId, Waiting] = field(factory=OrderedDict)
    _tag: int = 0

    def __attrs_post_init__(self) -> None:
        self._tag = compute_tag(self.backend.service)

    def handle_packet(self, segment: Segment, now: float) -> Effects:
        """Return what to do with a caller's packet that a balancer handed over."""
        flow = segment.flow_from_caller()
        if segment.mark.service_tag != self._tag:
            fields = {"flow": format_flow(flow), "reason": "wrong-service"}
            return [
                Note("packet-returned", fields),
                self._return(segment, segment.mark.origin, Purpose.WRONG_SERVICE),
            ]
        entry = self.flows.find(flow)
        if segment.opens:
            return self._admit(segment, flow, entry, now)
        if entry is not None:
            self._note_busy(now)
            self.flows.note_from_caller(flow, entry, segment, now)
            if segment.resets:
                self.flows.remove(flow)
            return [Deliver(segment)]
        if segment.mark.purpose is Purpose.PROBE or not self.backend.knows_flows:
            entry = self.flows.add(flow, now)
            entry.probe_origin = segment.mark.origin
            self.flows.note_from_caller(flow, entry, segment, now)
            return [Note("flow-probed", {"flow": format_flow(flow)}), Deliver(segment)]
        return [self._return(segment, segment.mark.origin, Purpose.NOT_HERE)]

    def handle_answer(self, segment: Segment, now: float) -> Effects:
        """Return what to do with a packet that the backend server sent."""
        self.backend.note_answer()
        if segment.returned:
            return self._handle_returned(segment, now)
        flow = segment.flow_to_caller()
        effects: Effects = [Answer(segment)]
        waiting = self._waiting.pop(flow, None)
        if waiting is not None:
            took_s = now - waiting.sent_at
            effects.append(Observe("opening_seconds", self.backend.service, took_s))
        entry = self.flows.find(flow)
        if entry is None:
            if segment.resets:
                return effects
            entry = self.flows.add(flow, now)
            entry.is_open = not segment.opens
        if entry.probe_origin:
            effects.append(Tell(entry.probe_origin, Located(flow, Holding.YES)))
            entry.probe_origin = 0
        if not segment.opens:
            entry.is_open = True
        self._note_busy(now)
        end = self.flows.note_from_server(flow, entry, segment, now)
        if end is not None:
            self.failures.note_end(not end.answered, now)
        if end is not None and end.answered:
            self._note_service_time(end.took_s)
            effects.append(Observe("service_seconds", self.backend.service, end.took_s))
        elif end is not None:
            fields = {
                "flow": format_flow(flow),
                "at_work_ms": round(end.took_s * 1000),
                "failing": round(self.failures.find_share(0, now), 2),
            }
            effects.append(Note("request-unanswered", fields))
        if segment.resets:
            entry.caller_finished = entry.server_finished = True
        return effects

    def handle_locate(self, origin: int, body: Locate, now: float) -> Effects:
        """Answer whether the backend server holds a flow."""
        return [Tell(origin, Located(body.flow, self._find_holding(body, now)))]

    def handle_heartbeat(self, beat: Heartbeat, now: float) -> tuple[Verdict, Effects]:
        """Take a heartbeat; return what became of it and what follows."""
        before = self.backend.find_availability(now)
        verdict = self.backend.note_heartbeat(beat, now)
        effects: Effects = []
        if verdict is Verdict.STARTED:
            # Flows of the earlier start are known by what the later one returns.
            self.flows.forget_requests()
            self.failures = Failures()
            fields = {"backend": beat.name, "sequence": beat.sequence}
            effects.append(Note("backend-started", fields))
        after = self.backend.find_availability(now)
        if before is not after or verdict is Verdict.STARTED:
            fields = {
                "backend": beat.name,
                "was": before.value,
                "is": after.value,
                "sequence": beat.sequence,
                "cold_left_ms": round(beat.cold_left_s * 1000),
            }
            effects += [Note("backend-state", fields), *self.report_to_all(now)]
        return verdict, effects

    def handle_farewell(self, name: str, now: float) -> Effects:
        """Take the farewell of a backend server."""
        if not self.backend.note_left(name, now):
            return []
        fields = {"backend": name, "is": Availability.LEFT.value}
        return [Note("backend-state", fields), *self.report_to_all(now)]

    def handle_report(self, body: Report, now: float) -> Effects:
        """Take what a balancer has in force."""
        effects: Effects = []
        if body.rules_version > self.rules_version:
            self.rules_version = body.rules_version
            self.cold_bounds = dict(body.cold_bounds)
            effects.append(Note("rules-taken", {"config": body.rules_version}))
        if body.outage.revision > self.outage.revision:
            was = self.outage.data_centres
            self.outage = body.outage
            if was != body.outage.data_centres:
                fields = {
                    "out": sorted(body.outage.data_centres),
                    "revision": body.outage.revision,
                }
                effects.append(Note("outage-taken", fields))
        return effects

    def is_waiting(self) -> bool:
        """Tell whether the backend server owes the answer to an opening packet."""
        return bool(self._waiting)

    def leave(self, now: float) -> Effects:
        """Admit nothing more and tell the balancers so."""
        self.leaving = True
        return self.report_to_all(now)

    def describe_load(self, now: float) -> Load:
        """Return the load as balancers are told it."""
        self._note_busy(now)
        current = self.backend.current
        stuck = self.flows.count_stuck(compute_stuck_after(self.service_time_s), now)
        return Load(
            availability=self.backend.find_availability(now),
            busy=self.flows.busy,
            flows=self.flows.count_open(),
            slots=0 if current is None else current.slots,
            utilisation=self.utilisation,
            service_time_s=self.service_time_s,
            failing=self.failures.find_share(stuck, now),
            cold=self.backend.warmth.is_cold(now),
            leaving=self.leaving,
        )

    def build_report(self, now: float, asks_back: bool = False) -> Report:
        """Return the report that balancers get."""
        return Report(
            self.fleet.own,
            self.describe_load(now),
            self.rules_version,
            self.outage,
            asks_back=asks_back,
        )

    def report_to_all(self, now: float) -> Effects:
        """Report to every balancer that was heard lately."""
        members = [
            item for item in self.fleet.list_balancers() if not self.fleet.is_gone(item, now)
        ]
        for member in members:
            member.reported_to_at = now
        return self._report_to(members, now)

    def report_in_turn(self, elapsed_s: float, now: float) -> Effects:
        """Report to the balancers whose turn it is."""
        return self._report_to(self.fleet.take_turns(elapsed_s, now), now)

    def _report_to(self, members: list[Member], now: float) -> Effects:
        if not members:
            return []
        body = self.build_report(now)
        return [Tell(member.identity.address, body) for member in members]

    def tick(self, now: float) -> Effects:
        """Return what is due: opening packets that the backend server left unanswered."""
        effects: Effects = []
        for flow, waiting in list(self._waiting.items()):
            if now - waiting.sent_at < ANSWER_TIMEOUT_S:
                break
            del self._waiting[flow]
            self.backend.note_unanswered()
            fields = {"flow": format_flow(flow), "unanswered": self.backend.unanswered}
            effects.append(Note("opening-unanswered", fields))
            segment = waiting.segment
            effects.append(self._return(segment, segment.mark.origin, Purpose.NOT_ADMITTING))
        self.flows.expire(now, IDLE_KEPT_S)
        return effects

    def _admit(self, segment: Segment, flow: FlowId, entry: Flow | None, now: float) -> Effects:
        origin = segment.mark.origin
        if entry is not None and not entry.ended:
            # A copy of an opening packet that was delivered before.
            return [Tell(origin, Located(flow, Holding.YES)), Deliver(segment)]
        reason = self._find_objection(segment.mark.purpose, now)
        if reason:
            fields = {
                "flow": format_flow(flow),
                "reason": reason,
                "busy": self.flows.busy,
                "heartbeat_age_ms": round((now - self.backend.heard_at) * 1000),
            }
            purpose = Purpose.NO_ROOM if reason == BUSY else Purpose.NOT_ADMITTING
            return [Note("opening-returned", fields), self._return(segment, origin, purpose)]
        if entry is not None:
            self.flows.remove(flow)
        self.flows.add(flow, now)
        self.backend.warmth.note_opening(now)
        self._waiting[flow] = Waiting(segment, now)
        fields = {
            "flow": format_flow(flow),
            "backend": self.backend.current.name if self.backend.current else "",
            "busy": self.flows.busy,
            "config": self.rules_version,
        }
        return [
            Note("flow-admitted", fields),
            Deliver(segment),
            Tell(origin, Located(flow, Holding.HALF_OPEN)),
        ]

    def _find_objection(self, purpose: Purpose, now: float) -> str:
        availability = self.backend.find_availability(now)
        if availability not in (Availability.READY, Availability.UNKNOWN):
            return f"backend-{availability.value}"
        if self.leaving:
            return "agent-leaving"
        if self.fleet.own.data_centre in self.outage.data_centres:
            return "data-centre-out"
        current = self.backend.current
        known = self.rules_version > 0 and current is not None
        bound = self.cold_bounds.get(self.backend.service, 0.0)
        if not self.backend.warmth.has_room(bound if known else UNKNOWN_BOUND_PER_S, now, known):
            return "cold"
        slots = current.slots if current is not None else 1
        busy = self.flows.busy + self.flows.count_handshakes(now)
        limit = slots * (INSIST_FACTOR if purpose is Purpose.INSIST else 1)
        return BUSY if busy >= limit else ""

    def _find_holding(self, body: Locate, now: float) -> Holding:
        entry = self.flows.find(body.flow)
        if body.service != self.backend.service:
            return Holding.NO
        if entry is None or entry.probe_origin:
            sure = self.backend.knows_flows or self.backend.is_missing(now)
            return Holding.NO if sure else Holding.UNSURE
        if entry.is_open:
            return Holding.YES
        return Holding.HALF_OPEN if entry.answered else Holding.NO

    def _handle_returned(self, segment: Segment, now: float) -> Effects:
        flow = segment.flow_from_caller()
        waiting = self._waiting.pop(flow, None)
        if segment.opens:
            self.flows.remove(flow)
            origin = segment.mark.origin or (waiting.segment.mark.origin if waiting else 0)
            fields = {"flow": format_flow(flow), "reason": "backend-returned"}
            return [
                Note("opening-returned", fields),
                self._return(segment, origin, Purpose.NOT_ADMITTING),
            ]
        entry = self.flows.remove(flow)
        if entry is not None and entry.is_open and not entry.ended:
            fields = {"flow": format_flow(flow), "reason": "backend-lost-it"}
            return [Note("flow-reset", fields), Reset(segment)]
        return [self._return(segment, segment.mark.origin, Purpose.NOT_HERE)]

    def _return(self, segment: Segment, origin: int, purpose: Purpose) -> Hand:
        return Hand(origin, segment, Mark(purpose, self._tag, origin), returned=True)

    def _note_busy(self, now: float) -> None:
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        slots = self.backend.current.slots if self.backend.current else 0
        share = min(1.0, self.flows.busy / slots) if slots else 0.0
        keep = math.exp(-elapsed / AVERAGING_S)
        self.utilisation = self.utilisation * keep + share * (1 - keep)
        self._updated = now

    def _note_service_time(self, took_s: float) -> None:
        if self.service_time_s == 0.0:
            self.service_time_s = took_s
        else:
            self.service_time_s += (took_s - self.service_time_s) * SERVICE_TIME_SHARE

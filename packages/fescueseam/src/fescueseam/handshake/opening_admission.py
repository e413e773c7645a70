"""Admission of opening packets by an agent, and its wait for the backend server's answer."""

import math
from collections import OrderedDict
from functools import partial

from attrs import define, field

from fescueseam.handshake.backend import BackendMonitor
from fescueseam.handshake.cold_start import FALLBACK_OPENINGS_PER_S
from fescueseam.handshake.containment import contain
from fescueseam.handshake.effects import Deliver, Effects, Forward, LogEvent, SendNotice
from fescueseam.handshake.flows import Flow, FlowTable
from fescueseam.handshake.load_averages import LoadAverages
from fescueseam.handshake.member import Availability, Identity
from fescueseam.handshake.notices import Holding, Located
from fescueseam.handshake.openings import (
    OPENING_ANSWER_TIMEOUT_S,
    OVERFLOW_REQUESTS_PER_SLOT,
    DeliveredOpening,
)
from fescueseam.handshake.outages import Outage
from fescueseam.handshake.segments import (
    FlowId,
    Mark,
    Purpose,
    Segment,
    compute_service_tag,
    format_flow,
)
from fescueseam.overload.admission import WAIT_STEPS
from fescueseam.overload.shares import CallerShares
from fescueseam.overload.waiting_room import ServerState, Waiter, WaitingRoom

REASON_BUSY = "busy"
"""Reason for returning an opening packet while all slots are busy: the only reason that usually
ends within a service time."""
OUTAGE_SILENCE_S = 4.0
"""Time without a balancer's report after which the agent may have missed that its data centre was
taken out and back, in seconds."""
REASON_COLD = "cold"
"""Reason for returning an opening packet while a cold backend server has had its bound."""
REASON_NO_ROOM_IN_TIME = "no-room-in-time"
"""Reason for returning an opening packet that may wait, but not until a slot is expected."""


def return_packet(segment: Segment, service: str, origin: int, purpose: Purpose) -> Forward:
    """Return the effect that sends a packet back to its balancer."""
    mark = Mark(purpose, compute_service_tag(service), origin)
    return Forward(origin, segment, mark, returned=True)


@define(eq=False)
class OpeningAdmission:
    """Decides whether the backend server gets an opening packet."""

    own: Identity
    backend: BackendMonitor
    flows: FlowTable
    averages: LoadAverages = field(factory=LoadAverages)
    outage: Outage = field(factory=Outage)
    cold_bounds: dict[str, float] = field(factory=dict)
    """Largest number of openings per second for a cold backend server, by service."""
    rules_version: int = 0
    leaving: bool = False
    _outage_heard_at: float = -math.inf
    """Time at which a balancer last reported an outage, or that there is none."""
    _delivered: OrderedDict[FlowId, DeliveredOpening] = field(factory=OrderedDict)
    """Openings that await the backend server's answer, in the order of delivery."""
    waiting: WaitingRoom = field(factory=WaitingRoom)
    """Openings that wait for a free slot."""
    shares: CallerShares = field(factory=CallerShares)
    """What callers got lately, which orders the openings that wait."""
    _waiting_segments: dict[FlowId, Segment] = field(factory=dict)

    def has_pending_work(self) -> bool:
        """Return whether an opening waits or awaits the backend server's answer."""
        return bool(self._delivered or self._waiting_segments)

    def take_delivered(self, flow: FlowId) -> DeliveredOpening | None:
        """Return and forget the opening of a flow that awaited an answer, if any."""
        return self._delivered.pop(flow, None)

    def handle_overdue_openings(self, now: float, heard_until: float) -> Effects:
        """Return opening packets that the backend server did not answer to their balancers."""
        effects: Effects = []
        for flow, opening in list(self._delivered.items()):
            if heard_until - opening.delivered_at < OPENING_ANSWER_TIMEOUT_S:
                break
            del self._delivered[flow]
            effects += contain(
                "opening-timeout",
                partial(self._handle_opening_timeout, flow, opening),
                partial(self.discard, flow),
            )
        return effects

    def discard(self, flow: FlowId) -> None:
        """Drop a delivered opening. The flow table is kept: only this process holds it."""
        self._delivered.pop(flow, None)
        self.waiting.remove(flow)
        self._waiting_segments.pop(flow, None)

    def admit(self, segment: Segment, flow: FlowId, entry: Flow | None, now: float) -> Effects:
        """Deliver an opening packet to the backend server, or return it to its balancer."""
        origin = segment.mark.origin
        if entry is not None and not entry.ended:
            # A retransmission of an opening packet that was delivered before.
            return [SendNotice(origin, Located(flow, Holding.YES)), Deliver(segment)]
        if flow in self.waiting:
            return [SendNotice(origin, Located(flow, Holding.WAITING))]
        reason = self.find_return_reason(segment.mark.purpose, now)
        if not reason and self._must_wait(segment.mark, now):
            reason = REASON_BUSY
        if reason == REASON_BUSY and segment.mark.wait_step:
            return self._hold(segment, flow, now)
        if reason:
            fields = {
                "flow": format_flow(flow),
                "reason": reason,
                "busy": self.flows.busy,
                "heartbeat_age_ms": self.backend.compute_heartbeat_age_ms(now),
            }
            purpose = Purpose.NO_FREE_SLOT if reason == REASON_BUSY else Purpose.NOT_ADMITTING
            return [
                LogEvent("opening-returned", fields),
                return_packet(segment, self.backend.service, origin, purpose),
            ]
        step = segment.mark.wait_step
        if step:
            self.waiting.record_taken(segment.mark.priority, WAIT_STEPS[step].late)
        return self._deliver(segment, flow, now)

    def admit_waiting(self, now: float) -> Effects:
        """Deliver the openings that wait while slots are free, and return those without a use."""
        if not self._waiting_segments:
            return []
        effects: Effects = []
        reason = self.find_return_reason(Purpose.DELIVER_EVEN_IF_BUSY, now)
        if reason not in ("", REASON_BUSY, REASON_COLD):
            for waiter in self.waiting.remove_all():
                effects += self._return_waiting(waiter, reason, now)
            return effects
        for waiter in self.waiting.remove_unusable(self._describe_server(now), now):
            effects += self._return_waiting(waiter, REASON_NO_ROOM_IN_TIME, now)
        while not self.find_return_reason(Purpose.DELIVER_EVEN_IF_BUSY, now):
            state = self._describe_server(now)
            next_waiter = None
            if state.at_work < state.compute_delivery_limit():
                next_waiter = self.waiting.take_next()
            if next_waiter is None:
                break
            flow, segment = self._take_segment(next_waiter)
            effects += self._deliver(segment, flow, now, now - next_waiter.arrived_at)
        return effects

    def _must_wait(self, mark: Mark, now: float) -> bool:
        """Return whether an opening has to wait although the busy limit allows its delivery."""
        if not mark.wait_step and mark.purpose is Purpose.DELIVER_EVEN_IF_BUSY:
            return False
        if self._waiting_segments:
            return True
        state = self._describe_server(now)
        return bool(mark.wait_step) and state.at_work >= state.compute_delivery_limit()

    def _hold(self, segment: Segment, flow: FlowId, now: float) -> Effects:
        """Let an opening wait for a slot if one is expected in time; else return it."""
        mark = segment.mark
        step = WAIT_STEPS[mark.wait_step]
        caller = flow[0]
        rank = self.shares.compute_rank(caller, self.waiting.count_of_caller(caller), now)
        waiter = Waiter(flow, mark.priority, step.late, rank, now, now + step.wait_s)
        state = self._describe_server(now)
        decision = self.waiting.decide(waiter, state, now)
        fields = {
            "flow": format_flow(flow),
            "priority": mark.priority,
            "caller_rank": rank,
            "late": step.late,
            "allowed_ms": round(1000 * step.wait_s),
            "expected_ms": round(1000 * decision.wait_s),
            "waiting": decision.waiting,
            "busy": state.at_work,
            "service_time_ms": round(1000 * state.service_time_s),
        }
        if not decision.holds:
            fields["reason"] = REASON_NO_ROOM_IN_TIME
            forward = return_packet(
                segment, self.backend.service, mark.origin, Purpose.NO_FREE_SLOT
            )
            return [LogEvent("opening-returned", fields), forward]
        displaced = self.waiting.add(waiter)
        self._waiting_segments[flow] = segment
        effects: Effects = [
            LogEvent("opening-waits", fields),
            SendNotice(mark.origin, Located(flow, Holding.WAITING)),
        ]
        if displaced is not None:
            effects += self._return_waiting(displaced, REASON_NO_ROOM_IN_TIME, now)
        return effects

    def _return_waiting(self, waiter: Waiter, reason: str, now: float) -> Effects:
        flow, segment = self._take_segment(waiter)
        fields = {
            "flow": format_flow(flow),
            "reason": reason,
            "waited_ms": round(1000 * (now - waiter.arrived_at)),
            "busy": self.flows.count_at_work(now),
        }
        is_full = reason == REASON_NO_ROOM_IN_TIME
        purpose = Purpose.NO_FREE_SLOT if is_full else Purpose.NOT_ADMITTING
        origin = segment.mark.origin
        forward = return_packet(segment, self.backend.service, origin, purpose)
        return [LogEvent("opening-returned", fields), forward]

    def _take_segment(self, waiter: Waiter) -> tuple[FlowId, Segment]:
        segment = self._waiting_segments.pop(waiter.flow)
        return waiter.flow, segment

    def _describe_server(self, now: float) -> ServerState:
        return ServerState(
            self.flows.count_at_work(now),
            self.backend.get_slots(1),
            self.averages.slot_time_s,
            self.backend.cold_start.is_cold(now),
        )

    def _deliver(
        self, segment: Segment, flow: FlowId, now: float, waited_s: float = 0.0
    ) -> Effects:
        origin = segment.mark.origin
        self.flows.remove(flow)
        self.flows.add(flow, now)
        self.shares.record(flow[0], now)
        self.backend.cold_start.record_opening(now)
        self._delivered[flow] = DeliveredOpening(segment, now)
        fields = {
            "flow": format_flow(flow),
            "backend": self.backend.last_heartbeat.name if self.backend.last_heartbeat else "",
            "busy": self.flows.busy,
            "waited_ms": round(1000 * waited_s),
            "config": self.rules_version,
        }
        return [
            LogEvent("flow-admitted", fields),
            Deliver(segment),
            SendNotice(origin, Located(flow, Holding.HALF_OPEN)),
        ]

    def _handle_opening_timeout(self, flow: FlowId, opening: DeliveredOpening) -> Effects:
        self.backend.record_unanswered_opening()
        fields = {"flow": format_flow(flow), "unanswered": self.backend.unanswered_openings}
        segment = opening.segment
        return [
            LogEvent("opening-unanswered", fields),
            return_packet(
                segment, self.backend.service, segment.mark.origin, Purpose.NOT_ADMITTING
            ),
        ]

    def may_be_cold(self, now: float) -> bool:
        """Return whether the backend server is cold or, if its service has a bound, may be."""
        if self.backend.cold_start.is_cold(now):
            return True
        bound = self.cold_bounds.get(self.backend.service, 0.0)
        was_heard = self.backend.last_heartbeat is not None
        return bound > 0 and was_heard and not self.backend.is_cold_state_known(now)

    def take_outage(self, outage: Outage, is_reported: bool, now: float) -> bool:
        """Put an outage in force; return whether the data centres out have changed.

        `is_reported` says whether a balancer that knows the outage has just reported it. The
        backend servers of a data centre may have become cold shortly before it is taken back.
        """
        is_unsure = now - self._outage_heard_at > OUTAGE_SILENCE_S
        if is_reported:
            self._outage_heard_at = now
        previous = self.outage
        if outage == previous:
            return False
        self.outage = outage
        was_out = self.own.data_centre in previous.data_centres
        if (was_out or is_unsure) and self.own.data_centre not in outage.data_centres:
            self.backend.cold_start.require_heartbeat(now)
        return previous.data_centres != outage.data_centres

    def find_return_reason(self, purpose: Purpose, now: float) -> str:
        """Return why an opening is not admitted now; empty if it is."""
        availability = self.backend.compute_availability(now)
        if availability not in (Availability.READY, Availability.UNKNOWN):
            return f"backend-{availability.value}"
        if self.leaving:
            return "agent-leaving"
        if self.own.data_centre in self.outage.data_centres:
            return "data-centre-out"
        bound = self.cold_bounds.get(self.backend.service, 0.0)
        state_known = self.rules_version > 0 and self.backend.last_heartbeat is not None
        if not self.backend.cold_start.can_admit(
            bound if state_known else FALLBACK_OPENINGS_PER_S,
            now,
            state_known and self.backend.is_cold_state_known(now),
        ):
            return REASON_COLD
        busy = self.flows.count_at_work(now)
        limit = self.backend.get_slots(1) * (
            OVERFLOW_REQUESTS_PER_SLOT if purpose is Purpose.DELIVER_EVEN_IF_BUSY else 1
        )
        return REASON_BUSY if busy >= limit else ""

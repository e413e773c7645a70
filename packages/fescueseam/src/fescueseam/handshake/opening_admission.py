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

REASON_BUSY = "busy"
"""Reason for returning an opening packet while all slots are busy: the only reason that usually
ends within a service time."""
OUTAGE_SILENCE_S = 4.0
"""Time without a balancer's report after which the agent may have missed that its data centre was
taken out and back, in seconds."""


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
    outage: Outage = field(factory=Outage)
    cold_bounds: dict[str, float] = field(factory=dict)
    """Largest number of openings per second for a cold backend server, by service."""
    rules_version: int = 0
    leaving: bool = False
    _outage_heard_at: float = -math.inf
    """Time at which a balancer last reported an outage, or that there is none."""
    _delivered: OrderedDict[FlowId, DeliveredOpening] = field(factory=OrderedDict)
    """Openings that await the backend server's answer, in the order of delivery."""

    def has_pending_work(self) -> bool:
        """Return whether an opening packet awaits the backend server's answer."""
        return bool(self._delivered)

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

    def admit(self, segment: Segment, flow: FlowId, entry: Flow | None, now: float) -> Effects:
        """Deliver an opening packet to the backend server, or return it to its balancer."""
        origin = segment.mark.origin
        if entry is not None and not entry.ended:
            # A retransmission of an opening packet that was delivered before.
            return [SendNotice(origin, Located(flow, Holding.YES)), Deliver(segment)]
        reason = self.find_return_reason(segment.mark.purpose, now)
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
        if entry is not None:
            self.flows.remove(flow)
        self.flows.add(flow, now)
        self.backend.cold_start.record_opening(now)
        self._delivered[flow] = DeliveredOpening(segment, now)
        fields = {
            "flow": format_flow(flow),
            "backend": self.backend.last_heartbeat.name if self.backend.last_heartbeat else "",
            "busy": self.flows.busy,
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
        heartbeat = self.backend.last_heartbeat
        bound = self.cold_bounds.get(self.backend.service, 0.0)
        state_known = self.rules_version > 0 and heartbeat is not None
        if not self.backend.cold_start.can_admit(
            bound if state_known else FALLBACK_OPENINGS_PER_S,
            now,
            state_known and self.backend.is_cold_state_known(now),
        ):
            return "cold"
        slots = heartbeat.slots if heartbeat is not None else 1
        busy = self.flows.count_at_work(now)
        limit = slots * (
            OVERFLOW_REQUESTS_PER_SLOT if purpose is Purpose.DELIVER_EVEN_IF_BUSY else 1
        )
        return REASON_BUSY if busy >= limit else ""

"""Placement of opening packets: which agent is offered a new flow, and what if none takes it."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from fescueseam.handshake.choice import choose_agent, is_agent_expected_soon
from fescueseam.handshake.containment import contain
from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendReset
from fescueseam.handshake.free_slots import FreeSlotSearches
from fescueseam.handshake.homes import HomeTable
from fescueseam.handshake.member import Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.openings import (
    BUSY_BACKOFF_S,
    DEFERRED_TIMEOUT_S,
    OFFER_TIMEOUT_S,
    REJECTED_BACKOFF_S,
    DeferredOpenings,
    OfferedOpenings,
    PendingOpening,
)
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.handshake.segments import (
    FlowId,
    Mark,
    Purpose,
    Segment,
    compute_service_tag,
    format_flow,
)
from fescueseam.overload.remote import RemotePreference

STARTUP_GRACE_S = 2.0
"""Time after the start during which no flow is refused, in seconds; agents announce themselves
within a few report intervals."""


def build_forward(
    fleet: Fleet, segment: Segment, member: Member, service: str, purpose: Purpose
) -> Forward:
    """Return the effect that forwards a packet to an agent."""
    mark = Mark(purpose, compute_service_tag(service), fleet.own.address)
    return Forward(member.identity.address, segment, mark)


@define(eq=False)
class OpeningPlacement:
    """Offers openings to agents, and defers or refuses those that no agent takes."""

    fleet: Fleet
    configuration: ActiveConfiguration
    homes: HomeTable
    started_at: float
    get_remote_penalty_s: Callable[[], float]
    offered: OfferedOpenings = field(factory=OfferedOpenings)
    deferred: DeferredOpenings = field(factory=DeferredOpenings)
    free_slot_searches: FreeSlotSearches = field(factory=FreeSlotSearches)
    remote: RemotePreference = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.remote = RemotePreference(self.fleet.own.name, self.fleet.own.data_centre)

    def has_pending_work(self) -> bool:
        """Return whether an offer without an answer or a deferred opening is pending."""
        return bool(self.offered.unanswered or self.deferred)

    def handle_overdue_offers(
        self, now: float, heard_until: float, discard_flow: Callable[[FlowId], None]
    ) -> Effects:
        """Offer openings elsewhere whose agents did not answer in time."""
        effects: Effects = []
        self.offered.expire(now)
        for flow, opening in list(self.offered.unanswered.items()):
            if heard_until - opening.sent_at >= OFFER_TIMEOUT_S:
                effects += contain(
                    "offer-timeout",
                    partial(self._handle_offer_timeout, flow, opening, now),
                    partial(discard_flow, flow),
                )
        return effects

    def retry_deferred(self, now: float, discard_flow: Callable[[FlowId], None]) -> Effects:
        """Place the deferred openings that are due."""
        effects: Effects = []
        for flow, opening in self.deferred.take_due(now):
            effects += contain(
                "deferred-retry",
                partial(self._place_pending, opening, flow, now),
                partial(discard_flow, flow),
            )
        return effects

    def discard(self, flow: FlowId) -> None:
        """Drop the opening of a flow."""
        self.offered.discard(flow)
        self.deferred.pop(flow, None)

    def start(
        self, segment: Segment, flow: FlowId, service: str, excluded: set[str], now: float
    ) -> Effects:
        """Start to place the opening of a new flow."""
        opening = PendingOpening(segment, service, "", now, set(excluded), set(excluded))
        opening.free_slot_offers_limit = self.free_slot_searches.choose_limit(service)
        return self._place_pending(opening, flow, now)

    def offer_to(
        self, member: Member, opening: PendingOpening, flow: FlowId, now: float
    ) -> Effects:
        """Offer an opening to an agent."""
        fields = {
            "flow": format_flow(flow),
            "service": opening.service,
            "agent": member.identity.name,
            "tried": len(opening.tried_agents),
            "insists": opening.even_if_busy,
            "busy": member.load.busy,
            "age_ms": member.compute_age_ms(now),
            "config": self.configuration.rules.version,
        }
        opening.agent = member.identity.name
        opening.tried_agents.add(opening.agent)
        opening.offers_left -= 1
        opening.sent_at = now
        member.flows_sent_since_report += 1
        self.offered.add(flow, opening)
        self.homes.remember(flow, opening.agent, opening.service, now)
        purpose = Purpose.DELIVER_EVEN_IF_BUSY if opening.even_if_busy else Purpose.DELIVER
        forward = build_forward(self.fleet, opening.segment, member, opening.service, purpose)
        return [LogEvent("flow-offered", fields), forward]

    def offer_elsewhere(self, flow: FlowId, agent_name: str, rejected: bool, now: float) -> Effects:
        """Offer an opening to another agent than the one that did not take it."""
        opening = self.offered.find(flow)
        if opening is None or opening.agent != agent_name:
            return []
        self.offered.discard(flow)
        member = self.fleet.find(agent_name)
        rejected = rejected or opening.even_if_busy
        if member is not None:
            member.busy_until = now + BUSY_BACKOFF_S
        if member is not None and rejected:
            member.excluded_until = now + REJECTED_BACKOFF_S
        if rejected:
            opening.rejecting_agents.add(agent_name)
        return self._place_pending(opening, flow, now)

    def defer_or_refuse(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        """Keep an opening for a retry if an agent is expected soon, or refuse it."""
        reason = "no-room" if opening.tried_agents else "no-agent"
        is_agent_expected = (
            now - self.started_at < STARTUP_GRACE_S
            or not self.configuration.is_complete()
            or is_agent_expected_soon(self.fleet, opening.service, now)
        )
        is_first_deferral = opening.deferred_at is None
        if opening.deferred_at is None:
            opening.deferred_at = now
        if not is_agent_expected or not self.deferred.has_room():
            return self.refuse(opening.segment, flow, reason, now, opening.service)
        if now - opening.deferred_at >= DEFERRED_TIMEOUT_S:
            fields = {"flow": format_flow(flow), "service": opening.service, "reason": "waited"}
            return [LogEvent("opening-dropped", fields)]
        opening.sent_at = now
        self.deferred[flow] = opening
        if not is_first_deferral:
            return []
        fields = {"flow": format_flow(flow), "service": opening.service, "reason": reason}
        return [LogEvent("opening-parked", fields)]

    def refuse(
        self, segment: Segment, flow: FlowId, reason: str, now: float, service: str = ""
    ) -> Effects:
        """Reset an opening, or drop it if this process does not know enough to refuse it."""
        fields = {
            "flow": format_flow(flow),
            "service": service,
            "reason": reason,
            "config": self.configuration.rules.version,
        }
        can_refuse = (
            self.configuration.rules.version > 0 and now - self.started_at >= STARTUP_GRACE_S
        )
        if segment.attempt > 0 or not can_refuse:
            return [LogEvent("opening-dropped", fields)]
        return [LogEvent("flow-refused", fields), SendReset(segment)]

    def record_free_slot_search(self, opening: PendingOpening, found: bool) -> None:
        """Record whether an opening found a free slot at its first attempt."""
        if opening.deferred_at is None:
            self.free_slot_searches.record(opening.service, opening.free_slot_offers_limit, found)

    def _handle_offer_timeout(self, flow: FlowId, opening: PendingOpening, now: float) -> Effects:
        effects: Effects = []
        opening.was_unanswered = True
        if self.fleet.record_unanswered(opening.agent, now):
            effects.append(LogEvent("agent-unanswered", {"agent": opening.agent}))
        return effects + self.offer_elsewhere(flow, opening.agent, True, now)

    def _place_pending(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        if not self.configuration.is_complete():
            return self.defer_or_refuse(opening, flow, now)
        opening.service = opening.service or self.configuration.choose_service(flow) or ""
        if not opening.service:
            return self.refuse(opening.segment, flow, "no-route", now)
        if opening.offers_left <= 0:
            return self._stop_offering(opening, flow, now)
        member = None
        is_within_limit = len(opening.tried_agents) < opening.free_slot_offers_limit
        if not opening.even_if_busy and is_within_limit:
            member = self._choose_agent(opening.service, opening.tried_agents, now)
        if member is None:
            if not opening.even_if_busy:
                self.record_free_slot_search(opening, False)
            opening.even_if_busy = True
            member = self._choose_agent(opening.service, opening.rejecting_agents, now)
        if member is None:
            self.homes.pop(flow, None)
            return self.defer_or_refuse(opening, flow, now)
        return self.offer_to(member, opening, flow, now)

    def _stop_offering(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        self.homes.pop(flow, None)
        if opening.deferred_at is not None or not opening.was_unanswered:
            return self.defer_or_refuse(opening, flow, now)
        # The agents may be overloaded; the caller retransmits the opening.
        fields = {"flow": format_flow(flow), "service": opening.service, "reason": "unanswered"}
        return [LogEvent("opening-dropped", fields)]

    def _choose_agent(self, service: str, excluded: set[str], now: float) -> Member | None:
        penalty_s = self.get_remote_penalty_s()
        return choose_agent(
            self.fleet, self.configuration, service, excluded, now, penalty_s, self.remote
        )

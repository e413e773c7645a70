"""Placement of opening packets: which agent is offered a new flow, and what if none takes it."""

from collections.abc import Callable
from functools import partial

from attrs import define, field

from fescueseam.handshake.agent_selection import AgentSelector
from fescueseam.handshake.choice import is_agent_expected_soon
from fescueseam.handshake.containment import contain
from fescueseam.handshake.effects import Effects, Forward, LogEvent, SendReset
from fescueseam.handshake.free_slots import OVERLOAD_OFFERS_LIMIT, FreeSlotSearches
from fescueseam.handshake.homes import HomeTable
from fescueseam.handshake.member import Member
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.openings import (
    BUSY_BACKOFF_S,
    DEFERRED_TIMEOUT_S,
    OPENING_ANSWER_TIMEOUT_S,
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
from fescueseam.handshake.wait_planning import WaitPlanner
from fescueseam.overload.admission import REASON_LIMIT, WAIT_STEPS, limit_priority
from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.return_order import ReturnOrder, compute_return_order
from fescueseam.overload.waits import estimate_service_time_s

STARTUP_GRACE_S = 2.0
"""Time after the start during which no flow is refused, in seconds; agents announce themselves
within a few report intervals."""


def build_forward(
    fleet: Fleet,
    segment: Segment,
    member: Member,
    service: str,
    purpose: Purpose,
    wait_step: int = 0,
    priority: int = 0,
) -> Forward:
    """Return the effect that forwards a packet to an agent."""
    tag = compute_service_tag(service)
    mark = Mark(purpose, tag, fleet.own.address, wait_step, priority)
    return Forward(member.identity.address, segment, mark)


def _build_event(name: str, opening: PendingOpening, flow: FlowId, reason: str) -> LogEvent:
    fields = {"flow": format_flow(flow), "service": opening.service, "reason": reason}
    return LogEvent(name, fields)


@define(eq=False)
class OpeningPlacement:
    """Offers openings to agents, and defers or refuses those that no agent takes."""

    fleet: Fleet
    configuration: ActiveConfiguration
    homes: HomeTable
    started_at: float
    selector: AgentSelector
    offered: OfferedOpenings = field(factory=OfferedOpenings)
    deferred: DeferredOpenings = field(factory=DeferredOpenings)
    free_slot_searches: FreeSlotSearches = field(factory=FreeSlotSearches)
    waits: WaitPlanner = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.waits = WaitPlanner(self.selector.reserves)

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
            if opening.is_overdue(heard_until) or self._is_waiting_in_vain(opening, now):
                effects += contain(
                    "offer-timeout",
                    partial(self._handle_offer_timeout, flow, opening, now),
                    partial(discard_flow, flow),
                )
        return effects

    def retry_deferred(self, now: float, discard_flow: Callable[[FlowId], None]) -> Effects:
        """Place the deferred openings that are due."""
        effects: Effects = []
        orders: dict[FlowId, ReturnOrder] = {}
        for flow, opening in list(self.deferred.items()):
            needs = self.configuration.find_needs(flow)
            # That it is a retry is only a guess, which decides no refusal.
            since = opening.opened_at if opening.is_retry else opening.requested_at
            order = compute_return_order(needs, 0.0, now - since, opening.deferred_at or now)
            if order is not None:
                orders[flow] = order
                continue
            del self.deferred[flow]
            effects += self._refuse_request(opening, flow, REASON_LIMIT, now)
        for flow, opening in self.deferred.take_due(now, orders):
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
        needs = self.configuration.find_needs(flow)
        if needs is not None:
            self.waits.recognise_retry(opening, flow, needs, now)
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
        opening.waits_until = None
        member.flows_sent_since_report += 1
        self.offered.add(flow, opening)
        self.homes.remember(flow, opening.agent, opening.service, now)
        purpose = Purpose.DELIVER_EVEN_IF_BUSY if opening.even_if_busy else Purpose.DELIVER
        step, priority = opening.wait_step, 0
        if step:
            needs = self.configuration.find_needs(flow)
            priority = limit_priority(needs.priority) if needs is not None else 0
            fields["wait_ms"] = round(1000 * WAIT_STEPS[step].wait_s)
            fields["late"] = WAIT_STEPS[step].late
            fields["priority"] = priority
            fields["kept_free"] = opening.kept_free
        forward = build_forward(
            self.fleet, opening.segment, member, opening.service, purpose, step, priority
        )
        return [LogEvent("flow-offered", fields), forward]

    def offer_elsewhere(self, flow: FlowId, agent_name: str, rejected: bool, now: float) -> Effects:
        """Offer an opening to another agent than the one that did not take it."""
        opening = self.offered.find(flow)
        if opening is None or opening.agent != agent_name:
            return []
        is_returned_late = flow in self.offered.delivered and (
            now - opening.sent_at >= OPENING_ANSWER_TIMEOUT_S
        )
        if is_returned_late:
            # The server may yet answer an opening that its agent has given up.
            opening.unanswered_offers[agent_name] = opening.sent_at
        self.offered.discard(flow)
        member = self.fleet.find(agent_name)
        if opening.wait_step and not rejected:
            # It has room for higher classes or shorter queues, as its answer is for this one only.
            opening.wait_step = 0
            opening.full_agents.add(agent_name)
            return self._place_pending(opening, flow, now)
        opening.wait_step = 0
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
            return self.refuse(
                opening.segment,
                flow,
                reason,
                now,
                opening.service,
                self._may_be_delivered(opening),
            )
        if now - opening.deferred_at >= DEFERRED_TIMEOUT_S:
            return [_build_event("opening-dropped", opening, flow, "waited")]
        opening.sent_at = now
        self.deferred[flow] = opening
        if not is_first_deferral:
            return []
        return [_build_event("opening-parked", opening, flow, reason)]

    def refuse(
        self,
        segment: Segment,
        flow: FlowId,
        reason: str,
        now: float,
        service: str = "",
        may_be_delivered: bool = False,
        requested_at: float | None = None,
        **inputs: object,
    ) -> Effects:
        """Reset an opening, or drop it if this process does not know enough to refuse it.

        One that an agent left unanswered may have been delivered; its caller retransmits it.
        """
        fields = {
            **inputs,
            "flow": format_flow(flow),
            "service": service,
            "reason": reason,
            "config": self.configuration.rules.version,
        }
        can_refuse = (
            self.configuration.rules.version > 0 and now - self.started_at >= STARTUP_GRACE_S
        )
        if may_be_delivered:
            return [LogEvent("opening-dropped", {**fields, "reason": "unanswered"})]
        if segment.attempt > 0 or not can_refuse:
            return [LogEvent("opening-dropped", fields)]
        if self.configuration.find_needs(flow) is not None and reason != REASON_LIMIT:
            # After its limit a caller has no use for another try.
            self.waits.refusals.record(flow, now if requested_at is None else requested_at, now)
        return [LogEvent("flow-refused", fields), SendReset(segment)]

    def record_free_slot_search(self, opening: PendingOpening, found: bool) -> None:
        """Record whether an opening found a free slot at its first attempt."""
        if opening.deferred_at is None:
            self.free_slot_searches.record(opening.service, opening.free_slot_offers_limit, found)

    def _handle_offer_timeout(self, flow: FlowId, opening: PendingOpening, now: float) -> Effects:
        effects: Effects = []
        if opening.waits_until is not None:
            # Other openings show whether its agent still answers. If it was delivered without a
            # notice, its flow ignores the reset of an opening once it is open.
            opening.waits_until = None
            fields = {"flow": format_flow(flow), "agent": opening.agent}
            lost = LogEvent("waiting-opening-lost", fields)
            return [lost, *self.offer_elsewhere(flow, opening.agent, True, now)]
        opening.was_unanswered = True
        opening.unanswered_offers[opening.agent] = opening.sent_at
        # Agents of earlier builds reject offers that allow a wait.
        opening.can_wait = opening.can_wait and not opening.wait_step
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
        limit = opening.free_slot_offers_limit
        if limit == OVERLOAD_OFFERS_LIMIT and self.configuration.find_needs(flow) is not None:
            # The offer that allows a wait takes a free slot as well.
            limit = 0
        is_within_limit = len(opening.tried_agents) < limit
        if not opening.even_if_busy and is_within_limit:
            member = self.selector.choose(opening, flow, opening.tried_agents, now)
        if member is None:
            if not opening.even_if_busy:
                self.record_free_slot_search(opening, False)
            opening.even_if_busy = True
            needs = self.configuration.find_needs(flow)
            if needs is not None and opening.can_wait:
                return self._offer_wait(opening, flow, needs, now)
            member = self.selector.choose(opening, flow, opening.rejecting_agents, now)
        if member is None:
            self.homes.pop(flow, None)
            return self.defer_or_refuse(opening, flow, now)
        return self.offer_to(member, opening, flow, now)

    def _offer_wait(
        self, opening: PendingOpening, flow: FlowId, needs: RouteNeeds, now: float
    ) -> Effects:
        """Ask an agent to let an opening wait for as long as its route's needs allow, or refuse."""
        asked = opening.rejecting_agents | opening.full_agents
        unasked = self.selector.choose(opening, flow, asked, now)
        member = unasked or self.selector.choose(opening, flow, opening.rejecting_agents, now)
        if member is None:
            self.homes.pop(flow, None)
            return self.defer_or_refuse(opening, flow, now)
        service_time_s = estimate_service_time_s(member.load.service_time_s, member.load.cold)
        plan = self.waits.plan(opening, flow, needs, service_time_s, unasked is not None, now)
        if plan.step:
            opening.wait_step = plan.step
            opening.wait_offers += 1
            return self.offer_to(member, opening, flow, now)
        self.homes.pop(flow, None)
        return self._refuse_request(opening, flow, plan.reason, now, service_time_s)

    def record_delivery(self, opening: PendingOpening, flow: FlowId, now: float) -> None:
        """Record that an opening got a slot."""
        self.waits.record_search(opening, True)
        needs = self.configuration.find_needs(flow)
        if needs is not None:
            self.waits.record_outcome(opening, needs, now)

    def _refuse_request(
        self,
        opening: PendingOpening,
        flow: FlowId,
        reason: str,
        now: float,
        service_time_s: float = 0.0,
    ) -> Effects:
        """Refuse an opening by what its route needs, and log the inputs of this decision."""
        needs = self.configuration.find_needs(flow)
        inputs: dict[str, object] = {
            "elapsed_ms": round(1000 * (now - opening.requested_at)),
            "service_time_ms": round(1000 * service_time_s),
            "asked": sorted(opening.full_agents),
            "retry": opening.is_retry,
        }
        if needs is not None:
            self.waits.record_outcome(opening, needs, now, refused=True)
            inputs["target_ms"] = round(1000 * needs.target_s)
            inputs["limit_ms"] = round(1000 * needs.limit_s)
            inputs["priority"] = needs.priority
        return self.refuse(
            opening.segment,
            flow,
            reason,
            now,
            opening.service,
            self._may_be_delivered(opening),
            opening.requested_at,
            **inputs,
        )

    def _may_be_delivered(self, opening: PendingOpening) -> bool:
        """Return whether an agent that left an offer unanswered was heard after it.

        Only its answer may be lost or late, while the opening was delivered.
        """
        members = ((self.fleet.find(name), at) for name, at in opening.unanswered_offers.items())
        return any(member is not None and member.last_heard_at > at for member, at in members)

    def _is_waiting_in_vain(self, opening: PendingOpening, now: float) -> bool:
        """Return whether the agent at which an opening waits is lost."""
        if opening.waits_until is None:
            return False
        member = self.fleet.find(opening.agent)
        return (
            member is None
            or member.unanswered_at is not None
            or self.fleet.is_unreachable(member, now)
        )

    def _stop_offering(self, opening: PendingOpening, flow: FlowId, now: float) -> Effects:
        self.homes.pop(flow, None)
        if opening.deferred_at is not None or not opening.was_unanswered:
            return self.defer_or_refuse(opening, flow, now)
        # The agents may be overloaded; the caller retransmits the opening.
        return [_build_event("opening-dropped", opening, flow, "unanswered")]

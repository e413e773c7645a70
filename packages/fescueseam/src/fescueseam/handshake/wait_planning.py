"""What a balancer knows of earlier openings when it asks agents to let one wait."""

from attrs import define, field

from fescueseam.handshake.free_slots import FreeSlotSearches
from fescueseam.handshake.openings import PendingOpening, WaitSearch
from fescueseam.handshake.segments import FlowId
from fescueseam.overload.admission import (
    IN_TIME_OFFERS_LIMIT,
    REASON_LIMIT,
    REASON_RETRY_BUDGET,
    WAIT_STEPS,
    WaitPlan,
    limit_priority,
    plan_wait,
)
from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.refusals import RefusalMemory, RetryLimits
from fescueseam.overload.reserve import ServerReserves
from fescueseam.overload.waits import Outlook, compute_allowed_wait_s


@define(eq=False)
class WaitPlanner:
    """Plans the waits of openings by the results of earlier ones."""

    reserves: ServerReserves
    searches: FreeSlotSearches = field(factory=FreeSlotSearches)
    """Results of the searches for room to wait in time, by service and priority."""
    refusals: RefusalMemory = field(factory=RefusalMemory)
    retry_limits: RetryLimits = field(factory=RetryLimits)

    def recognise_retry(
        self, opening: PendingOpening, flow: FlowId, needs: RouteNeeds, now: float
    ) -> None:
        """Record in an opening whether it follows a refusal, and since when its caller waits."""
        if opening.segment.attempt > 0:
            return
        first_try_at = self.refusals.take_first_try(flow, now)
        opening.is_retry = first_try_at is not None
        # Past its limit it is more likely another request of the same caller.
        if first_try_at is not None and now - first_try_at < needs.limit_s:
            opening.requested_at = first_try_at

    def plan(
        self,
        opening: PendingOpening,
        flow: FlowId,
        needs: RouteNeeds,
        service_time_s: float,
        has_unasked_agents: bool,
        now: float,
    ) -> WaitPlan:
        """Return the wait to allow in the next offer of an opening, or why it is refused."""
        limit = opening.in_time_offers_limit
        if limit is None:
            key = f"{opening.service}/{limit_priority(needs.priority)}"
            opening.wait_search = WaitSearch(key, self.searches.choose_limit(key))
            limit = min(IN_TIME_OFFERS_LIMIT, opening.wait_search.limit)
            opening.in_time_offers_limit = limit
            is_shortage = self.searches.is_overloaded(key) and limit < IN_TIME_OFFERS_LIMIT
            if not self.retry_limits.allows(flow[0], opening.is_retry, is_shortage):
                return WaitPlan(0, Outlook.TOO_LATE, REASON_RETRY_BUDGET)
        if not has_unasked_agents:
            opening.wait_offers = max(opening.wait_offers, limit)
        elapsed_s, attempt_s = now - opening.requested_at, now - opening.opened_at
        plan = plan_wait(needs, service_time_s, elapsed_s, attempt_s, opening.wait_offers, limit)
        if plan.reason == REASON_LIMIT and opening.is_retry:
            # That it is a retry is only a guess, which decides no refusal.
            plan = plan_wait(
                needs, service_time_s, attempt_s, attempt_s, opening.wait_offers, limit
            )
        if not plan.step or WAIT_STEPS[plan.step].late:
            self.record_search(opening, False)
        return plan

    def record_outcome(
        self, opening: PendingOpening, needs: RouteNeeds, now: float, refused: bool = False
    ) -> None:
        """Record whether an opening got a slot while it could meet its target.

        Copies, and openings that an agent left unanswered, have waited for lost packets.
        """
        if opening.segment.attempt > 0 or opening.was_unanswered:
            return
        allowed_s = compute_allowed_wait_s(needs.target_s, 0.0, now - opening.requested_at)
        in_time = allowed_s >= 0 and not refused
        priority = limit_priority(needs.priority)
        self.reserves.record(opening.service, priority, in_time, now)

    def record_search(self, opening: PendingOpening, found: bool) -> None:
        """Record, once for each search, whether an opening found room to wait in time."""
        if opening.wait_search is not None:
            self.searches.record(opening.wait_search.key, opening.wait_search.limit, found)
            opening.wait_search = None

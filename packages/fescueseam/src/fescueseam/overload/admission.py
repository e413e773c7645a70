"""Whether an opening that finds no free slot may wait for one, and for how long."""

from attrs import frozen

from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.waits import Outlook, assess_wait, compute_allowed_wait_s

LOWEST_WAITING_PRIORITY = 3
"""Largest number of a priority that is told apart while openings wait, in place of all larger."""
OPENING_WAIT_LIMIT_S = 1.2
"""Longest time from the first packet of an opening to its delivery, in seconds; callers give up
after 1.4 s."""
IN_TIME_OFFERS_LIMIT = 4
"""Largest number of agents that are asked to let an opening wait within its target."""
LATE_OFFERS_LIMIT = 1
"""Largest number of agents that are then asked to let it wait within its limit."""


@frozen
class WaitStep:
    """One of the few waits that an offer can allow."""

    wait_s: float
    late: bool = False
    """Whether the request then misses its target, and waits behind those that can meet theirs."""


NO_WAIT = WaitStep(0.0)
WAIT_STEPS = (
    NO_WAIT,
    WaitStep(0.05),
    WaitStep(0.1),
    WaitStep(0.15),
    WaitStep(0.3),
    WaitStep(0.7),
    WaitStep(0.25, late=True),
    WaitStep(0.8, late=True),
)
"""The waits that an offer can allow, by number; an offer with number 0 allows none."""
LONGEST_WAIT_S = max(item.wait_s for item in WAIT_STEPS)

REASON_LIMIT = "limit"
"""Reason for refusing an opening that cannot meet its time limit anywhere."""
REASON_NO_ROOM = "no-room-in-time"
"""Reason for refusing an opening for which no agent that was asked has room in time."""
REASON_RETRY_BUDGET = "retry-budget"
"""Reason for refusing a try after a refusal in a shortage, of which enough are placed."""


@frozen
class WaitPlan:
    """What an agent may be asked to do with an opening; step 0 with a reason refuses it."""

    step: int
    outlook: Outlook
    reason: str = ""


def plan_wait(
    needs: RouteNeeds,
    service_time_s: float,
    elapsed_s: float,
    attempt_s: float,
    offers_made: int,
    in_time_offers_limit: int = IN_TIME_OFFERS_LIMIT,
) -> WaitPlan:
    """Return which wait to allow at an agent, after some offers that ended without room.

    `elapsed_s` counts from the first try of the request, `attempt_s` from the opening of this one.
    """
    outlook = assess_wait(0.0, service_time_s, needs, elapsed_s)
    if outlook is Outlook.TOO_LATE:
        return WaitPlan(0, outlook, REASON_LIMIT)
    if outlook is Outlook.MEETS_TARGET and offers_made < in_time_offers_limit:
        allowed_s = compute_allowed_wait_s(needs.target_s, service_time_s, elapsed_s)
        step = _choose_step(allowed_s, late=False)
        if step:
            return WaitPlan(step, outlook)
    if offers_made < in_time_offers_limit + LATE_OFFERS_LIMIT:
        allowed_s = min(
            compute_allowed_wait_s(needs.limit_s, service_time_s, elapsed_s),
            OPENING_WAIT_LIMIT_S - attempt_s,
        )
        step = _choose_step(allowed_s, late=True)
        if step:
            return WaitPlan(step, Outlook.MEETS_LIMIT)
    return WaitPlan(0, outlook, REASON_NO_ROOM)


def limit_priority(priority: int) -> int:
    """Return the priority by which openings wait."""
    return min(priority, LOWEST_WAITING_PRIORITY)


def _choose_step(allowed_s: float, late: bool) -> int:
    """Return the number of the longest step within a wait; 0 if there is none."""
    fitting = [
        number
        for number, item in enumerate(WAIT_STEPS)
        if number and item.late == late and item.wait_s <= allowed_s
    ]
    return max(fitting, default=0)

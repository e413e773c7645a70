"""Order in which openings that were deferred during an outage are placed."""

from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.waits import Outlook, assess_wait

ReturnOrder = tuple[bool, int, float]
"""Whether the target is missed, the priority, and the time of deferral."""


def compute_return_order(
    needs: RouteNeeds | None, service_time_s: float, elapsed_s: float, deferred_at: float
) -> ReturnOrder | None:
    """Return the sort key of a deferred opening; None if it can no longer meet its limit."""
    if needs is None:
        return (False, 0, deferred_at)
    outlook = assess_wait(0.0, service_time_s, needs, elapsed_s)
    if outlook is Outlook.TOO_LATE:
        return None
    return (outlook is Outlook.MEETS_LIMIT, needs.priority, deferred_at)

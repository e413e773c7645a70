"""Expected wait for a slot, and what it leaves of a route's latency target and time limit."""

from enum import Enum

from fescueseam.overload.needs import RouteNeeds

DEFAULT_SERVICE_TIME_S = 0.05
"""Service time assumed while none has been learned, in seconds."""
COLD_SERVICE_TIME_FACTOR = 3.0
"""Factor on the service time of a cold backend server."""
EXCHANGE_TIME_S = 0.03
"""Time assumed for the handshake and the packets of a request and its answer, in seconds."""


class Outlook(Enum):
    """What a request can still meet after an expected wait."""

    MEETS_TARGET = "meets-target"
    MEETS_LIMIT = "meets-limit"
    TOO_LATE = "too-late"


def estimate_service_time_s(learned_s: float, cold: bool = False) -> float:
    """Return the service time to expect; a learned one of 0 means that none is known."""
    service_time_s = learned_s if learned_s > 0 else DEFAULT_SERVICE_TIME_S
    return service_time_s * COLD_SERVICE_TIME_FACTOR if cold else service_time_s


def estimate_wait_s(
    requests_ahead: float, slots: int, service_time_s: float, cold: bool = False
) -> float:
    """Return the expected time until a slot is free for one more request, in seconds.

    `requests_ahead` counts the requests at work, those that wait and those offered there.
    """
    slots = max(1, slots)
    requests_to_end = requests_ahead - slots + 1
    if requests_to_end <= 0:
        return 0.0
    # The requests at work have been there for a while: the first ends sooner than the others.
    service_times = min(1.0, requests_to_end) / (slots + 1) + max(0.0, requests_to_end - 1) / slots
    return service_times * estimate_service_time_s(service_time_s, cold)


def compute_allowed_wait_s(time_s: float, service_time_s: float, elapsed_s: float = 0.0) -> float:
    """Return how long a request may wait and still end within a time; negative if it can't."""
    return time_s - EXCHANGE_TIME_S - service_time_s - elapsed_s


def assess_wait(
    wait_s: float, service_time_s: float, needs: RouteNeeds, elapsed_s: float = 0.0
) -> Outlook:
    """Return what a request meets if it waits for a time, after it has waited before."""
    if wait_s <= compute_allowed_wait_s(needs.target_s, service_time_s, elapsed_s):
        return Outlook.MEETS_TARGET
    if wait_s <= compute_allowed_wait_s(needs.limit_s, service_time_s, elapsed_s):
        return Outlook.MEETS_LIMIT
    return Outlook.TOO_LATE

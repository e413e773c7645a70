"""Judge a backend server by how its requests end, whatever it says of itself."""

import math

from attrs import define

FAILURE_DECAY_TIME_S = 3.0
"""Forget a request's end over about this time, in seconds, so that a server that has recovered is
tried again soon."""
STUCK_SERVICE_TIMES = 8.0
"""Take a request for stuck after this many mean service times."""
MIN_STUCK_AFTER_S = 0.5
"""Take no request for stuck before this time, in seconds."""
FULL_CONFIDENCE_REQUESTS = 4.0
"""Trust the share of failures fully from this many remembered requests on."""


@define
class FailureTracker:
    """Hold how many of the latest requests ended without an answer."""

    _ended_requests: float = 0.0
    _failed_requests: float = 0.0
    _updated_at: float = 0.0

    def record_request_end(self, failed: bool, now: float) -> None:
        """Take the end of a request."""
        self._decay(now)
        self._ended_requests += 1.0
        self._failed_requests += float(failed)

    def compute_failing_share(self, stuck: int, now: float) -> float:
        """Return the share of requests that fail, the stuck ones among them."""
        self._decay(now)
        return (self._failed_requests + stuck) / max(
            FULL_CONFIDENCE_REQUESTS, self._ended_requests + stuck
        )

    def _decay(self, now: float) -> None:
        keep = math.exp(-max(0.0, now - self._updated_at) / FAILURE_DECAY_TIME_S)
        self._ended_requests *= keep
        self._failed_requests *= keep
        self._updated_at = now


def compute_stuck_after(service_time_s: float) -> float:
    """Return how long a request may be at work before it counts as stuck, in seconds."""
    return max(MIN_STUCK_AFTER_S, STUCK_SERVICE_TIMES * service_time_s)

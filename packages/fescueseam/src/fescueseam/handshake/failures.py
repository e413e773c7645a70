"""Share of failing requests of a backend server, independent of its own heartbeats."""

import math

from attrs import define

FAILURE_DECAY_TIME_S = 3.0
"""Time constant with which ended requests lose weight, in seconds. It is short so that a recovered
backend server gets new flows soon."""
STUCK_SERVICE_TIMES = 8.0
"""Number of mean service times after which a request counts as stuck."""
MIN_STUCK_AFTER_S = 0.5
"""Shortest time after which a request counts as stuck, in seconds."""
FULL_CONFIDENCE_REQUESTS = 4.0
"""Number of requests below which the share of failures is scaled down, so that one failure among
few requests weighs little."""


@define
class FailureTracker:
    """Counts of the latest requests and of those without an answer, decaying over time."""

    _ended_requests: float = 0.0
    _failed_requests: float = 0.0
    _updated_at: float = 0.0

    def record_request_end(self, failed: bool, now: float) -> None:
        """Record the end of a request."""
        self._decay(now)
        self._ended_requests += 1.0
        self._failed_requests += float(failed)

    def compute_failing_share(self, stuck: int, now: float) -> float:
        """Return the share of failing requests, counting stuck ones as failed."""
        self._decay(now)
        return (self._failed_requests + stuck) / max(
            FULL_CONFIDENCE_REQUESTS, self._ended_requests + stuck
        )

    def _decay(self, now: float) -> None:
        decay = math.exp(-max(0.0, now - self._updated_at) / FAILURE_DECAY_TIME_S)
        self._ended_requests *= decay
        self._failed_requests *= decay
        self._updated_at = now


def compute_stuck_after(service_time_s: float) -> float:
    """Return the time after which an unanswered request counts as stuck, in seconds."""
    return max(MIN_STUCK_AFTER_S, STUCK_SERVICE_TIMES * service_time_s)

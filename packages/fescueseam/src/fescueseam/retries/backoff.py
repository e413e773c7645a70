"""Compute retry delays and limit calls to a failed peer with a circuit breaker."""

import random

from attrs import define

BACKOFF_BASE_S = 0.2
"""Upper bound of the delay at attempt 0, in seconds; it doubles with each attempt."""
BACKOFF_CAP_S = 30.0
"""Largest delay, in seconds."""


def compute_backoff(
    attempt: int,
    rng: random.Random,
    base_s: float = BACKOFF_BASE_S,
    cap_s: float = BACKOFF_CAP_S,
) -> float:
    """Return the delay before a retry: exponential backoff with full jitter."""
    limit_s = min(cap_s, base_s * 2.0 ** min(attempt, 32))
    return rng.uniform(0.0, limit_s)


@define
class Breaker:
    """A circuit breaker; while open, it allows single probes after increasing delays."""

    rng: random.Random
    base_s: float = BACKOFF_BASE_S
    cap_s: float = BACKOFF_CAP_S
    failures: int = 0
    next_attempt_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a call may be made now; if it is a probe, schedule the next one."""
        if self.failures == 0:
            return True
        if now < self.next_attempt_at:
            return False
        self._schedule_next_attempt(now)
        return True

    def record_success(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self.next_attempt_at = 0.0

    def record_failure(self, now: float) -> None:
        """Open the breaker, or increase the delay of an open one."""
        self.failures += 1
        self._schedule_next_attempt(now)

    def probe_within(self, window_s: float, now: float) -> None:
        """Restart the backoff and bring the next probe forward to a random time in the window."""
        if self.failures > 0:
            self.failures = 1
            self.next_attempt_at = min(self.next_attempt_at, now + self.rng.uniform(0.0, window_s))

    def _schedule_next_attempt(self, now: float) -> None:
        delay_s = compute_backoff(self.failures, self.rng, self.base_s, self.cap_s)
        self.next_attempt_at = now + max(delay_s, self.base_s)

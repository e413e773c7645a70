"""Compute waits before retries and probe a failed peer with few calls."""

import random

from attrs import define

BACKOFF_BASE_S = 0.2
BACKOFF_CAP_S = 30.0


def compute_backoff(
    attempt: int,
    rng: random.Random,
    base_s: float = BACKOFF_BASE_S,
    cap_s: float = BACKOFF_CAP_S,
) -> float:
    """Return the wait before a retry, drawn evenly from zero to a doubling bound."""
    bound_s = min(cap_s, base_s * 2.0 ** min(attempt, 32))
    return rng.uniform(0.0, bound_s)


@define
class Breaker:
    """Allow one probing call at a time while a peer fails, calls without bound otherwise."""

    rng: random.Random
    base_s: float = BACKOFF_BASE_S
    cap_s: float = BACKOFF_CAP_S
    failures: int = 0
    next_attempt_at: float = 0.0

    def allows(self, now: float) -> bool:
        """Tell whether a call may be made now; a probe postpones the next one."""
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
        """Open the breaker, or keep it open for longer."""
        self.failures += 1
        self._schedule_next_attempt(now)

    def probe_within(self, window_s: float, now: float) -> None:
        """Probe again at a random time within some seconds, and wait little after that."""
        if self.failures > 0:
            self.failures = 1
            self.next_attempt_at = min(self.next_attempt_at, now + self.rng.uniform(0.0, window_s))

    def _schedule_next_attempt(self, now: float) -> None:
        wait_s = compute_backoff(self.failures, self.rng, self.base_s, self.cap_s)
        self.next_attempt_at = now + max(wait_s, self.base_s)

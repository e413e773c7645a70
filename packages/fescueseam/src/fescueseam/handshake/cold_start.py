"""Rate limit for the openings of a cold backend server."""

import math
from collections import deque

from attrs import define, field

RATE_WINDOW_S = 1.0
"""Length of the sliding window for openings, in seconds. Bounds are stated per second."""
FALLBACK_OPENINGS_PER_S = 2.0
"""Largest number of openings per second while the service's rules or the backend server's state are
unknown."""
COLD_TIME_MARGIN_S = 0.3
"""Time by which the cold phase is extended beyond the reported end, in seconds: the backend server
measures the time left itself, and its heartbeat arrives with a delay."""
HEARTBEAT_DELAY_S = 0.1
"""Time between the making of a heartbeat and its arrival that is allowed for, in seconds."""


@define
class ColdStartLimiter:
    """Limits how many openings per second one backend server gets while it is cold."""

    cold_until: float = 0.0
    _unverified_since: float = -math.inf
    """Time since which only a heartbeat made later tells whether the backend server is cold."""
    _openings: deque[float] = field(factory=deque)

    def update_cold_time(self, cold_left_s: float, now: float) -> None:
        """Set the end of the cold phase from the time left that a heartbeat names."""
        self.cold_until = now + cold_left_s + COLD_TIME_MARGIN_S if cold_left_s > 0 else 0.0
        if now >= self._unverified_since + HEARTBEAT_DELAY_S:
            self._unverified_since = -math.inf

    def extend_cold_time(self, cold_left_s: float, now: float) -> None:
        """Put the end of the cold phase off, if another start of the server would end it later."""
        if cold_left_s > 0:
            self.cold_until = max(self.cold_until, now + cold_left_s + COLD_TIME_MARGIN_S)

    def require_heartbeat(self, now: float) -> None:
        """Treat the backend server as cold until a heartbeat that was made after this."""
        self._unverified_since = now

    @property
    def is_verified(self) -> bool:
        """Whether the newest heartbeat tells if the backend server is cold."""
        return self._unverified_since == -math.inf

    def is_cold(self, now: float) -> bool:
        """Return whether the backend server is cold."""
        return now < self.cold_until

    def can_admit(self, openings_per_s: float, now: float, state_known: bool = True) -> bool:
        """Return whether one more opening stays within a bound of openings per second.

        Zero sets no bound. A backend server whose state is not known counts as cold.
        """
        if (state_known and not self.is_cold(now)) or openings_per_s <= 0:
            return True
        self._expire(now)
        return len(self._openings) < max(1, int(openings_per_s))

    def record_opening(self, now: float) -> None:
        """Record an opening that was delivered."""
        self._expire(now)
        self._openings.append(now)

    def _expire(self, now: float) -> None:
        while self._openings and now - self._openings[0] >= RATE_WINDOW_S:
            self._openings.popleft()

"""Bound the openings that a cold backend server is given."""

from collections import deque

from attrs import define, field

RATE_WINDOW_S = 1.0
"""Count openings over sliding spans of this length, in seconds, as the bound is stated."""
FALLBACK_OPENINGS_PER_S = 2.0
"""Bound the openings while the service's rules or the backend server's state are not known."""
COLD_TIME_MARGIN_S = 0.3
"""Take a backend server for cold this much longer than it says, in seconds: it is told its own
time and the report is late."""


@define
class ColdStartLimiter:
    """Count the openings of one backend server and tell when it may get another."""

    cold_until: float = 0.0
    _openings: deque[float] = field(factory=deque)

    def update_cold_time(self, cold_left_s: float, now: float) -> None:
        """Take what the backend server says of itself."""
        self.cold_until = now + cold_left_s + COLD_TIME_MARGIN_S if cold_left_s > 0 else 0.0

    def is_cold(self, now: float) -> bool:
        """Tell whether the bound holds."""
        return now < self.cold_until

    def can_admit(self, openings_per_s: float, now: float, is_known: bool = True) -> bool:
        """Tell whether one more opening keeps to the bound.

        A backend server that is not known to be warm is taken for cold.
        """
        if (is_known and not self.is_cold(now)) or openings_per_s <= 0:
            return True
        self._expire(now)
        return len(self._openings) < max(1, int(openings_per_s))

    def record_opening(self, now: float) -> None:
        """Count an opening that was delivered."""
        self._expire(now)
        self._openings.append(now)

    def _expire(self, now: float) -> None:
        while self._openings and now - self._openings[0] >= RATE_WINDOW_S:
            self._openings.popleft()

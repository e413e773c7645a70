"""What the callers of a route need of each request."""

import math

from attrs import frozen

LOWEST_PRIORITY = 255
"""Largest number of a priority; 0 is the highest priority."""


@frozen
class RouteNeeds:
    """Latency target, time limit and priority that the configuration states for a route."""

    target_s: float
    """Time within which an answer is worth its full value, in seconds."""
    limit_s: float
    """Time after which callers give up, in seconds."""
    priority: int = 0
    """Priority under shortage; 0 is the highest."""

    def is_valid(self) -> bool:
        """Return whether the times are positive, ordered and finite, and the priority in range."""
        times = (self.target_s, self.limit_s)
        return (
            all(math.isfinite(item) and item > 0 for item in times)
            and self.target_s <= self.limit_s
            and 0 <= self.priority <= LOWEST_PRIORITY
        )

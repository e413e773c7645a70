"""Judge a backend server by how its requests end, whatever it says of itself."""

import math

from attrs import define

MEMORY_S = 3.0
"""Forget a request's end over about this time, in seconds, so that a server that has recovered is
tried again soon."""
STUCK_FACTOR = 8.0
"""Take a request for stuck after this many mean service times."""
STUCK_AFTER_S = 0.5
"""Take no request for stuck before this time, in seconds."""
FULL_WEIGHT = 4.0
"""Trust the share of failures fully from this many remembered requests on."""


@define
class Failures:
    """Hold how many of the latest requests ended without an answer."""

    _ended: float = 0.0
    _failed: float = 0.0
    _updated: float = 0.0

    def note_end(self, failed: bool, now: float) -> None:
        """Take the end of a request."""
        self._fade(now)
        self._ended += 1.0
        self._failed += float(failed)

    def find_share(self, stuck: int, now: float) -> float:
        """Return the share of requests that fail, the stuck ones among them."""
        self._fade(now)
        return (self._failed + stuck) / max(FULL_WEIGHT, self._ended + stuck)

    def _fade(self, now: float) -> None:
        keep = math.exp(-max(0.0, now - self._updated) / MEMORY_S)
        self._ended *= keep
        self._failed *= keep
        self._updated = now


def compute_stuck_after(service_time_s: float) -> float:
    """Return how long a request may be at work before it counts as stuck, in seconds."""
    return max(STUCK_AFTER_S, STUCK_FACTOR * service_time_s)

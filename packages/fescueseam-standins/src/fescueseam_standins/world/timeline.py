"""Schedule callbacks on virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

from attrs import define, field

Callback = Callable[[], None]


@define(eq=False)
class Timeline:
    """Queue of callbacks, ordered by time and then by insertion."""

    now: float = 0.0
    _queue: list[tuple[float, int, Callback]] = field(factory=list)
    _sequence_numbers: "count[int]" = field(factory=count)

    def call_at(self, time: float, callback: Callback) -> None:
        """Schedule a callback at a time, or at once if that time has passed."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._sequence_numbers), callback))

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._sequence_numbers), callback))

    def call_every(self, interval_s: float, callback: Callable[[], bool]) -> None:
        """Schedule a callback at a fixed interval until it returns false."""

        def run_and_reschedule() -> None:
            if callback():
                self.call_later(interval_s, run_and_reschedule)

        self.call_later(interval_s, run_and_reschedule)

    def run_until(self, end: float) -> None:
        """Run all callbacks up to a time and set the clock to it."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(queue)
            callback()
        self.now = max(self.now, end)

"""Order events on virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

from attrs import define, field

Callback = Callable[[], None]


@define(eq=False)
class Timeline:
    """Hold what is to happen, in order of time and then of arrival."""

    now: float = 0.0
    _queue: list[tuple[float, int, Callback]] = field(factory=list)
    _sequence_numbers: "count[int]" = field(factory=count)

    def call_at(self, time: float, callback: Callback) -> None:
        """Do something at a time; a time that is past means at once."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._sequence_numbers), callback))

    def call_later(self, delay_s: float, callback: Callback) -> None:
        """Do something after a delay."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._sequence_numbers), callback))

    def call_every(self, interval_s: float, callback: Callable[[], bool]) -> None:
        """Do something again and again until it returns false."""

        def run_and_reschedule() -> None:
            if callback():
                self.call_later(interval_s, run_and_reschedule)

        self.call_later(interval_s, run_and_reschedule)

    def run_until(self, end: float) -> None:
        """Do everything that is due up to a time, and stand at it afterwards."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(queue)
            callback()
        self.now = max(self.now, end)

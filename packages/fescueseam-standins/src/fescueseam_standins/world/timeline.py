"""Order events on virtual time."""

import heapq
from collections.abc import Callable
from itertools import count

from attrs import define, field

Action = Callable[[], None]


@define(eq=False)
class Timeline:
    """Hold what is to happen, in order of time and then of arrival."""

    now: float = 0.0
    _queue: list[tuple[float, int, Action]] = field(factory=list)
    _numbers: "count[int]" = field(factory=count)

    def at(self, time: float, action: Action) -> None:
        """Do something at a time; a time that is past means at once."""
        heapq.heappush(self._queue, (max(time, self.now), next(self._numbers), action))

    def after(self, delay_s: float, action: Action) -> None:
        """Do something after a delay."""
        heapq.heappush(self._queue, (self.now + delay_s, next(self._numbers), action))

    def every(self, interval_s: float, action: Callable[[], bool]) -> None:
        """Do something again and again until it returns false."""

        def step() -> None:
            if action():
                self.after(interval_s, step)

        self.after(interval_s, step)

    def run_until(self, end: float) -> None:
        """Do everything that is due up to a time, and stand at it afterwards."""
        queue = self._queue
        while queue and queue[0][0] <= end:
            self.now, _, action = heapq.heappop(queue)
            action()
        self.now = max(self.now, end)

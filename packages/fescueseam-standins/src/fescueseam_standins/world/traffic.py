"""Generate calls at random times."""

import random

from attrs import define

from fescueseam.conf.models import Service, ServiceClass

from .callers import Callers
from .timeline import Timeline


@define(eq=False)
class PoissonArrivals:
    """Poisson process of calls of one service class, with exponentially distributed sizes."""

    callers: Callers
    timeline: Timeline
    service: Service
    service_class: ServiceClass
    rng: random.Random
    rate_per_s: float
    """Mean number of calls per second."""
    mean_size_s: float
    """Mean size of a call, in seconds at a backend server of speed 1."""
    end: float

    def start(self, start_time: float) -> None:
        """Schedule the first call after a start time."""
        self._schedule(start_time)

    def _schedule(self, time: float) -> None:
        time += self.rng.expovariate(self.rate_per_s)
        if time >= self.end:
            return
        size_s = self.rng.expovariate(1 / self.mean_size_s)

        def arrive() -> None:
            self.callers.open_call(self.service, self.service_class, size_s)
            self._schedule(time)

        self.timeline.call_at(time, arrive)

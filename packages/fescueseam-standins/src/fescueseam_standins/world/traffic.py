"""Let callers open calls at random times."""

import random

from attrs import define

from fescueseam.conf.models import Service, ServiceClass

from .callers import Callers
from .timeline import Timeline


@define(eq=False)
class PoissonArrivals:
    """Open the calls of one class as a Poisson process with exponential sizes."""

    callers: Callers
    timeline: Timeline
    service: Service
    service_class: ServiceClass
    rng: random.Random
    rate_per_s: float
    """Open this many calls a second."""
    mean_size_s: float
    end: float

    def start(self, start: float) -> None:
        """Schedule the first call after a time."""
        self._schedule(start)

    def _schedule(self, time: float) -> None:
        time += self.rng.expovariate(self.rate_per_s)
        if time >= self.end:
            return
        size_s = self.rng.expovariate(1 / self.mean_size_s)

        def arrive() -> None:
            self.callers.open_call(self.service, self.service_class, size_s)
            self._schedule(time)

        self.timeline.call_at(time, arrive)

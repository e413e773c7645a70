"""Let callers open calls at random times."""

import random

from attrs import define

from fescueseam.conf.models import Service, ServiceClass

from .callers import Callers
from .timeline import Timeline


@define(eq=False)
class Arrivals:
    """Open the calls of one class as a Poisson process with exponential sizes."""

    callers: Callers
    timeline: Timeline
    service: Service
    service_class: ServiceClass
    rng: random.Random
    rate: float
    """Open this many calls a second."""
    mean_s: float
    end: float

    def begin(self, start: float) -> None:
        """Schedule the first call after a time."""
        self._schedule(start)

    def _schedule(self, time: float) -> None:
        time += self.rng.expovariate(self.rate)
        if time >= self.end:
            return
        size_s = self.rng.expovariate(1 / self.mean_s)

        def arrive() -> None:
            self.callers.open(self.service, self.service_class, size_s)
            self._schedule(time)

        self.timeline.at(time, arrive)

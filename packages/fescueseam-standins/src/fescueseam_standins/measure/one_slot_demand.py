"""How uneven the work and the demand are that requests are placed under."""

import math
import random

from attrs import frozen

MEAN_SERVICE_TIME_S = 0.03
"""Mean service time at a server of speed one, in seconds."""
SWING_PERIOD_S = 6.0
"""Time in which the demand of each data centre rises and falls once, in seconds."""
DATA_CENTRES = 3


@frozen
class Demand:
    """How uneven the work and the demand are."""

    tail_share: float = 0.0
    """Share of the requests that work longer."""
    tail_factor: float = 1.0
    swing: float = 0.0
    """Largest change of a data centre's demand, relative to its mean."""

    def draw_work(self, rng: random.Random) -> float:
        """Return the work of a request, in seconds at a server of speed one."""
        mean_factor = 1 + self.tail_share * (self.tail_factor - 1)
        work_s = rng.expovariate(mean_factor / MEAN_SERVICE_TIME_S)
        return work_s * (self.tail_factor if rng.random() < self.tail_share else 1.0)

    def compute_weight(self, data_centre: int, now: float) -> float:
        """Return the demand of a data centre at a time, relative to its mean."""
        phase = now / SWING_PERIOD_S + data_centre / DATA_CENTRES
        return 1 + self.swing * math.sin(2 * math.pi * phase)


EVEN = "even"
DEMANDS: dict[str, Demand] = {
    EVEN: Demand(),
    "tail": Demand(0.03, 7.0),
    "swing": Demand(swing=0.55),
    "tail-and-swing": Demand(0.03, 7.0, 0.55),
}

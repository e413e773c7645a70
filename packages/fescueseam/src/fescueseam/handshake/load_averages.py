"""Moving averages of a backend server's load."""

import math

from attrs import define

UTILISATION_TIME_CONSTANT_S = 3.0
"""Time constant of the exponential average of the utilisation, in seconds."""
SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new service time in its exponential moving average."""
FLOW_BYTES_WEIGHT = 0.02
"""Weight of a new flow in the mean of the bytes of the answers on one flow."""


@define
class LoadAverages:
    """Service time and utilisation of one backend server."""

    service_time_s: float = 0.0
    """Moving average of the service time, in seconds; 0 before the first answer."""
    slot_time_s: float = 0.0
    """The same without the time in the server's own queue, as far as the requests at work show."""
    utilisation: float = 0.0
    """Moving average of the share of busy slots."""
    _updated_at: float = 0.0
    _answer_bytes: float = 0.0
    _flows: float = 0.0
    """Number of flows of which the bytes are, both with the weight of older flows reduced."""

    @property
    def flow_bytes(self) -> float:
        """Return the mean bytes of the answers on one flow; 0 before the first flow."""
        return self._answer_bytes / self._flows if self._flows else 0.0

    def record_flow(self) -> None:
        """Record a new flow."""
        self._answer_bytes *= 1 - FLOW_BYTES_WEIGHT
        self._flows = self._flows * (1 - FLOW_BYTES_WEIGHT) + 1

    def record_answer_bytes(self, data_bytes: int) -> None:
        """Record data that the backend server sent."""
        self._answer_bytes += data_bytes

    def record_busy_slots(self, busy: int, slots: int, now: float) -> None:
        """Record how many slots have been busy since the last call."""
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        busy_share = min(1.0, busy / slots) if slots else 0.0
        decay = math.exp(-elapsed_s / UTILISATION_TIME_CONSTANT_S)
        self.utilisation = self.utilisation * decay + busy_share * (1 - decay)
        self._updated_at = now

    def record_service_time(self, duration_s: float, requests_per_slot: float = 1.0) -> None:
        """Record the duration of an answered request, and how many were at work for each slot."""
        slot_time_s = duration_s / max(1.0, requests_per_slot)
        if self.service_time_s == 0.0:
            self.service_time_s, self.slot_time_s = duration_s, slot_time_s
        else:
            self.service_time_s += (duration_s - self.service_time_s) * SERVICE_TIME_WEIGHT
            self.slot_time_s += (slot_time_s - self.slot_time_s) * SERVICE_TIME_WEIGHT

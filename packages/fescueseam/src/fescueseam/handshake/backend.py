"""Hold what an agent believes of the backend server beside it."""

from enum import Enum

from attrs import define, field, frozen

from fescueseam.handshake.cold_start import ColdStartLimiter
from fescueseam.handshake.members import Availability

PREVIOUS_STARTS_LIMIT = 16
"""Remember this many earlier starts, so that their late heartbeats are told from news."""
HEARTBEAT_TIMEOUT_INTERVALS = 3.5
"""Take the backend server for absent after this many heartbeat intervals without one."""
FIRST_HEARTBEAT_TIMEOUT_INTERVALS = 2.0
"""Wait this many heartbeat intervals for the first heartbeat; a living server sends one in each."""
UNANSWERED_OPENINGS_LIMIT = 2
"""Take the backend server for absent after this many opening packets without an answer."""


@frozen
class Heartbeat:
    """Hold one heartbeat of a backend server."""

    name: str
    started_ms: int
    """Hold the wall clock at its start; only good to tell one start from another."""
    sequence: int
    service: str
    availability: Availability
    slots: int
    cold_left_s: float = 0.0
    version: str = ""


class HeartbeatOutcome(Enum):
    """Tell what became of a heartbeat."""

    ACCEPTED = "taken"
    NEW_START = "started"
    """It is the first one of another start."""
    STALE = "late"
    WRONG_SERVICE = "foreign"
    """It names another service."""


@define
class BackendMonitor:
    """Hold the newest heartbeat and the signs of life of one backend server."""

    service: str
    heartbeat_interval_s: float
    listening_since: float
    """Hold when this process began to listen for heartbeats."""
    last_heartbeat: Heartbeat | None = None
    last_heard_at: float = 0.0
    availability: Availability = Availability.UNKNOWN
    knows_all_flows: bool = False
    """Tell that every flow of this start went through this agent's memory."""
    unanswered_openings: int = 0
    cold_start: ColdStartLimiter = field(factory=ColdStartLimiter)
    _previous_starts: list[tuple[str, int]] = field(factory=list)
    _unconfirmed: Heartbeat | None = None

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Take a heartbeat and return what became of it."""
        if heartbeat.service != self.service:
            return HeartbeatOutcome.WRONG_SERVICE
        start = (heartbeat.name, heartbeat.started_ms)
        last = self.last_heartbeat
        if start in self._previous_starts:
            return HeartbeatOutcome.STALE
        if last is not None and start == (last.name, last.started_ms):
            if heartbeat.sequence <= last.sequence:
                return HeartbeatOutcome.STALE
            return self._accept(heartbeat, HeartbeatOutcome.ACCEPTED, now)
        if last is not None and self._is_unconfirmed(heartbeat, last, now):
            self._unconfirmed = heartbeat
            return HeartbeatOutcome.STALE
        if last is not None:
            self._previous_starts.append((last.name, last.started_ms))
            del self._previous_starts[:-PREVIOUS_STARTS_LIMIT]
        # A start is known from its first heartbeat; later ones were missed by this process.
        self.knows_all_flows = last is not None or heartbeat.sequence <= 1
        return self._accept(heartbeat, HeartbeatOutcome.NEW_START, now)

    def is_first_heartbeat_overdue(self, now: float) -> bool:
        """Tell whether nobody has announced itself for so long that nobody is there."""
        waited_s = now - self.listening_since
        return (
            self.last_heartbeat is None
            and waited_s > FIRST_HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_interval_s
        )

    def record_deregistration(self, name: str, now: float) -> bool:
        """Take the farewell of a backend server; return whether it is the current one."""
        if self.last_heartbeat is None or self.last_heartbeat.name != name:
            return False
        self.availability = Availability.LEFT
        self.last_heard_at = now
        return True

    def record_packet(self) -> None:
        """Note that the backend server sent something."""
        self.unanswered_openings = 0

    def record_unanswered_opening(self) -> None:
        """Note an opening packet that was not answered in time."""
        self.unanswered_openings += 1

    def compute_availability(self, now: float) -> Availability:
        """Return whether the backend server may get new flows now."""
        unanswered = self.unanswered_openings >= UNANSWERED_OPENINGS_LIMIT
        if self.is_first_heartbeat_overdue(now):
            return Availability.LEFT
        if self.availability is Availability.UNKNOWN and unanswered:
            return Availability.ABSENT
        if self.availability is not Availability.READY:
            return self.availability
        silent = now - self.last_heard_at > HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_interval_s
        if silent or unanswered:
            return Availability.ABSENT
        return Availability.READY

    def _is_unconfirmed(self, heartbeat: Heartbeat, last: Heartbeat, now: float) -> bool:
        # An earlier start's late heartbeat comes once, while the later start goes on reporting.
        fresh = now - self.last_heard_at < 1.5 * self.heartbeat_interval_s
        repeated = (
            self._unconfirmed is not None
            and (self._unconfirmed.name, self._unconfirmed.started_ms)
            == (heartbeat.name, heartbeat.started_ms)
            and heartbeat.sequence > self._unconfirmed.sequence
        )
        return heartbeat.started_ms < last.started_ms and fresh and not repeated

    def _accept(
        self, heartbeat: Heartbeat, outcome: HeartbeatOutcome, now: float
    ) -> HeartbeatOutcome:
        self.last_heartbeat = heartbeat
        self.last_heard_at = now
        self.availability = heartbeat.availability
        self.unanswered_openings = 0
        self._unconfirmed = None
        self.cold_start.update_cold_time(heartbeat.cold_left_s, now)
        return outcome

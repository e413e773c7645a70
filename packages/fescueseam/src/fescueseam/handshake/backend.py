"""Hold what an agent believes of the backend server beside it."""

from enum import Enum

from attrs import define, field, frozen

from fescueseam.handshake.cold_start import Warmth
from fescueseam.handshake.members import Availability

REMEMBERED_STARTS = 16
"""Remember this many earlier starts, so that their late heartbeats are told from news."""
MISSED_HEARTBEATS = 3.5
"""Take the backend server for absent after this many heartbeat intervals without one."""
AWAITED_HEARTBEATS = 2.0
"""Wait this many heartbeat intervals for the first heartbeat; a living server sends one in each."""
UNANSWERED_LIMIT = 2
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


class Verdict(Enum):
    """Tell what became of a heartbeat."""

    TAKEN = "taken"
    STARTED = "started"
    """It is the first one of another start."""
    LATE = "late"
    FOREIGN = "foreign"
    """It names another service."""


@define
class Backend:
    """Hold the newest heartbeat and the signs of life of one backend server."""

    service: str
    heartbeat_interval_s: float
    awaited_since: float
    """Hold when this process began to listen for heartbeats."""
    current: Heartbeat | None = None
    heard_at: float = 0.0
    availability: Availability = Availability.UNKNOWN
    knows_flows: bool = False
    """Tell that every flow of this start went through this agent's memory."""
    unanswered: int = 0
    warmth: Warmth = field(factory=Warmth)
    _earlier: list[tuple[str, int]] = field(factory=list)
    _doubtful: Heartbeat | None = None

    def note_heartbeat(self, beat: Heartbeat, now: float) -> Verdict:
        """Take a heartbeat and return what became of it."""
        if beat.service != self.service:
            return Verdict.FOREIGN
        start = (beat.name, beat.started_ms)
        known = self.current
        if start in self._earlier:
            return Verdict.LATE
        if known is not None and start == (known.name, known.started_ms):
            if beat.sequence <= known.sequence:
                return Verdict.LATE
            return self._take(beat, Verdict.TAKEN, now)
        if known is not None and self._is_doubtful(beat, known, now):
            self._doubtful = beat
            return Verdict.LATE
        if known is not None:
            self._earlier.append((known.name, known.started_ms))
            del self._earlier[:-REMEMBERED_STARTS]
        # A start is known from its first heartbeat; later ones were missed by this process.
        self.knows_flows = known is not None or beat.sequence <= 1
        return self._take(beat, Verdict.STARTED, now)

    def is_missing(self, now: float) -> bool:
        """Tell whether nobody has announced itself for so long that nobody is there."""
        waited_s = now - self.awaited_since
        return self.current is None and waited_s > AWAITED_HEARTBEATS * self.heartbeat_interval_s

    def note_left(self, name: str, now: float) -> bool:
        """Take the farewell of a backend server; return whether it is the current one."""
        if self.current is None or self.current.name != name:
            return False
        self.availability = Availability.LEFT
        self.heard_at = now
        return True

    def note_answer(self) -> None:
        """Note that the backend server sent something."""
        self.unanswered = 0

    def note_unanswered(self) -> None:
        """Note an opening packet that was not answered in time."""
        self.unanswered += 1

    def find_availability(self, now: float) -> Availability:
        """Return whether the backend server may get new flows now."""
        unanswered = self.unanswered >= UNANSWERED_LIMIT
        if self.is_missing(now):
            return Availability.LEFT
        if self.availability is Availability.UNKNOWN and unanswered:
            return Availability.ABSENT
        if self.availability is not Availability.READY:
            return self.availability
        silent = now - self.heard_at > MISSED_HEARTBEATS * self.heartbeat_interval_s
        if silent or unanswered:
            return Availability.ABSENT
        return Availability.READY

    def _is_doubtful(self, beat: Heartbeat, known: Heartbeat, now: float) -> bool:
        # An earlier start's late heartbeat comes once, while the later start goes on reporting.
        fresh = now - self.heard_at < 1.5 * self.heartbeat_interval_s
        repeated = (
            self._doubtful is not None
            and (self._doubtful.name, self._doubtful.started_ms) == (beat.name, beat.started_ms)
            and beat.sequence > self._doubtful.sequence
        )
        return beat.started_ms < known.started_ms and fresh and not repeated

    def _take(self, beat: Heartbeat, verdict: Verdict, now: float) -> Verdict:
        self.current = beat
        self.heard_at = now
        self.availability = beat.availability
        self.unanswered = 0
        self._doubtful = None
        self.warmth.note_cold(beat.cold_left_s, now)
        return verdict

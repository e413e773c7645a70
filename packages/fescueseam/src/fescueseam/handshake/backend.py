"""Availability of the backend server beside an agent, from its heartbeats and packets."""

import math
from enum import Enum

from attrs import define, field, frozen

from fescueseam.handshake.cold_start import ColdStartLimiter
from fescueseam.handshake.flows import IDLE_FLOW_TIMEOUT_S
from fescueseam.handshake.member import Availability, compute_age_ms

PREVIOUS_STARTS_LIMIT = 16
"""Largest number of previous starts that are remembered to recognise their delayed heartbeats."""
HEARTBEAT_TIMEOUT_INTERVALS = 3.5
"""Number of intervals without a heartbeat after which the backend server counts as absent."""
FIRST_HEARTBEAT_TIMEOUT_INTERVALS = 2.0
"""Number of intervals to wait for the first heartbeat. A running backend server sends one per
interval."""
HEARTBEAT_OVERDUE_INTERVALS = 2.0
"""Number of intervals without a heartbeat after which it is not known whether the backend server
is cold: another start may run, whose heartbeats were lost."""
MIN_RESTART_DELAY_S = 0.25
"""Shortest time between the end of an agent's process and the start of the next one on its machine,
in seconds."""
UNANSWERED_OPENINGS_LIMIT = 2
"""Number of unanswered opening packets after which the backend server counts as absent."""


@frozen
class Heartbeat:
    """One heartbeat of a backend server."""

    name: str
    started_ms: int
    """Wall clock at the start of the backend server, in milliseconds. It identifies the start, but
    starts are not ordered by it, as the clock may be set back."""
    sequence: int
    service: str
    availability: Availability
    slots: int
    cold_left_s: float = 0.0
    version: str = ""


class HeartbeatOutcome(Enum):
    """What a heartbeat changed, or why it was ignored."""

    ACCEPTED = "taken"
    NEW_START = "started"
    """Accepted as the first heartbeat of another start."""
    STALE = "late"
    """Ignored: it is out of order, or of a previous or an unconfirmed start."""
    WRONG_SERVICE = "foreign"
    """Ignored: it names another service."""


@define
class BackendMonitor:
    """Newest heartbeat and availability of one backend server."""

    service: str
    heartbeat_interval_s: float
    listening_since: float
    """Time at which this process began to listen for heartbeats."""
    process_started_ms: int | None = None
    """Wall clock at the start of this process, in milliseconds; None if it is not known."""
    last_heartbeat: Heartbeat | None = None
    last_heard_at: float = -math.inf
    """Time of the last accepted heartbeat or deregistration."""
    availability: Availability = Availability.UNKNOWN
    knows_all_flows: bool = False
    """Whether the agent has seen every flow since the backend server started."""
    unanswered_openings: int = 0
    """Opening packets that timed out since the last packet or heartbeat of the backend server."""
    cold_start: ColdStartLimiter = field(factory=ColdStartLimiter)
    _previous_starts: list[tuple[str, int]] = field(factory=list)
    _is_absence_noticed: bool = False
    _refuses_connections: bool = False
    """Whether nothing listened at the backend server's address when this was last checked."""
    _unconfirmed: Heartbeat | None = None
    """Newest heartbeat of a start that looks older than the current one."""

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Record a heartbeat and return its outcome."""
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
        # This process saw the start if it knows the previous one or gets the first heartbeat.
        self.knows_all_flows = (
            last is not None or heartbeat.sequence <= 1 or self._started_after_agents(heartbeat)
        )
        return self._accept(heartbeat, HeartbeatOutcome.NEW_START, now)

    def is_first_heartbeat_overdue(self, now: float) -> bool:
        """Return whether the first heartbeat has not arrived within its timeout."""
        waited_s = now - self.listening_since
        return (
            self.last_heartbeat is None
            and waited_s > FIRST_HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_interval_s
        )

    def record_refused_connection(self) -> None:
        """Record that nothing listens at the backend server's address."""
        self._refuses_connections = True

    def is_missing(self, now: float) -> bool:
        """Return whether no backend server has run since this process started."""
        return self.is_first_heartbeat_overdue(now) or (
            self.last_heartbeat is None and self._refuses_connections
        )

    def may_hold_unknown_flows(self, now: float) -> bool:
        """Return whether the backend server may hold flows that the agent has not seen.

        After a time, each flow that was not seen has been idle for too long to count.
        """
        is_recent = now - self.listening_since < IDLE_FLOW_TIMEOUT_S
        return is_recent and not self.knows_all_flows and not self.is_missing(now)

    def notice_absence(self, now: float) -> bool:
        """Return True once, as soon as the backend server is known to be missing."""
        if self._is_absence_noticed or not self.is_missing(now):
            return False
        self._is_absence_noticed = True
        return True

    def record_deregistration(self, name: str, now: float) -> bool:
        """Record that a backend server has deregistered; return whether it is the current one."""
        if self.last_heartbeat is None or self.last_heartbeat.name != name:
            return False
        self.availability = Availability.LEFT
        self.last_heard_at = now
        return True

    def compute_heartbeat_age_ms(self, now: float) -> int | None:
        """Return the age of the last heartbeat in milliseconds; None before the first."""
        return compute_age_ms(self.last_heard_at, now)

    def is_cold_state_known(self, now: float) -> bool:
        """Return whether the newest heartbeat tells if the backend server is cold now."""
        overdue_s = HEARTBEAT_OVERDUE_INTERVALS * self.heartbeat_interval_s
        return self.cold_start.is_verified and now - self.last_heard_at <= overdue_s

    def record_packet(self) -> None:
        """Record a packet from the backend server."""
        self.unanswered_openings = 0
        self._refuses_connections = False

    def record_unanswered_opening(self) -> None:
        """Record an opening packet that was not answered in time."""
        self.unanswered_openings += 1

    def compute_availability(self, now: float) -> Availability:
        """Return the availability of the backend server for new flows."""
        unanswered = self.unanswered_openings >= UNANSWERED_OPENINGS_LIMIT
        if self.is_missing(now):
            return Availability.LEFT
        if self.availability is Availability.UNKNOWN and unanswered:
            return Availability.ABSENT
        if self.availability is not Availability.READY:
            return self.availability
        timed_out = (
            now - self.last_heard_at > HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_interval_s
        )
        if timed_out or unanswered:
            return Availability.ABSENT
        return Availability.READY

    def _started_after_agents(self, heartbeat: Heartbeat) -> bool:
        # All packets to a backend server pass its agent. One that started when every earlier
        # process of the agent had ended, as after a loss of power, has no flow unknown to this one.
        if self.process_started_ms is None:
            return False
        return heartbeat.started_ms > self.process_started_ms - 1000 * MIN_RESTART_DELAY_S

    def _is_unconfirmed(self, heartbeat: Heartbeat, last: Heartbeat, now: float) -> bool:
        # An older start time means a delayed heartbeat of a previous start, or a new start after
        # the clock was set back. A delayed heartbeat comes once, while the current start goes on
        # sending.
        recently_heard = now - self.last_heard_at < 1.5 * self.heartbeat_interval_s
        confirmed = (
            self._unconfirmed is not None
            and (self._unconfirmed.name, self._unconfirmed.started_ms)
            == (heartbeat.name, heartbeat.started_ms)
            and heartbeat.sequence > self._unconfirmed.sequence
        )
        return heartbeat.started_ms < last.started_ms and recently_heard and not confirmed

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

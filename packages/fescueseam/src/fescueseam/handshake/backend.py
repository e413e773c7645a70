"""Availability of the backend server beside an agent, from its heartbeats and packets."""

import math
from enum import Enum

from attrs import define, field, frozen

from fescueseam.handshake.cold_start import ColdStartLimiter
from fescueseam.handshake.flows import IDLE_FLOW_TIMEOUT_S
from fescueseam.handshake.member import Availability, compute_age_ms

OTHER_STARTS_LIMIT = 16
"""Largest number of starts that are remembered besides the one in force."""
SILENT_START_INTERVALS = 1.5
"""Number of intervals without a heartbeat of the start in force after which one that looks older,
or that was displaced, takes its place: a backend server that lives goes on sending."""
WATCH_GAP_S = 1.0
"""Time without a sign that this process runs after which it may have missed heartbeats, in
seconds."""
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
    """Wall clock at the start of the backend server, in milliseconds. It identifies the start. The
    clock may be set: an order by it only decides how soon a start is taken for the newest."""
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
    """Ignored: it is out of order, or of a start that does not seem to be the living one."""
    WRONG_SERVICE = "foreign"
    """Ignored: it names another service."""


Start = tuple[str, int]
"""Name and start time of a backend server, which together identify one start of it."""


@frozen
class KnownStart:
    """What is known of a start that is not in force."""

    sequence: int
    heard_at: float
    knows_all_flows: bool
    """Whether the agent has seen every flow since it started."""


def get_start(heartbeat: Heartbeat) -> Start:
    """Return what identifies the start that sent a heartbeat."""
    return heartbeat.name, heartbeat.started_ms


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
    """Whether the agent has seen every flow since the start in force."""
    unanswered_openings: int = 0
    """Opening packets that timed out since the last packet or heartbeat of the backend server."""
    cold_start: ColdStartLimiter = field(factory=ColdStartLimiter)
    _other_starts: dict[Start, KnownStart] = field(factory=dict)
    """Starts that were heard and are not in force, the one heard last at the end."""
    _displaced: set[Start] = field(factory=set)
    """Those of them that were in force before."""
    _has_sent_packet: bool = False
    """Whether the backend server has sent a packet since this process started."""
    _watched_since: float | None = None
    """Time since which no heartbeat can have been missed; None if it is `listening_since`."""
    _last_running_at: float | None = None
    """Time of the last sign that this process runs; None before the first."""
    _is_absence_noticed: bool = False
    _refuses_connections: bool = False
    """Whether nothing listened at the backend server's address when this was last checked."""

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> HeartbeatOutcome:
        """Record a heartbeat and return its outcome."""
        if heartbeat.service != self.service:
            return HeartbeatOutcome.WRONG_SERVICE
        if self._last_running_at is not None:
            self.record_running(now)
        start, last = get_start(heartbeat), self.last_heartbeat
        if last is not None and start == get_start(last):
            if heartbeat.sequence <= last.sequence:
                return HeartbeatOutcome.STALE
            return self._accept(heartbeat, HeartbeatOutcome.ACCEPTED, now)
        known = self._other_starts.get(start)
        if known is not None and heartbeat.sequence <= known.sequence:
            return HeartbeatOutcome.STALE
        knows_all = self._saw_start(heartbeat, now) if known is None else known.knows_all_flows
        if last is not None and not self._takes_over(heartbeat, last, known, now):
            self._remember(start, KnownStart(heartbeat.sequence, now, knows_all))
            # It may be the living one, whose clock was set back.
            self.cold_start.extend_cold_time(heartbeat.cold_left_s, now)
            return HeartbeatOutcome.STALE
        cold_until = self.cold_start.cold_until
        if last is not None:
            previous = KnownStart(last.sequence, self.last_heard_at, self.knows_all_flows)
            self._remember(get_start(last), previous)
            self._displaced.add(get_start(last))
        self._other_starts.pop(start, None)
        self._displaced.discard(start)
        self.knows_all_flows = knows_all
        outcome = self._accept(heartbeat, HeartbeatOutcome.NEW_START, now)
        # The previous start may yet turn out to be the living one.
        self.cold_start.cold_until = max(cold_until, self.cold_start.cold_until)
        return outcome

    def record_running(self, now: float) -> None:
        """Record that this process runs; after a gap it may have missed heartbeats."""
        if self._last_running_at is not None and now - self._last_running_at > WATCH_GAP_S:
            self._watched_since = now
        self._last_running_at = now

    def may_deny_flows(self, now: float) -> bool:
        """Return whether a flow that the agent has not seen is unknown to its backend server too.

        While it is open which start lives, this must hold for all that were heard lately. After a
        time each flow that was not seen has been idle for too long to count.
        """
        if now - self._get_watched_since() >= IDLE_FLOW_TIMEOUT_S:
            return True
        recent_s = HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_interval_s
        return self.knows_all_flows and all(
            item.knows_all_flows
            for item in self._other_starts.values()
            if now - item.heard_at < recent_s
        )

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

    def get_slots(self, unknown: int) -> int:
        """Return the slots that the last heartbeat states, or `unknown` before the first."""
        return unknown if self.last_heartbeat is None else self.last_heartbeat.slots

    def is_missing(self, now: float) -> bool:
        """Return whether no backend server seems to have run since this process started."""
        if self.last_heartbeat is not None:
            return False
        is_silent = self.is_first_heartbeat_overdue(now) and not self._has_sent_packet
        return is_silent or self._refuses_connections

    def may_hold_unknown_flows(self, now: float) -> bool:
        """Return whether the backend server may hold flows that the agent has not seen."""
        return not self.may_deny_flows(now) and not self.is_missing(now)

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
        self._has_sent_packet = True
        # It runs, whatever was found before.
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

    def _get_watched_since(self) -> float:
        return self.listening_since if self._watched_since is None else self._watched_since

    def _saw_start(self, heartbeat: Heartbeat, now: float) -> bool:
        """Return whether this process has run since the start of a start heard for the first time.

        All packets to a backend server pass its agent, so this process has then seen every flow.
        """
        waited_s = now - self._get_watched_since()
        overdue_s = FIRST_HEARTBEAT_TIMEOUT_INTERVALS * self.heartbeat_interval_s
        if self.last_heartbeat is not None and waited_s > overdue_s:
            # Another start was heard, and this one would have been before if it had run then.
            return True
        # One that started when every earlier process of the agent had ended, as after a loss of
        # power, has no flow unknown to this one.
        if self.process_started_ms is None:
            return False
        return heartbeat.started_ms > self.process_started_ms - 1000 * MIN_RESTART_DELAY_S

    def _takes_over(
        self, heartbeat: Heartbeat, last: Heartbeat, known: KnownStart | None, now: float
    ) -> bool:
        # Delayed heartbeats of a start that has ended come while the living one goes on sending.
        silence_s = now - self.last_heard_at
        is_silent = silence_s >= SILENT_START_INTERVALS * self.heartbeat_interval_s
        if is_silent or self.availability is Availability.LEFT:
            # One that was displaced must also show that it goes on, by a second heartbeat.
            is_displaced = get_start(heartbeat) in self._displaced
            return not is_displaced or (known is not None and known.heard_at > self.last_heard_at)
        return known is None and heartbeat.started_ms >= last.started_ms

    def _remember(self, start: Start, known: KnownStart) -> None:
        self._other_starts.pop(start, None)
        self._other_starts[start] = known
        if len(self._other_starts) > OTHER_STARTS_LIMIT:
            oldest = next(iter(self._other_starts))
            del self._other_starts[oldest]
            self._displaced.discard(oldest)

    def _accept(
        self, heartbeat: Heartbeat, outcome: HeartbeatOutcome, now: float
    ) -> HeartbeatOutcome:
        self.last_heartbeat = heartbeat
        self.last_heard_at = now
        self.availability = heartbeat.availability
        self.unanswered_openings = 0
        self.cold_start.update_cold_time(heartbeat.cold_left_s, now)
        return outcome

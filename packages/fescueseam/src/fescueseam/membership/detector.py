"""Detect the failure of processes that send heartbeats to this one."""

from attrs import define, evolve, frozen

from fescueseam.membership.facts import (
    Announcement,
    EventKind,
    MembershipEvent,
    ProcessFacts,
    Status,
)

SUSPECT_AFTER_S = 1.6
"""Silence after which a process is suspected, in seconds.

A process sends its first keeper one heartbeat a second.
"""
DEAD_AFTER_S = 3.0
"""Silence after which a process is considered dead, in seconds."""
FORGET_AFTER_S = 7200.0
"""Silence after which a process is forgotten, in seconds; longer than the store may be down."""
OWN_PAUSE_THRESHOLD_S = 1.0
"""Gap between two ticks above which this process counts as having been paused, in seconds."""
MEMBERS_LIMIT = 4096
"""Largest number of tracked processes."""

_COUNT_RESET_KINDS = (EventKind.RESTARTED, EventKind.RECOVERED)


@define
class MemberRecord:
    """A tracked process and the content of its latest heartbeat."""

    facts: ProcessFacts
    heartbeat: int
    last_heard_at: float
    status: Status = Status.ALIVE
    config_version: int = 0
    epoch: int = 0
    heartbeat_count: int = 1
    """Heartbeats received since the process started or recovered."""


@frozen
class DetectorSettings:
    """Timeouts, in seconds, and limits of the failure detector."""

    suspect_after_s: float = SUSPECT_AFTER_S
    dead_after_s: float = DEAD_AFTER_S
    forget_after_s: float = FORGET_AFTER_S
    own_pause_s: float = OWN_PAUSE_THRESHOLD_S
    """Gap between two ticks above which this process counts as having been paused."""
    members_limit: int = MEMBERS_LIMIT


class Membership:
    """A failure detector that turns heartbeats and missing heartbeats into events.

    Only heartbeats decide whether a process is alive; its health endpoint does not. Heartbeats
    of an earlier incarnation and older heartbeats are ignored. After a pause of this process, and
    while it receives no messages at all, it suspects no process: the fault may be its own.
    """

    def __init__(self, now: float, settings: DetectorSettings | None = None) -> None:
        """Initialise the detector without any process."""
        self.turned_down = 0
        """Heartbeats of new processes that were rejected because the limit is reached."""
        self.records: dict[str, MemberRecord] = {}
        self._settings = settings or DetectorSettings()
        self._last_tick_at = now
        self._last_heard_at = now

    def note_heard(self, now: float) -> None:
        """Record that a message from any other process has arrived."""
        self._last_heard_at = max(self._last_heard_at, now)

    def on_announce(self, announcement: Announcement, now: float) -> list[MembershipEvent]:
        """Process a heartbeat and return the resulting events."""
        self.note_heard(now)
        record = self.records.get(announcement.facts.name)
        if record is None:
            return self._add_member(announcement, now)
        if not _is_newer(announcement, record):
            return []
        events = _list_changes(record, announcement.facts)
        if any(event.kind in _COUNT_RESET_KINDS for event in events):
            record.heartbeat_count = 0
        record.facts = announcement.facts
        record.heartbeat = announcement.heartbeat
        record.heartbeat_count += 1
        record.config_version = announcement.config_version
        record.epoch = announcement.epoch
        record.last_heard_at = now
        record.status = Status.ALIVE
        return events

    def on_tick(self, now: float) -> list[MembershipEvent]:
        """Return the events of processes whose silence has passed a timeout since the last tick."""
        since_last_tick_s = now - self._last_tick_at
        self._last_tick_at = now
        if since_last_tick_s > self._settings.own_pause_s:
            self._restart_silence_timers(now)
            return []
        if now - self._last_heard_at > self._settings.suspect_after_s:
            return []
        return [
            event
            for record in list(self.records.values())
            for event in self._check_silence(record, now)
        ]

    def _add_member(self, announcement: Announcement, now: float) -> list[MembershipEvent]:
        if len(self.records) >= self._settings.members_limit and not self._evict_dead_member():
            self.turned_down += 1
            return []
        facts = announcement.facts
        self.records[facts.name] = MemberRecord(
            facts,
            announcement.heartbeat,
            now,
            config_version=announcement.config_version,
            epoch=announcement.epoch,
        )
        return [MembershipEvent(EventKind.JOINED, facts)]

    def _evict_dead_member(self) -> bool:
        dead = [record for record in self.records.values() if record.status is Status.DEAD]
        if not dead:
            return False
        del self.records[min(dead, key=lambda record: record.last_heard_at).facts.name]
        return True

    def _restart_silence_timers(self, now: float) -> None:
        # Heartbeats that arrived during the pause may still be queued.
        self._last_heard_at = now
        for record in self.records.values():
            if record.status is not Status.DEAD:
                record.last_heard_at = now

    def _check_silence(self, record: MemberRecord, now: float) -> list[MembershipEvent]:
        silence_s = now - record.last_heard_at
        if silence_s > self._settings.forget_after_s:
            del self.records[record.facts.name]
            return [MembershipEvent(EventKind.FORGOTTEN, record.facts)]
        status = self._compute_status(silence_s)
        if status is record.status or record.status is Status.DEAD:
            return []
        record.status = status
        kind = EventKind.DIED if status is Status.DEAD else EventKind.SUSPECTED
        return [MembershipEvent(kind, record.facts)]

    def _compute_status(self, silence_s: float) -> Status:
        if silence_s > self._settings.dead_after_s:
            return Status.DEAD
        if silence_s > self._settings.suspect_after_s:
            return Status.SUSPECTED
        return Status.ALIVE


def _is_newer(announcement: Announcement, record: MemberRecord) -> bool:
    known = record.facts.incarnation
    if announcement.facts.incarnation != known:
        return announcement.facts.incarnation > known
    return announcement.heartbeat > record.heartbeat


def _list_changes(record: MemberRecord, facts: ProcessFacts) -> list[MembershipEvent]:
    if facts.incarnation > record.facts.incarnation:
        return [MembershipEvent(EventKind.RESTARTED, facts)]
    events = []
    if record.status is not Status.ALIVE:
        events.append(MembershipEvent(EventKind.RECOVERED, facts))
    # Health reports are late and can be wrong, so a change of health alone is not an event.
    if evolve(record.facts, healthy=True) != evolve(facts, healthy=True):
        events.append(MembershipEvent(EventKind.CHANGED, facts))
    return events

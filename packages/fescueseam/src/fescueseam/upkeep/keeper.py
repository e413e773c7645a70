"""Keep the table of one service through conditional updates, without input or output."""

import random
from collections.abc import Mapping

from attrs import evolve, frozen

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.membership.reports import Sighting
from fescueseam.retries.backoff import Breaker
from fescueseam.routing.table import Member, MemberState, Table
from fescueseam.upkeep.codec import TABLES_PREFIX, decode_table
from fescueseam.upkeep.history import TableHistory, list_rows
from fescueseam.upkeep.planner import Plan, Wanted, plan_table
from fescueseam.upkeep.store import StoredObject

OWN_PAUSE_S = 1.0
"""Take a longer gap between two steps for a pause of this process."""
SETTLE_S = 1.0
"""Create a table once no further member has come for this time."""
SETTLE_LIMIT_S = 5.0
ABSENT_AFTER_S = 10.0
"""Take a member that nobody reports on for departed after this time."""
STAND_IN_S = 3.0
"""Let the next keeper in rank act when a change has been due for this time."""
WRITE_INTERVAL_S = 0.5
"""Join changes that come within this time into one write."""
EXPIRY_MARGIN_S = 1.0


@frozen
class ReadTable:
    """Ask for a read of the table's object."""

    key: str


@frozen
class WriteTable:
    """Ask for a conditional write of the table's object."""

    key: str
    table: Table
    expected_version: int


@frozen
class KeeperInput:
    """Hold what the keeper needs to know for one step."""

    wanted: Wanted
    rank: int = 0
    """Count the live keepers of this table that come first."""
    visible: frozenset[str] = frozenset()
    """List data centres of which a process is seen; silence elsewhere proves nothing."""


class TableKeeper:
    """Decide when to read or write one table and what to write.

    The version of the object fences a keeper that slept, and the writer's id tells a lost
    reply from a lost write. An epoch known here is never followed by a lower one.
    """

    def __init__(
        self,
        service: str,
        name: str,
        incarnation: int,
        rng: random.Random,
        now: float,
        breaker: Breaker | None = None,
    ) -> None:
        """Start without knowledge of the object; keepers of one process share a breaker."""
        self.table = Table(service, 0, seed=rng.getrandbits(63))
        self.writes = 0
        self.conflicts = 0
        self.failures = 0
        self.held = 0
        self._key = TABLES_PREFIX + service
        self._writer = f"{name}/{incarnation}"
        self._version: int | None = None
        self._stored_epoch = 0
        self._pending: Table | None = None
        self._in_flight = False
        self._breaker = breaker or Breaker(rng)
        self._history = TableHistory(now)
        self._retired: dict[tuple[str, int], float] = {}
        self._missing: dict[str, float] = {}
        self._stepped_at = now
        self._wrote_at = float("-inf")
        self._due_since: float | None = None
        self._joiners: frozenset[str] = frozenset()
        self._joined_at = now
        self._first_joiner_at: float | None = None

    @property
    def is_busy(self) -> bool:
        """Tell whether a change is due or under way."""
        return self._due_since is not None or self._pending is not None or self._in_flight

    def learn(self, table: Table, now: float, version: int | None = None) -> None:
        """Take a table that came by gossip or by a watch; an older one has no effect."""
        if table.epoch > self.table.epoch:
            self._adopt(table, now)
            self._version = version
            self._stored_epoch = table.epoch

    def next_step(self, given: KeeperInput, now: float) -> ReadTable | WriteTable | None:
        """Return the next call of the store; report its outcome before asking again."""
        self._note_step(now)
        if self._in_flight:
            return None
        self._history.forget_before(now)
        self._note_members(given, now)
        plan = self._plan(given, now)
        self.held = plan.held
        if not self._is_due(plan, given, now) or not self._breaker.allows(now):
            return None
        self._in_flight = True
        if self._version is None or self._pending is not None:
            return ReadTable(self._key)
        return self._write(plan.table, self._version, now)

    def on_read(self, stored: StoredObject | None, now: float) -> None:
        """Take the outcome of a read; a stale one never moves the epoch back."""
        self._in_flight = False
        self._breaker.record_success()
        self._pending = None
        self._version = stored.version if stored is not None else 0
        table = decode_table(stored.value) if stored is not None else Table(self.table.service, 0)
        self._stored_epoch = table.epoch
        if table.epoch > self.table.epoch:
            self._adopt(table, now)

    def on_written(self, version: int, now: float) -> None:
        """Take the news that the write has taken effect."""
        self._in_flight = False
        self._breaker.record_success()
        if self._pending is not None:
            self._stored_epoch = self._pending.epoch
            self._adopt(self._pending, now)
        self._pending = None
        self._version = version

    def on_conflict(self) -> None:
        """Take the news that another keeper, or this one's lost write, came first."""
        self._in_flight = False
        self.conflicts += 1
        self._pending = None
        self._version = None

    def on_failed(self, now: float) -> None:
        """Take the news that the outcome of a call is unknown."""
        self._in_flight = False
        self.failures += 1
        self._version = None
        self._breaker.record_failure(now)

    def _write(self, planned: Table, version: int, now: float) -> WriteTable:
        self.writes += 1
        self._wrote_at = now
        self._pending = evolve(
            planned,
            epoch=max(self.table.epoch, self._stored_epoch) + 1,
            writer=f"{self._writer}/{self.writes}",
        )
        return WriteTable(self._key, self._pending, version)

    def _adopt(self, table: Table, now: float) -> None:
        if table == self.table:
            return
        if self.table.epoch > 0:
            self._history.record(self.table, now)
        if table.epoch == 1:
            # Nothing came before the first epoch.
            self._history.since = float("-inf")
        self.table = table
        self._due_since = None
        names = {member.name for member in table.members}
        self._missing = {name: at for name, at in self._missing.items() if name in names}
        current = {_identify(member) for member in table.members if _is_retired(member)}
        self._retired = {key: self._retired.get(key, now) for key in current}

    def _plan(self, given: KeeperInput, now: float) -> Plan:
        wanted = evolve(given.wanted, absent=self._list_absent(now))
        is_new = self.table.epoch == 0
        complete = is_new or self._history.is_complete(now)

        def is_expired(member: Member) -> bool:
            since = self._retired.get(_identify(member), now)
            return now - since >= PACKET_LIFETIME_S + EXPIRY_MARGIN_S

        def allows(planned: Table) -> bool:
            if is_new or _lists_same_rows(self.table, planned):
                return True
            return complete and self._history.allows(self.table, planned)

        return plan_table(self.table, wanted, is_expired, allows)

    def _is_due(self, plan: Plan, given: KeeperInput, now: float) -> bool:
        behind = 0 < self._stored_epoch < self.table.epoch and self._version is not None
        if plan.table == self.table and self._pending is None and not behind:
            self._due_since = None
            return False
        if self._due_since is None:
            self._due_since = now
        if self.table.epoch == 0 and not self._is_settled(now):
            return False
        due_s = now - self._due_since
        return due_s >= given.rank * STAND_IN_S and now - self._wrote_at >= WRITE_INTERVAL_S

    def _is_settled(self, now: float) -> bool:
        if self._first_joiner_at is None:
            return False
        if now - self._first_joiner_at >= SETTLE_LIMIT_S:
            return True
        return now - self._joined_at >= SETTLE_S

    def _note_step(self, now: float) -> None:
        if now - self._stepped_at > OWN_PAUSE_S:
            # Epochs may have come and gone meanwhile, and silence may have been this process's.
            self._history.since = now
            self._missing.clear()
            self._version = None
        self._stepped_at = now

    def _note_members(self, given: KeeperInput, now: float) -> None:
        sightings = given.wanted.sightings
        if self.table.epoch == 0:
            self._note_joiners(sightings, now)
        for member in self.table.members:
            seen = member.name in sightings or member.data_centre not in given.visible
            if seen:
                self._missing.pop(member.name, None)
            else:
                self._missing.setdefault(member.name, now)

    def _note_joiners(self, sightings: Mapping[str, Sighting], now: float) -> None:
        joiners = frozenset(sightings)
        if joiners and self._first_joiner_at is None:
            self._first_joiner_at = now
        if joiners != self._joiners:
            self._joiners = joiners
            self._joined_at = now

    def _list_absent(self, now: float) -> frozenset[str]:
        return frozenset(
            name for name, since in self._missing.items() if now - since >= ABSENT_AFTER_S
        )


def _identify(member: Member) -> tuple[str, int]:
    return member.name, member.incarnation


def _is_retired(member: Member) -> bool:
    return member.state is MemberState.RETIRED


def _lists_same_rows(current: Table, planned: Table) -> bool:
    return list_rows(current) == list_rows(planned)

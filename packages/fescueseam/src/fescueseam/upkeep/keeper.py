"""Maintain the table of one service by conditional writes, without input or output."""

import random
from collections.abc import Mapping

from attrs import evolve, frozen

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.membership.reports import MergedReport
from fescueseam.retries.backoff import Breaker
from fescueseam.routing.table import Member, MemberState, Table
from fescueseam.upkeep.codec import TABLES_PREFIX, decode_table
from fescueseam.upkeep.history import TableHistory, list_rows
from fescueseam.upkeep.planner import PlannerInput, TablePlan, plan_table
from fescueseam.upkeep.store import StoredObject

OWN_PAUSE_THRESHOLD_S = 1.0
"""Gap between two steps above which this process counts as having been paused, in seconds."""
FIRST_TABLE_SETTLE_S = 1.0
"""Time without new members before the first table is created, in seconds."""
FIRST_TABLE_SETTLE_LIMIT_S = 5.0
"""Longest time to wait for more members before the first table is created, in seconds."""
ABSENT_AFTER_S = 10.0
"""Time without a report after which a member is considered absent, in seconds."""
TAKEOVER_DELAY_S = 3.0
"""Delay per rank before a keeper writes a due change, in seconds; rank 0 has no delay."""
MIN_WRITE_INTERVAL_S = 0.5
"""Shortest interval between two writes, in seconds; it lets one write carry several changes."""
RETIRED_EXPIRY_MARGIN_S = 1.0
"""Time that a retired member stays listed beyond the lifetime of a packet, in seconds."""


@frozen
class ReadTable:
    """A request to read the table's object."""

    key: str


@frozen
class WriteTable:
    """A request to write the table's object if it has the expected version."""

    key: str
    table: Table
    expected_version: int


@frozen
class KeeperInput:
    """The input for one step of a table keeper."""

    planner_input: PlannerInput
    rank: int = 0
    """Number of live keepers ranked before this one for the table."""
    visible_data_centres: frozenset[str] = frozenset()
    """Data centres with a live process; a missing report means absence only there."""


class TableKeeper:
    """The maintainer of one table, which decides when to read it and what to write.

    A conditional write fails if a keeper was paused while another one wrote. A write without a
    reply may have taken effect, so the object is read again before the next write. The table
    holds the id of the write that made it, so that a read shows which write took effect. The epoch
    never decreases.
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
        """Initialise a keeper of an unknown object; keepers of a process can share a breaker."""
        self.table = Table(service, 0, seed=rng.getrandbits(63))
        self.writes = 0
        self.conflicts = 0
        self.failures = 0
        self.deferred_count = 0
        self._key = TABLES_PREFIX + service
        self._writer = f"{name}/{incarnation}"
        self._object_version: int | None = None
        self._stored_epoch = 0
        self._pending_write: Table | None = None
        self._in_flight = False
        self._needs_read = False
        self._breaker = breaker or Breaker(rng)
        self._history = TableHistory(now)
        self._retired_since: dict[tuple[str, int], float] = {}
        self._unreported_since: dict[str, float] = {}
        self._last_step_at = now
        self._last_write_at = float("-inf")
        self._due_since: float | None = None
        self._joiners: frozenset[str] = frozenset()
        self._joiners_changed_at = now
        self._first_joiner_at: float | None = None

    @property
    def is_busy(self) -> bool:
        """Return whether a change is due or being written."""
        has_call = self._needs_read or self._pending_write is not None or self._in_flight
        return has_call or self._due_since is not None

    def learn(self, table: Table, now: float, version: int | None = None) -> None:
        """Adopt a table from gossip or a watch if it is newer than the known one."""
        if table.epoch > self.table.epoch:
            self._adopt(table, now)
            self._object_version = version
            self._stored_epoch = table.epoch

    def check_again(self) -> None:
        """Read the object before the next write, and now, as the store may have lost a write."""
        self._needs_read = True
        self._object_version = None

    def start_next_call(
        self, keeper_input: KeeperInput, now: float
    ) -> ReadTable | WriteTable | None:
        """Return the next call to the store; no other starts before its outcome is reported."""
        self._check_own_pause(now)
        if self._in_flight:
            return None
        self._history.forget_expired(now)
        self._update_unreported(keeper_input, now)
        plan = self._plan(keeper_input, now)
        self.deferred_count = plan.deferred_count
        if not self._is_due(plan, keeper_input, now) or not self._breaker.allows(now):
            return None
        self._in_flight = True
        if self._object_version is None or self._pending_write is not None:
            return ReadTable(self._key)
        return self._write(plan.table, self._object_version, now)

    def on_read(self, stored: StoredObject | None, now: float) -> None:
        """Process the result of a read; a stale result does not decrease the epoch.

        Raise StoreError for a malformed table without any change; the read counts as failed then.
        """
        table = decode_table(stored.value) if stored is not None else Table(self.table.service, 0)
        self._in_flight = False
        self._needs_read = False
        self._breaker.record_success()
        self._pending_write = None
        self._object_version = stored.version if stored is not None else 0
        self._stored_epoch = table.epoch
        if table.epoch > self.table.epoch:
            self._adopt(table, now)

    def on_written(self, version: int, now: float) -> None:
        """Process a successful write."""
        self._in_flight = False
        self._breaker.record_success()
        if self._pending_write is not None:
            self._stored_epoch = self._pending_write.epoch
            self._adopt(self._pending_write, now)
        self._pending_write = None
        self._object_version = version

    def on_conflict(self) -> None:
        """Process a conflict: another keeper, or an earlier write without a reply, was first."""
        self._in_flight = False
        self.conflicts += 1
        self._pending_write = None
        self._object_version = None

    def on_failed(self, now: float) -> None:
        """Process a failed call, whose effect is unknown."""
        self._in_flight = False
        self.failures += 1
        self._object_version = None
        self._breaker.record_failure(now)

    def _write(self, planned: Table, version: int, now: float) -> WriteTable:
        self.writes += 1
        self._last_write_at = now
        self._pending_write = evolve(
            planned,
            epoch=max(self.table.epoch, self._stored_epoch) + 1,
            writer=f"{self._writer}/{self.writes}",
        )
        return WriteTable(self._key, self._pending_write, version)

    def _adopt(self, table: Table, now: float) -> None:
        if table == self.table:
            return
        if self.table.epoch > 0:
            self._history.record(self.table, now)
        if table.epoch == 1:
            # There is no epoch before the first one, so the history is complete.
            self._history.complete_since = float("-inf")
        self.table = table
        self._due_since = None
        names = {member.name for member in table.members}
        self._unreported_since = {
            name: at for name, at in self._unreported_since.items() if name in names
        }
        retired = {_identify(member) for member in table.members if _is_retired(member)}
        self._retired_since = {key: self._retired_since.get(key, now) for key in retired}

    def _plan(self, keeper_input: KeeperInput, now: float) -> TablePlan:
        planner_input = evolve(keeper_input.planner_input, absent=self._list_absent(now))
        is_new = self.table.epoch == 0
        is_history_complete = is_new or self._history.is_complete(now)

        def is_expired(member: Member) -> bool:
            since = self._retired_since.get(_identify(member), now)
            return now - since >= PACKET_LIFETIME_S + RETIRED_EXPIRY_MARGIN_S

        def can_follow(planned: Table) -> bool:
            if is_new or _has_same_rows(self.table, planned):
                return True
            return is_history_complete and self._history.allows(self.table, planned)

        return plan_table(self.table, planner_input, is_expired, can_follow)

    def _is_due(self, plan: TablePlan, keeper_input: KeeperInput, now: float) -> bool:
        is_store_behind = self._stored_epoch < self.table.epoch and self._object_version is not None
        has_reason = self._needs_read or self._pending_write is not None or is_store_behind
        if plan.table == self.table and not has_reason:
            self._due_since = None
            return False
        if self._due_since is None:
            self._due_since = now
        if self.table.epoch == 0 and not self._is_settled(now):
            return False
        due_for_s = now - self._due_since
        return (
            due_for_s >= keeper_input.rank * TAKEOVER_DELAY_S
            and now - self._last_write_at >= MIN_WRITE_INTERVAL_S
        )

    def _is_settled(self, now: float) -> bool:
        if self._first_joiner_at is None:
            return False
        if now - self._first_joiner_at >= FIRST_TABLE_SETTLE_LIMIT_S:
            return True
        return now - self._joiners_changed_at >= FIRST_TABLE_SETTLE_S

    def _check_own_pause(self, now: float) -> None:
        if now - self._last_step_at > OWN_PAUSE_THRESHOLD_S:
            # Epochs may have been missed during the pause, and missing reports prove nothing.
            self._history.complete_since = now
            self._unreported_since.clear()
            self._object_version = None
        self._last_step_at = now

    def _update_unreported(self, keeper_input: KeeperInput, now: float) -> None:
        merged_reports = keeper_input.planner_input.merged_reports
        if self.table.epoch == 0:
            self._update_joiners(merged_reports, now)
        for member in self.table.members:
            is_present = (
                member.name in merged_reports
                or member.data_centre not in keeper_input.visible_data_centres
            )
            if is_present:
                self._unreported_since.pop(member.name, None)
            else:
                self._unreported_since.setdefault(member.name, now)

    def _update_joiners(self, merged_reports: Mapping[str, MergedReport], now: float) -> None:
        joiners = frozenset(merged_reports)
        if joiners and self._first_joiner_at is None:
            self._first_joiner_at = now
        if joiners != self._joiners:
            self._joiners = joiners
            self._joiners_changed_at = now

    def _list_absent(self, now: float) -> frozenset[str]:
        return frozenset(
            name for name, since in self._unreported_since.items() if now - since >= ABSENT_AFTER_S
        )


def _identify(member: Member) -> tuple[str, int]:
    return member.name, member.incarnation


def _is_retired(member: Member) -> bool:
    return member.state is MemberState.RETIRED


def _has_same_rows(current: Table, planned: Table) -> bool:
    return list_rows(current) == list_rows(planned)

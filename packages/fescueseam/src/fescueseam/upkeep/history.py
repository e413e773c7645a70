"""Track recent epochs of a table and check that majorities of their rows intersect."""

from functools import lru_cache

from attrs import define, field, frozen

from fescueseam.claims.registry import PACKET_LIFETIME_S, count_majority
from fescueseam.routing.table import ROW_CANDIDATES, Member, MemberState, Table, compute_row

HISTORY_LIMIT = 64
"""Largest number of tracked epochs; while it is reached, rows do not change."""
ROWS_CACHE_LIMIT = 256
"""Largest number of entries in each cache of computed rows."""


@frozen
class _ReplacedTable:
    table: Table
    replaced_at: float


def list_rows(table: Table) -> tuple[frozenset[str], ...]:
    """Return the member names in each bucket's row, or a single set if all rows are equal."""
    active_count = sum(member.state is MemberState.ACTIVE for member in table.members)
    if active_count <= ROW_CANDIDATES:
        return (frozenset(member.name for member in table.members),)
    # Rows depend only on names and states; without addresses, more tables share a cache entry.
    members = tuple(Member(member.name, "", "", 0, 0, member.state) for member in table.members)
    return _compute_rows(Table("", 0, members, table.buckets, table.seed, table.extras))


@lru_cache(maxsize=ROWS_CACHE_LIMIT)
def _compute_rows(table: Table) -> tuple[frozenset[str], ...]:
    return tuple(
        frozenset(member.name for member in compute_row(table, bucket).members)
        for bucket in range(table.buckets)
    )


def do_majorities_intersect(one: frozenset[str], other: frozenset[str]) -> bool:
    """Return whether every majority of one set shares a member with each of the other."""
    majorities_size = count_majority(len(one)) + count_majority(len(other))
    return majorities_size > len(one | other)


def do_table_majorities_intersect(one: Table, other: Table) -> bool:
    """Return whether in each bucket all majorities of both rows intersect."""
    return _do_row_majorities_intersect(list_rows(one), list_rows(other))


@lru_cache(maxsize=ROWS_CACHE_LIMIT)
def _do_row_majorities_intersect(
    rows: tuple[frozenset[str], ...], other_rows: tuple[frozenset[str], ...]
) -> bool:
    bucket_count = max(len(rows), len(other_rows))
    return all(
        do_majorities_intersect(rows[bucket % len(rows)], other_rows[bucket % len(other_rows)])
        for bucket in range(bucket_count)
    )


@define
class TableHistory:
    """Recently replaced tables; packets that were routed by them may still arrive."""

    complete_since: float
    """Time from which on every epoch is known."""
    _replaced: list[_ReplacedTable] = field(factory=list)

    def record(self, replaced: Table, now: float) -> None:
        """Add a table that was just replaced."""
        self._replaced.append(_ReplacedTable(replaced, now))

    def forget_expired(self, now: float) -> None:
        """Remove tables that were replaced longer ago than a packet can live."""
        self._replaced = [
            entry for entry in self._replaced if now - entry.replaced_at < PACKET_LIFETIME_S
        ]

    def is_complete(self, now: float) -> bool:
        """Return whether all epochs whose packets may still arrive are known and fit the limit."""
        return (
            now - self.complete_since >= PACKET_LIFETIME_S and len(self._replaced) < HISTORY_LIMIT
        )

    def allows(self, current: Table, planned: Table) -> bool:
        """Return whether majorities of the planned rows intersect those of all recent tables."""
        if not all(do_table_majorities_intersect(entry.table, planned) for entry in self._replaced):
            return False
        return do_table_majorities_intersect(current, planned)

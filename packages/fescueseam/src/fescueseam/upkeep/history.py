"""Remember recent epochs and tell whether a change keeps majorities meeting."""

from functools import lru_cache

from attrs import define, field, frozen

from fescueseam.claims.registry import PACKET_LIFETIME_S, count_majority
from fescueseam.routing.table import ROW_CANDIDATES, Member, MemberState, Table, compute_row

HISTORY_LIMIT = 64
"""Bound the remembered epochs; while full, the set of members does not change."""
ROWS_CACHE_LIMIT = 256
"""Bound the tables whose rows are kept."""


@frozen
class _ReplacedTable:
    table: Table
    replaced_at: float


def list_rows(table: Table) -> tuple[frozenset[str], ...]:
    """Return the names in each bucket's row; one set stands for all if all are equal."""
    active = sum(member.state is MemberState.ACTIVE for member in table.members)
    if active <= ROW_CANDIDATES:
        return (frozenset(member.name for member in table.members),)
    # Names and states alone decide, so that tables which differ in addresses share an entry.
    plain = tuple(Member(member.name, "", "", 0, 0, member.state) for member in table.members)
    return _compute_rows(Table("", 0, plain, table.buckets, table.seed, table.extras))


@lru_cache(maxsize=ROWS_CACHE_LIMIT)
def _compute_rows(table: Table) -> tuple[frozenset[str], ...]:
    return tuple(
        frozenset(member.name for member in compute_row(table, bucket).members)
        for bucket in range(table.buckets)
    )


def do_majorities_intersect(one: frozenset[str], other: frozenset[str]) -> bool:
    """Tell whether every majority of one set shares a member with every one of the other."""
    needed = count_majority(len(one)) + count_majority(len(other))
    return needed > len(one | other)


def do_table_majorities_intersect(one: Table, other: Table) -> bool:
    """Tell whether majorities of each bucket's rows share a member."""
    return _do_row_majorities_intersect(list_rows(one), list_rows(other))


@lru_cache(maxsize=ROWS_CACHE_LIMIT)
def _do_row_majorities_intersect(
    rows: tuple[frozenset[str], ...], other_rows: tuple[frozenset[str], ...]
) -> bool:
    count = max(len(rows), len(other_rows))
    return all(
        do_majorities_intersect(rows[bucket % len(rows)], other_rows[bucket % len(other_rows)])
        for bucket in range(count)
    )


@define
class TableHistory:
    """Keep the epochs of which packets may still arrive."""

    complete_since: float
    """Know every epoch from this time on."""
    _replaced: list[_ReplacedTable] = field(factory=list)

    def record(self, replaced: Table, now: float) -> None:
        """Remember an epoch that was just replaced."""
        self._replaced.append(_ReplacedTable(replaced, now))

    def forget_expired(self, now: float) -> None:
        """Forget epochs older than a packet can live."""
        self._replaced = [
            entry for entry in self._replaced if now - entry.replaced_at < PACKET_LIFETIME_S
        ]

    def is_complete(self, now: float) -> bool:
        """Tell whether every epoch of which a packet may arrive is known."""
        return (
            now - self.complete_since >= PACKET_LIFETIME_S and len(self._replaced) < HISTORY_LIMIT
        )

    def allows(self, current: Table, planned: Table) -> bool:
        """Tell whether majorities of the planned rows meet those of all recent ones."""
        if not all(do_table_majorities_intersect(entry.table, planned) for entry in self._replaced):
            return False
        return do_table_majorities_intersect(current, planned)

import pytest
from attrs import evolve

from fescueseam.membership.facts import Status
from fescueseam.membership.reports import MergedReport
from fescueseam.routing.table import ROW_CANDIDATES, Table, compute_row
from fescueseam.upkeep.codec import decode_table, encode_table, pack_table, unpack_table
from fescueseam.upkeep.history import do_majorities_intersect, do_table_majorities_intersect
from fescueseam.upkeep.planner import EXTRAS_LIMIT, PlannerInput, plan_table

from .conftest import SERVICE, make_facts

NAMES = [f"a{index}" for index in range(12)]


def sight(names, status=Status.ALIVE, **changes):
    return {name: MergedReport(evolve(make_facts(name), **changes), status, 2) for name in names}


def plan(table, merged_reports, can_follow=lambda planned: True, **parts):
    return plan_table(table, PlannerInput(merged_reports, **parts), lambda member: True, can_follow)


@pytest.fixture
def table():
    return plan(Table(SERVICE, 0, seed=7), sight(NAMES)).table


@pytest.mark.parametrize(
    ("one", "other", "meet"),
    [("abc", "abcd", True), ("abc", "abcde", False), ("abcd", "abcdef", True), ("ab", "cd", False)],
)
def test_majorities_meet_or_do_not(one, other, meet):
    assert do_majorities_intersect(frozenset(one), frozenset(other)) is meet


def test_a_displaced_owner_stays_in_the_row_of_its_bucket(table):
    joined = plan(table, sight([*NAMES, "b0"])).table
    displaced = 0
    for bucket in range(table.buckets):
        before = {member.name for member in compute_row(table, bucket).members}
        after = compute_row(joined, bucket)
        assert before <= {member.name for member in after.members}
        displaced += len(after.members) - ROW_CANDIDATES
    assert displaced == len(joined.extras) > 0


def test_a_displaced_owner_leaves_once_its_agent_holds_nothing(table):
    joined = plan(table, sight([*NAMES, "b0"])).table
    seen = sight([*NAMES, "b0"]) | sight([joined.extras[0].member], idle=True)
    kept = plan(joined, seen).table
    assert {extra.member for extra in joined.extras} - {extra.member for extra in kept.extras} == {
        joined.extras[0].member
    }


def test_joins_wait_at_the_bound_of_displaced_owners(table):
    names = [*NAMES, *(f"b{index}" for index in range(40))]
    crowded = plan(table, sight(names))
    assert len(crowded.table.extras) <= EXTRAS_LIMIT
    assert crowded.deferred > 0
    assert plan(crowded.table, sight(names)).table == crowded.table
    freed = plan(crowded.table, sight(names, idle=True)).table
    assert len(freed.members) > len(crowded.table.members)


def test_changes_that_would_split_a_majority_wait(table):
    small = plan(Table(SERVICE, 0, seed=7), sight(NAMES[:3])).table
    wanted = sight(NAMES[:6])
    planned = plan(small, wanted, lambda after: do_table_majorities_intersect(small, after))
    assert [member.name for member in planned.table.members] == NAMES[:4]
    assert planned.deferred == 2


def test_a_suspected_member_is_neither_added_nor_retired(table):
    seen = sight(NAMES[1:]) | sight(["a0", "new"], Status.SUSPECTED)
    assert plan(table, seen).table == table


def test_a_table_survives_store_and_gossip(table):
    joined = evolve(plan(table, sight([*NAMES, "b0"])).table, epoch=4, writer="w")
    assert decode_table(encode_table(joined)) == joined
    value = pack_table(joined)
    assert unpack_table(value) == joined
    assert value.version == 4

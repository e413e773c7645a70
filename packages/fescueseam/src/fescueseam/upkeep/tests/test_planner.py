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


def make_reports(names, status=Status.ALIVE, **changes):
    return {name: MergedReport(evolve(make_facts(name), **changes), status, 2) for name in names}


def make_plan(table, merged_reports, can_follow=lambda planned: True, **parts):
    return plan_table(table, PlannerInput(merged_reports, **parts), lambda member: True, can_follow)


@pytest.fixture
def table():
    return make_plan(Table(SERVICE, 0, seed=7), make_reports(NAMES)).table


@pytest.mark.parametrize(
    ("one", "other", "intersect"),
    [("abc", "abcd", True), ("abc", "abcde", False), ("abcd", "abcdef", True), ("ab", "cd", False)],
)
def test_majorities_intersect(one, other, intersect):
    assert do_majorities_intersect(frozenset(one), frozenset(other)) is intersect


def test_displaced_owner_stays_in_the_row_of_its_bucket(table):
    joined = make_plan(table, make_reports([*NAMES, "b0"])).table
    displaced = 0
    for bucket in range(table.buckets):
        before = {member.name for member in compute_row(table, bucket).members}
        after = compute_row(joined, bucket)
        assert before <= {member.name for member in after.members}
        displaced += len(after.members) - ROW_CANDIDATES
    assert displaced == len(joined.extras) > 0


def test_displaced_owner_is_removed_once_its_agent_is_idle(table):
    joined = make_plan(table, make_reports([*NAMES, "b0"])).table
    reports = make_reports([*NAMES, "b0"]) | make_reports([joined.extras[0].member], idle=True)
    replanned = make_plan(joined, reports).table
    assert {extra.member for extra in joined.extras} - {
        extra.member for extra in replanned.extras
    } == {joined.extras[0].member}


def test_joins_are_deferred_at_the_limit_of_displaced_owners(table):
    names = [*NAMES, *(f"b{index}" for index in range(40))]
    limited = make_plan(table, make_reports(names))
    assert len(limited.table.extras) <= EXTRAS_LIMIT
    assert limited.deferred_count > 0
    assert make_plan(limited.table, make_reports(names)).table == limited.table
    planned = make_plan(limited.table, make_reports(names, idle=True)).table
    assert len(planned.members) > len(limited.table.members)


def test_changes_that_break_majority_intersection_are_deferred(table):
    small = make_plan(Table(SERVICE, 0, seed=7), make_reports(NAMES[:3])).table
    reports = make_reports(NAMES[:6])
    planned = make_plan(small, reports, lambda after: do_table_majorities_intersect(small, after))
    assert [member.name for member in planned.table.members] == NAMES[:4]
    assert planned.deferred_count == 2


def test_suspected_member_is_neither_added_nor_retired(table):
    reports = make_reports(NAMES[1:]) | make_reports(["a0", "new"], Status.SUSPECTED)
    assert make_plan(table, reports).table == table


def test_table_round_trip_through_store_and_gossip(table):
    joined = evolve(make_plan(table, make_reports([*NAMES, "b0"])).table, epoch=4, writer="w")
    assert decode_table(encode_table(joined)) == joined
    value = pack_table(joined)
    assert unpack_table(value) == joined
    assert value.version == 4

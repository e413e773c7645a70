import itertools

import pytest
from attrs import evolve

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.membership.facts import Status
from fescueseam.retries.backoff import BACKOFF_CAP_S
from fescueseam.routing.table import MemberState
from fescueseam.upkeep.codec import encode_table
from fescueseam.upkeep.history import do_table_majorities_intersect
from fescueseam.upkeep.keeper import ABSENT_AFTER_S
from fescueseam.upkeep.store import StoredObject

NAMES = [f"a{index}" for index in range(7)]


@pytest.fixture
def settled(race):
    """Return a race of two keepers that have made the first table."""
    race.see(*NAMES)
    race.add("b0", 0)
    race.add("b1", 1)
    race.run(5.0)
    assert race.store.epochs == [1]
    return race


def record_spans(race, seconds):
    """Run and return when each table was in force, as (from, until, table)."""
    seen = []
    race.run(seconds, lambda: seen.append((race.now, race.store.table)))
    groups = [list(items) for _, items in itertools.groupby(seen, lambda item: item[1].epoch)]
    return [(items[0][0], items[-1][0], items[0][1]) for items in groups]


def assert_recent_majorities_meet(spans):
    for (_, ended, one), (began, _, other) in itertools.combinations(spans, 2):
        if began - ended < PACKET_LIFETIME_S:
            assert do_table_majorities_intersect(one, other), (one.epoch, other.epoch)


def states(table):
    return {member.name: member.state for member in table.members}


def test_the_first_table_waits_for_members_that_come_close_together(race):
    race.add("b0")
    for name in NAMES:
        race.see(name)
        race.run(0.5)
    race.run(2.0)
    assert race.store.epochs == [1]
    assert set(states(race.store.table)) == set(NAMES)


def test_two_keepers_that_race_make_each_change_once(race):
    race.see(*NAMES)
    race.shares = False
    for name in ("b0", "b1", "b2"):
        race.add(name, rank=0)
    race.run(30.0)
    race.see("a3", status=Status.DEAD)
    race.run(30.0)
    assert race.store.epochs == sorted(set(race.store.epochs))
    assert "a3" not in states(race.store.table)
    assert len({keeper.table.epoch for keeper in race.keepers.values()}) == 1
    assert race.store.writes <= 3 * len(race.store.epochs)


def test_a_stand_in_acts_only_when_the_first_keeper_does_not(settled):
    settled.see("a0", status=Status.DEAD)
    settled.run(2.0)
    assert settled.store.table.writer.startswith("b0/")
    settled.frozen.add("b0")
    settled.see("a1", status=Status.DEAD)
    settled.run(2.0)
    assert states(settled.store.table)["a1"] is MemberState.ACTIVE
    settled.run(3.0)
    assert states(settled.store.table)["a1"] is MemberState.RETIRED
    assert settled.store.table.writer.startswith("b1/")


def test_a_lost_reply_is_resolved_by_the_writer_id(settled):
    settled.store.lose_replies = 1
    settled.see("a0", status=Status.DEAD)
    settled.run(5.0)
    assert settled.store.epochs == [1, 2]
    assert settled.keepers["b0"].table == settled.store.table


def test_a_stale_read_after_a_lost_reply_moves_nothing_back(settled):
    settled.shares = False
    settled.store.lose_replies = 1
    settled.store.stale_reads = 1
    settled.see("a0", status=Status.DEAD)
    known = []
    settled.run(8.0, lambda: known.append(settled.keepers["b0"].table.epoch))
    assert known == sorted(known)
    assert settled.store.epochs == [1, 2]
    assert settled.keepers["b0"].table == settled.store.table


def test_a_paused_keeper_that_wakes_is_fenced_by_the_version(settled):
    settled.shares = False
    settled.store.delay_s = 0.5
    settled.see("a0", status=Status.DEAD)
    settled.run(0.5)
    settled.frozen.add("b0")
    settled.run(30.0)
    settled.see("a1", status=Status.DEAD)
    settled.run(30.0)
    before = settled.store.epochs.copy()
    assert before[-1] >= 3
    # On waking it believes its old view: everybody alive and the table of long ago.
    view = settled.wanted
    settled.see(*NAMES)
    settled.frozen = {"b1"}
    settled.run(0.5)
    settled.wanted = view
    settled.frozen.clear()
    settled.run(30.0)
    assert settled.store.epochs == sorted(set(settled.store.epochs))
    assert settled.store.epochs[: len(before)] == before
    assert settled.keepers["b0"].table == settled.store.table


def test_an_outage_of_an_hour_stands_still_and_ends_without_a_storm(settled):
    calls = settled.store.reads + settled.store.writes
    settled.store.is_down = True
    settled.see("a0", "a1", status=Status.DEAD)
    settled.run(3600.0)
    during = settled.store.reads + settled.store.writes - calls
    # Two keepers, each one probe in half of the longest wait, in the mean.
    assert during <= 2 * 3600 / (BACKOFF_CAP_S / 2) * 1.5
    assert settled.keepers["b0"].table.epoch == 1
    settled.store.is_down = False
    calls = settled.store.reads + settled.store.writes
    settled.run(2 * BACKOFF_CAP_S)
    assert set(states(settled.store.table)) == set(NAMES[2:])
    assert settled.store.reads + settled.store.writes - calls <= 10


def test_a_slow_store_is_not_asked_again_before_it_has_answered(settled):
    settled.store.delay_s = 2.5
    calls = settled.store.writes
    settled.see("a0", status=Status.DEAD)
    settled.run(9.0)
    assert settled.store.writes - calls <= 2
    assert states(settled.store.table)["a0"] is MemberState.RETIRED


def test_a_dead_member_stays_listed_while_its_packets_may_arrive(settled):
    settled.see("a0", status=Status.DEAD)
    settled.run(PACKET_LIFETIME_S)
    assert states(settled.store.table)["a0"] is MemberState.RETIRED
    settled.run(5.0)
    assert "a0" not in states(settled.store.table)


def test_a_leaving_member_stays_until_its_agent_holds_nothing(settled):
    settled.wanted = evolve(settled.wanted, drained=frozenset({"a0"}))
    settled.run(2.0)
    assert states(settled.store.table)["a0"] is MemberState.LEAVING
    settled.see("a0", idle=True)
    settled.run(60.0)
    assert states(settled.store.table)["a0"] is MemberState.LEAVING, "it may still take flows"
    settled.see("a0", draining=True, idle=False)
    settled.run(3600.0)
    assert states(settled.store.table)["a0"] is MemberState.LEAVING, "flows last for hours"
    settled.see("a0", idle=True)
    settled.run(2.0)
    assert states(settled.store.table)["a0"] is MemberState.RETIRED
    settled.run(PACKET_LIFETIME_S + 5.0)
    assert "a0" not in states(settled.store.table)
    settled.run(60.0)
    assert "a0" not in states(settled.store.table), "it is still drained"
    settled.wanted = evolve(settled.wanted, drained=frozenset())
    settled.see("a0", draining=False, idle=False)
    settled.run(PACKET_LIFETIME_S + 5.0)
    assert states(settled.store.table)["a0"] is MemberState.ACTIVE


def test_a_restarted_agent_replaces_its_entry_at_once(settled):
    settled.see("a0", incarnation=2, address="10.0.0.9")
    settled.run(1.0)
    member = next(m for m in settled.store.table.members if m.name == "a0")
    assert (member.incarnation, member.address) == (2, "10.0.0.9")
    assert len(settled.store.table.members) == len(NAMES)
    assert settled.store.epochs == [1, 2]


def test_a_rack_gone_is_one_write_and_majorities_of_recent_epochs_meet(settled):
    settled.see("a0", "a1", "a2", status=Status.DEAD)
    settled.run(3.0)
    assert settled.store.epochs == [1, 2]
    settled.see("a7", "a8", "a9")
    spans = record_spans(settled, 120.0)
    assert set(states(settled.store.table)) == {f"a{index}" for index in range(3, 10)}
    assert_recent_majorities_meet(spans)


def test_many_members_that_come_and_go_never_split_a_majority(settled):
    extra = [f"x{index}" for index in range(12)]
    rng = settled.rng
    spans = []
    for _ in range(120):
        name = rng.choice(NAMES + extra)
        status = rng.choice([Status.ALIVE, Status.ALIVE, Status.DEAD, Status.SUSPECTED])
        settled.see(name, status=status)
        spans += record_spans(settled, 2.0)
    assert_recent_majorities_meet(spans)
    assert settled.store.table.epoch > 20


def test_a_data_centre_that_is_out_stays_listed_and_comes_back(settled):
    settled.wanted = evolve(settled.wanted, out_data_centres=frozenset({"solo"}))
    settled.see(*NAMES, status=Status.DEAD)
    settled.run(600.0)
    settled.lose(*NAMES)
    settled.see("z0", data_centre="semarang", status=Status.ALIVE)
    settled.run(600.0)
    assert set(NAMES) <= set(states(settled.store.table))
    settled.wanted = evolve(settled.wanted, out_data_centres=frozenset())
    settled.see(*NAMES, incarnation=2)
    settled.run(5.0)
    assert {m.incarnation for m in settled.store.table.members if m.name in NAMES} == {2}
    assert {states(settled.store.table)[name] for name in NAMES} == {MemberState.ACTIVE}


def test_a_member_nobody_reports_on_is_dropped_late_and_only_if_its_place_is_seen(settled):
    settled.lose(*NAMES)
    settled.run(600.0)
    assert set(states(settled.store.table)) == set(NAMES), "nothing is seen of the data centre"
    settled.see(*NAMES[1:])
    settled.run(ABSENT_AFTER_S - 1.0)
    assert states(settled.store.table)["a0"] is MemberState.ACTIVE
    settled.run(3.0)
    assert states(settled.store.table)["a0"] is MemberState.RETIRED


def test_an_address_used_again_retires_the_former_owner(settled):
    former = settled.wanted.merged_reports["a0"].facts
    place = (former.address, former.control_port)
    # A process of another service has come up at the address; its name is another one.
    settled.see("a0", status=Status.SUSPECTED)
    settled.run(1.0)
    assert states(settled.store.table)["a0"] is MemberState.ACTIVE
    settled.wanted = evolve(settled.wanted, address_owners={place: "foto-1"})
    settled.run(1.0)
    assert states(settled.store.table)["a0"] is MemberState.RETIRED


def test_a_name_that_serves_another_service_now_leaves_the_table(settled):
    settled.see("a0", service="foto-cocok", incarnation=2)
    settled.run(1.0)
    assert states(settled.store.table)["a0"] is MemberState.RETIRED
    settled.run(60.0)
    assert "a0" not in states(settled.store.table)


def test_a_store_that_lost_its_latest_write_is_brought_forward(settled):
    settled.see("a0", status=Status.DEAD)
    settled.run(2.0)
    lost = settled.store.table
    settled.store.current = StoredObject(
        "tables/katalog", 1, encode_table(evolve(lost, epoch=1, writer="x"))
    )
    settled.see("a1", status=Status.DEAD)
    settled.run(10.0)
    assert settled.store.table.epoch > lost.epoch
    assert states(settled.store.table)["a1"] is MemberState.RETIRED

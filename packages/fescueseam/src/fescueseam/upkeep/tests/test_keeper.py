import itertools

import pytest
from attrs import evolve

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.exceptions import StoreError
from fescueseam.membership.facts import Status
from fescueseam.retries.backoff import BACKOFF_CAP_S
from fescueseam.routing.table import MemberState
from fescueseam.upkeep.codec import encode_table
from fescueseam.upkeep.history import do_table_majorities_intersect
from fescueseam.upkeep.keeper import ABSENT_AFTER_S
from fescueseam.upkeep.store import StoredObject

NAMES = [f"a{index}" for index in range(7)]


@pytest.fixture
def settled_sim(sim):
    """Return a simulation of two keepers after the first table was written."""
    sim.report_members(*NAMES)
    sim.add("b0", 0)
    sim.add("b1", 1)
    sim.run(5.0)
    assert sim.store.epochs == [1]
    return sim


def record_table_spans(sim, seconds):
    """Run the simulation and return the period of each table as (start, end, table)."""
    samples = []
    sim.run(seconds, lambda: samples.append((sim.now, sim.store.table)))
    groups = [list(items) for _, items in itertools.groupby(samples, lambda item: item[1].epoch)]
    return [(items[0][0], items[-1][0], items[0][1]) for items in groups]


def assert_recent_majorities_intersect(spans):
    for (_, end, first), (start, _, second) in itertools.combinations(spans, 2):
        if start - end < PACKET_LIFETIME_S:
            assert do_table_majorities_intersect(first, second), (first.epoch, second.epoch)


def get_states(table):
    return {member.name: member.state for member in table.members}


def test_first_table_waits_for_members_that_join_in_quick_succession(sim):
    sim.add("b0")
    for name in NAMES:
        sim.report_members(name)
        sim.run(0.5)
    sim.run(2.0)
    assert sim.store.epochs == [1]
    assert set(get_states(sim.store.table)) == set(NAMES)


def test_concurrent_keepers_make_each_change_once(sim):
    sim.report_members(*NAMES)
    sim.shares_tables = False
    for name in ("b0", "b1", "b2"):
        sim.add(name, rank=0)
    sim.run(30.0)
    sim.report_members("a3", status=Status.DEAD)
    sim.run(30.0)
    assert sim.store.epochs == sorted(set(sim.store.epochs))
    assert "a3" not in get_states(sim.store.table)
    assert len({keeper.table.epoch for keeper in sim.keepers.values()}) == 1
    assert sim.store.writes <= 3 * len(sim.store.epochs)


def test_next_keeper_writes_only_if_the_first_does_not(settled_sim):
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(2.0)
    assert settled_sim.store.table.writer.startswith("b0/")
    settled_sim.paused_keepers.add("b0")
    settled_sim.report_members("a1", status=Status.DEAD)
    settled_sim.run(2.0)
    assert get_states(settled_sim.store.table)["a1"] is MemberState.ACTIVE
    settled_sim.run(3.0)
    assert get_states(settled_sim.store.table)["a1"] is MemberState.RETIRED
    assert settled_sim.store.table.writer.startswith("b1/")


def test_write_with_a_lost_reply_is_not_repeated(settled_sim):
    settled_sim.store.replies_to_lose = 1
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(5.0)
    assert settled_sim.store.epochs == [1, 2]
    assert settled_sim.keepers["b0"].table == settled_sim.store.table


def test_stale_read_after_a_lost_reply_does_not_decrease_the_epoch(settled_sim):
    settled_sim.shares_tables = False
    settled_sim.store.replies_to_lose = 1
    settled_sim.store.stale_reads_to_return = 1
    settled_sim.report_members("a0", status=Status.DEAD)
    epochs = []
    settled_sim.run(8.0, lambda: epochs.append(settled_sim.keepers["b0"].table.epoch))
    assert epochs == sorted(epochs)
    assert settled_sim.store.epochs == [1, 2]
    assert settled_sim.keepers["b0"].table == settled_sim.store.table


def test_conditional_write_rejects_a_keeper_that_was_paused(settled_sim):
    settled_sim.shares_tables = False
    settled_sim.store.delay_s = 0.5
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(0.5)
    settled_sim.paused_keepers.add("b0")
    settled_sim.run(30.0)
    settled_sim.report_members("a1", status=Status.DEAD)
    settled_sim.run(30.0)
    epochs_before = settled_sim.store.epochs.copy()
    assert epochs_before[-1] >= 3
    # After the pause, the keeper still has its old table and sees all members alive.
    current_input = settled_sim.planner_input
    settled_sim.report_members(*NAMES)
    settled_sim.paused_keepers = {"b1"}
    settled_sim.run(0.5)
    settled_sim.planner_input = current_input
    settled_sim.paused_keepers.clear()
    settled_sim.run(30.0)
    assert settled_sim.store.epochs == sorted(set(settled_sim.store.epochs))
    assert settled_sim.store.epochs[: len(epochs_before)] == epochs_before
    assert settled_sim.keepers["b0"].table == settled_sim.store.table


def test_calls_stay_few_during_and_after_a_store_outage(settled_sim):
    earlier_calls = settled_sim.store.reads + settled_sim.store.writes
    settled_sim.store.is_down = True
    settled_sim.report_members("a0", "a1", status=Status.DEAD)
    settled_sim.run(3600.0)
    outage_calls = settled_sim.store.reads + settled_sim.store.writes - earlier_calls
    # On average, each of the two keepers probes once in half of the longest backoff.
    assert outage_calls <= 2 * 3600 / (BACKOFF_CAP_S / 2) * 1.5
    assert settled_sim.keepers["b0"].table.epoch == 1
    settled_sim.store.is_down = False
    earlier_calls = settled_sim.store.reads + settled_sim.store.writes
    settled_sim.run(2 * BACKOFF_CAP_S)
    assert set(get_states(settled_sim.store.table)) == set(NAMES[2:])
    assert settled_sim.store.reads + settled_sim.store.writes - earlier_calls <= 10


def test_slow_store_gets_one_call_at_a_time(settled_sim):
    settled_sim.store.delay_s = 2.5
    earlier_calls = settled_sim.store.writes
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(9.0)
    assert settled_sim.store.writes - earlier_calls <= 2
    assert get_states(settled_sim.store.table)["a0"] is MemberState.RETIRED


def test_dead_member_stays_listed_for_the_lifetime_of_a_packet(settled_sim):
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(PACKET_LIFETIME_S)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.RETIRED
    settled_sim.run(5.0)
    assert "a0" not in get_states(settled_sim.store.table)


def test_leaving_member_stays_until_its_agent_is_draining_and_idle(settled_sim):
    settled_sim.planner_input = evolve(settled_sim.planner_input, drained=frozenset({"a0"}))
    settled_sim.run(2.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.LEAVING
    settled_sim.report_members("a0", idle=True)
    settled_sim.run(60.0)
    assert (
        get_states(settled_sim.store.table)["a0"] is MemberState.LEAVING
    ), "the agent may still accept flows"
    settled_sim.report_members("a0", draining=True, idle=False)
    settled_sim.run(3600.0)
    assert (
        get_states(settled_sim.store.table)["a0"] is MemberState.LEAVING
    ), "the agent still has open flows"
    settled_sim.report_members("a0", idle=True)
    settled_sim.run(2.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.RETIRED
    settled_sim.run(PACKET_LIFETIME_S + 5.0)
    assert "a0" not in get_states(settled_sim.store.table)
    settled_sim.run(60.0)
    assert "a0" not in get_states(settled_sim.store.table), "the member is still drained"
    settled_sim.planner_input = evolve(settled_sim.planner_input, drained=frozenset())
    settled_sim.report_members("a0", draining=False, idle=False)
    settled_sim.run(PACKET_LIFETIME_S + 5.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.ACTIVE


def test_restarted_agent_replaces_its_entry(settled_sim):
    settled_sim.report_members("a0", incarnation=2, address="10.0.0.9")
    settled_sim.run(1.0)
    member = next(m for m in settled_sim.store.table.members if m.name == "a0")
    assert (member.incarnation, member.address) == (2, "10.0.0.9")
    assert len(settled_sim.store.table.members) == len(NAMES)
    assert settled_sim.store.epochs == [1, 2]


def test_simultaneous_failures_are_one_write_and_majorities_intersect(settled_sim):
    settled_sim.report_members("a0", "a1", "a2", status=Status.DEAD)
    settled_sim.run(3.0)
    assert settled_sim.store.epochs == [1, 2]
    settled_sim.report_members("a7", "a8", "a9")
    spans = record_table_spans(settled_sim, 120.0)
    assert set(get_states(settled_sim.store.table)) == {f"a{index}" for index in range(3, 10)}
    assert_recent_majorities_intersect(spans)


def test_majorities_intersect_while_members_join_and_leave(settled_sim):
    extra_names = [f"x{index}" for index in range(12)]
    rng = settled_sim.rng
    spans = []
    for _ in range(120):
        name = rng.choice(NAMES + extra_names)
        status = rng.choice([Status.ALIVE, Status.ALIVE, Status.DEAD, Status.SUSPECTED])
        settled_sim.report_members(name, status=status)
        spans += record_table_spans(settled_sim, 2.0)
    assert_recent_majorities_intersect(spans)
    assert settled_sim.store.table.epoch > 20


def test_members_of_a_data_centre_that_is_out_stay_listed(settled_sim):
    settled_sim.planner_input = evolve(
        settled_sim.planner_input, out_data_centres=frozenset({"solo"})
    )
    settled_sim.report_members(*NAMES, status=Status.DEAD)
    settled_sim.run(600.0)
    settled_sim.remove_reports(*NAMES)
    settled_sim.report_members("z0", data_centre="semarang", status=Status.ALIVE)
    settled_sim.run(600.0)
    assert set(NAMES) <= set(get_states(settled_sim.store.table))
    settled_sim.planner_input = evolve(settled_sim.planner_input, out_data_centres=frozenset())
    settled_sim.report_members(*NAMES, incarnation=2)
    settled_sim.run(5.0)
    assert {m.incarnation for m in settled_sim.store.table.members if m.name in NAMES} == {2}
    assert {get_states(settled_sim.store.table)[name] for name in NAMES} == {MemberState.ACTIVE}


def test_unreported_member_is_retired_only_if_its_data_centre_is_visible(settled_sim):
    settled_sim.remove_reports(*NAMES)
    settled_sim.run(600.0)
    assert set(get_states(settled_sim.store.table)) == set(
        NAMES
    ), "no process of the data centre is visible"
    settled_sim.report_members(*NAMES[1:])
    settled_sim.run(ABSENT_AFTER_S - 1.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.ACTIVE
    settled_sim.run(3.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.RETIRED


def test_reuse_of_an_address_retires_its_former_owner(settled_sim):
    former = settled_sim.planner_input.merged_reports["a0"].facts
    address_and_port = (former.address, former.control_port)
    # A process with another name and service has started at the address.
    settled_sim.report_members("a0", status=Status.SUSPECTED)
    settled_sim.run(1.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.ACTIVE
    settled_sim.planner_input = evolve(
        settled_sim.planner_input, address_owners={address_and_port: "foto-1"}
    )
    settled_sim.run(1.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.RETIRED


def test_member_that_moves_to_another_service_leaves_the_table(settled_sim):
    settled_sim.report_members("a0", service="foto-cocok", incarnation=2)
    settled_sim.run(1.0)
    assert get_states(settled_sim.store.table)["a0"] is MemberState.RETIRED
    settled_sim.run(60.0)
    assert "a0" not in get_states(settled_sim.store.table)


def test_store_that_lost_the_latest_write_gets_a_newer_epoch(settled_sim):
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(2.0)
    lost_table = settled_sim.store.table
    settled_sim.store.current = StoredObject(
        "tables/katalog", 1, encode_table(evolve(lost_table, epoch=1, writer="x"))
    )
    settled_sim.report_members("a1", status=Status.DEAD)
    settled_sim.run(10.0)
    assert settled_sim.store.table.epoch > lost_table.epoch
    assert get_states(settled_sim.store.table)["a1"] is MemberState.RETIRED


@pytest.mark.parametrize("restored_epoch", [0, 1])
def test_lost_table_is_written_again_once_the_store_is_known_to_be_back(
    settled_sim, restored_epoch
):
    settled_sim.report_members("a0", status=Status.DEAD)
    settled_sim.run(PACKET_LIFETIME_S + 10.0)
    lost_table = settled_sim.store.table
    first = encode_table(evolve(lost_table, epoch=1, writer="x"))
    restored = StoredObject("tables/katalog", 1, first) if restored_epoch else None
    settled_sim.store.current = restored
    settled_sim.run(10.0)
    assert settled_sim.store.current == restored
    for keeper in settled_sim.keepers.values():
        keeper.check_again()
    settled_sim.run(10.0)
    assert settled_sim.store.table.epoch == lost_table.epoch + 1
    assert get_states(settled_sim.store.table) == get_states(lost_table)
    calls = settled_sim.store.reads + settled_sim.store.writes
    settled_sim.run(20.0)
    assert settled_sim.store.reads + settled_sim.store.writes <= calls + 2


def test_intact_table_is_read_and_not_written_again(settled_sim):
    writes, reads = settled_sim.store.writes, settled_sim.store.reads
    settled_sim.keepers["b0"].check_again()
    settled_sim.run(10.0)
    assert settled_sim.store.writes == writes
    assert settled_sim.store.reads == reads + 1


def test_malformed_table_in_the_store_leaves_the_pending_write_and_counts_as_failed(settled_sim):
    keeper = settled_sim.keepers["b0"]
    table = keeper.table
    keeper._pending_write = pending = evolve(table, epoch=2)
    failures = keeper.failures
    with pytest.raises(StoreError):
        keeper.on_read(StoredObject("tables/katalog", {"epoch": "x"}, 7), settled_sim.now)
    keeper.on_failed(settled_sim.now)
    assert keeper._pending_write is pending
    assert keeper.table is table
    assert keeper.failures == failures + 1

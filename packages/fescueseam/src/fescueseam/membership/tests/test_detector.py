import pytest
from attrs import evolve

from fescueseam.conf.models import Role
from fescueseam.membership.detector import (
    DEAD_AFTER_S,
    SUSPECT_AFTER_S,
    DetectorSettings,
    Membership,
)
from fescueseam.membership.facts import Announcement, EventKind, ProcessFacts, Status

PERIOD_S = 1.0


@pytest.fixture
def facts():
    return ProcessFacts("a0", Role.AGENT, "solo", "jawa-tengah", "10.0.0.1", 7000, 5, "katalog")


@pytest.fixture
def membership():
    return Membership(0.0)


def run(membership, now, until, announcing=(), heartbeat=100):
    """Tick to a time while some processes announce; return the events."""
    events = []
    next_beat = now
    while now < until:
        now += 0.25
        if now >= next_beat:
            next_beat += PERIOD_S
            heartbeat += 1
            for facts in announcing:
                events += membership.on_announce(Announcement(facts, heartbeat), now)
        events += membership.on_tick(now)
    return [(event.kind, event.facts.name) for event in events]


def test_silence_is_first_suspected_and_then_taken_for_death(membership, facts):
    other = evolve(facts, name="a1")
    run(membership, 0.0, 4.0, [facts, other])
    last_heard_at = membership.records["a0"].last_heard_at
    events = run(membership, 4.0, last_heard_at + SUSPECT_AFTER_S + 0.5, [other], 200)
    assert events == [(EventKind.SUSPECTED, "a0")]
    events = run(membership, last_heard_at + 2.0, last_heard_at + DEAD_AFTER_S + 0.5, [other], 300)
    assert events == [(EventKind.DIED, "a0")]


def test_a_suspect_that_is_heard_again_recovers(membership, facts):
    other = evolve(facts, name="a1")
    run(membership, 0.0, 4.0, [facts, other])
    run(membership, 4.0, 6.25, [other], 200)
    assert membership.records["a0"].status is Status.SUSPECTED
    events = run(membership, 6.25, 7.0, [facts, other], 300)
    assert events == [(EventKind.RECOVERED, "a0")]


def test_a_rack_gone_at_once_is_reported_in_one_tick(membership, facts):
    rack = [evolve(facts, name=f"r{index}") for index in range(20)]
    run(membership, 0.0, 4.0, [facts, *rack])
    events = run(membership, 4.0, 9.0, [facts], 200)
    assert [kind for kind, _ in events] == [EventKind.SUSPECTED] * 20 + [EventKind.DIED] * 20


def test_a_restart_is_one_event_and_the_earlier_incarnation_is_believed_no_more(membership, facts):
    run(membership, 0.0, 4.0, [facts])
    restarted = evolve(facts, incarnation=6, address="10.0.0.9")
    events = membership.on_announce(Announcement(restarted, 1), 4.5)
    assert [event.kind for event in events] == [EventKind.RESTARTED]
    # The earlier incarnation was frozen and wakes with a higher heartbeat.
    assert membership.on_announce(Announcement(facts, 10_000), 5.0) == []
    assert membership.records["a0"].facts.address == "10.0.0.9"


def test_an_old_heartbeat_that_arrives_late_proves_no_life(membership, facts):
    membership.on_announce(Announcement(facts, 10), 1.0)
    membership.on_announce(Announcement(facts, 9), 2.0)
    membership.on_announce(Announcement(facts, 10), 2.0)
    assert membership.records["a0"].last_heard_at == 1.0


def test_heartbeats_weigh_more_than_the_health_endpoint(membership, facts):
    run(membership, 0.0, 2.0, [facts])
    lying = evolve(facts, healthy=False)
    assert run(membership, 2.0, 6.0, [lying], 200) == []
    other = evolve(facts, name="a1")
    events = run(membership, 6.0, 10.0, [other], 300)
    assert (EventKind.DIED, "a0") in events, "a healthy report does not outweigh silence"


def test_a_paused_keeper_that_wakes_accuses_nobody(membership, facts):
    run(membership, 0.0, 4.0, [facts])
    assert run(membership, 3600.0, 3601.0) == []
    assert membership.records["a0"].status is Status.ALIVE
    events = run(membership, 3601.0, 3605.0, [evolve(facts, name="a1")], 200)
    assert (EventKind.DIED, "a0") in events


def test_a_keeper_that_hears_nobody_accuses_nobody(membership, facts):
    members = [evolve(facts, name=f"a{index}") for index in range(5)]
    run(membership, 0.0, 4.0, members)
    events = run(membership, 4.0, 3600.0)
    assert events == []
    assert run(membership, 3600.0, 3610.0, members, 5000) == []


def test_a_full_list_gives_up_the_longest_dead_first(facts):
    membership = Membership(0.0, DetectorSettings(members_limit=2))
    gone, stays, late = (evolve(facts, name=name) for name in ("gone", "stays", "late"))
    run(membership, 0.0, 2.0, [gone, stays])
    membership.on_announce(Announcement(late, 1), 2.0)
    assert membership.turned_down == 1
    run(membership, 2.0, 8.0, [stays], 200)
    membership.on_announce(Announcement(late, 2), 8.0)
    assert set(membership.records) == {"stays", "late"}


def test_daily_restarts_change_nothing_but_one_event_each(membership, facts):
    members = [evolve(facts, name=f"a{index}") for index in range(10)]
    events = run(membership, 0.0, 2.0, members)
    for turn in range(34):
        index = turn % 10
        members[index] = evolve(members[index], incarnation=10 + turn)
        now = 2.0 + 4 * turn
        events += run(membership, now, now + 4, members, 1000 * (turn + 1))
    kinds = [kind for kind, _ in events]
    assert kinds.count(EventKind.RESTARTED) == 34
    assert set(kinds) == {EventKind.JOINED, EventKind.RESTARTED}

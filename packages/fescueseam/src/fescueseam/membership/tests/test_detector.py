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

HEARTBEAT_INTERVAL_S = 1.0


@pytest.fixture
def facts():
    return ProcessFacts("a0", Role.AGENT, "solo", "jawa-tengah", "10.0.0.1", 7000, 5, "katalog")


@pytest.fixture
def membership():
    return Membership(0.0)


def run_detector(membership, now, until, announcing=(), heartbeat=100):
    """Advance the detector while some processes send heartbeats; return the events."""
    events = []
    next_heartbeat_at = now
    while now < until:
        now += 0.25
        if now >= next_heartbeat_at:
            next_heartbeat_at += HEARTBEAT_INTERVAL_S
            heartbeat += 1
            for facts in announcing:
                events += membership.on_announce(Announcement(facts, heartbeat), now)
        events += membership.on_tick(now)
    return [(event.kind, event.facts.name) for event in events]


def test_silent_process_is_suspected_and_then_dead(membership, facts):
    other = evolve(facts, name="a1")
    run_detector(membership, 0.0, 4.0, [facts, other])
    last_heard_at = membership.records["a0"].last_heard_at
    events = run_detector(membership, 4.0, last_heard_at + SUSPECT_AFTER_S + 0.5, [other], 200)
    assert events == [(EventKind.SUSPECTED, "a0")]
    events = run_detector(
        membership, last_heard_at + 2.0, last_heard_at + DEAD_AFTER_S + 0.5, [other], 300
    )
    assert events == [(EventKind.DIED, "a0")]


def test_suspected_process_recovers_at_its_next_heartbeat(membership, facts):
    other = evolve(facts, name="a1")
    run_detector(membership, 0.0, 4.0, [facts, other])
    run_detector(membership, 4.0, 6.25, [other], 200)
    assert membership.records["a0"].status is Status.SUSPECTED
    events = run_detector(membership, 6.25, 7.0, [facts, other], 300)
    assert events == [(EventKind.RECOVERED, "a0")]


def test_simultaneous_failures_are_reported_together(membership, facts):
    failing = [evolve(facts, name=f"r{index}") for index in range(20)]
    run_detector(membership, 0.0, 4.0, [facts, *failing])
    events = run_detector(membership, 4.0, 9.0, [facts], 200)
    assert [kind for kind, _ in events] == [EventKind.SUSPECTED] * 20 + [EventKind.DIED] * 20


def test_restart_is_one_event_and_earlier_incarnation_is_ignored(membership, facts):
    run_detector(membership, 0.0, 4.0, [facts])
    restarted = evolve(facts, incarnation=6, address="10.0.0.9")
    events = membership.on_announce(Announcement(restarted, 1), 4.5)
    assert [event.kind for event in events] == [EventKind.RESTARTED]
    # The earlier incarnation was paused and resumes with a higher heartbeat.
    assert membership.on_announce(Announcement(facts, 10_000), 5.0) == []
    assert membership.records["a0"].facts.address == "10.0.0.9"


def test_late_or_duplicate_heartbeat_is_ignored(membership, facts):
    membership.on_announce(Announcement(facts, 10), 1.0)
    membership.on_announce(Announcement(facts, 9), 2.0)
    membership.on_announce(Announcement(facts, 10), 2.0)
    assert membership.records["a0"].last_heard_at == 1.0


def test_health_does_not_affect_status(membership, facts):
    run_detector(membership, 0.0, 2.0, [facts])
    unhealthy = evolve(facts, healthy=False)
    assert run_detector(membership, 2.0, 6.0, [unhealthy], 200) == []
    other = evolve(facts, name="a1")
    events = run_detector(membership, 6.0, 10.0, [other], 300)
    assert (EventKind.DIED, "a0") in events, "the silent process was not reported dead"


def test_keeper_suspects_no_process_after_its_own_pause(membership, facts):
    run_detector(membership, 0.0, 4.0, [facts])
    assert run_detector(membership, 3600.0, 3601.0) == []
    assert membership.records["a0"].status is Status.ALIVE
    events = run_detector(membership, 3601.0, 3605.0, [evolve(facts, name="a1")], 200)
    assert (EventKind.DIED, "a0") in events


def test_isolated_keeper_suspects_no_process(membership, facts):
    members = [evolve(facts, name=f"a{index}") for index in range(5)]
    run_detector(membership, 0.0, 4.0, members)
    events = run_detector(membership, 4.0, 3600.0)
    assert events == []
    assert run_detector(membership, 3600.0, 3610.0, members, 5000) == []


def test_full_detector_evicts_the_longest_dead_process(facts):
    membership = Membership(0.0, DetectorSettings(members_limit=2))
    dead, alive, new = (evolve(facts, name=name) for name in ("dead", "alive", "new"))
    run_detector(membership, 0.0, 2.0, [dead, alive])
    membership.on_announce(Announcement(new, 1), 2.0)
    assert membership.turned_down == 1
    run_detector(membership, 2.0, 8.0, [alive], 200)
    membership.on_announce(Announcement(new, 2), 8.0)
    assert set(membership.records) == {"alive", "new"}


def test_repeated_restarts_cause_one_event_each(membership, facts):
    members = [evolve(facts, name=f"a{index}") for index in range(10)]
    events = run_detector(membership, 0.0, 2.0, members)
    for round_number in range(34):
        index = round_number % 10
        members[index] = evolve(members[index], incarnation=10 + round_number)
        now = 2.0 + 4 * round_number
        events += run_detector(membership, now, now + 4, members, 1000 * (round_number + 1))
    kinds = [kind for kind, _ in events]
    assert kinds.count(EventKind.RESTARTED) == 34
    assert set(kinds) == {EventKind.JOINED, EventKind.RESTARTED}

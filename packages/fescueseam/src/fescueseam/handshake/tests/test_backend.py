"""Heartbeats out of order, of earlier starts and of others; cold starts."""

import pytest
from attrs import evolve

from fescueseam.handshake.backend import MISSED_HEARTBEATS, Backend, Heartbeat, Verdict
from fescueseam.handshake.cold_start import Warmth
from fescueseam.handshake.members import Availability

BEAT = Heartbeat("b-1", 1000, 4, "alerts", Availability.READY, 2)


@pytest.fixture
def backend() -> Backend:
    """Return what is believed of a backend server after one heartbeat."""
    built = Backend("alerts", 1.0, 10.0)
    assert built.note_heartbeat(BEAT, 10.0) is Verdict.STARTED
    return built


def test_a_late_heartbeat_changes_nothing(backend: Backend) -> None:
    draining = evolve(BEAT, sequence=5, availability=Availability.DRAINING)
    assert backend.note_heartbeat(draining, 11.0) is Verdict.TAKEN
    assert backend.note_heartbeat(BEAT, 11.1) is Verdict.LATE
    assert backend.find_availability(11.1) is Availability.DRAINING


def test_a_heartbeat_of_an_earlier_start_changes_nothing(backend: Backend) -> None:
    anew = evolve(BEAT, name="b-2", started_ms=2000, sequence=1)
    assert backend.note_heartbeat(anew, 11.0) is Verdict.STARTED
    assert backend.note_heartbeat(evolve(BEAT, sequence=9), 11.5) is Verdict.LATE
    assert backend.current == anew


def test_a_first_heartbeat_of_an_earlier_start_that_comes_late_changes_nothing(
    backend: Backend,
) -> None:
    older = evolve(BEAT, name="b-0", started_ms=500, sequence=2)
    assert backend.note_heartbeat(older, 10.5) is Verdict.LATE
    assert backend.current == BEAT


def test_a_start_under_a_clock_that_was_set_back_is_taken(backend: Backend) -> None:
    anew = evolve(BEAT, name="b-2", started_ms=500, sequence=1)
    assert backend.note_heartbeat(anew, 10.5) is Verdict.LATE
    assert backend.note_heartbeat(evolve(anew, sequence=2), 11.5) is Verdict.STARTED


def test_a_start_under_the_same_name_begins_to_count_anew(backend: Backend) -> None:
    anew = evolve(BEAT, started_ms=2000, sequence=1)
    assert backend.note_heartbeat(anew, 11.0) is Verdict.STARTED
    assert backend.knows_flows


def test_an_agent_that_missed_heartbeats_does_not_know_the_flows(backend: Backend) -> None:
    assert not backend.knows_flows


def test_a_heartbeat_of_another_service_is_foreign(backend: Backend) -> None:
    other = evolve(BEAT, service="intake", sequence=5)
    assert backend.note_heartbeat(other, 11.0) is Verdict.FOREIGN


def test_a_silent_server_is_absent(backend: Backend) -> None:
    assert backend.find_availability(10.0 + MISSED_HEARTBEATS) is Availability.READY
    assert backend.find_availability(10.1 + MISSED_HEARTBEATS) is Availability.ABSENT


def test_only_the_current_start_says_farewell(backend: Backend) -> None:
    assert not backend.note_left("b-0", 11.0)
    assert backend.find_availability(11.0) is Availability.READY
    assert backend.note_left("b-1", 11.0)
    assert backend.find_availability(11.0) is Availability.LEFT


def test_a_cold_server_gets_its_bound_in_any_second() -> None:
    warmth = Warmth()
    warmth.note_cold(5.0, 10.0)
    admitted = []
    for step in range(300):
        now = 10.0 + step / 100
        if warmth.has_room(4.0, now):
            warmth.note_opening(now)
            admitted.append(now)
    assert len(admitted) == 12
    for start in admitted:
        assert sum(1 for time in admitted if start <= time < start + 1.0) <= 4


def test_a_warm_server_has_no_bound() -> None:
    warmth = Warmth()
    assert all(warmth.has_room(1.0, 10.0) for _ in range(10))


def test_nobody_is_there_after_two_intervals_without_a_heartbeat() -> None:
    waiting = Backend("alerts", 1.0, 10.0)
    assert waiting.find_availability(11.9) is Availability.UNKNOWN
    assert not waiting.is_missing(11.9)
    assert waiting.find_availability(12.1) is Availability.LEFT
    assert waiting.is_missing(12.1)

"""Heartbeats out of order, of earlier starts and of others; cold starts."""

import pytest
from attrs import evolve

from fescueseam.handshake.backend import (
    HEARTBEAT_TIMEOUT_INTERVALS,
    BackendMonitor,
    Heartbeat,
    HeartbeatOutcome,
)
from fescueseam.handshake.cold_start import ColdStartLimiter
from fescueseam.handshake.members import Availability

HEARTBEAT = Heartbeat("b-1", 1000, 4, "alerts", Availability.READY, 2)


@pytest.fixture
def backend() -> BackendMonitor:
    """Return what is believed of a backend server after one heartbeat."""
    built = BackendMonitor("alerts", 1.0, 10.0)
    assert built.record_heartbeat(HEARTBEAT, 10.0) is HeartbeatOutcome.NEW_START
    return built


def test_a_late_heartbeat_changes_nothing(backend: BackendMonitor) -> None:
    draining = evolve(HEARTBEAT, sequence=5, availability=Availability.DRAINING)
    assert backend.record_heartbeat(draining, 11.0) is HeartbeatOutcome.ACCEPTED
    assert backend.record_heartbeat(HEARTBEAT, 11.1) is HeartbeatOutcome.STALE
    assert backend.compute_availability(11.1) is Availability.DRAINING


def test_a_heartbeat_of_an_earlier_start_changes_nothing(backend: BackendMonitor) -> None:
    anew = evolve(HEARTBEAT, name="b-2", started_ms=2000, sequence=1)
    assert backend.record_heartbeat(anew, 11.0) is HeartbeatOutcome.NEW_START
    assert backend.record_heartbeat(evolve(HEARTBEAT, sequence=9), 11.5) is HeartbeatOutcome.STALE
    assert backend.last_heartbeat == anew


def test_a_first_heartbeat_of_an_earlier_start_that_comes_late_changes_nothing(
    backend: BackendMonitor,
) -> None:
    older = evolve(HEARTBEAT, name="b-0", started_ms=500, sequence=2)
    assert backend.record_heartbeat(older, 10.5) is HeartbeatOutcome.STALE
    assert backend.last_heartbeat == HEARTBEAT


def test_a_start_under_a_clock_that_was_set_back_is_taken(backend: BackendMonitor) -> None:
    anew = evolve(HEARTBEAT, name="b-2", started_ms=500, sequence=1)
    assert backend.record_heartbeat(anew, 10.5) is HeartbeatOutcome.STALE
    assert backend.record_heartbeat(evolve(anew, sequence=2), 11.5) is HeartbeatOutcome.NEW_START


def test_a_start_under_the_same_name_begins_to_count_anew(backend: BackendMonitor) -> None:
    anew = evolve(HEARTBEAT, started_ms=2000, sequence=1)
    assert backend.record_heartbeat(anew, 11.0) is HeartbeatOutcome.NEW_START
    assert backend.knows_all_flows


def test_an_agent_that_missed_heartbeats_does_not_know_the_flows(backend: BackendMonitor) -> None:
    assert not backend.knows_all_flows


def test_a_heartbeat_of_another_service_is_foreign(backend: BackendMonitor) -> None:
    other = evolve(HEARTBEAT, service="intake", sequence=5)
    assert backend.record_heartbeat(other, 11.0) is HeartbeatOutcome.WRONG_SERVICE


def test_a_silent_server_is_absent(backend: BackendMonitor) -> None:
    assert backend.compute_availability(10.0 + HEARTBEAT_TIMEOUT_INTERVALS) is Availability.READY
    assert backend.compute_availability(10.1 + HEARTBEAT_TIMEOUT_INTERVALS) is Availability.ABSENT


def test_only_the_current_start_says_farewell(backend: BackendMonitor) -> None:
    assert not backend.record_deregistration("b-0", 11.0)
    assert backend.compute_availability(11.0) is Availability.READY
    assert backend.record_deregistration("b-1", 11.0)
    assert backend.compute_availability(11.0) is Availability.LEFT


def test_a_cold_server_gets_its_bound_in_any_second() -> None:
    cold_start = ColdStartLimiter()
    cold_start.update_cold_time(5.0, 10.0)
    admitted = []
    for step in range(300):
        now = 10.0 + step / 100
        if cold_start.can_admit(4.0, now):
            cold_start.record_opening(now)
            admitted.append(now)
    assert len(admitted) == 12
    for start in admitted:
        assert sum(1 for time in admitted if start <= time < start + 1.0) <= 4


def test_a_warm_server_has_no_bound() -> None:
    cold_start = ColdStartLimiter()
    assert all(cold_start.can_admit(1.0, 10.0) for _ in range(10))


def test_nobody_is_there_after_two_intervals_without_a_heartbeat() -> None:
    waiting = BackendMonitor("alerts", 1.0, 10.0)
    assert waiting.compute_availability(11.9) is Availability.UNKNOWN
    assert not waiting.is_first_heartbeat_overdue(11.9)
    assert waiting.compute_availability(12.1) is Availability.LEFT
    assert waiting.is_first_heartbeat_overdue(12.1)

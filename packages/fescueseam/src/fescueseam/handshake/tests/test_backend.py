"""Heartbeats out of order, of other starts and of other services; limits of cold starts."""

import pytest
from attrs import evolve

from fescueseam.handshake.backend import (
    HEARTBEAT_TIMEOUT_INTERVALS,
    BackendMonitor,
    Heartbeat,
    HeartbeatOutcome,
)
from fescueseam.handshake.cold_start import ColdStartLimiter
from fescueseam.handshake.member import Availability

HEARTBEAT = Heartbeat("b-1", 1000, 4, "alerts", Availability.READY, 2)


@pytest.fixture
def monitor() -> BackendMonitor:
    """Return a monitor after its first heartbeat."""
    monitor = BackendMonitor("alerts", 1.0, 10.0)
    assert monitor.record_heartbeat(HEARTBEAT, 10.0) is HeartbeatOutcome.NEW_START
    return monitor


def test_heartbeat_out_of_order_is_ignored(monitor: BackendMonitor) -> None:
    draining = evolve(HEARTBEAT, sequence=5, availability=Availability.DRAINING)
    assert monitor.record_heartbeat(draining, 11.0) is HeartbeatOutcome.ACCEPTED
    assert monitor.record_heartbeat(HEARTBEAT, 11.1) is HeartbeatOutcome.STALE
    assert monitor.compute_availability(11.1) is Availability.DRAINING


def test_heartbeat_of_previous_start_is_ignored(monitor: BackendMonitor) -> None:
    restarted = evolve(HEARTBEAT, name="b-2", started_ms=2000, sequence=1)
    assert monitor.record_heartbeat(restarted, 11.0) is HeartbeatOutcome.NEW_START
    assert monitor.record_heartbeat(evolve(HEARTBEAT, sequence=9), 11.5) is HeartbeatOutcome.STALE
    assert monitor.last_heartbeat == restarted


def test_single_heartbeat_with_older_start_time_is_ignored(monitor: BackendMonitor) -> None:
    older = evolve(HEARTBEAT, name="b-0", started_ms=500, sequence=2)
    assert monitor.record_heartbeat(older, 10.5) is HeartbeatOutcome.STALE
    assert monitor.last_heartbeat == HEARTBEAT


def test_second_heartbeat_with_older_start_time_is_a_new_start(monitor: BackendMonitor) -> None:
    restarted = evolve(HEARTBEAT, name="b-2", started_ms=500, sequence=1)
    assert monitor.record_heartbeat(restarted, 10.5) is HeartbeatOutcome.STALE
    assert (
        monitor.record_heartbeat(evolve(restarted, sequence=2), 11.5) is HeartbeatOutcome.NEW_START
    )


def test_restart_under_same_name_is_a_new_start(monitor: BackendMonitor) -> None:
    restarted = evolve(HEARTBEAT, started_ms=2000, sequence=7)
    assert monitor.record_heartbeat(restarted, 12.5) is HeartbeatOutcome.NEW_START
    assert monitor.knows_all_flows


def test_missed_first_heartbeat_leaves_flows_unknown(monitor: BackendMonitor) -> None:
    assert not monitor.knows_all_flows


def test_heartbeat_of_another_service_is_ignored(monitor: BackendMonitor) -> None:
    other = evolve(HEARTBEAT, service="intake", sequence=5)
    assert monitor.record_heartbeat(other, 11.0) is HeartbeatOutcome.WRONG_SERVICE


def test_backend_is_absent_after_heartbeat_timeout(monitor: BackendMonitor) -> None:
    assert monitor.compute_availability(10.0 + HEARTBEAT_TIMEOUT_INTERVALS) is Availability.READY
    assert monitor.compute_availability(10.1 + HEARTBEAT_TIMEOUT_INTERVALS) is Availability.ABSENT


def test_deregistration_counts_only_for_current_backend(monitor: BackendMonitor) -> None:
    assert not monitor.record_deregistration("b-0", 11.0)
    assert monitor.compute_availability(11.0) is Availability.READY
    assert monitor.record_deregistration("b-1", 11.0)
    assert monitor.compute_availability(11.0) is Availability.LEFT


def test_cold_backend_gets_no_more_than_its_bound_in_any_second() -> None:
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


def test_warm_backend_has_no_bound() -> None:
    cold_start = ColdStartLimiter()
    assert all(cold_start.can_admit(1.0, 10.0) for _ in range(10))


def test_backend_has_left_if_first_heartbeat_is_overdue() -> None:
    monitor = BackendMonitor("alerts", 1.0, 10.0)
    assert monitor.compute_availability(11.9) is Availability.UNKNOWN
    assert not monitor.is_first_heartbeat_overdue(11.9)
    assert monitor.compute_availability(12.1) is Availability.LEFT
    assert monitor.is_first_heartbeat_overdue(12.1)


@pytest.mark.parametrize(
    ("started_ms", "knows_all"), [(1_000_000, True), (999_800, True), (999_700, False)]
)
def test_server_that_started_while_no_agent_ran_has_no_unknown_flow(
    started_ms: int, knows_all: bool
) -> None:
    monitor = BackendMonitor("alerts", 1.0, 10.0, process_started_ms=1_000_000)
    monitor.record_heartbeat(evolve(HEARTBEAT, started_ms=started_ms, sequence=8), 12.0)
    assert monitor.knows_all_flows is knows_all


def test_agent_with_an_unknown_start_does_not_compare_clocks() -> None:
    monitor = BackendMonitor("alerts", 1.0, 10.0)
    monitor.record_heartbeat(evolve(HEARTBEAT, started_ms=10**15, sequence=8), 12.0)
    assert not monitor.knows_all_flows


def test_server_that_refuses_connections_is_missing_until_it_is_heard() -> None:
    monitor = BackendMonitor("alerts", 1.0, 10.0)
    monitor.record_refused_connection()
    assert monitor.compute_availability(10.1) is Availability.LEFT
    assert monitor.notice_absence(10.1)
    assert not monitor.notice_absence(10.2)
    monitor.record_heartbeat(HEARTBEAT, 10.3)
    assert monitor.compute_availability(10.3) is Availability.READY


def test_refused_connection_of_a_server_that_was_heard_means_nothing(
    monitor: BackendMonitor,
) -> None:
    monitor.record_refused_connection()
    assert monitor.compute_availability(10.5) is Availability.READY


def test_packet_of_a_server_shows_that_it_runs() -> None:
    monitor = BackendMonitor("alerts", 1.0, 10.0)
    monitor.record_refused_connection()
    monitor.record_packet()
    assert monitor.compute_availability(10.1) is Availability.UNKNOWN

"""Which start of a server lives, and what its agent may deny, whatever comes late."""

import pytest
from attrs import evolve

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import (
    OTHER_STARTS_LIMIT,
    BackendMonitor,
    Heartbeat,
    HeartbeatOutcome,
)
from fescueseam.handshake.flows import IDLE_FLOW_TIMEOUT_S, FlowTable
from fescueseam.handshake.member import Availability, Identity, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    Cluster,
    FakeBackend,
    build_backend_segment,
    build_flow,
    build_segment,
)

ENDED = Heartbeat("ended", 400_000, 40, ALERTS, Availability.READY, 2)
LIVING = Heartbeat("living", 500_000, 4, ALERTS, Availability.READY, 2)
PROCESS_STARTED_MS = 600_000


@pytest.fixture
def monitor() -> BackendMonitor:
    """Return the monitor of an agent that was restarted beside a living server."""
    return BackendMonitor(ALERTS, 1.0, 10.0, PROCESS_STARTED_MS)


def beat(monitor: BackendMonitor, heartbeat: Heartbeat, number: int, now: float) -> bool:
    """Record a heartbeat; return whether its start is then in force."""
    monitor.record_heartbeat(evolve(heartbeat, sequence=heartbeat.sequence + number), now)
    last = monitor.last_heartbeat
    return last is not None and last.name == heartbeat.name


@pytest.mark.parametrize("gap_s", [0.0, 0.6, 0.95])
def test_two_late_heartbeats_of_an_ended_start_displace_no_living_one(
    monitor: BackendMonitor, gap_s: float
) -> None:
    assert beat(monitor, LIVING, 0, 10.3)
    assert not beat(monitor, ENDED, 0, 10.32)
    assert not beat(monitor, ENDED, 1, 10.32 + gap_s)
    assert not monitor.may_deny_flows(11.29)
    for number in range(1, 5):
        assert beat(monitor, LIVING, number, 10.3 + number)
    assert not monitor.may_deny_flows(14.3)


def test_late_heartbeat_before_the_first_of_the_living_start(monitor: BackendMonitor) -> None:
    assert beat(monitor, ENDED, 0, 10.1)
    assert beat(monitor, LIVING, 0, 10.6)
    assert not monitor.may_deny_flows(10.7)
    assert beat(monitor, LIVING, 1, 11.6)
    assert not monitor.may_deny_flows(20.0)


@pytest.mark.parametrize("born_ms", [300_000, 550_000])
def test_living_start_that_was_displaced_is_in_force_within_two_intervals(
    monitor: BackendMonitor, born_ms: int
) -> None:
    living = evolve(LIVING, started_ms=born_ms)
    assert beat(monitor, living, 0, 10.3)
    late = evolve(ENDED, started_ms=580_000)
    assert beat(monitor, late, 0, 10.5)
    beat(monitor, living, 1, 11.3)
    assert not monitor.may_deny_flows(11.4)
    assert beat(monitor, living, 2, 12.3)
    assert beat(monitor, living, 3, 13.3)


def test_two_starts_that_both_report_end_with_the_living_one(monitor: BackendMonitor) -> None:
    late = evolve(ENDED, started_ms=900_000)
    for number in range(4):
        beat(monitor, LIVING, number, 10.3 + number)
        beat(monitor, late, number, 10.5 + number)
        assert not monitor.may_deny_flows(10.6 + number)
    last_late_at = 13.5
    for number in range(4, 6):
        in_force = beat(monitor, LIVING, number, 10.3 + number)
    assert in_force
    assert last_late_at + 2.0 >= 10.3 + 5


def test_server_whose_clock_was_set_back_is_in_force_within_two_intervals(
    monitor: BackendMonitor,
) -> None:
    assert beat(monitor, LIVING, 0, 10.3)
    older = evolve(ENDED, sequence=1)
    assert not beat(monitor, older, 0, 10.4)
    assert not beat(monitor, older, 1, 11.4)
    assert beat(monitor, older, 2, 12.4)


def test_one_late_heartbeat_of_a_displaced_start_ends_no_drain(monitor: BackendMonitor) -> None:
    assert beat(monitor, ENDED, 0, 10.3)
    draining = evolve(LIVING, availability=Availability.DRAINING)
    assert beat(monitor, draining, 0, 10.5)
    assert not beat(monitor, ENDED, 1, 13.0)
    assert monitor.compute_availability(13.0) is Availability.DRAINING


def test_displacement_ends_no_cold_phase(monitor: BackendMonitor) -> None:
    beat(monitor, evolve(LIVING, cold_left_s=5.0), 0, 10.3)
    assert beat(monitor, evolve(ENDED, started_ms=900_000), 0, 10.5)
    assert monitor.cold_start.is_cold(12.0)


def test_first_sequence_number_does_not_show_when_a_server_started(
    monitor: BackendMonitor,
) -> None:
    assert beat(monitor, evolve(LIVING, sequence=1), 0, 10.3)
    assert not monitor.may_deny_flows(10.4)


def test_start_that_a_listening_agent_would_have_heard_before_is_new(
    monitor: BackendMonitor,
) -> None:
    for number in range(6):
        beat(monitor, LIVING, number, 10.3 + number)
    assert beat(monitor, evolve(LIVING, name="next", started_ms=650_000, sequence=9), 0, 15.6)
    assert not monitor.may_deny_flows(15.7)
    # The earlier start, whose flows are not all known, has been silent for long enough.
    assert monitor.may_deny_flows(19.0)


def test_agent_that_was_frozen_may_have_missed_heartbeats(monitor: BackendMonitor) -> None:
    assert beat(monitor, ENDED, 0, 10.1)
    monitor.record_running(10.2)
    assert beat(monitor, LIVING, 0, 14.0)
    assert not monitor.knows_all_flows
    assert not monitor.may_deny_flows(68.0)
    assert monitor.may_deny_flows(14.0 + IDLE_FLOW_TIMEOUT_S)


def test_start_after_one_that_has_left_is_in_force_at_once(monitor: BackendMonitor) -> None:
    assert beat(monitor, LIVING, 0, 10.3)
    assert monitor.record_deregistration(LIVING.name, 10.4)
    assert beat(monitor, ENDED, 0, 10.5)


def test_refused_connection_after_a_packet_shows_that_the_server_has_ended(
    monitor: BackendMonitor,
) -> None:
    monitor.record_packet()
    monitor.record_refused_connection()
    assert monitor.is_missing(10.3)
    assert monitor.notice_absence(10.3)
    # A later packet, or a heartbeat, overrules it for good.
    monitor.record_packet()
    assert not monitor.is_missing(10.4)
    assert not monitor.is_missing(20.0)


def test_flows_of_the_living_server_outlive_late_heartbeats_after_a_restart(
    cluster: Cluster,
) -> None:
    flows = [build_flow(number) for number in range(10)]
    for flow in flows:
        cluster.open(flow, 1)
    home = cluster.find_home(flows[0])
    assert home is not None
    agent = cluster.add_agent(home, sequence=9)
    cluster.run(0.1)
    for sequence in (40, 41):
        late = Heartbeat("ended", 1, sequence, ALERTS, Availability.READY, 2)
        outcome, effects = agent.handle_heartbeat(late, cluster.now)
        cluster.execute(home, effects)
        assert outcome is HeartbeatOutcome.STALE
    for balancer in (1, 2):
        cluster.nodes[balancer].homes.clear()
    cluster.run(1.5)
    for flow in flows:
        cluster.request(flow, 2)
    cluster.run(1.0)
    assert cluster.resets == []
    assert sum(backend.served for backend in cluster.backends.values()) == 10


def test_dead_flows_are_reset_after_a_restart_of_the_server_alone(cluster: Cluster) -> None:
    flow = build_flow(0)
    cluster.open(flow, 1)
    home = cluster.find_home(flow)
    assert home is not None
    cluster.backends[home] = FakeBackend("restarted")
    cluster.start_heartbeats(home, 8, name="restarted", started_ms=9)
    cluster.request(flow, 1)
    cluster.run(0.5)
    assert cluster.resets == [flow]


def test_agent_is_unsure_while_it_is_open_which_start_lives() -> None:
    own = Identity("agent", Role.AGENT, 11, "a", ALERTS)
    agent = Agent(Fleet(own), BackendMonitor(ALERTS, 1.0, 10.0, PROCESS_STARTED_MS), 10.0)
    agent.handle_heartbeat(ENDED, 10.1)
    agent.handle_heartbeat(evolve(LIVING, started_ms=601_000), 10.5)
    assert agent.backend.knows_all_flows
    assert agent._find_holding(build_flow(0), ALERTS, 10.6) is Holding.UNSURE
    assert agent.describe_load(10.6).held.has_unknown_flows
    assert agent._find_holding(build_flow(0), ALERTS, 13.7) is Holding.NO


def test_starts_that_were_heard_longest_ago_are_forgotten(monitor: BackendMonitor) -> None:
    beat(monitor, LIVING, 0, 10.3)
    for number in range(2 * OTHER_STARTS_LIMIT):
        monitor.record_heartbeat(evolve(ENDED, name=f"ended-{number}"), 10.4)
    assert len(monitor._other_starts) == OTHER_STARTS_LIMIT
    assert monitor.last_heartbeat == LIVING


def test_copies_of_a_request_that_was_probed_keep_no_slot_busy() -> None:
    table, flow = FlowTable(), build_flow(0)
    entry = table.add(flow, 10.0)
    entry.probe_origin = 1
    request = build_segment(flow, sequence=1000, data_bytes=100)
    table.record_caller_packet(flow, entry, request, 10.0)
    entry.probe_origin = 0
    table.record_backend_packet(flow, entry, build_backend_segment(flow, data_bytes=500), 10.1)
    table.record_caller_packet(flow, entry, request, 10.2)
    assert table.busy == 0
    table.record_caller_packet(flow, entry, evolve(request, sequence=1100), 10.3)
    assert table.busy == 1

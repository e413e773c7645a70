"""Load pattern: a backend server reports ready, but ends its requests without an answer or hangs.

A server that aborts its requests early looks idle and would otherwise attract new flows.
"""

import pytest

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.failures import FAILURE_DECAY_TIME_S, FailureTracker, compute_stuck_after
from fescueseam.handshake.flows import FlowTable
from fescueseam.handshake.tests.conftest import (
    Cluster,
    build_backend_segment,
    build_flow,
    build_segment,
)


def send_requests_on_new_flows(cluster: Cluster, first: int, count: int) -> None:
    for number in range(first, first + count):
        cluster.open(build_flow(number), 1)
        cluster.request(build_flow(number), 1)
        cluster.run(0.05)


def count_openings(cluster: Cluster, address: int) -> int:
    return len(cluster.backends[address].opening_times)


def test_backend_that_aborts_requests_gets_few_new_flows(cluster: Cluster) -> None:
    cluster.backends[11].ends_unanswered = True
    send_requests_on_new_flows(cluster, 0, 30)
    cluster.run(0.3)
    before = count_openings(cluster, 11)
    send_requests_on_new_flows(cluster, 30, 60)
    assert count_openings(cluster, 11) - before <= 6
    assert cluster.count_events("request-unanswered") > 0


def test_backend_that_hangs_gets_few_new_flows(cluster: Cluster) -> None:
    cluster.backends[11].slots = 8
    cluster.start_heartbeats(11, 90)
    cluster.backends[11].hangs = True
    send_requests_on_new_flows(cluster, 0, 12)
    cluster.run(1.0)
    before = count_openings(cluster, 11)
    send_requests_on_new_flows(cluster, 12, 60)
    assert count_openings(cluster, 11) - before <= 6


def test_closing_packet_that_overtakes_the_answer_is_no_failure(cluster: Cluster) -> None:
    for backend in cluster.backends.values():
        backend.closes_flows = True
    send_requests_on_new_flows(cluster, 0, 30)
    assert cluster.count_events("request-unanswered") == 0
    for address in (11, 12, 13):
        agent = cluster.nodes[address]
        assert isinstance(agent, Agent)
        assert agent.describe_load(cluster.now).failing == 0.0
        assert agent.averages.service_time_s == pytest.approx(0.02, rel=0.1)


def test_late_copy_of_an_answer_does_not_end_the_next_request(cluster: Cluster) -> None:
    flow = build_flow(0)
    cluster.open(flow, 1)
    cluster.request(flow, 1)
    cluster.run(0.1)
    home = cluster.find_home(flow)
    agent = cluster.nodes[home]
    assert isinstance(agent, Agent)
    cluster.backends[home].hangs = True
    cluster.request(flow, 1, sequence=1100)
    cluster.run(0.05)
    assert agent.flows.busy == 1
    copy = build_backend_segment(flow, data_bytes=500, sequence=5001)
    cluster.execute(home, agent.handle_backend_packet(copy, cluster.now))
    assert agent.flows.busy == 1
    assert cluster.count_events("request-unanswered") == 0


def test_agent_that_missed_the_answer_counts_no_failure() -> None:
    table = FlowTable()
    flow = build_flow(0)
    entry = table.add(flow, 1.0)
    table.record_caller_packet(flow, entry, build_segment(flow, data_bytes=100), 1.0)
    closing = build_backend_segment(flow, finishes=True, sequence=9000)
    end = table.record_backend_packet(flow, entry, closing, 1.1)
    assert end is not None
    assert end.answered


def test_recovered_backend_gets_its_share_again(cluster: Cluster) -> None:
    send_requests_on_new_flows(cluster, 0, 12)
    cluster.backends[11].ends_unanswered = True
    send_requests_on_new_flows(cluster, 12, 30)
    cluster.backends[11].ends_unanswered = False
    cluster.run(4 * FAILURE_DECAY_TIME_S)
    before = count_openings(cluster, 11)
    send_requests_on_new_flows(cluster, 42, 60)
    assert count_openings(cluster, 11) - before >= 10


def test_one_failure_among_many_weighs_little() -> None:
    failures = FailureTracker()
    for number in range(20):
        failures.record_request_end(number == 7, 1.0)
    assert failures.compute_failing_share(0, 1.0) == pytest.approx(0.05)


def test_single_failure_is_scaled_down() -> None:
    failures = FailureTracker()
    failures.record_request_end(True, 1.0)
    assert failures.compute_failing_share(0, 1.0) == 0.25


def test_failures_decay_over_time() -> None:
    failures = FailureTracker()
    for _ in range(8):
        failures.record_request_end(True, 0.0)
    assert failures.compute_failing_share(0, 0.0) == 1.0
    assert failures.compute_failing_share(0, 4 * FAILURE_DECAY_TIME_S) < 0.1


def test_stuck_requests_count_as_failures() -> None:
    assert FailureTracker().compute_failing_share(2, 1.0) == 0.5
    assert compute_stuck_after(0.02) == 0.5
    assert compute_stuck_after(0.1) == pytest.approx(0.8)

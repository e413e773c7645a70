"""Open flows while balancers, agents and backend servers restart or change."""

import pytest

from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.members import IGNORED_PROBES_TIMEOUT_S, MEMBER_TIMEOUT_S
from fescueseam.handshake.tests.conftest import (
    INTAKE,
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
    build_segment,
)

MISROUTED_LIMIT = 3
"""Packets of a flow that reach other backend servers stay below this number."""
FLOW_COUNT = 30


@pytest.fixture
def cluster_with_flows(cluster: Cluster) -> Cluster:
    """Return a cluster with open flows that the first balancer placed."""
    for number in range(FLOW_COUNT):
        cluster.open(build_flow(number), balancer=1)
    assert all(cluster.find_home(build_flow(number)) for number in range(FLOW_COUNT))
    cluster.run(0.3)
    cluster.answers.clear()
    return cluster


def assert_all_answered(cluster: Cluster, balancer: int) -> None:
    homes = {number: cluster.find_home(build_flow(number)) for number in range(FLOW_COUNT)}
    for number in range(FLOW_COUNT):
        cluster.request(build_flow(number), balancer)
        cluster.run(0.05)
    cluster.run(1.0)
    assert cluster.resets == []
    for number, home in homes.items():
        flow = build_flow(number)
        assert cluster.answers[flow] > 0
        assert cluster.find_home(flow) == home
        for backend in cluster.backends.values():
            assert backend.misrouted_packets[flow] < MISROUTED_LIMIT


def test_requests_reach_the_home_of_their_flow(cluster_with_flows: Cluster) -> None:
    assert_all_answered(cluster_with_flows, balancer=1)
    assert (
        sum(sum(item.misrouted_packets.values()) for item in cluster_with_flows.backends.values())
        == 0
    )


def test_other_balancer_locates_homes_without_misrouting(cluster_with_flows: Cluster) -> None:
    assert_all_answered(cluster_with_flows, balancer=2)
    assert (
        sum(sum(item.misrouted_packets.values()) for item in cluster_with_flows.backends.values())
        == 0
    )


def test_restarted_balancers_locate_homes(cluster_with_flows: Cluster) -> None:
    for address in (1, 2):
        cluster_with_flows.add_balancer(address)
    cluster_with_flows.run(0.3)
    assert_all_answered(cluster_with_flows, balancer=2)


def test_restarted_agents_keep_flows(cluster_with_flows: Cluster) -> None:
    for address in (11, 12, 13):
        cluster_with_flows.add_agent(address, sequence=9)
    cluster_with_flows.run(0.3)
    assert_all_answered(cluster_with_flows, balancer=1)


def test_flows_continue_after_restart_of_all_balancers_and_agents(
    cluster_with_flows: Cluster,
) -> None:
    for address in (1, 2):
        cluster_with_flows.add_balancer(address)
    for address in (11, 12, 13):
        cluster_with_flows.add_agent(address, sequence=9)
    cluster_with_flows.run(0.3)
    assert_all_answered(cluster_with_flows, balancer=2)


def test_flow_of_restarted_backend_is_reset_at_once(cluster_with_flows: Cluster) -> None:
    flow = build_flow(0)
    home = cluster_with_flows.find_home(flow)
    assert home is not None
    cluster_with_flows.backends[home] = FakeBackend("restarted")
    cluster_with_flows.start_heartbeats(home, 1, name="restarted", started_ms=9)
    cluster_with_flows.request(flow, balancer=1)
    cluster_with_flows.run(0.05)
    assert cluster_with_flows.resets == [flow]


def test_flow_that_no_agent_holds_is_reset(cluster: Cluster) -> None:
    cluster.request(build_flow(0), balancer=1)
    cluster.run(0.1)
    assert cluster.resets == [build_flow(0)]


def test_unknown_flow_is_not_reset_until_silent_agent_is_unreachable(cluster: Cluster) -> None:
    cluster.disconnected.add(13)
    cluster.request(build_flow(0), balancer=1)
    cluster.run(1.0)
    assert cluster.resets == []
    cluster.run(MEMBER_TIMEOUT_S)
    cluster.request(build_flow(0), balancer=1)
    cluster.run(1.0)
    assert cluster.resets == [build_flow(0)]


def test_retransmitted_opening_reaches_the_home_of_the_open_flow(
    cluster_with_flows: Cluster,
) -> None:
    flow = build_flow(3)
    home = cluster_with_flows.find_home(flow)
    cluster_with_flows.send(build_opening(flow, attempt=1), 2)
    cluster_with_flows.run(0.1)
    holders = [
        address for address, item in cluster_with_flows.backends.items() if flow in item.flows
    ]
    assert holders == [home]
    assert cluster_with_flows.resets == []


def test_retransmission_of_lost_opening_opens_the_flow(cluster: Cluster) -> None:
    flow = build_flow(3)
    cluster.send(build_opening(flow, attempt=1), 2)
    cluster.run(0.05)
    cluster.send(build_segment(flow), 2)
    cluster.run(0.05)
    assert cluster.find_home(flow) is not None


def test_agent_of_another_service_at_reused_address_gets_no_packet(
    cluster_with_flows: Cluster,
) -> None:
    flow = build_flow(0)
    home = cluster_with_flows.find_home(flow)
    assert home is not None
    other_backend = FakeBackend("other")
    cluster_with_flows.nodes.pop(home)
    cluster_with_flows.add_agent(home, other_backend, service=INTAKE)
    cluster_with_flows.request(flow, balancer=1)
    cluster_with_flows.run(0.3)
    assert other_backend.misrouted_packets[flow] == 0
    assert other_backend.opening_times == []


def test_packets_received_during_a_search_are_all_served(cluster_with_flows: Cluster) -> None:
    flow = build_flow(1)
    for part in range(5):
        cluster_with_flows.request(flow, balancer=2, sequence=1000 + 100 * part)
    cluster_with_flows.run(0.5)
    home = cluster_with_flows.find_home(flow)
    assert home is not None
    assert cluster_with_flows.backends[home].served == 5


def test_isolated_balancer_resets_no_flow_after_hearing_one_agent(
    cluster_with_flows: Cluster,
) -> None:
    flow = build_flow(0)
    home = cluster_with_flows.find_home(flow)
    balancer = cluster_with_flows.nodes[1]
    cluster_with_flows.disconnected.add(1)
    cluster_with_flows.run(MEMBER_TIMEOUT_S + 1.0)
    cluster_with_flows.disconnected.clear()
    other = next(address for address in (11, 12, 13) if address != home)
    balancer.fleet.record_message(f"agent-{other}", cluster_with_flows.now)
    cluster_with_flows.request(flow, balancer=1)
    cluster_with_flows.run(0.01)
    assert cluster_with_flows.resets == []


def test_flow_is_located_while_reports_of_its_agent_are_lost(cluster_with_flows: Cluster) -> None:
    flow = build_flow(0)
    home = cluster_with_flows.find_home(flow)
    assert home is not None
    cluster_with_flows.lost_reports.add((home, 1))
    cluster_with_flows.run(MEMBER_TIMEOUT_S + 1.0)
    assert cluster_with_flows.nodes[1].fleet.is_unreachable(
        cluster_with_flows.nodes[1].fleet.find_by_address(home), cluster_with_flows.now
    )
    cluster_with_flows.request(flow, balancer=1)
    cluster_with_flows.run(0.3)
    assert cluster_with_flows.resets == []
    assert cluster_with_flows.backends[home].served == 1


def test_opening_does_not_wait_for_unreachable_agent(cluster: Cluster) -> None:
    cluster.disconnected.add(13)
    cluster.run(MEMBER_TIMEOUT_S + 1.0)
    cluster.send(build_opening(build_flow(0), attempt=1), 1)
    cluster.run(0.05)
    assert sum(len(backend.opening_times) for backend in cluster.backends.values()) == 1


def test_flow_survives_while_its_seldom_heard_agent_is_frozen_for_a_moment() -> None:
    cluster = Cluster()
    cluster.add_balancer(1, "a")
    cluster.add_balancer(2, "b")
    for address in (11, 12, 13):
        cluster.add_agent(address, data_centre="b")
    cluster.run(3.0)
    balancer, flow = cluster.nodes[1], build_flow(0)
    for number in range(30):
        far = Identity(f"balancer-{500 + number}", Role.BALANCER, 500 + number, "b")
        balancer.fleet.record_report(far, Load(), 1, cluster.now)
    balancer.fleet.collect_reachability_changes(cluster.now)
    cluster.open(flow, 1)
    home = cluster.find_home(flow)
    assert home is not None
    cluster.lost_reports.add((home, 1))
    cluster.run(MEMBER_TIMEOUT_S + 0.1)
    cluster.disconnected.add(home)
    balancer.fleet.record_unanswered(f"agent-{home}", cluster.now)
    cluster.run(IGNORED_PROBES_TIMEOUT_S + 0.3)
    cluster.request(flow, balancer=1)
    cluster.run(0.5)
    assert cluster.resets == []
    cluster.disconnected.discard(home)
    cluster.request(flow, balancer=1)
    cluster.run(0.1)
    assert cluster.backends[home].served == 1

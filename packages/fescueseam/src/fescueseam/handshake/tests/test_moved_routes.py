"""Load pattern: a route is given to another service while callers keep flows of it open.

The balancers that knew the earlier services stop afterwards, in turn or all at once.
"""

from collections.abc import Callable

import pytest

from fescueseam.handshake.holders import HELD_ADDRESSES_LIMIT
from fescueseam.handshake.member import UNKNOWN_FLOWS
from fescueseam.handshake.rules import Route, RouteShare, Rules
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    CALLER_ADDRESS,
    HEARTBEAT_INTERVAL_S,
    INTAKE,
    RULES,
    SERVICE_ADDRESS,
    SERVICE_PORT,
    Cluster,
    build_flow,
)

FLOWS = tuple(build_flow(number) for number in range(12))
BALANCERS = (1, 2)
ALERTS_AGENTS, INTAKE_AGENTS = (11, 12, 13), (21, 22)


def move_route(cluster: Cluster, *services: str) -> None:
    """Give the route to other services, in all balancers; a version without any removes it."""
    shares = tuple(RouteShare(service) for service in services)
    routes = (Route("alerts", SERVICE_ADDRESS, SERVICE_PORT, shares),) if services else ()
    cluster.rules = Rules(cluster.rules.version + 1, routes, RULES.services)
    for address in BALANCERS:
        cluster.nodes[address].configuration.update_rules(cluster.rules, cluster.now)


def restart_in_turn(cluster: Cluster) -> None:
    for address in BALANCERS:
        cluster.execute(address, cluster.nodes[address].hand_over_homes(cluster.now))
        cluster.run(0.01)
        cluster.add_balancer(address)
        cluster.run(1.0)


def kill_all(cluster: Cluster) -> None:
    for address in BALANCERS:
        cluster.add_balancer(address)
    cluster.run(0.5)


def request_all(cluster: Cluster) -> int:
    """Send a request on each flow; return the number of flows that get an answer."""
    cluster.answers.clear()
    for number, flow in enumerate(FLOWS):
        cluster.request(flow, BALANCERS[number % 2])
        cluster.run(0.02)
    cluster.run(0.5)
    return sum(cluster.answers[flow] > 0 for flow in FLOWS)


@pytest.fixture
def moved(cluster: Cluster) -> Cluster:
    """Return a cluster with open flows whose route has been given to another service."""
    for address in INTAKE_AGENTS:
        cluster.add_agent(address, service=INTAKE)
    cluster.run(1.0)
    for number, flow in enumerate(FLOWS):
        cluster.open(flow, BALANCERS[number % 2])
    cluster.run(0.5)
    move_route(cluster, INTAKE)
    cluster.run(0.5)
    return cluster


@pytest.mark.parametrize("restart", [restart_in_turn, kill_all])
def test_flows_of_a_moved_route_outlive_a_restart_of_all_balancers(
    moved: Cluster, restart: Callable[[Cluster], None]
) -> None:
    # Guards against: agents of the new service alone are asked, and the open flows are reset.
    restart(moved)
    assert request_all(moved) == len(FLOWS)
    assert moved.resets == []
    misrouted = [moved.backends[address].misrouted_packets for address in INTAKE_AGENTS]
    assert not any(misrouted)


def test_flows_of_a_route_that_moved_twice_outlive_a_restart(moved: Cluster) -> None:
    # Guards against: only the services of the two newest versions are asked.
    moved.add_agent(31, service="third")
    moved.run(0.5)
    move_route(moved, "third")
    kill_all(moved)
    assert request_all(moved) == len(FLOWS)
    assert moved.resets == []


def test_flows_outlive_the_end_of_a_services_share_of_a_route(moved: Cluster) -> None:
    # Guards against: a service whose weight is removed from a split route is not asked.
    move_route(moved, INTAKE, "third")
    restart_in_turn(moved)
    assert request_all(moved) == len(FLOWS)
    assert moved.resets == []


def test_flows_of_a_moved_route_outlive_a_restart_of_agents_and_balancers(moved: Cluster) -> None:
    # Guards against: agents that started after their flows report none of them.
    for address in ALERTS_AGENTS:
        moved.add_agent(address, sequence=9)
        moved.run(0.3)
    kill_all(moved)
    assert request_all(moved) == len(FLOWS)
    assert moved.resets == []


def test_balancer_that_lost_its_homes_asks_the_former_service(moved: Cluster) -> None:
    # Guards against: the report of an agent is older than the flow that it opened.
    for address in BALANCERS:
        balancer = moved.nodes[address]
        balancer.homes.clear()
        for member in list(balancer.fleet.members.values()):
            moved.lost_reports.add((member.identity.address, address))
            balancer.fleet.holders.discard(member.identity.name)
    assert request_all(moved) == len(FLOWS)
    assert moved.resets == []


def test_flow_that_no_service_holds_is_reset_after_its_route_moved(moved: Cluster) -> None:
    unknown = build_flow(1000)
    moved.request(unknown, 1)
    moved.run(0.3)
    assert moved.resets == [unknown]


def test_agents_of_other_services_are_not_asked_about_flows_they_never_had(
    cluster: Cluster,
) -> None:
    # Load pattern: flows of a lost machine are searched for in a fleet of many services.
    for address in INTAKE_AGENTS:
        cluster.add_agent(address, service=INTAKE)
    cluster.run(2 * HEARTBEAT_INTERVAL_S)
    cluster.locate_requests.clear()
    cluster.request(build_flow(1000), 1)
    cluster.run(0.3)
    assert cluster.resets == [build_flow(1000)]
    asked = {receiver for _, receiver in cluster.locate_requests}
    assert asked == {2, *ALERTS_AGENTS}


def test_flows_of_a_removed_route_are_reset_by_a_balancer_that_does_not_know_them(
    moved: Cluster,
) -> None:
    move_route(moved)
    kill_all(moved)
    assert request_all(moved) == 0
    assert set(moved.resets) == set(FLOWS)


def test_agent_reports_the_service_addresses_of_its_flows(moved: Cluster) -> None:
    held = [moved.nodes[address].describe_load(moved.now).held for address in ALERTS_AGENTS]
    assert all(item.service_addresses == {(SERVICE_ADDRESS, SERVICE_PORT)} for item in held)
    assert not any(item.has_unknown_flows for item in held)
    assert not moved.nodes[INTAKE_AGENTS[0]].describe_load(moved.now).held.service_addresses
    assert moved.nodes[ALERTS_AGENTS[0]].backend.service == ALERTS


def test_agent_with_flows_of_many_addresses_reports_unknown_flows(cluster: Cluster) -> None:
    agent = cluster.nodes[11]
    for port in range(HELD_ADDRESSES_LIMIT + 1):
        assert not agent.describe_load(cluster.now).held.has_unknown_flows
        agent.flows.add((CALLER_ADDRESS, 40_001, SERVICE_ADDRESS, port), cluster.now)
    assert agent.describe_load(cluster.now).held == UNKNOWN_FLOWS


def test_restarted_agent_reports_unknown_flows_until_each_was_seen_or_idle(
    moved: Cluster,
) -> None:
    agent = moved.add_agent(11, sequence=9)
    assert agent.describe_load(moved.now).held.has_unknown_flows
    moved.run(61.0)
    assert not agent.describe_load(moved.now).held.has_unknown_flows

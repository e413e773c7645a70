"""Load pattern: balancers stop and start in turn while callers keep idle flows open.

A balancer that starts anew is sent packets of flows of which its neighbours have seen none lately.
"""

import pytest

from fescueseam.handshake.handover import HANDED_OVER_FLOWS_LIMIT, build_handover
from fescueseam.handshake.homes import HomeTable
from fescueseam.handshake.notices import HomeHandover
from fescueseam.handshake.questions import BATCH_FLOWS_LIMIT
from fescueseam.handshake.tests.conftest import Cluster, build_flow, build_segment

AGENTS = range(11, 41)
FLOWS = tuple(build_flow(number) for number in range(100))


@pytest.fixture
def busy_cluster() -> Cluster:
    """Return three balancers and many agents; the first balancer has open flows."""
    built = Cluster()
    for address in (1, 2, 3):
        built.add_balancer(address)
    for address in AGENTS:
        built.add_agent(address)
    built.run(1.0)
    for flow in FLOWS:
        built.open(flow, 1)
    return built


def restart_balancer(cluster: Cluster) -> None:
    cluster.execute(1, cluster.nodes[1].hand_over_homes(cluster.now))
    cluster.run(0.01)
    cluster.add_balancer(1)
    cluster.run(1.0)
    cluster.locate_requests.clear()


def test_restarted_balancer_finds_idle_flows_with_few_questions(busy_cluster: Cluster) -> None:
    restart_balancer(busy_cluster)
    for flow in FLOWS:
        busy_cluster.request(flow, 1)
        busy_cluster.run(0.02)
    asked = sum(receiver in AGENTS for _, receiver in busy_cluster.locate_requests)
    assert asked == len(FLOWS)
    assert busy_cluster.count_events("flow-found") == len(FLOWS)
    assert busy_cluster.resets == []


def test_homes_are_found_with_few_questions_after_a_second_restart(busy_cluster: Cluster) -> None:
    # Guards against: a balancer that stops forgets the homes that were handed over to it.
    for address in (1, 2, 3):
        balancer = busy_cluster.nodes[address]
        busy_cluster.execute(address, balancer.hand_over_homes(busy_cluster.now))
        busy_cluster.run(0.01)
        busy_cluster.add_balancer(address)
        busy_cluster.run(1.0)
    busy_cluster.locate_requests.clear()
    for number, flow in enumerate(FLOWS):
        busy_cluster.request(flow, 1 + number % 3)
        busy_cluster.run(0.02)
    asked = sum(receiver in AGENTS for _, receiver in busy_cluster.locate_requests)
    assert asked == len(FLOWS)
    assert busy_cluster.count_events("flow-found") == len(FLOWS)
    assert busy_cluster.resets == []


def test_neighbour_asks_the_agent_before_it_uses_a_handed_over_home(busy_cluster: Cluster) -> None:
    flow = FLOWS[0]
    home = busy_cluster.find_home(flow)
    busy_cluster.execute(1, busy_cluster.nodes[1].hand_over_homes(busy_cluster.now))
    busy_cluster.run(0.01)
    for address in (2, 3):
        busy_cluster.request(flow, address)
        busy_cluster.run(0.05)
    assert {receiver for _, receiver in busy_cluster.locate_requests} <= {1, 2, 3, home}
    assert all(not backend.misrouted_packets for backend in busy_cluster.backends.values())


def test_stale_home_leads_to_a_search_of_all_agents(busy_cluster: Cluster) -> None:
    flow = FLOWS[0]
    home = busy_cluster.find_home(flow)
    wrong = next(address for address in AGENTS if address != home)
    balancer = busy_cluster.nodes[2]
    balancer.handed_over.remember(flow, f"agent-{wrong}", "alerts", busy_cluster.now)
    busy_cluster.nodes[1].homes.clear()
    busy_cluster.request(flow, 2)
    busy_cluster.run(0.1)
    assert balancer.homes[flow].agent == f"agent-{home}"
    assert not busy_cluster.backends[wrong].misrouted_packets


def test_closed_flows_are_not_handed_over(busy_cluster: Cluster) -> None:
    balancer = busy_cluster.nodes[1]
    busy_cluster.send(build_segment(FLOWS[0], finishes=True), 1)
    busy_cluster.run(0.01)
    notices = build_handover(balancer.homes, balancer.handed_over, balancer.fleet, busy_cluster.now)
    flows = {item.flow for notice in notices for item in notice.body.homes}
    assert flows == set(FLOWS[1:])


def test_handed_over_homes_are_bounded_and_spread_over_the_neighbours(
    busy_cluster: Cluster,
) -> None:
    homes = HomeTable()
    for number in range(2 * HANDED_OVER_FLOWS_LIMIT):
        homes.remember(build_flow(number), "agent-11", "alerts", busy_cluster.now)
    fleet = busy_cluster.nodes[1].fleet
    notices = build_handover(homes, HomeTable(), fleet, busy_cluster.now)
    assert [notice.address for notice in notices[:4]] in ([2, 3, 2, 3], [3, 2, 3, 2])
    bodies = [notice.body for notice in notices]
    assert all(isinstance(body, HomeHandover) for body in bodies)
    assert all(len(body.homes) <= BATCH_FLOWS_LIMIT for body in bodies)
    assert sum(len(body.homes) for body in bodies) == HANDED_OVER_FLOWS_LIMIT


def test_handover_without_neighbours_sends_nothing() -> None:
    cluster = Cluster()
    balancer = cluster.add_balancer(1)
    balancer.homes.remember(FLOWS[0], "agent-11", "alerts", cluster.now)
    assert balancer.hand_over_homes(cluster.now) == []

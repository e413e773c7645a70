"""Load pattern: a balancer on a narrow link restarts and all its flows return at once.

The tests bound the number of Locate notices that the searches send.
"""

import pytest
from attrs import evolve

from fescueseam.handshake.member import Availability, Load
from fescueseam.handshake.tests.conftest import Cluster, build_flow, build_opening, build_segment

AGENTS = tuple(range(11, 31))
FLOWS = 40


@pytest.fixture
def large_cluster() -> Cluster:
    """Return two balancers and many agents; the first balancer has just restarted."""
    built = Cluster()
    for address in (1, 2):
        built.add_balancer(address)
    for address in AGENTS:
        built.add_agent(address)
    built.run(3.0)
    for number in range(FLOWS):
        built.open(build_flow(number), 1)
    # The second balancer forwards the flows while the first one is down.
    for number in range(FLOWS):
        built.request(build_flow(number), 2)
    built.run(0.5)
    built.add_balancer(1)
    built.run(1.0)
    built.locate_requests.clear()
    return built


def test_returning_flows_are_found_through_the_other_balancer(
    large_cluster: Cluster,
) -> None:
    for number in range(FLOWS):
        large_cluster.request(build_flow(number), 1, sequence=2000)
    large_cluster.run(0.5)
    assert large_cluster.resets == []
    assert sum(backend.served for backend in large_cluster.backends.values()) == 2 * FLOWS
    # One request to the other balancer and one to the agent that it names.
    assert len(large_cluster.locate_requests) <= 2 * FLOWS


def test_wrong_hint_misroutes_no_packet(large_cluster: Cluster) -> None:
    flow = build_flow(0)
    home = large_cluster.find_home(flow)
    wrong = next(address for address in AGENTS if address != home)
    large_cluster.nodes[2].homes[flow].agent = f"agent-{wrong}"
    large_cluster.request(flow, 1, sequence=2000)
    large_cluster.run(0.5)
    assert large_cluster.resets == []
    assert large_cluster.backends[wrong].misrouted_packets == {}
    assert large_cluster.backends[home].served >= 2
    assert len(large_cluster.locate_requests) <= 1 + len(AGENTS)


def test_agents_are_asked_if_no_neighbouring_balancer_answers(large_cluster: Cluster) -> None:
    large_cluster.disconnected.add(2)
    large_cluster.request(build_flow(0), 1, sequence=2000)
    large_cluster.run(0.1)
    assert large_cluster.resets == []
    assert sum(backend.served for backend in large_cluster.backends.values()) == FLOWS + 1


def test_search_for_a_retransmitted_opening_asks_no_agent(large_cluster: Cluster) -> None:
    flow = build_flow(FLOWS)
    large_cluster.send(build_opening(flow, attempt=1), 1)
    large_cluster.run(0.1)
    assert large_cluster.locate_requests == [(1, 2)]
    assert sum(flow in backend.flows for backend in large_cluster.backends.values()) == 1


def test_retransmitted_opening_goes_to_the_same_backend(large_cluster: Cluster) -> None:
    flow = build_flow(FLOWS)
    for attempt in (0, 1, 2):
        large_cluster.send(build_opening(flow, attempt=attempt), 1)
        large_cluster.run(0.2)
    assert large_cluster.locate_requests == []
    assert sum(flow in backend.flows for backend in large_cluster.backends.values()) == 1


def test_opening_retransmitted_through_another_balancer_goes_to_the_same_backend(
    large_cluster: Cluster,
) -> None:
    flow = build_flow(FLOWS)
    large_cluster.send(build_opening(flow), 2)
    large_cluster.run(0.1)
    large_cluster.send(build_opening(flow, attempt=1), 1)
    large_cluster.run(0.1)
    assert sum(flow in backend.flows for backend in large_cluster.backends.values()) == 1


def test_return_from_an_unknown_address_ends_no_search(cluster: Cluster) -> None:
    flow = build_flow(0)
    cluster.open(flow, 1)
    cluster.nodes[2].homes.clear()
    balancer = cluster.add_balancer(1)
    cluster.run(0.5)
    balancer.handle_packet(build_segment(flow, data_bytes=100), cluster.now)
    assert balancer.searches[flow].pending_hints
    returned = build_segment(flow, returned=True)
    assert balancer.handle_returned_packet(returned, 999, cluster.now) == []
    assert flow in balancer.searches
    cluster.request(flow, 1)
    cluster.run(1.0)
    assert cluster.resets == []


def test_silent_agent_that_had_a_server_before_its_restart_is_asked(cluster: Cluster) -> None:
    flow = build_flow(0)
    cluster.open(flow, 1)
    home = cluster.find_home(flow)
    balancer, agent = cluster.nodes[2], cluster.nodes[home]
    identity = evolve(agent.fleet.own, incarnation=agent.fleet.own.incarnation + 1)
    balancer.fleet.record_report(identity, Load(Availability.UNKNOWN), 1, cluster.now)
    cluster.lost_reports.add((home, 2))
    for node in (1, 2):
        cluster.nodes[node].homes.clear()
    cluster.run(10.0)
    assert balancer.fleet.is_unreachable(balancer.fleet.find(identity.name), cluster.now)
    cluster.request(flow, 2)
    cluster.run(1.0)
    assert cluster.resets == []
    assert cluster.backends[home].served == 1

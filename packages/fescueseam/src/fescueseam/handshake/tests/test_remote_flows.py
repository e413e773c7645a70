"""Flows that leave their data centre, from the opening to the report.

Load pattern: a burst in one data centre whose only server has one slot, beside an idle data centre.
Failure: the other data centre is cut off in the burst.
"""

import pytest
from attrs import evolve

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.openings import PendingOpening
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    RULES,
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
    build_segment,
)
from fescueseam.overload.needs import RouteNeeds

TARGET_S = 0.25
BURST = 12
SERVICE_TIME_S = 0.2
NEAR_AGENT, FAR_AGENTS = 11, (21, 22, 23)


@pytest.fixture
def uneven() -> Cluster:
    """Return balancers in "a" and "b", one server of one slot in "a" and three in "b"."""
    route = evolve(RULES.routes[0], needs=RouteNeeds(TARGET_S, 4 * TARGET_S))
    built = Cluster(rules=evolve(RULES, routes=(route,)))
    built.add_balancer(1, "a")
    built.add_balancer(2, "b")
    built.add_agent(NEAR_AGENT, FakeBackend("near", 1, SERVICE_TIME_S), data_centre="a")
    for address in FAR_AGENTS:
        backend = FakeBackend(f"far{address}", 4, SERVICE_TIME_S)
        built.add_agent(address, backend, data_centre="b")
    built.run(3.0)
    return built


def send_burst(cluster: Cluster, first: int) -> None:
    for number in range(first, first + BURST):
        cluster.open(build_flow(number), 1)
        cluster.request(build_flow(number), 1)


def test_burst_leaves_and_later_flows_stay(uneven: Cluster) -> None:
    send_burst(uneven, 0)
    uneven.run(3.0)
    assert uneven.count_events("remote-begun") == 1
    homes = [uneven.find_home(build_flow(number)) for number in range(BURST)]
    assert homes[0] == NEAR_AGENT
    assert set(homes) & set(FAR_AGENTS)
    for number in range(BURST, BURST + 3):
        uneven.open(build_flow(number), 1)
        uneven.run(5.0)
        assert uneven.find_home(build_flow(number)) == NEAR_AGENT
    assert uneven.count_events("remote-ended") == 1
    agent = uneven.nodes[NEAR_AGENT]
    assert isinstance(agent, Agent)
    load = agent.describe_load(uneven.now)
    assert 0 < load.flow_bytes <= 500
    assert uneven.resets == []


def test_burst_is_served_nearby_when_the_other_data_centre_is_cut_off(uneven: Cluster) -> None:
    uneven.disconnected |= {2, *FAR_AGENTS}
    uneven.run(10.0)
    flows = [build_flow(number) for number in range(4)]
    for flow in flows:
        uneven.send(build_opening(flow), 1)
    # Those that find no free slot wait until the handshakes before them count no more.
    uneven.run(0.5)
    for flow in flows:
        uneven.send(build_segment(flow), 1)
    uneven.run(0.01)
    assert {uneven.find_home(flow) for flow in flows} == {NEAR_AGENT}
    assert uneven.count_events("remote-begun") == 0


def test_question_for_agents_kept_free_records_no_flow(uneven: Cluster) -> None:
    balancer = uneven.nodes[1]
    for _ in range(2):
        for _ in range(20):
            balancer.placement.waits.reserves.record(ALERTS, 0, False, uneven.now)
        uneven.run(0.5)
    for member in balancer.fleet.list_agents((ALERTS,)):
        member.busy_until = uneven.now + (10.0 if member.identity.data_centre == "a" else 0.0)
        member.load = evolve(member.load, busy=9 if member.identity.data_centre == "a" else 0)
    flow = build_flow(0)
    opening = PendingOpening(build_opening(flow), ALERTS, "", uneven.now)
    selector = balancer.placement.selector
    selector.configuration.update_rules(
        evolve(
            selector.configuration.rules,
            version=9,
            routes=(
                evolve(
                    selector.configuration.rules.routes[0],
                    needs=RouteNeeds(TARGET_S, 4 * TARGET_S, 3),
                ),
            ),
        ),
        uneven.now,
    )
    assert selector.find_reserved(opening, flow, uneven.now)
    assert selector.remote.remote_flows == 0

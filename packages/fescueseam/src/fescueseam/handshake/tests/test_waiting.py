"""Load patterns: a constant load of 1.5 times the room, and swings around it.

Half of the requests are of a dear route, whose requests alone would fit.
"""

import random
from collections.abc import Callable

import pytest

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.free_slots import FREE_SLOT_OFFERS_LIMIT
from fescueseam.handshake.member import Availability
from fescueseam.handshake.segments import FlowId
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    CALLER_ADDRESS,
    HEARTBEAT_INTERVAL_S,
    SERVICE_ADDRESS,
    build_opening,
)
from fescueseam.handshake.tests.load import (
    CHEAP,
    CHEAP_PORT,
    DEAR,
    DEAR_PORT,
    SERVICE_TIME_S,
    LoadedCluster,
    Request,
    build_cluster,
    build_rules,
    replace_rules,
)

NEEDS = {DEAR_PORT: DEAR, CHEAP_PORT: CHEAP}
ROOM_PER_S = 4 / SERVICE_TIME_S
DURATION_S = 8.0
AGENTS = (11, 12, 13, 14)


def is_dear(request: Request) -> bool:
    return request.port == DEAR_PORT


def is_cheap(request: Request) -> bool:
    return request.port == CHEAP_PORT


def offer_overload(cluster: LoadedCluster, load: float = 1.5) -> None:
    for number in range(10):
        for port in NEEDS:
            per_s = load * ROOM_PER_S / 20
            cluster.offer_load(CALLER_ADDRESS + number, port, per_s, DURATION_S)


def find_waiting(cluster: LoadedCluster, address: int) -> list[FlowId]:
    core = cluster.nodes[address]
    assert isinstance(core, Agent)
    return list(core.admission._waiting_segments)


def assert_all_ended(cluster: LoadedCluster) -> None:
    """Check that nothing waits any more and that no request was left without an outcome."""
    assert not any(item.has_pending_work() for item in cluster.nodes.values())
    assert not [flow for flow, item in cluster.by_flow.items() if not item.is_open]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_dear_route_gets_its_target_and_a_cheap_one_the_rest(seed: int) -> None:
    cluster = build_cluster(NEEDS)
    cluster.rng = random.Random(seed)
    offer_overload(cluster)
    cluster.run(DURATION_S + 3.0)
    assert cluster.compute_share(is_dear, DEAR.target_s) >= 0.9
    assert cluster.compute_share(is_dear, DEAR.limit_s) >= 0.98
    # A third of its requests fits beside those of the dear route.
    assert cluster.compute_share(is_cheap, CHEAP.limit_s) >= 0.3
    assert_all_ended(cluster)


def test_below_the_room_nothing_is_refused() -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster, 0.8)
    cluster.run(DURATION_S + 3.0)
    assert cluster.resets == []
    assert cluster.compute_share(lambda _: True, DEAR.target_s) >= 0.98


def test_routes_that_state_no_needs_do_not_wait() -> None:
    cluster = build_cluster({DEAR_PORT: None, CHEAP_PORT: None})
    offer_overload(cluster)
    cluster.run(DURATION_S + 3.0)
    assert cluster.count_events("opening-waits") == 0


def test_a_refusal_comes_at_once_when_no_wait_can_meet_the_limit() -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster, 3.0)
    cluster.run(DURATION_S + 3.0)
    waited = [
        item.fields["waited_ms"]
        for item in cluster.events
        if item.event == "opening-returned"
        if "waited_ms" in item.fields
    ]
    refused = cluster.count_events("flow-refused")
    assert refused > 500
    assert sum(1 for item in waited if item > 500) < 0.05 * refused


@pytest.mark.parametrize("failure", ["killed", "cut-off"])
def test_openings_outlive_the_agent_at_which_they_wait(failure: str) -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    cluster.run(4.0)
    lost = find_waiting(cluster, 11)
    requests = [cluster.by_flow[flow] for flow in lost if flow in cluster.by_flow]
    if failure == "killed":
        del cluster.nodes[11]
    else:
        cluster.disconnected.add(11)
    cluster.run(1.4)
    assert requests
    # Each was served elsewhere, refused without a run, or is retried; none was left to time out.
    assert all(
        item.answered_after_s is not None or item.refused or item.is_open for item in requests
    )
    cluster.run(6.0)
    served = cluster.compute_share(
        lambda item: is_dear(item) and item.started_at > cluster.now - 8.0, DEAR.limit_s
    )
    # The dear route needs all that is left of the room.
    assert served >= 0.8


@pytest.mark.parametrize("stop", ["draining", "leaving"])
def test_openings_go_back_at_once_when_their_server_takes_no_more(stop: str) -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    cluster.run(4.0)
    agent = cluster.nodes[11]
    assert isinstance(agent, Agent)
    assert find_waiting(cluster, 11)
    if stop == "draining":
        cluster.run(HEARTBEAT_INTERVAL_S - 0.5)
        heartbeat = agent.backend.last_heartbeat
        assert heartbeat is not None
        cluster.start_heartbeats(11, heartbeat.sequence + 1, availability=Availability.DRAINING)
        cluster.execute(11, agent.tick(cluster.now))
    else:
        cluster.execute(11, agent.start_shutdown(cluster.now))
    assert find_waiting(cluster, 11) == []


def test_copies_of_a_waiting_opening_change_nothing() -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    cluster.run(4.0)
    waiting = [flow for address in AGENTS for flow in find_waiting(cluster, address)]
    offers = cluster.count_events("flow-offered")
    for flow in waiting:
        for address in (1, 2):
            core = cluster.nodes[address]
            if flow in core.offered.unanswered:
                assert core.handle_packet(build_opening(flow, 1), cluster.now) == []
    assert cluster.count_events("flow-offered") == offers
    assert sorted(waiting) == sorted(
        flow for address in AGENTS for flow in find_waiting(cluster, address)
    )


def test_a_copy_at_another_balancer_leaves_the_opening_where_it_waits() -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    cluster.run(4.0)
    flow = find_waiting(cluster, 11)[-1]
    other = 2 if flow in cluster.nodes[1].offered.unanswered else 1
    cluster.send(build_opening(flow, 1), other)
    cluster.run(0.01)
    assert not any(flow in find_waiting(cluster, address) for address in AGENTS[1:])
    assert flow not in cluster.resets


def change_priorities(cluster: LoadedCluster) -> None:
    replace_rules(cluster, build_rules(2, {DEAR_PORT: CHEAP, CHEAP_PORT: DEAR}))


def drop_needs(cluster: LoadedCluster) -> None:
    replace_rules(cluster, build_rules(2, {DEAR_PORT: None, CHEAP_PORT: None}))


def drop_route(cluster: LoadedCluster) -> None:
    replace_rules(cluster, build_rules(2, {DEAR_PORT: DEAR}))


@pytest.mark.parametrize("change", [change_priorities, drop_needs, drop_route])
def test_openings_wait_on_while_the_configuration_changes(
    change: Callable[[LoadedCluster], None],
) -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    cluster.run(4.0)
    change(cluster)
    cluster.run(DURATION_S)
    assert_all_ended(cluster)


def test_openings_that_waited_through_a_pause_of_the_process_are_not_delivered() -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    cluster.run(4.0)
    agent = cluster.nodes[11]
    assert isinstance(agent, Agent)
    assert find_waiting(cluster, 11)
    effects = agent.admission.admit_waiting(cluster.now + 10.0)
    assert {item.event for item in effects if hasattr(item, "event")} == {"opening-returned"}
    assert find_waiting(cluster, 11) == []


def test_reports_that_are_lost_do_not_cost_the_dear_route_its_share() -> None:
    cluster = build_cluster(NEEDS)
    offer_overload(cluster)
    links = {(agent, balancer) for agent in AGENTS for balancer in (1, 2)}
    for step in range(int(DURATION_S * 2)):
        cluster.schedule(0.5 * step, lambda: cluster.lost_reports.update(links))
        cluster.schedule(0.5 * step + 0.3, cluster.lost_reports.clear)
    cluster.run(DURATION_S + 3.0)
    assert cluster.compute_share(is_dear, DEAR.target_s) >= 0.9


def test_an_agent_of_an_earlier_build_costs_one_offer() -> None:
    cluster = build_cluster(NEEDS)
    cluster.run(0.1)
    flow = (CALLER_ADDRESS, 999, SERVICE_ADDRESS, DEAR_PORT)
    balancer = cluster.nodes[1]
    cluster.disconnected |= set(AGENTS)
    for _ in range(50):
        balancer.placement.free_slot_searches.record(ALERTS, FREE_SLOT_OFFERS_LIMIT, False)
    cluster.execute(1, balancer.handle_packet(build_opening(flow), cluster.now))
    assert balancer.offered.unanswered[flow].wait_step > 0
    cluster.execute(1, balancer.tick(cluster.now + 0.1))
    assert balancer.offered.unanswered[flow].wait_step == 0

"""Load patterns: a burst of 2.4 in a cheap class, and a swing of all load around the room."""

import random

import pytest
from attrs import evolve

from fescueseam.handshake.openings import PendingOpening
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    CALLER_ADDRESS,
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
    QueueingBackend,
    build_cluster,
)

AGENTS = 8
LONG_WORK_S = 0.3
BURST_START_S, BURST_END_S, DURATION_S = 4.0, 8.0, 12.0
PATIENT_CHEAP = evolve(CHEAP, target_s=1.0, limit_s=2.0)


def offer(cluster: LoadedCluster, port: int, load: float, work_s: float, duration_s: float) -> None:
    for number in range(10):
        per_s = load * AGENTS / work_s / 10
        cluster.offer_load(CALLER_ADDRESS + 256 * port + number, port, per_s, duration_s)


def play_burst(seed: int, dear: float, cheap: float, cheap_work_s: float) -> LoadedCluster:
    cluster = build_cluster({DEAR_PORT: DEAR, CHEAP_PORT: PATIENT_CHEAP}, AGENTS)
    cluster.rng = random.Random(seed)
    for backend in cluster.backends.values():
        assert isinstance(backend, QueueingBackend)
        backend.work_s[CHEAP_PORT] = cheap_work_s
    offer(cluster, DEAR_PORT, dear, SERVICE_TIME_S, DURATION_S)
    offer(cluster, CHEAP_PORT, cheap, cheap_work_s, DURATION_S)
    extra_s = BURST_END_S - BURST_START_S
    cluster.schedule(
        BURST_START_S, lambda: offer(cluster, CHEAP_PORT, 1.4 * cheap, cheap_work_s, extra_s)
    )
    cluster.run(DURATION_S + 3.0)
    return cluster


def compute_dear_share(cluster: LoadedCluster, start_s: float, end_s: float) -> float:
    first = cluster.now - DURATION_S - 3.0
    return cluster.compute_share(
        lambda item: item.port == DEAR_PORT and start_s <= item.started_at - first < end_s,
        DEAR.target_s,
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_burst_of_a_cheap_class_costs_the_dear_one_nothing(seed: int) -> None:
    cluster = play_burst(seed, 0.6, 0.35, SERVICE_TIME_S)
    assert compute_dear_share(cluster, BURST_START_S, BURST_END_S) >= 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_room_is_kept_from_a_burst_of_long_cheap_requests(seed: int) -> None:
    cluster = play_burst(seed, 0.35, 0.4, LONG_WORK_S)
    # Without a reserve a third of them is late, behind long requests at work.
    assert compute_dear_share(cluster, BURST_START_S + 1.0, BURST_END_S) >= 0.9


def test_a_swing_around_the_room_leaves_the_dear_class_its_target() -> None:
    cluster = build_cluster({DEAR_PORT: DEAR, CHEAP_PORT: CHEAP}, AGENTS)
    offer(cluster, DEAR_PORT, 0.5, SERVICE_TIME_S, DURATION_S)
    for start_s in range(0, int(DURATION_S), 2):
        cluster.schedule(start_s, lambda: offer(cluster, CHEAP_PORT, 1.0, SERVICE_TIME_S, 1.0))
    cluster.run(DURATION_S + 3.0)
    assert compute_dear_share(cluster, 0.0, DURATION_S) >= 0.9


def test_a_lower_class_is_served_where_only_servers_that_are_kept_free_are_left() -> None:
    cluster = build_cluster({DEAR_PORT: DEAR, CHEAP_PORT: CHEAP}, 2)
    placement = cluster.nodes[1].placement
    for _ in range(2):
        for _ in range(20):
            placement.waits.reserves.record(ALERTS, DEAR.priority, False, cluster.now)
        cluster.run(0.5)
    flow = (CALLER_ADDRESS, 1, SERVICE_ADDRESS, CHEAP_PORT)
    opening = PendingOpening(build_opening(flow), ALERTS, "", cluster.now)
    reserved = placement.selector.find_reserved(opening, flow, cluster.now)
    assert len(reserved) == 1
    for member in placement.fleet.list_agents((ALERTS,)):
        if member.identity.name not in reserved:
            member.excluded_until = cluster.now + 1.0
    assert placement.selector.find_reserved(opening, flow, cluster.now) == set()

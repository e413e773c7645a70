"""Learned work of routes at one backend server.

Load pattern: requests that queue for one slot, three in a hundred of which work seven times as
long, on flows that carry one request or many.
"""

import random

import pytest

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.codec import encode_notice
from fescueseam.handshake.effects import SendNotice
from fescueseam.handshake.flows import Flow
from fescueseam.handshake.notices import Notice, Report
from fescueseam.handshake.segments import FlowId
from fescueseam.handshake.tests.conftest import (
    SERVICE_ADDRESS,
    SERVICE_PORT,
    Cluster,
    build_flow,
    cluster,
)
from fescueseam.overload.work import ROUTES_LIMIT, WORK_RETENTION_S, LearnedWork

__all__ = ["cluster"]
ROUTE = (SERVICE_ADDRESS, SERVICE_PORT)
SERVICE_TIME_S = 0.05


def serve(
    work: LearnedWork,
    times: list[float],
    interval_s: float,
    route: tuple[int, int] = ROUTE,
    flows: dict[FlowId, Flow] | None = None,
) -> float:
    """Serve requests of one slot in the order of arrival; return the time of the last end."""
    events: list[tuple[float, int, FlowId]] = []
    free_at = 0.0
    for number, service_time_s in enumerate(times):
        flow = (1, number, *route)
        arrived_at = 1.0 + number * interval_s
        free_at = max(free_at, arrived_at) + service_time_s
        events += [(arrived_at, 1, flow), (free_at, -1, flow)]
    busy = 0
    for at, change, flow in sorted(events):
        busy += change
        work.collect_report(flows or {}, at)
        if change > 0:
            work.record_request(flow, True, busy, 1, at)
        else:
            work.record_end(flow, True, busy, True, at)
    return free_at


def learn(work: LearnedWork, now: float, flows: dict[FlowId, Flow] | None = None) -> float:
    """Return the learned mean of the route."""
    work.collect_report(flows or {}, now)
    return {item.address: item.mean_s for item in work.list_learned()}[ROUTE]


@pytest.mark.parametrize("spread", ["tail", "exponential"])
def test_uneven_work_looks_slow_less_than_once_in_a_thousand_requests(spread: str) -> None:
    """At ten requests a second, a server is set aside by mistake for one second in a hundred."""
    rng = random.Random(1)
    requests = 20_000
    if spread == "tail":
        times = [SERVICE_TIME_S * (7 if rng.random() < 0.03 else 1) for _ in range(requests)]
    else:
        times = [rng.expovariate(1 / SERVICE_TIME_S) for _ in range(requests)]
    work = LearnedWork()
    alarms = 0
    for number, service_time_s in enumerate(times):
        now = 10.0 + number
        work.record_request((1, number, *ROUTE), True, 1, 1, now)
        work.record_end((1, number, *ROUTE), True, 0, True, now + service_time_s)
        alarms += work.slowness.poll_turned_slow()
    assert alarms <= requests / 1000


@pytest.mark.parametrize("load", [0.5, 1.5])
def test_service_time_is_told_from_waiting(load: float) -> None:
    work = LearnedWork()
    now = serve(work, [SERVICE_TIME_S] * 60, SERVICE_TIME_S / load)
    assert learn(work, now) == pytest.approx(SERVICE_TIME_S, rel=0.01)


@pytest.mark.parametrize("seed", range(5))
def test_long_work_in_the_tail_is_learned_within_a_third(seed: int) -> None:
    rng = random.Random(seed)
    times = [SERVICE_TIME_S * (7 if rng.random() < 0.03 else 1) for _ in range(400)]
    work = LearnedWork()
    now = serve(work, times, SERVICE_TIME_S / 0.8)
    assert learn(work, now) == pytest.approx(1.18 * SERVICE_TIME_S, rel=0.33)


def test_single_odd_service_time_moves_the_mean_by_less_than_a_tenth() -> None:
    work = LearnedWork()
    now = serve(work, [SERVICE_TIME_S] * 40 + [100 * SERVICE_TIME_S], 0.1)
    assert learn(work, now) < 1.1 * SERVICE_TIME_S


def test_request_without_an_end_leaves_the_others_right() -> None:
    """Its flow was removed from the table, and only the number of pending requests shows it."""
    work = LearnedWork()
    work.record_request((1, 9_999, *ROUTE), True, 1, 1, 0.5)
    now = serve(work, [SERVICE_TIME_S] * 20, 0.1)
    assert learn(work, now) == pytest.approx(SERVICE_TIME_S, rel=0.01)
    assert work.compute_slowness(lambda flow: False, now + 60.0) == pytest.approx(1.0)


def test_server_out_of_order_gives_no_wrong_service_time() -> None:
    work = LearnedWork()
    now = serve(work, [SERVICE_TIME_S] * 10, 0.1)
    first, second = (1, 20, *ROUTE), (1, 21, *ROUTE)
    work.record_request(first, True, 1, 1, now)
    work.record_request(second, True, 2, 1, now)
    assert work.record_end(second, True, 1, True, now + SERVICE_TIME_S) is None


def test_long_flows_are_told_from_short_ones() -> None:
    work = LearnedWork()
    flows = {(2, number, *ROUTE): Flow(0.0, 0.0, requests=8, answered=True) for number in range(5)}
    serve(work, [SERVICE_TIME_S] * 80, 0.25, flows=flows)
    (learned,) = work.list_learned()
    assert learned.requests_per_flow == 8
    assert learned.flows == 5
    # One slot is busy for a fifth of the time by five flows.
    assert 0.02 <= learned.busy_share <= 0.06


def test_number_of_routes_is_bounded_and_unused_ones_are_dropped() -> None:
    work = LearnedWork()
    for port in range(2 * ROUTES_LIMIT):
        now = serve(work, [SERVICE_TIME_S] * 5, 0.1, (SERVICE_ADDRESS, port))
    assert len(work.list_learned()) == ROUTES_LIMIT
    assert work.collect_report({}, now + 2 * WORK_RETENTION_S) == ()


def test_reports_name_the_work_every_two_seconds(cluster: Cluster) -> None:
    for number in range(12):
        cluster.open(build_flow(number), 1)
        cluster.request(build_flow(number), 1)
        cluster.run(0.1)
    cluster.run(3.0)
    agent = cluster.nodes[11]
    assert isinstance(agent, Agent)
    sizes: list[int] = []
    sizes_without: list[int] = []
    for number in range(40):
        for effect in agent.report_to_all(cluster.now + 0.25 * number)[:1]:
            assert isinstance(effect, SendNotice)
            assert isinstance(effect.body, Report)
            sizes.append(len(encode_notice(Notice("agent", 1, number, effect.body))))
            plain = agent.build_report(cluster.now + 0.25 * number)
            sizes_without.append(len(encode_notice(Notice("agent", 1, number, plain))))
    assert sum(one > other for one, other in zip(sizes, sizes_without, strict=True)) <= 6
    assert sum(sizes) <= 1.05 * sum(sizes_without)


def test_balancer_keeps_the_work_over_reports_without_it_and_a_restart(cluster: Cluster) -> None:
    for number in range(30):
        cluster.open(build_flow(number), 1)
        cluster.request(build_flow(number), 1)
        cluster.run(0.1)
    member = cluster.nodes[1].fleet.members["agent-11"]
    assert member.work[ROUTE].mean_s == pytest.approx(0.02, rel=0.2)
    cluster.add_agent(11, sequence=60)
    cluster.run(1.0)
    assert member.work[ROUTE].mean_s == pytest.approx(0.02, rel=0.2)

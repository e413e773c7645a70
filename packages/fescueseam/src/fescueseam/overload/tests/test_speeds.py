"""Servers that turn slow, slow by turns, or all slow at once.

Load pattern: short flows at half of what four servers of one slot can serve, one of which turns
five times slower for good, for a while or by turns, or fails by turns; a moment of slowness of all;
reports that are lost. Callers need their answers within 0.25 s.
"""

from collections.abc import Iterator
from functools import partial

import pytest
from attrs import define, evolve, field

from fescueseam.handshake.balancer import Balancer
from fescueseam.handshake.segments import FlowId
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
    build_segment,
)
from fescueseam.overload.placement import TRIAL_INTERVAL_OPENINGS
from fescueseam.overload.speeds import MAX_HOLD_S, ServerSpeeds

TARGET_S = 0.25
SERVICE_TIME_S = 0.05
SLOW_TIME_S = 5 * SERVICE_TIME_S
AGENTS = (11, 12, 13, 14)
RATE = 0.5 * len(AGENTS) / SERVICE_TIME_S


@define
class Callers:
    """Callers that open a flow for each request, at even intervals and both balancers in turn."""

    cluster: Cluster
    opened: int = 0
    late: list[float] = field(factory=list)
    """Opening times of the requests that were not answered within the target."""

    def run(self, duration_s: float) -> None:
        """Open flows for a time, and wait for the answers to the last."""
        for number in range(round(duration_s * RATE)):
            flow = build_flow(self.opened)
            self.opened += 1
            self.cluster.schedule(number / RATE, partial(self._open, flow, 1 + number % 2))
        self.cluster.run(duration_s)

    def _open(self, flow: FlowId, balancer: int) -> None:
        opened_at = self.cluster.now
        self.cluster.send(build_opening(flow), balancer)
        self.cluster.schedule(0.004, partial(self._request, flow, balancer, opened_at))
        self.cluster.schedule(TARGET_S, partial(self._check, flow, balancer, opened_at))

    def _request(self, flow: FlowId, balancer: int, opened_at: float) -> None:
        if self.cluster.answers[flow]:
            self.cluster.request(flow, balancer)
        elif self.cluster.now < opened_at + 2.0:
            self.cluster.schedule(0.004, partial(self._request, flow, balancer, opened_at))

    def _check(self, flow: FlowId, balancer: int, opened_at: float) -> None:
        if self.cluster.answers[flow] < 2:
            self.late.append(opened_at)
        self.cluster.send(build_segment(flow, sequence=1100, finishes=True), balancer)


@pytest.fixture
def callers() -> Iterator[Callers]:
    """Return callers of four servers with one slot, whose work was learned for five seconds."""
    cluster = Cluster()
    for address in (1, 2):
        cluster.add_balancer(address)
    for address in AGENTS:
        backend = FakeBackend(f"b{address}", 1, SERVICE_TIME_S, closes_flows=True)
        cluster.add_agent(address, backend)
    cluster.run(3.0)
    built = Callers(cluster)
    built.run(5.0)
    built.late.clear()
    yield built
    limit = max(1, len(AGENTS) // 3)
    assert all(len(list_aside(cluster, address)) <= limit for address in (1, 2))


def list_aside(cluster: Cluster, balancer: int) -> list[str]:
    """Return the agents that a balancer has set aside."""
    members = cluster.nodes[balancer].fleet.members.values()
    return [item.identity.name for item in members if item.slow_factor > 1.0]


def count_openings(cluster: Cluster, address: int, since: float) -> int:
    return sum(at >= since for at in cluster.backends[address].opening_times)


def test_server_that_turns_slow_costs_fewer_than_one_request_in_a_hundred(
    callers: Callers,
) -> None:
    cluster = callers.cluster
    cluster.backends[11].service_time_s = SLOW_TIME_S
    started_at = cluster.now
    callers.run(20.0)
    assert len(callers.late) < 0.01 * 20.0 * RATE
    assert list_aside(cluster, 1) == list_aside(cluster, 2) == ["agent-11"]
    # It gets few flows, but enough to notice its recovery.
    trials = count_openings(cluster, 11, started_at + 2.0)
    assert 1 <= trials <= 3 * 20.0 * RATE / TRIAL_INTERVAL_OPENINGS


def test_slow_server_is_noticed_within_a_second(callers: Callers) -> None:
    callers.cluster.backends[11].service_time_s = SLOW_TIME_S
    callers.run(1.0)
    assert "agent-11" in list_aside(callers.cluster, 1)


def test_recovered_server_gets_its_share_again(callers: Callers) -> None:
    cluster = callers.cluster
    cluster.backends[11].service_time_s = SLOW_TIME_S
    callers.run(10.0)
    cluster.backends[11].service_time_s = SERVICE_TIME_S
    callers.run(20.0)
    since = cluster.now
    callers.run(10.0)
    assert list_aside(cluster, 1) == []
    assert count_openings(cluster, 11, since) >= 0.5 * 10.0 * RATE / len(AGENTS)


def test_server_that_is_slow_by_turns_is_not_used_by_turns(callers: Callers) -> None:
    cluster = callers.cluster
    for _ in range(10):
        cluster.backends[11].service_time_s = SLOW_TIME_S
        callers.run(2.0)
        cluster.backends[11].service_time_s = SERVICE_TIME_S
        callers.run(2.0)
    assert len(callers.late) < 0.02 * 40.0 * RATE
    # Each return to use takes longer than the last.
    assert cluster.count_events("server-restored") / 2 <= 40.0 / MAX_HOLD_S + 3


@pytest.mark.parametrize("way", ["ends_unanswered", "hangs"])
def test_server_that_fails_by_turns_costs_few_requests(callers: Callers, way: str) -> None:
    cluster = callers.cluster
    for _ in range(6):
        setattr(cluster.backends[11], way, True)
        callers.run(3.0)
        setattr(cluster.backends[11], way, False)
        callers.run(3.0)
    unanswered = cluster.count_events("request-unanswered")
    assert len(callers.late) + unanswered < 0.02 * 36.0 * RATE


def test_general_slowness_sets_nobody_aside_for_long(callers: Callers) -> None:
    cluster = callers.cluster
    for address in AGENTS:
        cluster.backends[address].service_time_s = 1.8 * SERVICE_TIME_S
    callers.run(4.0)
    for address in AGENTS:
        cluster.backends[address].service_time_s = 2.5 * SERVICE_TIME_S
    callers.run(4.0)
    assert max(len(list_aside(cluster, address)) for address in (1, 2)) <= 1
    callers.run(4.0)
    assert list_aside(cluster, 1) == list_aside(cluster, 2) == []


def test_lost_reports_delay_the_notice_and_nothing_else(callers: Callers) -> None:
    cluster = callers.cluster
    cluster.backends[11].service_time_s = SLOW_TIME_S
    cluster.lost_reports.add((11, 1))
    callers.run(0.6)
    assert list_aside(cluster, 1) == []
    cluster.lost_reports.clear()
    callers.run(1.0)
    assert list_aside(cluster, 1) == ["agent-11"]


def test_restarted_agent_beside_a_slow_server_is_told_by_its_peers(callers: Callers) -> None:
    cluster = callers.cluster
    cluster.backends[11].service_time_s = SLOW_TIME_S
    callers.run(3.0)
    cluster.add_agent(11, sequence=90)
    callers.run(20.0)
    assert len(callers.late) < 0.015 * 23.0 * RATE
    assert list_aside(cluster, 1) == ["agent-11"]


def test_restarted_balancer_sets_the_slow_server_aside_again(callers: Callers) -> None:
    cluster = callers.cluster
    cluster.backends[11].service_time_s = SLOW_TIME_S
    callers.run(3.0)
    assert isinstance(cluster.add_balancer(1), Balancer)
    cluster.run(2.0)
    callers.run(5.0)
    assert list_aside(cluster, 1) == ["agent-11"]


def test_general_slowness_is_compared_once_for_each_server_that_turns_slow() -> None:
    cluster = Cluster()
    balancer = cluster.add_balancer(1)
    for address in range(11, 31):
        cluster.add_agent(address)
    cluster.run(1.0)
    members = balancer.fleet.list_agents((ALERTS,))
    for member in members:
        member.load = evolve(member.load, slowness=3.0)
    compared = []
    compare = balancer.speeds._compare
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            ServerSpeeds, "_compare", lambda *args: compared.append(1) or compare(*args[1:])
        )
        for step in range(4):
            for member in members:
                balancer.handle_agent_report(member.identity.name, cluster.now + 0.01 * step)
    assert len(compared) <= len(members) + 1

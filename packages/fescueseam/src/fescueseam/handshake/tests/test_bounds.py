"""Limits of the queues and tables that no load pattern of another module reaches."""

import pytest

from fescueseam.exceptions import MessageError
from fescueseam.handshake import finder, notice_guard
from fescueseam.handshake.denials import DENIALS_LIMIT, DENIALS_RETENTION_S, DenialCache
from fescueseam.handshake.flows import FLOWS_LIMIT, FlowTable
from fescueseam.handshake.notice_guard import TRACKED_INCARNATIONS, NoticeGuard
from fescueseam.handshake.openings import OVERFLOW_REQUESTS_PER_SLOT
from fescueseam.handshake.searches import BUFFERED_SEGMENTS_LIMIT
from fescueseam.handshake.tests.conftest import (
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
    build_segment,
)


def test_packets_of_further_searches_are_dropped(
    cluster: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(finder, "SEARCHES_LIMIT", 5)
    for number in range(8):
        cluster.request(build_flow(number), 1)
    cluster.run(0.002)
    assert len(cluster.nodes[1].searches) == 5
    reasons = [item.fields["reason"] for item in cluster.events if item.event == "packet-dropped"]
    assert reasons == ["searches-full"] * 3


def test_packets_of_one_search_are_bounded(cluster: Cluster) -> None:
    balancer, flow = cluster.nodes[1], build_flow(0)
    for part in range(2 * BUFFERED_SEGMENTS_LIMIT):
        segment = build_segment(flow, sequence=1000 + part, data_bytes=100)
        balancer.handle_packet(segment, cluster.now)
    assert len(balancer.searches[flow].segments) == BUFFERED_SEGMENTS_LIMIT
    assert balancer.finder.buffered_segments == BUFFERED_SEGMENTS_LIMIT


def test_denials_of_the_oldest_flows_are_dropped() -> None:
    denials, agents = DenialCache(), frozenset({"agent-1"})
    for number in range(DENIALS_LIMIT + 1):
        denials.record(build_flow(number), agents, 1000, 1.0)
    assert denials.find(build_flow(0), 1000, 1.0) == frozenset()
    assert denials.find(build_flow(1), 1000, 1.0) == agents
    assert denials.find(build_flow(2), 1000, 1.0 + DENIALS_RETENTION_S) == frozenset()


def test_flow_table_drops_the_least_recently_used_flow() -> None:
    table = FlowTable()
    for number in range(FLOWS_LIMIT + 1):
        table.add((number, 1, 2, 3), float(number))
    assert len(table.flows) == FLOWS_LIMIT
    assert table.find((0, 1, 2, 3)) is None


def test_agent_queues_a_limited_number_of_requests() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    cluster.add_agent(11, FakeBackend("slow", slots=1, service_time_s=60.0))
    cluster.run(3.0)
    for number in range(3 * OVERFLOW_REQUESTS_PER_SLOT):
        flow = build_flow(number)
        cluster.send(build_opening(flow), 1)
        cluster.run(0.005)
        if flow in cluster.backends[11].flows:
            cluster.request(flow, 1)
        cluster.run(0.005)
    assert cluster.backends[11].peak_busy == OVERFLOW_REQUESTS_PER_SLOT


def test_senders_and_starts_of_notices_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(notice_guard, "MAX_TRACKED_SENDERS", 10)
    guard = NoticeGuard()
    for number in range(20):
        for incarnation in range(1, 3 * TRACKED_INCARNATIONS):
            guard.check(f"agent-{number}", incarnation, 1)
    assert len(guard._senders) == 10
    assert {len(state.windows) for state in guard._senders.values()} == {TRACKED_INCARNATIONS}
    with pytest.raises(MessageError):
        guard.check("agent-19", 3 * TRACKED_INCARNATIONS - 1, 1)

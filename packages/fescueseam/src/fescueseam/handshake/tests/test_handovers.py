"""Flows that two balancers handle at the same moment.

Load pattern: balancers start and stop, so that copies of one packet reach two of them.
"""

import pytest

from fescueseam.handshake.tests.conftest import (
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
    build_segment,
)

FLOW = build_flow(0)
AGENTS = (11, 12)


@pytest.fixture
def placed_twice(cluster: Cluster) -> Cluster:
    """Return a cluster in which two balancers have offered one opening to two servers."""
    for address in (11, 12, 13):
        cluster.backends[address].sequences[FLOW] = 1000 * address
    for balancer, agent in zip((1, 2), AGENTS, strict=True):
        for member in cluster.nodes[balancer].fleet.members.values():
            if member.identity.address != agent:
                member.excluded_until = cluster.now + 1.0
        cluster.send(build_opening(FLOW), balancer)
    cluster.run(0.02)
    assert [len(cluster.backends[agent].opening_times) for agent in AGENTS] == [1, 1]
    return cluster


@pytest.mark.parametrize("balancer", [1, 2])
@pytest.mark.parametrize("opened_at", AGENTS)
def test_only_the_server_that_the_caller_acknowledged_runs_the_request(
    placed_twice: Cluster, balancer: int, opened_at: int
) -> None:
    cluster = placed_twice
    request = build_segment(FLOW, data_bytes=100, acknowledgement=1000 * opened_at)
    cluster.send(request, balancer)
    cluster.run(0.3)
    assert {agent: cluster.backends[agent].served for agent in AGENTS} == {
        agent: int(agent == opened_at) for agent in AGENTS
    }
    assert cluster.resets == []


def test_handover_test_notices_a_server_that_takes_any_handshake(
    placed_twice: Cluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(FakeBackend, "accepts", lambda backend, flow, segment: True)
    placed_twice.send(build_segment(FLOW, data_bytes=100, acknowledgement=11_000), 2)
    placed_twice.run(0.3)
    assert placed_twice.backends[12].served == 1


def test_request_is_not_run_again_when_its_answer_is_lost(placed_twice: Cluster) -> None:
    cluster = placed_twice
    request = build_segment(FLOW, data_bytes=100, acknowledgement=11_000)
    cluster.send(request, 1)
    cluster.run(0.1)
    assert cluster.backends[11].served == 1
    backend_flows = [dict(cluster.backends[agent].flows) for agent in AGENTS]
    # The balancer that knows the flow is lost; the caller sends the data again through the other.
    cluster.disconnected.add(1)
    cluster.send(request, 2)
    cluster.run(0.5)
    assert backend_flows[0] == {FLOW: True}
    assert cluster.backends[12].served == 0
    assert not cluster.backends[12].flows.get(FLOW)
    assert cluster.resets == []

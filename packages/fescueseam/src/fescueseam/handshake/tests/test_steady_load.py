"""Load pattern: a calm fleet, where each opening is delivered within milliseconds.

What a process does between packets then is all that it costs, so it has to stay idle.
"""

from attrs import evolve

from fescueseam.handshake.openings import DELIVERED_RETENTION_S
from fescueseam.handshake.segments import Purpose
from fescueseam.handshake.tests.conftest import Cluster, build_flow, build_opening


def test_balancer_has_no_pending_work_once_an_opening_is_delivered(cluster: Cluster) -> None:
    balancer = cluster.nodes[1]
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(0.01)
    assert build_flow(0) in balancer.offered
    assert not balancer.has_pending_work()


def test_delivered_opening_is_forgotten_after_its_retention_time(cluster: Cluster) -> None:
    balancer = cluster.nodes[1]
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(0.01)
    balancer.offered.expire(cluster.now + DELIVERED_RETENTION_S)
    assert len(balancer.offered) == 0


def test_delivered_opening_that_is_returned_is_offered_elsewhere(cluster: Cluster) -> None:
    balancer, flow = cluster.nodes[1], build_flow(0)
    cluster.send(build_opening(flow), 1)
    cluster.run(0.01)
    opening = balancer.offered.find(flow)
    assert opening is not None
    agent = balancer.fleet.members[opening.agent].identity.address
    mark = evolve(opening.segment.mark, purpose=Purpose.NOT_ADMITTING)
    segment = evolve(opening.segment, returned=True, mark=mark)
    cluster.execute(1, balancer.handle_returned_packet(segment, agent, cluster.now))
    assert balancer.has_pending_work()
    cluster.run(0.01)
    openings = [len(cluster.backends[address].opening_times) for address in (11, 12, 13)]
    assert sorted(openings) == [0, 1, 1]

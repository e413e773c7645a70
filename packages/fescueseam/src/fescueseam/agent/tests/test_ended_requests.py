"""A request that has run must not be refused: a refusal states that it has not run."""

from fescueseam.agent.tests.conftest import REQUEST_PORT, Cluster, build_packet

SLOTS = 8


def test_delayed_copy_of_an_ended_request_is_not_refused(cluster: Cluster) -> None:
    cluster.send(build_packet(REQUEST_PORT, 0))
    name, flow = cluster.opened[0]
    cluster.close_flow(name, flow)
    for number in range(1, SLOTS + 1):
        cluster.send(build_packet(REQUEST_PORT, number))
    assert len(cluster.opened) == SLOTS + 1
    for _ in range(3):
        cluster.send(build_packet(REQUEST_PORT, 0))
        cluster.advance(2.0)
    assert not cluster.refused

"""Test that work which has run is never said not to have run."""

from fescueseam.agent.tests.conftest import REQUEST_PORT, Cluster, build_packet

SLOTS = 8


def test_late_copy_of_an_ended_request_is_not_refused(cluster: Cluster) -> None:
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

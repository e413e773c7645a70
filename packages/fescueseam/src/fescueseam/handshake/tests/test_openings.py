"""Where new flows go, and when they are refused."""

from fescueseam.handshake.agent import OPENING_ANSWER_TIMEOUT_S
from fescueseam.handshake.balancer import STARTUP_GRACE_S
from fescueseam.handshake.members import Availability
from fescueseam.handshake.openings import OFFER_TIMEOUT_S
from fescueseam.handshake.rules import Outage, Route, RouteShare, Rules
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    INTAKE,
    SERVICE_ADDRESS,
    SERVICE_PORT,
    Cluster,
    build_flow,
    build_opening,
)


def count_openings(cluster: Cluster, address: int) -> int:
    return len(cluster.backends[address].opening_times)


def offer_flows(cluster: Cluster, count: int, gap_s: float = 0.02, first: int = 0) -> None:
    for number in range(first, first + count):
        cluster.send(build_opening(build_flow(number)), 1)
        cluster.run(gap_s)


def test_a_draining_server_gets_no_new_flow(cluster: Cluster) -> None:
    cluster.start_heartbeats(11, 50, availability=Availability.DRAINING)
    offer_flows(cluster, 20)
    assert count_openings(cluster, 11) == 0


def test_a_draining_server_gets_no_flow_from_a_balancer_that_has_not_heard(
    cluster: Cluster,
) -> None:
    agent = cluster.nodes[11]
    agent.backend.availability = Availability.DRAINING
    offer_flows(cluster, 20, gap_s=0.005)
    assert count_openings(cluster, 11) == 0
    assert cluster.resets == []


def test_a_data_centre_that_is_out_gets_no_new_flow(cluster: Cluster) -> None:
    cluster.add_agent(21, data_centre="b")
    cluster.run(1.0)
    cluster.nodes[1].configuration.update_outage(Outage(7, frozenset({"a"})))
    offer_flows(cluster, 20)
    assert [count_openings(cluster, address) for address in (11, 12, 13)] == [0, 0, 0]
    assert count_openings(cluster, 21) == 20


def test_agents_of_a_data_centre_that_is_out_admit_nothing_by_themselves(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].outage = Outage(7, frozenset({"a"}))
    offer_flows(cluster, 3)
    assert [count_openings(cluster, address) for address in (11, 12, 13)] == [0, 0, 0]
    assert len(cluster.resets) == 3


def test_a_cold_server_gets_no_more_openings_than_it_bears(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.start_heartbeats(address, 50, cold_left_s=5.0)
    offer_flows(cluster, 100, gap_s=0.02)
    for address in (11, 12, 13):
        times = cluster.backends[address].opening_times
        for start in times:
            assert sum(1 for time in times if start <= time < start + 1.0) <= 4


def test_an_agent_without_rules_bounds_a_cold_server(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].rules_version = 0
        cluster.start_heartbeats(address, 50, cold_left_s=5.0)
    cluster.nodes.pop(2)
    for _ in range(20):
        effects = cluster.nodes[11]._find_return_reason(0, cluster.now)
        if not effects:
            cluster.nodes[11].backend.cold_start.record_opening(cluster.now)
        cluster.run(0.01)
    assert cluster.nodes[11]._find_return_reason(0, cluster.now) == "cold"


def test_a_busy_server_passes_a_flow_to_a_free_one(cluster: Cluster) -> None:
    cluster.nodes[11].flows.busy = 2
    cluster.nodes[12].flows.busy = 2
    offer_flows(cluster, 2)
    assert count_openings(cluster, 13) == 2


def test_a_flow_waits_at_a_server_when_all_are_busy(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].flows.busy = 3
    offer_flows(cluster, 1)
    assert sum(count_openings(cluster, address) for address in (11, 12, 13)) == 1
    assert cluster.resets == []


def test_a_flow_is_refused_at_once_when_the_wait_is_too_long(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].flows.busy = 100
    offer_flows(cluster, 1, gap_s=0.05)
    assert cluster.resets == [build_flow(0)]
    assert sum(count_openings(cluster, address) for address in (11, 12, 13)) == 0


def test_a_flow_is_offered_elsewhere_when_an_agent_is_dead(cluster: Cluster) -> None:
    cluster.disconnected |= {11, 12}
    offer_flows(cluster, 1)
    cluster.run(2 * OFFER_TIMEOUT_S + 0.06)
    assert count_openings(cluster, 13) == 1


def test_a_flow_is_offered_elsewhere_when_a_server_does_not_answer(cluster: Cluster) -> None:
    for address in (11, 12):
        cluster.backends[address].alive = False
    offer_flows(cluster, 1)
    cluster.run(2 * OPENING_ANSWER_TIMEOUT_S + 0.06)
    assert count_openings(cluster, 13) == 1


def test_a_server_that_does_not_answer_gets_no_flow_until_it_reports(cluster: Cluster) -> None:
    cluster.backends[11].alive = False
    offer_flows(cluster, 20)
    assert cluster.count_events("opening-unanswered") <= 3


def test_a_server_that_returns_openings_is_passed_over(cluster: Cluster) -> None:
    cluster.backends[11].accepts_openings = cluster.backends[12].accepts_openings = False
    offer_flows(cluster, 5)
    assert count_openings(cluster, 13) == 5


def test_a_flow_without_route_is_refused(cluster: Cluster) -> None:
    flow = (*build_flow(0)[:3], 999)
    cluster.send(build_opening(flow), 1)
    cluster.run(0.05)
    assert cluster.resets == [flow]


def test_a_balancer_without_rules_refuses_nothing(cluster: Cluster) -> None:
    cluster.rules = Rules()
    balancer = cluster.add_balancer(3)
    cluster.send(build_opening(build_flow(0)), 3)
    cluster.run(0.05)
    assert balancer.configuration.rules.version == 0
    assert cluster.resets == []


def test_a_balancer_that_has_just_started_refuses_nothing_for_want_of_agents() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(0.05)
    assert cluster.resets == []
    cluster.run(STARTUP_GRACE_S)
    cluster.send(build_opening(build_flow(1)), 1)
    cluster.run(0.05)
    assert cluster.resets == [build_flow(1)]


def test_an_older_configuration_is_not_taken(cluster: Cluster) -> None:
    configuration = cluster.nodes[1].configuration
    assert configuration.update_rules(Rules(5))
    assert not configuration.update_rules(Rules(4))
    assert configuration.rules.version == 5


def test_a_split_route_deals_flows_by_weight(cluster: Cluster) -> None:
    shares = (RouteShare(ALERTS, 90), RouteShare(INTAKE, 10))
    configuration = cluster.nodes[1].configuration
    configuration.update_rules(Rules(2, (Route("r", SERVICE_ADDRESS, SERVICE_PORT, shares),)))
    dealt = [configuration.choose_service(build_flow(number)) for number in range(1000)]
    assert 850 <= dealt.count(ALERTS) <= 950
    assert dealt == [configuration.choose_service(build_flow(number)) for number in range(1000)]


def test_a_leaving_agent_is_offered_no_flow(cluster: Cluster) -> None:
    cluster.carry_out(11, cluster.nodes[11].leave(cluster.now))
    cluster.run(0.01)
    offer_flows(cluster, 10)
    assert count_openings(cluster, 11) == 0
    reasons = {note.fields["reason"] for note in cluster.events if note.event == "opening-returned"}
    assert "agent-leaving" not in reasons


def test_a_balancer_that_does_not_know_the_outage_offers_nothing(cluster: Cluster) -> None:
    balancer = cluster.add_balancer(3)
    balancer.configuration.outage = Outage()
    cluster.run(0.3)
    cluster.send(build_opening(build_flow(0)), 3)
    cluster.run(0.1)
    assert cluster.count_events("flow-offered") == 0
    assert cluster.resets == []
    balancer.configuration.update_outage(Outage(9, frozenset({"b"})))
    cluster.run(0.1)
    assert cluster.count_events("flow-offered") == 1


def test_a_copy_of_an_opening_is_tried_elsewhere_as_soon_as_it_is_returned(
    cluster: Cluster,
) -> None:
    for address in (11, 12, 13):
        cluster.add_agent(address, sequence=9)
    cluster.run(0.3)
    for address in (11, 12):
        cluster.nodes[address].leaving = True
    cluster.send(build_opening(build_flow(0), attempt=1), 1)
    cluster.run(0.03)
    assert count_openings(cluster, 13) == 1

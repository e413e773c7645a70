"""Placement and refusal of new flows.

Load pattern: an instance is lost in a large fleet, where its last report stays valid for seconds.
"""

import math

from fescueseam.handshake.member import Availability, Identity, Role
from fescueseam.handshake.opening_placement import STARTUP_GRACE_S
from fescueseam.handshake.openings import OFFER_TIMEOUT_S, OPENING_ANSWER_TIMEOUT_S
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


def test_draining_backend_gets_no_new_flow(cluster: Cluster) -> None:
    cluster.start_heartbeats(11, 50, availability=Availability.DRAINING)
    offer_flows(cluster, 20)
    assert count_openings(cluster, 11) == 0


def test_draining_backend_gets_no_flow_from_a_balancer_with_a_stale_report(
    cluster: Cluster,
) -> None:
    agent = cluster.nodes[11]
    agent.backend.availability = Availability.DRAINING
    offer_flows(cluster, 20, gap_s=0.005)
    assert count_openings(cluster, 11) == 0
    assert cluster.resets == []


def test_data_centre_out_gets_no_new_flow(cluster: Cluster) -> None:
    cluster.add_agent(21, data_centre="b")
    cluster.run(1.0)
    cluster.nodes[1].configuration.update_outage(Outage(7, frozenset({"a"})))
    offer_flows(cluster, 20)
    assert [count_openings(cluster, address) for address in (11, 12, 13)] == [0, 0, 0]
    assert count_openings(cluster, 21) == 20


def test_agents_of_a_data_centre_out_reject_openings(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].admission.outage = Outage(7, frozenset({"a"}))
    offer_flows(cluster, 3)
    assert [count_openings(cluster, address) for address in (11, 12, 13)] == [0, 0, 0]
    assert len(cluster.resets) == 3


def test_cold_backend_gets_openings_at_a_bounded_rate(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.start_heartbeats(address, 50, cold_left_s=5.0)
    offer_flows(cluster, 100, gap_s=0.02)
    for address in (11, 12, 13):
        times = cluster.backends[address].opening_times
        for start in times:
            assert sum(1 for time in times if start <= time < start + 1.0) <= 4


def test_agent_without_rules_bounds_the_openings_of_a_cold_backend(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].admission.rules_version = 0
        cluster.start_heartbeats(address, 50, cold_left_s=5.0)
    cluster.nodes.pop(2)
    for _ in range(20):
        reason = cluster.nodes[11].admission.find_return_reason(0, cluster.now)
        if not reason:
            cluster.nodes[11].backend.cold_start.record_opening(cluster.now)
        cluster.run(0.01)
    assert cluster.nodes[11].admission.find_return_reason(0, cluster.now) == "cold"


def test_flow_goes_past_busy_backends_to_a_free_one(cluster: Cluster) -> None:
    cluster.nodes[11].flows.busy = 2
    cluster.nodes[12].flows.busy = 2
    offer_flows(cluster, 2)
    assert count_openings(cluster, 13) == 2


def test_flow_is_queued_at_one_backend_if_all_are_busy(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].flows.busy = 3
    offer_flows(cluster, 1)
    assert sum(count_openings(cluster, address) for address in (11, 12, 13)) == 1
    assert cluster.resets == []


def test_flow_is_refused_at_once_if_every_queue_is_too_long(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].flows.busy = 100
    offer_flows(cluster, 1, gap_s=0.05)
    assert cluster.resets == [build_flow(0)]
    assert sum(count_openings(cluster, address) for address in (11, 12, 13)) == 0


def test_flow_is_offered_elsewhere_if_agents_are_dead(cluster: Cluster) -> None:
    cluster.disconnected |= {11, 12}
    offer_flows(cluster, 1)
    cluster.run(2 * OFFER_TIMEOUT_S + 0.06)
    assert count_openings(cluster, 13) == 1


def test_lost_agent_of_a_large_fleet_is_offered_few_flows(cluster: Cluster) -> None:
    balancer = cluster.nodes[1]
    for number in range(30):
        listed = Identity(f"balancer-{500 + number}", Role.BALANCER, 500 + number, "a")
        balancer.fleet.add_listed(listed, cluster.now)
    assert balancer.fleet.compute_report_timeout(balancer.fleet.members["agent-11"]) > 3.0
    cluster.disconnected.add(11)
    gap_s = 0.02
    offer_flows(cluster, round(2.9 / gap_s), gap_s)
    offers = [item.fields["agent"] for item in cluster.events if item.event == "flow-offered"]
    assert offers.count("agent-11") <= math.ceil(OFFER_TIMEOUT_S / gap_s) + 1
    cluster.disconnected.clear()
    cluster.run(0.5)
    offer_flows(cluster, 20, first=1000)
    assert count_openings(cluster, 11) > 0


def test_flow_is_offered_elsewhere_if_backends_do_not_answer(cluster: Cluster) -> None:
    for address in (11, 12):
        cluster.backends[address].alive = False
    offer_flows(cluster, 1)
    cluster.run(2 * OPENING_ANSWER_TIMEOUT_S + 0.06)
    assert count_openings(cluster, 13) == 1


def test_backend_that_does_not_answer_is_sent_few_openings(cluster: Cluster) -> None:
    cluster.backends[11].alive = False
    offer_flows(cluster, 20)
    assert cluster.count_events("opening-unanswered") <= 3


def test_backend_that_returns_openings_is_passed_over(cluster: Cluster) -> None:
    cluster.backends[11].accepts_openings = cluster.backends[12].accepts_openings = False
    offer_flows(cluster, 5)
    assert count_openings(cluster, 13) == 5


def test_flow_without_a_route_is_refused(cluster: Cluster) -> None:
    flow = (*build_flow(0)[:3], 999)
    cluster.send(build_opening(flow), 1)
    cluster.run(0.05)
    assert cluster.resets == [flow]


def test_balancer_without_rules_refuses_nothing(cluster: Cluster) -> None:
    cluster.rules = Rules()
    balancer = cluster.add_balancer(3)
    cluster.send(build_opening(build_flow(0)), 3)
    cluster.run(0.05)
    assert balancer.configuration.rules.version == 0
    assert cluster.resets == []


def test_balancer_without_agents_refuses_nothing_right_after_its_start() -> None:
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
    assert configuration.update_rules(Rules(5), 0.0)
    assert not configuration.update_rules(Rules(4), 0.0)
    assert configuration.rules.version == 5


def test_split_route_distributes_flows_by_weight(cluster: Cluster) -> None:
    shares = (RouteShare(ALERTS, 90), RouteShare(INTAKE, 10))
    configuration = cluster.nodes[1].configuration
    configuration.update_rules(Rules(2, (Route("r", SERVICE_ADDRESS, SERVICE_PORT, shares),)), 0.0)
    services = [configuration.choose_service(build_flow(number)) for number in range(1000)]
    assert 850 <= services.count(ALERTS) <= 950
    assert services == [configuration.choose_service(build_flow(number)) for number in range(1000)]


def test_leaving_agent_is_offered_no_flow(cluster: Cluster) -> None:
    cluster.execute(11, cluster.nodes[11].start_shutdown(cluster.now))
    cluster.run(0.01)
    offer_flows(cluster, 10)
    assert count_openings(cluster, 11) == 0
    reasons = {item.fields["reason"] for item in cluster.events if item.event == "opening-returned"}
    assert "agent-leaving" not in reasons


def test_balancer_offers_nothing_until_it_knows_the_outage(cluster: Cluster) -> None:
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


def test_retransmitted_opening_is_offered_elsewhere_as_soon_as_it_is_returned(
    cluster: Cluster,
) -> None:
    for address in (11, 12, 13):
        cluster.add_agent(address, sequence=9)
    cluster.run(0.3)
    for address in (11, 12):
        cluster.nodes[address].admission.leaving = True
    cluster.send(build_opening(build_flow(0), attempt=1), 1)
    cluster.run(0.03)
    assert count_openings(cluster, 13) == 1

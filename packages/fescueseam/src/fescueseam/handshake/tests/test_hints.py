"""Load pattern: flows move between balancers, of which some know their homes and some do not."""

from fescueseam.handshake.hints import MIN_SHARE_FOUND, RARE_ASK_PERIOD, HintStatistics
from fescueseam.handshake.tests.conftest import Cluster, build_flow

SEARCHES = 200


def count_questions_to_balancers(cluster: Cluster) -> int:
    return sum(receiver < 10 for _, receiver in cluster.locate_requests)


def test_neighbours_that_know_no_home_are_asked_seldom() -> None:
    cluster = Cluster()
    for address in range(1, 6):
        cluster.add_balancer(address)
    for address in (11, 12, 13):
        cluster.add_agent(address)
    cluster.run(1.0)
    for number in range(SEARCHES):
        cluster.request(build_flow(number), 1)
        cluster.run(0.02)
    assert len(cluster.resets) == SEARCHES
    assert count_questions_to_balancers(cluster) <= 4 * (30 + SEARCHES / RARE_ASK_PERIOD)


def test_neighbours_that_know_homes_again_are_asked_again(cluster: Cluster) -> None:
    balancer = cluster.nodes[1]
    balancer.finder.hints.share_found = 0.0
    flows = [build_flow(number) for number in range(4 * RARE_ASK_PERIOD)]
    for flow in flows:
        cluster.open(flow, 2)
    for flow in flows:
        cluster.request(flow, 1)
        cluster.run(0.02)
    assert balancer.finder.hints.share_found >= MIN_SHARE_FOUND
    assert cluster.resets == []


def test_statistics_ask_in_each_search_at_first() -> None:
    statistics = HintStatistics()
    assert all(statistics.should_ask() for _ in range(20))

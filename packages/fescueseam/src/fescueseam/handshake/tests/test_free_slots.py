"""Load pattern: the backlog after an outage keeps every slot of a service busy for seconds.

Asking many agents in vain for each opening then takes the processors of balancers and agents.
"""

import pytest

from fescueseam.handshake.free_slots import (
    FREE_SLOT_OFFERS_LIMIT,
    FULL_SEARCH_PERIOD,
    OVERLOAD_OFFERS_LIMIT,
    FreeSlotSearches,
)
from fescueseam.handshake.tests.conftest import ALERTS, INTAKE, Cluster, build_flow, build_opening

AGENTS = tuple(range(11, 35))
OPENINGS = 300


@pytest.fixture
def busy_cluster() -> Cluster:
    """Return a balancer and many agents whose slots are all busy, below the limit of queues."""
    built = Cluster()
    built.add_balancer(1)
    for address in AGENTS:
        built.add_agent(address)
    built.run(3.0)
    set_busy(built, 2)
    return built


def set_busy(cluster: Cluster, busy: int) -> None:
    for address in AGENTS:
        cluster.nodes[address].flows.busy = busy


def open_flows(cluster: Cluster, first: int) -> float:
    """Open flows one after the other; return the offers for each."""
    before = cluster.count_events("flow-offered")
    for number in range(first, first + OPENINGS):
        cluster.send(build_opening(build_flow(number)), 1)
        cluster.run(0.02)
    return (cluster.count_events("flow-offered") - before) / OPENINGS


def test_few_agents_are_asked_in_vain_while_every_slot_is_busy(busy_cluster: Cluster) -> None:
    assert open_flows(busy_cluster, 0) <= 4.0
    assert open_flows(busy_cluster, OPENINGS) <= 3.0
    assert busy_cluster.resets == []


def test_free_slots_are_found_again_after_an_overload(busy_cluster: Cluster) -> None:
    open_flows(busy_cluster, 0)
    # One agent in three has a free slot again.
    set_busy(busy_cluster, 2)
    for address in AGENTS[::3]:
        busy_cluster.nodes[address].flows.busy = 0
    open_flows(busy_cluster, OPENINGS)
    before = len(busy_cluster.events)
    open_flows(busy_cluster, 2 * OPENINGS)
    offers = [item for item in busy_cluster.events[before:] if item.event == "flow-offered"]
    queued = sum(item.fields["insists"] for item in offers)
    assert queued <= 0.1 * OPENINGS


def test_overload_of_one_service_does_not_limit_another() -> None:
    searches = FreeSlotSearches()
    for _ in range(100):
        searches.record(ALERTS, FREE_SLOT_OFFERS_LIMIT, found=False)
    limits = [searches.choose_limit(ALERTS) for _ in range(2 * FULL_SEARCH_PERIOD)]
    assert limits.count(FREE_SLOT_OFFERS_LIMIT) == 2
    assert limits.count(OVERLOAD_OFFERS_LIMIT) == len(limits) - 2
    assert searches.choose_limit(INTAKE) == FREE_SLOT_OFFERS_LIMIT


def test_search_that_asks_one_agent_does_not_prolong_the_overload() -> None:
    searches = FreeSlotSearches()
    for _ in range(100):
        searches.record(ALERTS, FREE_SLOT_OFFERS_LIMIT, found=False)
    for _ in range(10):
        searches.record(ALERTS, OVERLOAD_OFFERS_LIMIT, found=False)
        searches.record(ALERTS, FREE_SLOT_OFFERS_LIMIT, found=True)
    assert searches.choose_limit(ALERTS) == FREE_SLOT_OFFERS_LIMIT

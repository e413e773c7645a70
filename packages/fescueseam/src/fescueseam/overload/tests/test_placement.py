"""Placement of long and short flows on servers of uneven speeds.

Load pattern: callers that open one flow for many requests, with pauses, at three servers of speeds
0.7, 0.7 and 1.7; short flows beside such long ones; servers of which nothing is learned.
"""

import random
from functools import partial

import pytest

from fescueseam.handshake.choice import choose_agent, estimate_delay
from fescueseam.handshake.member import Availability, Identity, Load, Member, Role, RouteWork
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.rules import ActiveConfiguration, Outage
from fescueseam.handshake.segments import FlowId
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    RULES,
    SERVICE_ADDRESS,
    SERVICE_PORT,
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
)
from fescueseam.overload.placement import compute_typical_work

ROUTE = (SERVICE_ADDRESS, SERVICE_PORT)
OTHER_ROUTE = (SERVICE_ADDRESS, 8443)
SPEEDS = {11: 0.7, 12: 0.7, 13: 1.7}
SERVICE_TIME_S = 0.03


@pytest.fixture
def configuration() -> ActiveConfiguration:
    """Return a configuration with all data centres in use."""
    configuration = ActiveConfiguration()
    configuration.update_rules(RULES, 0.0)
    configuration.update_outage(Outage(1))
    return configuration


def keep_requesting(
    cluster: Cluster, flow: FlowId, balancer: int, pause_s: float, number: int = 0
) -> None:
    """Send a request on an open flow now and after each pause."""
    if cluster.answers[flow]:
        cluster.request(flow, balancer, 1000 + 100 * number)
    again = partial(keep_requesting, cluster, flow, balancer, pause_s, number + 1)
    cluster.schedule(pause_s * (1 + flow[1] % 7 * 0.2), again)


def open_long_flows(
    cluster: Cluster, first: int, count: int, interval_s: float, pause_s: float
) -> None:
    """Open flows at both balancers in turn, each with requests until the end."""
    for number in range(first, first + count):
        flow, balancer = build_flow(number), 1 + number % 2
        cluster.send(build_opening(flow), balancer)
        cluster.schedule(0.05, partial(keep_requesting, cluster, flow, balancer, pause_s))
        cluster.run(interval_s)


def count_flows(cluster: Cluster) -> dict[int, int]:
    return {address: sum(item.flows.values()) for address, item in cluster.backends.items()}


@pytest.mark.parametrize(("loses_reports", "pause_s"), [(False, 0.5), (True, 0.5), (False, 1.5)])
def test_long_flows_are_shared_out_by_speed(loses_reports: bool, pause_s: float) -> None:
    cluster = Cluster()
    for address in (1, 2):
        cluster.add_balancer(address)
    for address, speed in SPEEDS.items():
        cluster.add_agent(address, FakeBackend(f"b{address}", 1, SERVICE_TIME_S / speed))
    cluster.run(3.0)
    open_long_flows(cluster, 0, 12, 0.4, pause_s)
    cluster.run(5.0)
    for number in range(8):
        # Half a second without reports comes again and again.
        cluster.lost_reports = {(11, 1), (13, 1)} if loses_reports and number % 2 else set()
        open_long_flows(cluster, 12 + 6 * number, 6, 0.1, pause_s)
        cluster.run(0.5)
    flows = count_flows(cluster)
    assert sum(flows.values()) == 60
    assert flows[13] / ((flows[11] + flows[12]) / 2) == pytest.approx(1.7 / 0.7, rel=0.25)


def build_fleet(loads: dict[str, Load]) -> Fleet:
    """Return the fleet of a balancer in "a" that has compared the learned work."""
    fleet = Fleet(Identity("balancer", Role.BALANCER, 1, "a"))
    for number, (name, load) in enumerate(loads.items()):
        fleet.record_report(Identity(name, Role.AGENT, 100 + number, "a", ALERTS), load, 1, 0.0)
    fleet.collect_reachability_changes(0.0)
    fleet.typical_work[ALERTS] = compute_typical_work(fleet.list_agents((ALERTS,)))
    return fleet


def build_load(busy: int, flows: int, work: tuple[RouteWork, ...] = ()) -> Load:
    return Load(Availability.READY, busy, flows, 1, busy / 2, SERVICE_TIME_S, work=work)


def test_short_flows_go_round_what_long_ones_use(configuration: ActiveConfiguration) -> None:
    short = RouteWork(ROUTE, SERVICE_TIME_S, 0.0, 1.0, 1, 0.1)
    pinned = RouteWork(OTHER_ROUTE, SERVICE_TIME_S, 0.0, 50.0, 20, 0.03)
    unused = RouteWork(OTHER_ROUTE, SERVICE_TIME_S, 0.0, 50.0, 20, 0.001)
    loads = {"a1": build_load(0, 21, (short, pinned)), "a2": build_load(0, 21, (short, unused))}
    chosen = choose_agent(build_fleet(loads), configuration, ALERTS, (), 0.1, address=ROUTE)
    assert chosen is not None
    assert chosen.identity.name == "a2"


def test_new_server_gets_long_flows_though_nothing_is_learned_there(
    configuration: ActiveConfiguration,
) -> None:
    pinned = RouteWork(ROUTE, SERVICE_TIME_S, 0.0, 50.0, 20, 0.03)
    loads = {"a1": build_load(0, 20, (pinned,)), "a2": build_load(0, 20, (pinned,))}
    fleet = build_fleet({**loads, "a3": build_load(0, 0)})
    chosen = choose_agent(fleet, configuration, ALERTS, (), 0.1, address=ROUTE)
    assert chosen is not None
    assert chosen.identity.name == "a3"


def test_queue_of_an_agent_that_was_full_lately_is_compared_with_the_others(
    configuration: ActiveConfiguration,
) -> None:
    """All agents are full, so a place in the shortest queue counts."""
    fleet = build_fleet({"a1": build_load(1, 1), "a2": build_load(4, 4)})
    fleet.members["a1"].busy_until = 0.2
    by_slot = choose_agent(fleet, configuration, ALERTS, (), 0.1)
    by_queue = choose_agent(fleet, configuration, ALERTS, (), 0.1, even_if_busy=True)
    assert by_slot is fleet.members["a2"]
    assert by_queue is fleet.members["a1"]


def estimate_without_learned_work(member: Member) -> float:
    """Return the expected delay as it is where no route's work is known."""
    return estimate_delay(member, "a", 0.0, None)


@pytest.mark.parametrize("is_learned", [False, True])
def test_equal_work_changes_no_choice(configuration: ActiveConfiguration, is_learned: bool) -> None:
    rng = random.Random(1)
    work = (RouteWork(ROUTE, SERVICE_TIME_S, 0.0, 1.0, 1, 0.1),) if is_learned else ()
    for _ in range(300):
        loads = {
            f"a{number}": build_load(rng.randrange(3), rng.randrange(9), work)
            for number in range(6)
        }
        fleet = build_fleet(loads)
        expected = min(fleet.list_agents((ALERTS,)), key=estimate_without_learned_work)
        assert choose_agent(fleet, configuration, ALERTS, (), 0.1, address=ROUTE) is expected

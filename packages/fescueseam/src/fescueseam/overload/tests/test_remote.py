"""Choice of servers of other data centres by callers' targets.

Load patterns: one data centre is full while its balancers see the same free servers elsewhere by
late reports; small answers beside downloads; reports that are lost; a data centre that is cut off.
"""

from collections import Counter

import pytest

from fescueseam.handshake.choice import DEFAULT_REMOTE_PENALTY_S, choose_agent
from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.members import MEMBER_TIMEOUT_S, Fleet
from fescueseam.handshake.rules import ActiveConfiguration, Outage, Route, RouteShare, Rules
from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.remote import (
    HOLD_S,
    RANKS_LIMIT,
    SENT_RETENTION_S,
    RemotePreference,
    compute_way_cost,
)

SERVICE = "desk"
TARGET_S = 0.25
SERVICE_TIME_S = 0.03
BALANCERS, REMOTE_SERVERS = 8, 12
FULL = 20
"""Requests at a server of one slot that make callers miss the target."""


@pytest.fixture
def configuration() -> ActiveConfiguration:
    """Return a configuration whose route states a latency target."""
    needs = RouteNeeds(TARGET_S, 4 * TARGET_S)
    configuration = ActiveConfiguration()
    route = Route(SERVICE, 1, 443, (RouteShare(SERVICE),), needs)
    configuration.update_rules(Rules(1, (route,)), 0.0)
    configuration.update_outage(Outage(1))
    return configuration


def build_fleet(balancer: int, near_busy: int, remote_servers: int = REMOTE_SERVERS) -> Fleet:
    """Return what a balancer of "a" knows: a near server and free ones in "b"."""
    fleet = Fleet(Identity(f"balancer-{balancer}", Role.BALANCER, 1 + balancer, "a"))
    for number in range(BALANCERS):
        other = Identity(f"balancer-{number}", Role.BALANCER, 1 + number, "a")
        fleet.record_report(other, Load(), 1, 0.0)
    for number in range(1 + remote_servers):
        busy, data_centre = (0, "b") if number else (near_busy, "a")
        identity = Identity(f"s{number:02}", Role.AGENT, 100 + number, data_centre, SERVICE)
        load = Load(Availability.READY, busy, 0, 1, min(1, busy), SERVICE_TIME_S)
        fleet.record_report(identity, load, 1, 0.0)
    fleet.collect_reachability_changes(0.0)
    return fleet


def build_preference(fleet: Fleet) -> RemotePreference:
    senders = fleet.count_balancers_elsewhere(0.0)
    return RemotePreference(fleet.own.name, "a", senders)


def place(
    fleet: Fleet, configuration: ActiveConfiguration, remote: RemotePreference | None, now: float
) -> str:
    member = choose_agent(fleet, configuration, SERVICE, (), now, DEFAULT_REMOTE_PENALTY_S, remote)
    assert member is not None
    member.flows_sent_since_report += 1
    return member.identity.name


def test_balancers_of_a_full_data_centre_spread_over_free_servers(
    configuration: ActiveConfiguration,
) -> None:
    chosen: Counter[str] = Counter()
    constant: Counter[str] = Counter()
    for number in range(BALANCERS):
        fleet = build_fleet(number, FULL)
        assert fleet.count_balancers_elsewhere(0.0)["b"] == BALANCERS
        chosen[place(fleet, configuration, build_preference(fleet), 0.1)] += 1
        constant[place(build_fleet(number, FULL), configuration, None, 0.1)] += 1
    assert max(constant.values()) == BALANCERS
    assert max(chosen.values()) <= BALANCERS / 2
    assert "s00" not in chosen


def test_a_balancer_takes_its_share_of_one_free_server(configuration: ActiveConfiguration) -> None:
    fleet = build_fleet(0, FULL, remote_servers=1)
    remote = build_preference(fleet)
    placed = Counter(place(fleet, configuration, remote, 0.1 + 0.001 * i) for i in range(4))
    assert placed["s01"] <= 2
    others = {f"balancer-{number}" for number in range(1, BALANCERS)}
    assert others <= set(fleet.members)
    alone = RemotePreference("balancer-0", "a")
    fleet = build_fleet(0, FULL, remote_servers=1)
    placed = Counter(place(fleet, configuration, alone, 0.1 + 0.001 * i) for i in range(4))
    assert placed["s01"] == 4


def test_flows_stay_while_callers_are_within_their_target(
    configuration: ActiveConfiguration,
) -> None:
    fleet = build_fleet(0, 2)
    remote = build_preference(fleet)
    assert place(build_fleet(0, 2), configuration, None, 0.1) == "s01"
    assert place(fleet, configuration, remote, 0.1) == "s00"
    assert remote.remote_flows == 0


def test_routes_without_a_target_are_placed_by_the_penalty_alone() -> None:
    configuration = ActiveConfiguration()
    route = Route(SERVICE, 1, 443, (RouteShare(SERVICE),))
    configuration.update_rules(Rules(1, (route,)), 0.0)
    for near_busy in (0, 1, 2, FULL):
        fleet, other = build_fleet(3, near_busy), build_fleet(3, near_busy)
        names = [place(fleet, configuration, build_preference(fleet), 0.1) for _ in range(20)]
        assert names == [place(other, configuration, None, 0.1) for _ in range(20)]


def test_return_is_delayed_and_each_change_is_told_once(configuration: ActiveConfiguration) -> None:
    fleet = build_fleet(0, FULL)
    remote = build_preference(fleet)
    place(fleet, configuration, remote, 0.1)
    assert [item.is_remote for item in remote.take_changes()] == [True]
    limit_s = 0.7 * TARGET_S
    assert not remote.is_good_enough(SERVICE, limit_s, TARGET_S)
    remote.record_near(SERVICE, limit_s, 0.0, 0.2)
    assert remote.take_changes() == []
    remote.record_near(SERVICE, limit_s, 0.0, 0.1 + HOLD_S)
    assert [item.is_remote for item in remote.take_changes()] == [False]
    assert remote.is_good_enough(SERVICE, limit_s, TARGET_S)


def test_download_is_dearer_than_a_poll_and_distance_counts() -> None:
    mean = 5000.0
    poll_s = compute_way_cost(0.02, 2000.0, mean, 0.0)
    download_s = compute_way_cost(0.02, 40_000.0, mean, 0.0)
    assert poll_s < 0.02 < download_s
    assert compute_way_cost(0.02, mean, mean, 0.0) == compute_way_cost(0.02, 0.0, 0.0, 0.0) == 0.02
    assert compute_way_cost(0.02, 40_000.0, mean, 0.04) >= 0.12


def test_lost_reports_and_a_cut_data_centre_leave_flows_nearby(
    configuration: ActiveConfiguration,
) -> None:
    fleet = build_fleet(0, FULL)
    remote = build_preference(fleet)
    near = fleet.members["s00"]
    now = MEMBER_TIMEOUT_S + 1.0
    fleet.record_report(near.identity, near.load, 2, now)
    assert place(fleet, configuration, remote, now) == "s00"
    assert fleet.count_balancers_elsewhere(now)["b"] == 1


def test_memory_of_remote_servers_is_bounded() -> None:
    remote = RemotePreference("balancer-0", "a")
    for number in range(RANKS_LIMIT + 1):
        name = f"s{number}"
        remote.record_sent(name, SERVICE_TIME_S, 0.0)
        assert remote.choose_remote([(0.1, name)], SERVICE_TIME_S) == name
    assert remote.estimate_sent("s0", "b", SERVICE_TIME_S, 0.0) == 1.0
    remote.expire(SENT_RETENTION_S)
    assert remote.estimate_sent("s0", "b", SERVICE_TIME_S, 0.0) == 0.0
    assert not remote._ranks

"""Reports between members: spacing, rate limits, timeouts and lookups.

Load pattern: many members report over narrow links, which lose the last packets of a burst.
"""

import itertools
import math

import pytest
from attrs import evolve

from fescueseam.handshake import members
from fescueseam.handshake.choice import choose_agent
from fescueseam.handshake.member import Availability, Identity, Load, Member, Role
from fescueseam.handshake.members import IGNORED_PROBES_TIMEOUT_S, MEMBER_TIMEOUT_S, Fleet
from fescueseam.handshake.report_intervals import (
    FAR_AGENT_REPORTS_PER_S,
    MAX_FAR_INTERVAL_S,
    MAX_NEAR_INTERVAL_S,
    NEAR_AGENT_REPORTS_PER_S,
)
from fescueseam.handshake.tests.conftest import ALERTS, INTAKE, Cluster, build_flow, build_opening

STEP_S = 0.05


def build_fleet(count: int) -> Fleet:
    fleet = Fleet(Identity("own", Role.BALANCER, 1, "a"))
    for number in range(count):
        name = f"agent-{number:03}"
        service = ALERTS if number % 2 else INTAKE
        fleet.add_listed(Identity(name, Role.AGENT, 100 + number, "a", service), 0.0)
    return fleet


def test_reports_are_spread_over_the_interval() -> None:
    fleet = build_fleet(64)
    sent: dict[str, list[float]] = {name: [] for name in fleet.members}
    for step in range(60):
        now = step * STEP_S * 1.02
        due = fleet.select_due_members(STEP_S, now)
        assert len(due) <= math.ceil(64 * STEP_S / MAX_NEAR_INTERVAL_S)
        for member in due:
            sent[member.identity.name].append(now)
    for times in sent.values():
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        assert max(gaps) <= MAX_NEAR_INTERVAL_S + 2 * STEP_S


def test_single_member_gets_one_report_per_interval() -> None:
    fleet = build_fleet(1)
    times = []
    for step in range(100):
        if fleet.select_due_members(STEP_S, step * STEP_S):
            times.append(step * STEP_S)
    assert len(times) in (10, 11)


def test_agent_keeps_its_report_rate_limit() -> None:
    fleet = Fleet(Identity("own", Role.AGENT, 1, "a", ALERTS))
    for number in range(20):
        fleet.add_listed(Identity(f"b-{number:02}", Role.BALANCER, 100 + number, "a"), 0.0)
        fleet.record_report(fleet.members[f"b-{number:02}"].identity, Load(), 1, 0.0)
    sent = sum(len(fleet.select_due_members(0.25, step * 0.25)) for step in range(14))
    assert sent <= 14 * (0.25 * NEAR_AGENT_REPORTS_PER_S + 1)
    assert all(item.last_report_sent_at > 3.25 - 1.25 for item in fleet.members.values())


def test_member_that_left_a_packet_unanswered_is_probed_until_it_is_heard() -> None:
    fleet = build_fleet(2)
    for member in list(fleet.members.values()):
        fleet.record_report(member.identity, Load(Availability.READY), 1, 10.0)
    assert fleet.select_probed_members(10.0) == []
    fleet.record_unanswered("agent-001", 10.0)
    probed = [fleet.select_probed_members(10.0 + step * 0.25) for step in range(5)]
    names = [[member.identity.name for member in members] for members in probed]
    assert names == [["agent-001"], [], ["agent-001"], [], ["agent-001"]]
    assert fleet.select_probed_members(10.0 + MEMBER_TIMEOUT_S) == []
    fleet.record_message("agent-001", 20.0)
    assert fleet.select_probed_members(21.0) == []


@pytest.mark.parametrize("before", [Availability.DRAINING, Availability.LEFT])
def test_restarted_agent_does_not_bring_back_a_server_that_leaves(before: Availability) -> None:
    cluster = Cluster()
    balancer = cluster.add_balancer(1)
    identity = Identity("agent-11", Role.AGENT, 11, "a", ALERTS, 1)

    def choose() -> Member | None:
        return choose_agent(balancer.fleet, balancer.configuration, ALERTS, (), 1.0)

    balancer.fleet.record_report(identity, Load(before, slots=1), 9, 1.0)
    assert choose() is None
    restarted = evolve(identity, incarnation=2)
    balancer.fleet.record_report(restarted, Load(Availability.UNKNOWN, slots=1), 1, 1.0)
    assert choose() is None
    balancer.fleet.record_report(restarted, Load(Availability.READY, slots=1), 2, 1.0)
    assert choose() is not None


def test_report_timeout_follows_the_report_interval() -> None:
    few, many = build_fleet(1), build_fleet(1)
    for number in range(30):
        many.add_listed(Identity(f"b-{number}", Role.BALANCER, 500 + number, "a"), 0.0)
    timeouts = [item.compute_report_timeout(item.members["agent-000"]) for item in (few, many)]
    assert timeouts[0] < 1.0
    assert MAX_NEAR_INTERVAL_S * 2 < timeouts[1] < MEMBER_TIMEOUT_S


def build_large_fleet(own: Identity, machines: int, data_centres: int = 5) -> Fleet:
    """Return a fleet of which three in ten are balancers, heard at 0 and spread evenly."""
    fleet = Fleet(own)
    for number in range(machines):
        data_centre = f"dc-{number % data_centres}"
        is_balancer = number // data_centres % 10 < 3
        identity = (
            Identity(f"balancer-{number}", Role.BALANCER, 1000 + number, data_centre)
            if is_balancer
            else Identity(f"agent-{number}", Role.AGENT, 1000 + number, data_centre, ALERTS)
        )
        fleet.record_report(identity, Load(Availability.READY), 1, 0.0)
    fleet.collect_reachability_changes(0.0)
    return fleet


def count_reports_per_s(fleet: Fleet, step_s: float, seconds: int = 30) -> dict[bool, float]:
    """Return the reports sent per second to near and to far members."""
    sent = {True: 0, False: 0}
    for step in range(round(seconds / step_s)):
        for member in fleet.select_due_members(step_s, step * step_s):
            sent[fleet.is_near(member)] += 1
    return {near: count / seconds for near, count in sent.items()}


@pytest.mark.parametrize(("machines", "near_limit"), [(30, 30.0), (195, 45.0), (300, 70.0)])
def test_reports_to_far_members_are_few_in_a_large_fleet(machines: int, near_limit: float) -> None:
    agent = build_large_fleet(Identity("own", Role.AGENT, 1, "dc-0", ALERTS), machines)
    for identity in list(agent.members.values()):
        agent.record_report(identity.identity, Load(), 2, 0.0)
    own = Identity("own", Role.BALANCER, 1, "dc-0")
    balancer = build_large_fleet(own, machines)
    sent = count_reports_per_s(balancer, STEP_S)
    assert sent[True] <= near_limit
    assert sent[False] <= 25.0
    far_balancers = sum(not agent.is_near(item) for item in agent.list_balancers())
    near, far = (group for group in agent._group_receivers(0.0))
    assert len(near[1]) / near[0] <= NEAR_AGENT_REPORTS_PER_S
    assert len(far[1]) == far_balancers
    assert far_balancers / far[0] <= FAR_AGENT_REPORTS_PER_S


def test_far_member_is_unreachable_after_its_own_longer_timeout() -> None:
    fleet = build_large_fleet(Identity("own", Role.BALANCER, 1, "dc-0"), 195)
    near, far = fleet.members["agent-15"], fleet.members["agent-16"]
    assert fleet.is_near(near)
    assert not fleet.is_near(far)
    timeout_s = fleet.compute_report_timeout(far)
    assert timeout_s > 3 * len(fleet.list_balancers()) / FAR_AGENT_REPORTS_PER_S
    assert fleet.is_unreachable(near, MEMBER_TIMEOUT_S)
    assert not fleet.is_unreachable(far, MEMBER_TIMEOUT_S)
    assert fleet.is_unreachable(far, timeout_s + MEMBER_TIMEOUT_S)
    far_balancer = fleet.members["balancer-1"]
    assert not fleet.is_unreachable(far_balancer, MEMBER_TIMEOUT_S + 1.0)


def test_agent_without_a_balancer_nearby_is_near_to_all() -> None:
    balancer = Identity("b", Role.BALANCER, 2, "north")
    agent_fleet = Fleet(Identity("own", Role.AGENT, 1, "south", ALERTS))
    agent_fleet.record_report(balancer, Load(), 1, 0.0)
    agent_fleet.collect_reachability_changes(0.0)
    assert agent_fleet.is_near(agent_fleet.members["b"])
    balancer_fleet = Fleet(balancer)
    balancer_fleet.record_report(agent_fleet.own, Load(Availability.READY), 1, 0.0)
    balancer_fleet.collect_reachability_changes(0.0)
    agent = balancer_fleet.members["own"]
    assert balancer_fleet.is_near(agent)
    # Once a balancer of its data centre is heard, that one serves it.
    local = Identity("c", Role.BALANCER, 3, "south")
    for fleet in (agent_fleet, balancer_fleet):
        fleet.record_report(local, Load(), 1, 1.0)
        fleet.collect_reachability_changes(1.0)
    assert not balancer_fleet.is_near(agent)
    assert not agent_fleet.is_near(agent_fleet.members["b"])
    assert agent_fleet.is_near(agent_fleet.members["c"])


def test_stale_list_does_not_replace_a_far_balancer_between_its_reports() -> None:
    fleet = Fleet(Identity("own", Role.AGENT, 1, "south", ALERTS))
    fleet.record_report(Identity("c", Role.BALANCER, 3, "south"), Load(), 1, 0.0)
    fleet.record_report(Identity("b", Role.BALANCER, 2, "north"), Load(), 1, 0.0)
    fleet.collect_reachability_changes(0.0)
    before = Identity("b", Role.BALANCER, 9, "north")
    assert not fleet.add_listed(before, 2 * MAX_FAR_INTERVAL_S)
    assert fleet.add_listed(before, 4 * MAX_FAR_INTERVAL_S)


def test_far_member_that_ignores_probes_is_unreachable_before_its_next_report_is_due() -> None:
    fleet = build_large_fleet(Identity("own", Role.BALANCER, 1, "dc-0"), 195)
    far = fleet.members["agent-16"]
    assert fleet.compute_report_timeout(far) > 2 * MEMBER_TIMEOUT_S
    fleet.record_unanswered("agent-16", 1.0)
    assert not fleet.is_unreachable(far, MEMBER_TIMEOUT_S + 0.9)
    assert fleet.is_unreachable(far, MEMBER_TIMEOUT_S + 1.0)
    fleet.record_message("agent-16", MEMBER_TIMEOUT_S)
    assert not fleet.is_unreachable(far, 2 * MEMBER_TIMEOUT_S - 0.1)


def test_far_member_without_a_backend_server_is_probed_for_a_shorter_time() -> None:
    fleet = build_large_fleet(Identity("own", Role.BALANCER, 1, "dc-0"), 195)
    far = fleet.members["agent-16"]
    fleet.record_report(far.identity, Load(Availability.UNKNOWN), 2, 0.0)
    fleet.record_unanswered("agent-16", 1.0)
    assert not fleet.is_unreachable(far, 1.0 + IGNORED_PROBES_TIMEOUT_S - 0.1)
    assert fleet.is_unreachable(far, 1.0 + IGNORED_PROBES_TIMEOUT_S)


def test_members_beyond_the_limit_are_not_added(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(members, "MEMBERS_LIMIT", 10)
    fleet = build_fleet(10)
    further = Identity("further", Role.BALANCER, 999, "a")
    assert not fleet.record_report(further, Load(), 1, 1.0)
    assert not fleet.add_listed(further, 1.0)
    assert len(fleet.members) == 10
    again = Identity("agent-001", Role.AGENT, 101, "a", ALERTS, 7)
    assert fleet.record_report(again, Load(Availability.READY), 1, 1.0)


def test_lookups_by_service_and_address_follow_changes() -> None:
    fleet = build_fleet(6)
    assert [item.identity.address for item in fleet.list_agents((ALERTS,))] == [101, 103, 105]
    moved = Identity("agent-001", Role.AGENT, 101, "a", INTAKE, 7)
    fleet.record_report(moved, Load(Availability.READY), 1, 1.0)
    assert [item.identity.address for item in fleet.list_agents((ALERTS,))] == [103, 105]
    successor = Identity("successor", Role.AGENT, 103, "a", ALERTS, 8)
    fleet.record_report(successor, Load(Availability.READY), 1, 2.0)
    assert fleet.find("agent-003") is None
    assert [item.identity.name for item in fleet.list_agents((ALERTS,))] == [
        "agent-005",
        "successor",
    ]
    elsewhere = Identity("successor", Role.AGENT, 200, "a", ALERTS, 9)
    fleet.record_report(elsewhere, Load(Availability.READY), 1, 3.0)
    assert fleet.find_by_address(103) is None
    assert fleet.find_by_address(200) is fleet.find("successor")


def test_each_reachability_change_is_returned_once() -> None:
    fleet = build_fleet(1)
    identity = fleet.members["agent-000"].identity
    fleet.record_report(identity, Load(Availability.READY), 1, 0.0)
    assert fleet.collect_reachability_changes(1.0) == []
    changed = fleet.collect_reachability_changes(MEMBER_TIMEOUT_S)
    assert [(item.identity.name, item.reported_unreachable) for item in changed] == [
        ("agent-000", True)
    ]
    assert fleet.collect_reachability_changes(MEMBER_TIMEOUT_S + 1.0) == []
    fleet.record_message("agent-000", MEMBER_TIMEOUT_S + 1.0)
    assert [
        item.reported_unreachable
        for item in fleet.collect_reachability_changes(MEMBER_TIMEOUT_S + 1.0)
    ] == [False]


def test_time_to_backend_answer_is_observed(cluster: Cluster) -> None:
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(0.05)
    observed = [item for item in cluster.observed if item.metric == "opening_seconds"]
    assert [round(item.value, 6) for item in observed] == [0.0001]

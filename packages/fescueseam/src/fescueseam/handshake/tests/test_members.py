"""Reports between members: spacing, rate limits, timeouts and lookups.

Load pattern: many members report over narrow links, which lose the last packets of a burst.
"""

import itertools
import math

from fescueseam.handshake.members import (
    MAX_AGENT_REPORTS_PER_S,
    MAX_REPORT_INTERVAL_S,
    MEMBER_TIMEOUT_S,
    Availability,
    Fleet,
    Identity,
    Load,
    Role,
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
        assert len(due) <= math.ceil(64 * STEP_S / MAX_REPORT_INTERVAL_S)
        for member in due:
            sent[member.identity.name].append(now)
    for times in sent.values():
        gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
        assert max(gaps) <= MAX_REPORT_INTERVAL_S + 2 * STEP_S


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
    assert sent <= 14 * (0.25 * MAX_AGENT_REPORTS_PER_S + 1)
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


def test_report_timeout_follows_the_report_interval() -> None:
    few, many = build_fleet(1), build_fleet(1)
    for number in range(30):
        many.add_listed(Identity(f"b-{number}", Role.BALANCER, 500 + number, "a"), 0.0)
    assert few.compute_report_timeout() < 1.0
    assert MAX_REPORT_INTERVAL_S * 2 < many.compute_report_timeout() < MEMBER_TIMEOUT_S


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

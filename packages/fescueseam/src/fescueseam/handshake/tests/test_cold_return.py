"""Openings of servers whose cold start nobody could report: a data centre back, old heartbeats.

Load: 50 openings a second of a service whose cold servers take 4 a second, for up to 3 s.
"""

import pytest
from attrs import evolve

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor, Heartbeat
from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Report
from fescueseam.handshake.rules import Outage
from fescueseam.handshake.tests.conftest import ALERTS, INTAKE

HEARTBEAT = Heartbeat("b", 5, 4, ALERTS, Availability.READY, 4)
BALANCER = Identity("balancer", Role.BALANCER, 1, "a")
OUT, BACK = Outage(2, frozenset({"a"})), Outage(3)


def build_agent(service: str = ALERTS) -> Agent:
    own = Identity("agent", Role.AGENT, 11, "a", service)
    return Agent(Fleet(own), BackendMonitor(service, 1.0, 10.0), 10.0)


def take(agent: Agent, outage: Outage, now: float) -> None:
    report = Report(BALANCER, Load(), 1, outage, ((ALERTS, 4.0), (INTAKE, 0.0)))
    agent.handle_report(report, now)


def count_admitted(agent: Agent, start: float, duration_s: float) -> int:
    admitted = 0
    for step in range(round(duration_s * 50)):
        now = start + step / 50
        if not agent.admission.find_return_reason(0, now):
            agent.backend.cold_start.record_opening(now)
            admitted += 1
    return admitted


@pytest.fixture
def agent() -> Agent:
    """Return an agent that knows the configuration and a warm server."""
    agent = build_agent()
    take(agent, Outage(1), 10.0)
    agent.handle_heartbeat(HEARTBEAT, 10.5)
    return agent


def test_server_of_a_data_centre_that_is_back_counts_as_cold_until_its_heartbeat(
    agent: Agent,
) -> None:
    assert count_admitted(agent, 10.6, 0.5) == 25
    take(agent, OUT, 11.2)
    agent.handle_heartbeat(evolve(HEARTBEAT, sequence=5), 11.5)
    take(agent, BACK, 11.6)
    assert agent.describe_load(11.7).cold
    assert count_admitted(agent, 11.7, 0.7) == 4
    agent.handle_heartbeat(evolve(HEARTBEAT, sequence=6), 12.5)
    assert not agent.describe_load(12.6).cold
    assert count_admitted(agent, 12.6, 0.5) == 25


def test_heartbeat_from_before_the_return_that_arrives_after_it_does_not_count(
    agent: Agent,
) -> None:
    take(agent, OUT, 11.2)
    take(agent, BACK, 11.6)
    agent.handle_heartbeat(evolve(HEARTBEAT, sequence=5), 11.61)
    assert count_admitted(agent, 11.7, 0.7) == 4


def test_agent_that_starts_during_the_outage_holds_too() -> None:
    agent = build_agent()
    take(agent, OUT, 10.1)
    agent.handle_heartbeat(HEARTBEAT, 10.5)
    take(agent, BACK, 10.6)
    assert count_admitted(agent, 10.7, 0.7) == 4


def test_agent_that_first_hears_of_outages_after_the_return_holds_too() -> None:
    agent = build_agent()
    agent.handle_heartbeat(HEARTBEAT, 10.5)
    take(agent, BACK, 10.6)
    assert count_admitted(agent, 10.7, 0.7) == 4
    agent.handle_heartbeat(evolve(HEARTBEAT, sequence=5), 11.5)
    assert count_admitted(agent, 11.6, 0.5) == 25


def test_agent_that_heard_nothing_of_a_whole_outage_holds_too(agent: Agent) -> None:
    for number in range(5, 13):
        agent.handle_heartbeat(evolve(HEARTBEAT, sequence=number), 6.5 + number)
    take(agent, BACK, 18.6)
    assert count_admitted(agent, 18.7, 0.7) == 4


def test_return_of_another_data_centre_changes_nothing(agent: Agent) -> None:
    take(agent, Outage(2, frozenset({"b"})), 10.6)
    take(agent, BACK, 10.7)
    assert count_admitted(agent, 10.8, 0.5) == 25


def test_server_whose_heartbeat_is_overdue_counts_as_cold(agent: Agent) -> None:
    assert count_admitted(agent, 11.6, 0.5) == 25
    assert count_admitted(agent, 12.7, 1.0) == 4
    assert agent.describe_load(12.7).cold


def test_service_without_a_cold_bound_waits_for_no_heartbeat() -> None:
    agent = build_agent(INTAKE)
    take(agent, OUT, 10.1)
    agent.handle_heartbeat(evolve(HEARTBEAT, service=INTAKE), 10.5)
    take(agent, BACK, 10.6)
    assert count_admitted(agent, 10.7, 0.7) == 35
    assert not agent.describe_load(10.7).cold


def test_cold_server_whose_clock_was_set_back_keeps_its_bound() -> None:
    agent = build_agent()
    take(agent, Outage(1), 10.0)
    agent.handle_heartbeat(HEARTBEAT, 10.5)
    agent.handle_heartbeat(evolve(HEARTBEAT, sequence=5), 11.5)
    restarted = evolve(HEARTBEAT, name="anew", started_ms=1, sequence=1, cold_left_s=2.0)
    agent.handle_heartbeat(restarted, 11.7)
    assert count_admitted(agent, 11.7, 1.0) == 4
    assert agent.describe_load(12.0).cold

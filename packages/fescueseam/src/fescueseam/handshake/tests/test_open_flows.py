"""Flows that are open though nothing was sent on them, and floods of openings without an end.

Load: 20,000 openings at one agent, none of which is ever acknowledged.
"""

import pytest
from attrs import evolve

from fescueseam.handshake import flows as flow_table
from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor, Heartbeat
from fescueseam.handshake.effects import Deliver, SendNotice, SendReset
from fescueseam.handshake.flows import FLOWS_LIMIT, HALF_OPEN_FLOW_RETENTION_S, FlowTable
from fescueseam.handshake.member import Availability, Identity, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Holding, Locate, Located
from fescueseam.handshake.segments import Mark, Purpose, compute_service_tag
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    build_backend_segment,
    build_flow,
    build_opening,
    build_segment,
)

MARK = Mark(Purpose.DELIVER, compute_service_tag(ALERTS), 1)
FLOW = build_flow(0)


@pytest.fixture
def agent() -> Agent:
    """Return an agent that has seen the first heartbeat of its server."""
    own = Identity("agent", Role.AGENT, 11, "a", ALERTS)
    agent = Agent(Fleet(own), BackendMonitor(ALERTS, 1.0, 10.0, 5), 10.0)
    agent.handle_heartbeat(Heartbeat("b", 5, 1, ALERTS, Availability.READY, 4), 10.0)
    return agent


def start_handshake(agent: Agent) -> None:
    agent.handle_packet(evolve(build_opening(FLOW), mark=MARK), 10.1)
    agent.handle_backend_packet(build_backend_segment(FLOW, opens=True, sequence=5000), 10.1)


def find_holding(agent: Agent, now: float) -> Holding:
    (effect,) = agent.handle_locate(1, Locate(FLOW, ALERTS), now)
    assert isinstance(effect, SendNotice)
    assert isinstance(effect.body, Located)
    return effect.body.holding


@pytest.mark.parametrize("pause_s", [7.0, 11.0, 59.0])
def test_flow_without_a_request_is_kept_for_the_idle_timeout(agent: Agent, pause_s: float) -> None:
    start_handshake(agent)
    agent.handle_packet(build_segment(FLOW, acknowledgement=5001, mark=MARK), 10.2)
    agent.tick(10.2 + pause_s)
    assert find_holding(agent, 10.2 + pause_s) is Holding.YES
    request = build_segment(FLOW, acknowledgement=5001, data_bytes=100, mark=MARK)
    assert agent.handle_packet(request, 10.2 + pause_s) == [Deliver(request)]


@pytest.mark.parametrize("acknowledgement", [0, 7001])
def test_flow_that_opened_at_another_server_is_forgotten_soon(
    agent: Agent, acknowledgement: int
) -> None:
    start_handshake(agent)
    end = build_segment(FLOW, acknowledgement=acknowledgement, mark=MARK)
    agent.handle_packet(end, 10.2)
    assert find_holding(agent, 10.3) is Holding.HALF_OPEN
    agent.tick(10.2 + HALF_OPEN_FLOW_RETENTION_S)
    assert find_holding(agent, 16.0) is Holding.NO


def test_handshake_end_that_another_server_awaits_causes_no_reset(agent: Agent) -> None:
    start_handshake(agent)
    end = build_segment(FLOW, acknowledgement=7001, mark=MARK)
    agent.handle_packet(end, 10.2)
    returned = build_segment(FLOW, acknowledgement=7001, mark=MARK, returned=True)
    effects = agent.handle_backend_packet(returned, 10.21)
    assert not any(isinstance(effect, SendReset) for effect in effects)


def test_flood_of_openings_evicts_no_open_flow(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(flow_table, "FLOWS_LIMIT", 500)
    table = FlowTable()
    for number in range(100):
        flow = build_flow(number)
        table.mark_open(flow, table.add(flow, 1.0))
    for number in range(100, 20_000):
        table.add(build_flow(number), 2.0 + number / 10_000)
    assert len(table.flows) == 500
    assert all(table.find(build_flow(number)) for number in range(100))
    assert table.find(build_flow(19_999))


def test_ended_flows_are_evicted_before_handshakes() -> None:
    table = FlowTable()
    for number in range(FLOWS_LIMIT):
        flow = build_flow(number)
        entry = table.add(flow, 1.0)
        if number == 1:
            table.mark_open(flow, entry)
            table.record_caller_packet(flow, entry, build_segment(flow, finishes=True), 1.0)
            closing = build_backend_segment(flow, finishes=True)
            table.record_backend_packet(flow, entry, closing, 1.0)
    table.add(build_flow(FLOWS_LIMIT), 2.0)
    assert table.find(build_flow(0))
    assert not table.find(build_flow(1))

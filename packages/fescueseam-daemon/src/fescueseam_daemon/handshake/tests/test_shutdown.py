"""Planned stop of an agent.

Load pattern: agents are stopped one after the other while callers open flows.
"""

import pytest
import trio
from attrs import evolve
from trio.testing import MockClock

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import Heartbeat
from fescueseam.handshake.member import Availability
from fescueseam.handshake.segments import Mark, Purpose, Segment, compute_service_tag
from fescueseam.handshake.tests.conftest import (
    build_backend_segment,
    build_flow,
    build_opening,
    build_segment,
)
from fescueseam_daemon.handshake.agent import SHUTDOWN_GRACE_S, AgentProcess
from fescueseam_daemon.handshake.node import Node

FLOW = build_flow(1)
MARK = Mark(Purpose.DELIVER, compute_service_tag("alerts"), 1)


@pytest.fixture
def process(agent_node: Node, monkeypatch: pytest.MonkeyPatch) -> AgentProcess:
    """Return an agent beside a ready backend server; nothing is sent."""
    monkeypatch.setattr(Node, "execute", lambda node, effects: None)

    async def build() -> AgentProcess:
        return AgentProcess(agent_node)

    process = trio.run(build, clock=MockClock())
    heartbeat = Heartbeat("i-1", 5, 1, "alerts", Availability.READY, 2)
    process.core.handle_heartbeat(heartbeat, 0.0)
    return process


def deliver(core: Agent, segment: Segment) -> None:
    core.handle_packet(evolve(segment, mark=MARK), trio.current_time())


async def measure_stop(process: AgentProcess) -> float:
    """Stop an agent; return how long that took, in seconds."""
    started_at = trio.current_time()
    await process.shut_down()
    return trio.current_time() - started_at


def test_flow_that_was_just_accepted_is_answered_before_the_agent_ends(
    process: AgentProcess,
) -> None:
    core, answered = process.core, []

    async def use_flow() -> None:
        await trio.sleep(0.01)
        core.handle_backend_packet(build_backend_segment(FLOW, opens=True), trio.current_time())
        await trio.sleep(0.02)
        deliver(core, build_segment(FLOW, sequence=1000, data_bytes=100))
        await trio.sleep(0.3)
        answer = build_backend_segment(FLOW, sequence=1001, data_bytes=500)
        core.handle_backend_packet(answer, trio.current_time())
        answered.append(trio.current_time())

    async def main() -> None:
        deliver(core, build_opening(FLOW))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(use_flow)
            await measure_stop(process)
            assert answered

    trio.run(main, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize("has_request", [False, True])
def test_stop_is_bounded_and_an_idle_agent_ends_at_once(
    process: AgentProcess, has_request: bool
) -> None:
    async def main() -> None:
        if has_request:
            deliver(process.core, build_opening(FLOW))
            deliver(process.core, build_segment(FLOW, sequence=1000, data_bytes=100))
        duration_s = await measure_stop(process)
        assert duration_s == pytest.approx(SHUTDOWN_GRACE_S if has_request else 0.0)

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_agent_does_not_wait_for_a_server_that_has_left(
    process: AgentProcess, monkeypatch: pytest.MonkeyPatch
) -> None:
    withdrawn = []

    async def withdraw(process: AgentProcess) -> None:
        withdrawn.append(process.node.own.name)

    monkeypatch.setattr(AgentProcess, "_withdraw_from_store", withdraw)

    async def main() -> None:
        deliver(process.core, build_opening(FLOW))
        process.core.handle_deregistration("i-1", trio.current_time())
        assert await measure_stop(process) == 0.0

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert withdrawn == ["agent-1"]

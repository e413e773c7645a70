"""Check of an agent that has heard no backend server, against real sockets.

Load pattern: after a loss of power, machines of retired servers come up, and their agents are
stopped again before a heartbeat is overdue.
"""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio

from fescueseam.handshake.backend import Heartbeat
from fescueseam.handshake.member import Availability, Identity, Role
from fescueseam_daemon.handshake.agent import AgentProcess
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.tests.conftest import ADDRESS, build_node

BACKEND_PORT = 8465


@pytest.fixture
def node() -> Node:
    """Return the node of an agent whose backend server would listen on loopback."""
    own = Identity("agent-1", Role.AGENT, 2, "a", "alerts")
    return build_node(own, backend=f"{ADDRESS}:{BACKEND_PORT}")


@contextmanager
def listening() -> Iterator[None]:
    """Listen at the address of the backend server."""
    with socket.create_server((ADDRESS, BACKEND_PORT)):
        yield


def stop_agent(node: Node, heartbeat: Heartbeat | None = None) -> AgentProcess:
    """Start and stop an agent that has received the given heartbeat."""

    async def main() -> AgentProcess:
        process = AgentProcess(node)
        if heartbeat is not None:
            process.core.handle_heartbeat(heartbeat, trio.current_time())
        await process.shut_down()
        return process

    return trio.run(main)


def get_availability(process: AgentProcess) -> Availability:
    return process.core.backend.compute_availability(process.core.started_at)


def test_agent_without_a_server_withdraws_when_it_is_stopped(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    withdrawn: list[AgentProcess] = []

    async def withdraw(process: AgentProcess) -> None:
        withdrawn.append(process)

    monkeypatch.setattr(AgentProcess, "_withdraw_from_store", withdraw)
    process = stop_agent(node)
    assert get_availability(process) is Availability.LEFT
    assert withdrawn == [process]
    assert node.events.counts["backend-missing", ""] == 1


def test_agent_does_not_report_a_listening_server_as_missing(node: Node) -> None:
    with listening():
        process = stop_agent(node)
    assert get_availability(process) is Availability.UNKNOWN
    assert node.events.counts["backend-missing", ""] == 0


def test_agent_that_was_sent_a_heartbeat_does_not_check(node: Node) -> None:
    process = stop_agent(node, Heartbeat("i-1", 5, 1, "alerts", Availability.READY, 2))
    assert get_availability(process) is Availability.READY
    assert node.events.counts["backend-missing", ""] == 0

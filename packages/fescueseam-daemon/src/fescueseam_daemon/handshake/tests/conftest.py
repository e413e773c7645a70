"""Shared fixtures: the node of a balancer without a platform."""

import json
import os
import random
from pathlib import Path
from typing import Any

import pytest

from fescueseam.handshake.member import Identity, Role
from fescueseam_daemon.handshake.events import EventLog
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.settings import parse_settings
from fescueseam_daemon.handshake.tests.test_settings import VALUES

ADDRESS = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.1"
"""Address of this run, so that concurrent runs do not share it."""
PEER_PORT = 7720
BALANCER_CHANGES: dict[str, Any] = {
    "packets": f"{ADDRESS}:8172",
    "readiness": f"{ADDRESS}:8167",
    "heartbeats": "",
    "answers": "",
    "seeds": [],
}
"""Settings of a balancer that differ from those of an agent."""


class NoPlatform:
    """Platform without packets or a store."""

    packets = None

    def open_store(self, address: str, port: int) -> "NoPlatform":
        return self

    async def close(self) -> None:
        return

    def __getattr__(self, name: str) -> Any:
        async def fail(*args: object) -> None:
            raise ZeroDivisionError(f"the store client fails in {name}")

        return fail


def build_node(own: Identity, **changes: Any) -> Node:
    """Return the node of a process on loopback."""
    values = {**VALUES, "role": own.role.value, "address": ADDRESS, "peer_port": PEER_PORT}
    settings = parse_settings(json.dumps({**values, **changes}), str(Path("settings.json")))
    return Node(settings, NoPlatform(), EventLog(20.0), random.Random(1), own)  # type: ignore[arg-type]


@pytest.fixture
def agent_node() -> Node:
    """Return the node of an agent."""
    return build_node(Identity("agent-1", Role.AGENT, 2, "a", "alerts"))


@pytest.fixture
def node() -> Node:
    """Return the node of a balancer on loopback."""
    return build_node(Identity("balancer-1", Role.BALANCER, 1, "a"), **BALANCER_CHANGES)

"""A notice, packet or request whose handling fails is dropped and counted; the process goes on."""

import json
import socket
from pathlib import Path
from typing import Any

import pytest
import trio

from fescueseam.handshake.codec import encode_notice
from fescueseam.handshake.effects import LogEvent, Observe
from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import Notice, Report
from fescueseam_daemon.handshake.balancer import BalancerProcess
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.running import reload_settings
from fescueseam_daemon.handshake.tests.conftest import ADDRESS, PEER_PORT
from fescueseam_daemon.handshake.tests.test_settings import VALUES
from fescueseam_daemon.handshake.web import HttpClient


def test_reload_keeps_the_ports_that_sockets_are_bound_to(
    node: Node, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "settings.json"
    values = {**VALUES, "role": "balancer", "peer_port": 7000, "seeds": ["10.1.0.11:8166"]}
    path.write_text(json.dumps({**values, "log_lines_per_s": 5, "remote_penalty_ms": 7}))
    logged = []
    monkeypatch.setattr(Node, "log_event", lambda node, *event: logged.append(event))
    reload_settings(path, node)
    assert node.settings.peer_port == PEER_PORT
    assert node.settings.address == ADDRESS
    assert [str(seed) for seed in node.settings.seeds] == ["10.1.0.11:8166"]
    assert node.settings.remote_penalty_s == pytest.approx(0.007)
    assert node.events.max_lines_per_s == 5
    event, fields = logged[0]
    assert event == "settings-reloaded"
    assert {"peer_port", "address"} <= set(fields["kept_until_start"])


def build_datagram(name: str, sequence: int) -> bytes:
    report = Report(Identity(name, Role.AGENT, 50 + sequence, "a", "alerts"), Load())
    return encode_notice(Notice(name, 1, sequence, report))


def count_failures(node: Node, place: str) -> int:
    return node.events.counts["handler-failed", place]


def test_process_goes_on_after_failing_notices_loops_and_requests(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    record_report = Fleet.record_report

    def fail_for_one(fleet: Fleet, identity: Identity, *args: Any) -> bool:
        if identity.name == "poison":
            raise ZeroDivisionError("a fault in the handling of one notice")
        return record_report(fleet, identity, *args)

    monkeypatch.setattr(Fleet, "record_report", fail_for_one)

    async def main() -> None:
        process = BalancerProcess(node)
        monkeypatch.setattr(BalancerProcess, "is_ready", lambda process: 1 / 0)
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process.run)
            await trio.sleep(0.05)
            for number, name in enumerate(("agent-1", "poison", "agent-2")):
                sender.sendto(build_datagram(name, number), (ADDRESS, PEER_PORT))
            with trio.fail_after(5.0):
                while node.fleet.find("agent-2") is None:
                    await trio.sleep(0.01)
            client = HttpClient(ADDRESS, 8167)
            response = await client.request("GET", "/readyz", None, 2.0)
            assert response.status == 500
            with trio.fail_after(5.0):
                while count_failures(node, "rules-watch") < 2:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()
        sender.close()
        await node.close()

    trio.run(main)
    assert count_failures(node, "notice") == 1
    assert count_failures(node, "readiness-request") == 1
    assert node.fleet.find("agent-1") is not None


def test_failing_effect_does_not_keep_back_the_others(node: Node) -> None:
    async def main() -> None:
        poison = Observe("opening_seconds", "alerts", "not a number")  # type: ignore[arg-type]
        node.execute([LogEvent("first"), poison, LogEvent("second")])

    trio.run(main)
    assert node.events.counts["second", ""] == 1
    assert count_failures(node, "effect") == 1

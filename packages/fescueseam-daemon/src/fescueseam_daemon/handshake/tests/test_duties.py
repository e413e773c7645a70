"""Steps of a balancer whose packets wait unread.

Load pattern: a burst that the processor of a small machine cannot follow beside larger ones.
"""

from typing import Any

import pytest
import trio
from trio.testing import MockClock

from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.rules import Outage, Rules
from fescueseam.overload.duties import START_GRACE_S
from fescueseam_daemon.handshake.balancer import BalancerProcess
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.tests.conftest import BALANCER_CHANGES, build_node
from fescueseam_daemon.handshake.udp import UdpSocket

NEIGHBOURS = 3


def run_behind(monkeypatch: pytest.MonkeyPatch, reports_arrive: bool, **changes: Any) -> list[Any]:
    """Run a balancer whose packets wait unread; return whether it is ready, and its last report."""
    monkeypatch.setattr(UdpSocket, "has_unread_data", lambda sock: True)
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: None)
    own = Identity("balancer-0", Role.BALANCER, 1, "a")
    outcome: list[Any] = []

    async def main() -> None:
        node = build_node(own, **BALANCER_CHANGES, **changes)
        process = BalancerProcess(node)
        process.configuration.update_rules(Rules(1), 0.0)
        process.configuration.update_outage(Outage(1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process.duties.run)
            for second in range(int(START_GRACE_S) + 10):
                for number in range(1, 1 + NEIGHBOURS):
                    identity = Identity(f"balancer-{number}", Role.BALANCER, 1 + number, "a")
                    if reports_arrive or second == 0:
                        node.fleet.record_report(
                            identity, Load(capacity=1.0), 1 + second, trio.current_time()
                        )
                await trio.sleep(1.0)
                if second == 5:
                    assert process.is_ready()
            load = process._build_report().load
            outcome.extend([process.is_ready(), load.lagging, load.resting])
            outcome.append(node.collect_gauges().get("duty_step"))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return outcome


def test_small_balancer_reports_not_ready_after_it_has_shed_duties(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    size = {"processor_share": 0.39, "processors": 1, "link_mbps": 5}
    assert run_behind(monkeypatch, True, **size) == [False, True, True, 2.0]


def test_balancer_that_hears_nobody_stays_in_rotation(monkeypatch: pytest.MonkeyPatch) -> None:
    size = {"processor_share": 0.39, "processors": 1, "link_mbps": 5}
    assert run_behind(monkeypatch, False, **size) == [True, True, False, 1.0]


def test_unknown_size_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    assert run_behind(monkeypatch, True) == [True, False, False, None]

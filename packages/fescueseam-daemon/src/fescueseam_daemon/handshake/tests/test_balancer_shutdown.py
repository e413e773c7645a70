"""Planned stop of a balancer.

Load pattern: balancers are stopped one after the other while callers keep many flows open.
"""

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from fescueseam.handshake.effects import Effects, SendNotice
from fescueseam.handshake.handover import HANDED_OVER_FLOWS_LIMIT
from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.notices import HomeHandover
from fescueseam.handshake.questions import BATCH_FLOWS_LIMIT
from fescueseam.handshake.tests.conftest import build_flow
from fescueseam_daemon.handshake.balancer import (
    HANDOVER_INTERVAL_S,
    SHUTDOWN_FORWARDING_S,
    BalancerProcess,
)
from fescueseam_daemon.handshake.node import Node


@define
class Stop:
    """What a stop did: when it sent each hand-over notice, and how long it took, in seconds."""

    sent_at: list[float] = field(factory=list)
    took_s: float = 0.0


def stop_balancer(node: Node, flows: int, monkeypatch: pytest.MonkeyPatch) -> Stop:
    """Stop a balancer that has one neighbour and knows the homes of some flows."""
    stop = Stop()

    def execute(_: Node, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, SendNotice) and isinstance(effect.body, HomeHandover):
                stop.sent_at.append(trio.current_time())

    monkeypatch.setattr(Node, "execute", execute)
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: None)

    async def main() -> None:
        started_at = trio.current_time()
        process = BalancerProcess(node)
        neighbour = Identity("balancer-2", Role.BALANCER, 3, node.own.data_centre)
        node.fleet.record_report(neighbour, Load(), 1, started_at)
        for number in range(flows):
            process.core.homes.remember(build_flow(number), "agent-1", "alerts", started_at)
        await process.shut_down()
        assert not process.is_ready()
        stop.took_s = trio.current_time() - started_at

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return stop


def test_homes_are_handed_over_one_notice_at_a_time(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    stop = stop_balancer(node, 3 * BATCH_FLOWS_LIMIT, monkeypatch)
    assert len(stop.sent_at) == 3
    gaps = [later - earlier for earlier, later in zip(stop.sent_at, stop.sent_at[1:], strict=False)]
    assert gaps == pytest.approx([HANDOVER_INTERVAL_S] * 2)


@pytest.mark.parametrize("flows", [0, 10, 2 * HANDED_OVER_FLOWS_LIMIT])
def test_hand_over_does_not_prolong_the_stop(
    node: Node, monkeypatch: pytest.MonkeyPatch, flows: int
) -> None:
    stop = stop_balancer(node, flows, monkeypatch)
    assert stop.took_s == pytest.approx(SHUTDOWN_FORWARDING_S, abs=HANDOVER_INTERVAL_S)

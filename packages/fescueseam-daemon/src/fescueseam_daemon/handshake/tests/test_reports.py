"""Reports that a balancer sends, without a network."""

import pytest
import trio

from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.notices import NoticeBody, Report
from fescueseam_daemon.handshake.balancer import REPORT_BATCH_INTERVAL_S, BalancerProcess
from fescueseam_daemon.handshake.node import Node

AGENT = Identity("agent-1", Role.AGENT, 11, "a", "alerts")


def test_agent_that_left_an_opening_unanswered_is_asked_for_a_report(
    node: Node, monkeypatch: pytest.MonkeyPatch
) -> None:
    sent: list[NoticeBody] = []
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: sent.append(body))

    async def main() -> None:
        process = BalancerProcess(node)
        now = trio.current_time()
        node.fleet.record_report(AGENT, Load(Availability.READY), 1, now)
        with trio.move_on_after(3 * REPORT_BATCH_INTERVAL_S):
            await process._send_due_reports()
        requests = [item for item in sent if isinstance(item, Report) and item.requests_report]
        assert requests == []
        node.fleet.record_unanswered(AGENT.name, trio.current_time())
        with trio.move_on_after(3 * REPORT_BATCH_INTERVAL_S):
            await process._send_due_reports()

    trio.run(main)
    assert sum(isinstance(item, Report) and item.requests_report for item in sent) == 1

"""Test that a freed slot goes to the opening that has waited longest."""

import pytest

from fescueseam.admission.gate import LoadReport
from fescueseam.agent import agent as agent_module
from fescueseam.agent.tests.conftest import REQUEST_PORT, Cluster, build_packet
from fescueseam.effects import Deliver, Probe
from fescueseam.messages import types
from fescueseam.messages.types import Message


@pytest.mark.parametrize("reverse", [False, True])
def test_freed_slot_goes_to_the_oldest_offer(cluster: Cluster, reverse: bool) -> None:
    name = sorted(cluster.agents)[0]
    others = [other for other in sorted(cluster.agents) if other != name]
    agent = cluster.agents[name]
    now = cluster.now

    def offer(sender: str, number: int, attempt: int, age_s: float, time: float):
        raw = build_packet(REQUEST_PORT, number)
        epoch = agent.view.find_table(agent.service).epoch
        body = types.Place(attempt, raw, age_s)
        message = Message(sender, 1, body, 0, name, agent.service, "", epoch)
        return agent.handle_message(message, time)

    def report(requested: float, time: float):
        busy = agent.home.gate.busy
        return agent.handle_report(LoadReport(1, busy, busy, requested, 5000.0), time)

    def count_opened(effects) -> list[int]:
        return [item.flow.source_port for item in effects if isinstance(item, Deliver)]

    number = 0
    while agent.home.gate.busy < agent.rules.slots:
        number += 1
        offer(others[0], number, number, 0.0, now)
        report(now, now)
    full = number
    first, second = (others[1], others[0]) if reverse else (others[0], others[1])
    offer(first, full + 1, 100, 0.0, now)
    offer(second, full + 2, 100, 0.0, now)
    flow = next(iter(agent.home.flows)).key
    told = agent.handle_closed(flow, True, now + 0.1)
    assert sum(isinstance(getattr(item, "message", None), Message) for item in told) == 2
    held = offer(first, full + 1, 101, 0.1, now + 0.101)
    held += offer(second, full + 2, 101, 0.2, now + 0.102)
    assert not count_opened(held)
    early = report(now + 0.101, now + 0.102)
    assert not count_opened(early)
    assert any(isinstance(item, Probe) for item in early)
    after = now + 0.1 + agent_module.OFFER_COLLECTION_S + 0.001
    opened = count_opened(report(after, after + 0.001))
    assert len(opened) == 1
    assert agent.home.flows.find(flow) is None
    records = {record.key.source_port for record in agent.home.flows}
    assert opened[0] in records
    oldest = build_packet(REQUEST_PORT, full + 2)
    assert opened[0] == int.from_bytes(oldest[20:22], "big")

"""A freed slot has to go to the opening that has waited longest, not to the first offer."""

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

    def send_offer(sender: str, number: int, attempt: int, age_s: float, time: float):
        raw = build_packet(REQUEST_PORT, number)
        epoch = agent.view.find_table(agent.service).epoch
        body = types.Place(attempt, raw, age_s)
        message = Message(sender, 1, body, 0, name, agent.service, "", epoch)
        return agent.handle_message(message, time)

    def send_report(requested: float, time: float):
        busy = agent.home.gate.busy
        return agent.handle_report(LoadReport(1, busy, busy, requested, 5000.0), time)

    def list_opened_ports(effects) -> list[int]:
        return [item.flow.source_port for item in effects if isinstance(item, Deliver)]

    number = 0
    while agent.home.gate.busy < agent.rules.slots:
        number += 1
        send_offer(others[0], number, number, 0.0, now)
        send_report(now, now)
    last_admitted = number
    first, second = (others[1], others[0]) if reverse else (others[0], others[1])
    send_offer(first, last_admitted + 1, 100, 0.0, now)
    send_offer(second, last_admitted + 2, 100, 0.0, now)
    flow = next(iter(agent.home.flows)).key
    notifications = agent.handle_flow_closed(flow, True, now + 0.1)
    assert sum(isinstance(getattr(item, "message", None), Message) for item in notifications) == 2
    offer_effects = send_offer(first, last_admitted + 1, 101, 0.1, now + 0.101)
    offer_effects += send_offer(second, last_admitted + 2, 101, 0.2, now + 0.102)
    assert not list_opened_ports(offer_effects)
    report_effects = send_report(now + 0.101, now + 0.102)
    assert not list_opened_ports(report_effects)
    assert any(isinstance(item, Probe) for item in report_effects)
    after = now + 0.1 + agent_module.OFFER_COLLECTION_S + 0.001
    opened = list_opened_ports(send_report(after, after + 0.001))
    assert len(opened) == 1
    assert agent.home.flows.find(flow) is None
    records = {record.key.source_port for record in agent.home.flows}
    assert opened[0] in records
    oldest = build_packet(REQUEST_PORT, last_admitted + 2)
    assert opened[0] == int.from_bytes(oldest[20:22], "big")

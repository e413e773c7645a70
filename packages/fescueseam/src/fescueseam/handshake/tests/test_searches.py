"""Load pattern: a balancer on a narrow link starts anew and gets its flows back all at once."""

import pytest

from fescueseam.handshake.tests.conftest import Mesh, build_opening, flow_number

AGENTS = tuple(range(11, 31))
FLOWS = 40


@pytest.fixture
def crowd() -> Mesh:
    """Return two balancers, of which the first one has just started anew, and many agents."""
    built = Mesh()
    for address in (1, 2):
        built.add_balancer(address)
    for address in AGENTS:
        built.add_agent(address)
    built.run(3.0)
    for number in range(FLOWS):
        built.open(flow_number(number), 1)
    # Another balancer carries the flows while the first one is away.
    for number in range(FLOWS):
        built.request(flow_number(number), 2)
    built.run(0.5)
    built.add_balancer(1)
    built.run(1.0)
    built.asked.clear()
    return built


def test_flows_that_come_back_are_found_by_the_balancer_that_carried_them(crowd: Mesh) -> None:
    for number in range(FLOWS):
        crowd.request(flow_number(number), 1, sequence=2000)
    crowd.run(0.5)
    assert crowd.resets == []
    assert sum(backend.served for backend in crowd.backends.values()) == 2 * FLOWS
    # One question to the other balancer and one to the agent that it names.
    assert len(crowd.asked) <= 2 * FLOWS


def test_a_wrong_hint_costs_one_question_and_no_packet(crowd: Mesh) -> None:
    flow = flow_number(0)
    home = crowd.find_home(flow)
    wrong = next(address for address in AGENTS if address != home)
    crowd.nodes[2].homes[flow].agent = f"agent-{wrong}"
    crowd.request(flow, 1, sequence=2000)
    crowd.run(0.5)
    assert crowd.resets == []
    assert crowd.backends[wrong].strangers == {}
    assert crowd.backends[home].served >= 2
    assert len(crowd.asked) <= 1 + len(AGENTS)


def test_the_agents_are_asked_when_no_balancer_nearby_answers(crowd: Mesh) -> None:
    crowd.cut.add(2)
    crowd.request(flow_number(0), 1, sequence=2000)
    crowd.run(0.1)
    assert crowd.resets == []
    assert sum(backend.served for backend in crowd.backends.values()) == FLOWS + 1


def test_a_copy_of_an_opening_packet_asks_no_agent(crowd: Mesh) -> None:
    flow = flow_number(FLOWS)
    crowd.send(build_opening(flow, attempt=1), 1)
    crowd.run(0.1)
    assert crowd.asked == [(1, 2)]
    assert sum(flow in backend.flows for backend in crowd.backends.values()) == 1


def test_a_copy_goes_where_the_earlier_one_went(crowd: Mesh) -> None:
    flow = flow_number(FLOWS)
    for attempt in (0, 1, 2):
        crowd.send(build_opening(flow, attempt=attempt), 1)
        crowd.run(0.2)
    assert crowd.asked == []
    assert sum(flow in backend.flows for backend in crowd.backends.values()) == 1


def test_a_copy_at_another_balancer_goes_where_the_earlier_one_went(crowd: Mesh) -> None:
    flow = flow_number(FLOWS)
    crowd.send(build_opening(flow), 2)
    crowd.run(0.1)
    crowd.send(build_opening(flow, attempt=1), 1)
    crowd.run(0.1)
    assert sum(flow in backend.flows for backend in crowd.backends.values()) == 1

"""Where new flows go, and when they are refused."""

from fescueseam.handshake.agent import ANSWER_TIMEOUT_S
from fescueseam.handshake.balancer import SETTLE_S
from fescueseam.handshake.members import Availability
from fescueseam.handshake.openings import OFFER_TIMEOUT_S
from fescueseam.handshake.rules import Outage, Route, Rules, Share
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    INTAKE,
    SERVICE_ADDRESS,
    SERVICE_PORT,
    Mesh,
    build_opening,
    flow_number,
)


def count_openings(mesh: Mesh, address: int) -> int:
    return len(mesh.backends[address].openings)


def offer_flows(mesh: Mesh, count: int, gap_s: float = 0.02, first: int = 0) -> None:
    for number in range(first, first + count):
        mesh.send(build_opening(flow_number(number)), 1)
        mesh.run(gap_s)


def test_a_draining_server_gets_no_new_flow(mesh: Mesh) -> None:
    mesh.beat(11, 50, availability=Availability.DRAINING)
    offer_flows(mesh, 20)
    assert count_openings(mesh, 11) == 0


def test_a_draining_server_gets_no_flow_from_a_balancer_that_has_not_heard(mesh: Mesh) -> None:
    agent = mesh.nodes[11]
    agent.backend.availability = Availability.DRAINING
    offer_flows(mesh, 20, gap_s=0.005)
    assert count_openings(mesh, 11) == 0
    assert mesh.resets == []


def test_a_data_centre_that_is_out_gets_no_new_flow(mesh: Mesh) -> None:
    mesh.add_agent(21, data_centre="b")
    mesh.run(1.0)
    mesh.nodes[1].book.take_outage(Outage(7, frozenset({"a"})))
    offer_flows(mesh, 20)
    assert [count_openings(mesh, address) for address in (11, 12, 13)] == [0, 0, 0]
    assert count_openings(mesh, 21) == 20


def test_agents_of_a_data_centre_that_is_out_admit_nothing_by_themselves(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.nodes[address].outage = Outage(7, frozenset({"a"}))
    offer_flows(mesh, 3)
    assert [count_openings(mesh, address) for address in (11, 12, 13)] == [0, 0, 0]
    assert len(mesh.resets) == 3


def test_a_cold_server_gets_no_more_openings_than_it_bears(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.beat(address, 50, cold_left_s=5.0)
    offer_flows(mesh, 100, gap_s=0.02)
    for address in (11, 12, 13):
        times = mesh.backends[address].openings
        for start in times:
            assert sum(1 for time in times if start <= time < start + 1.0) <= 4


def test_an_agent_without_rules_bounds_a_cold_server(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.nodes[address].rules_version = 0
        mesh.beat(address, 50, cold_left_s=5.0)
    mesh.nodes.pop(2)
    for _ in range(20):
        effects = mesh.nodes[11]._find_objection(0, mesh.now)
        if not effects:
            mesh.nodes[11].backend.warmth.note_opening(mesh.now)
        mesh.run(0.01)
    assert mesh.nodes[11]._find_objection(0, mesh.now) == "cold"


def test_a_busy_server_passes_a_flow_to_a_free_one(mesh: Mesh) -> None:
    mesh.nodes[11].flows.busy = 2
    mesh.nodes[12].flows.busy = 2
    offer_flows(mesh, 2)
    assert count_openings(mesh, 13) == 2


def test_a_flow_waits_at_a_server_when_all_are_busy(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.nodes[address].flows.busy = 3
    offer_flows(mesh, 1)
    assert sum(count_openings(mesh, address) for address in (11, 12, 13)) == 1
    assert mesh.resets == []


def test_a_flow_is_refused_at_once_when_the_wait_is_too_long(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.nodes[address].flows.busy = 100
    offer_flows(mesh, 1, gap_s=0.05)
    assert mesh.resets == [flow_number(0)]
    assert sum(count_openings(mesh, address) for address in (11, 12, 13)) == 0


def test_a_flow_is_offered_elsewhere_when_an_agent_is_dead(mesh: Mesh) -> None:
    mesh.cut |= {11, 12}
    offer_flows(mesh, 1)
    mesh.run(2 * OFFER_TIMEOUT_S + 0.06)
    assert count_openings(mesh, 13) == 1


def test_a_flow_is_offered_elsewhere_when_a_server_does_not_answer(mesh: Mesh) -> None:
    for address in (11, 12):
        mesh.backends[address].alive = False
    offer_flows(mesh, 1)
    mesh.run(2 * ANSWER_TIMEOUT_S + 0.06)
    assert count_openings(mesh, 13) == 1


def test_a_server_that_does_not_answer_gets_no_flow_until_it_reports(mesh: Mesh) -> None:
    mesh.backends[11].alive = False
    offer_flows(mesh, 20)
    assert mesh.count_notes("opening-unanswered") <= 3


def test_a_server_that_returns_openings_is_passed_over(mesh: Mesh) -> None:
    mesh.backends[11].accepts = mesh.backends[12].accepts = False
    offer_flows(mesh, 5)
    assert count_openings(mesh, 13) == 5


def test_a_flow_without_route_is_refused(mesh: Mesh) -> None:
    flow = (*flow_number(0)[:3], 999)
    mesh.send(build_opening(flow), 1)
    mesh.run(0.05)
    assert mesh.resets == [flow]


def test_a_balancer_without_rules_refuses_nothing(mesh: Mesh) -> None:
    mesh.rules = Rules()
    balancer = mesh.add_balancer(3)
    mesh.send(build_opening(flow_number(0)), 3)
    mesh.run(0.05)
    assert balancer.book.rules.version == 0
    assert mesh.resets == []


def test_a_balancer_that_has_just_started_refuses_nothing_for_want_of_agents() -> None:
    mesh = Mesh()
    mesh.add_balancer(1)
    mesh.send(build_opening(flow_number(0)), 1)
    mesh.run(0.05)
    assert mesh.resets == []
    mesh.run(SETTLE_S)
    mesh.send(build_opening(flow_number(1)), 1)
    mesh.run(0.05)
    assert mesh.resets == [flow_number(1)]


def test_an_older_configuration_is_not_taken(mesh: Mesh) -> None:
    book = mesh.nodes[1].book
    assert book.take_rules(Rules(5))
    assert not book.take_rules(Rules(4))
    assert book.rules.version == 5


def test_a_split_route_deals_flows_by_weight(mesh: Mesh) -> None:
    shares = (Share(ALERTS, 90), Share(INTAKE, 10))
    book = mesh.nodes[1].book
    book.take_rules(Rules(2, (Route("r", SERVICE_ADDRESS, SERVICE_PORT, shares),)))
    dealt = [book.find_service(flow_number(number)) for number in range(1000)]
    assert 850 <= dealt.count(ALERTS) <= 950
    assert dealt == [book.find_service(flow_number(number)) for number in range(1000)]


def test_a_leaving_agent_is_offered_no_flow(mesh: Mesh) -> None:
    mesh.carry_out(11, mesh.nodes[11].leave(mesh.now))
    mesh.run(0.01)
    offer_flows(mesh, 10)
    assert count_openings(mesh, 11) == 0
    reasons = {note.fields["reason"] for note in mesh.notes if note.event == "opening-returned"}
    assert "agent-leaving" not in reasons


def test_a_balancer_that_does_not_know_the_outage_offers_nothing(mesh: Mesh) -> None:
    balancer = mesh.add_balancer(3)
    balancer.book.outage = Outage()
    mesh.run(0.3)
    mesh.send(build_opening(flow_number(0)), 3)
    mesh.run(0.1)
    assert mesh.count_notes("flow-offered") == 0
    assert mesh.resets == []
    balancer.book.take_outage(Outage(9, frozenset({"b"})))
    mesh.run(0.1)
    assert mesh.count_notes("flow-offered") == 1


def test_a_copy_of_an_opening_is_tried_elsewhere_as_soon_as_it_is_returned(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.add_agent(address, sequence=9)
    mesh.run(0.3)
    for address in (11, 12):
        mesh.nodes[address].leaving = True
    mesh.send(build_opening(flow_number(0), attempt=1), 1)
    mesh.run(0.03)
    assert count_openings(mesh, 13) == 1

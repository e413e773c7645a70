"""Load pattern: every machine loses power at once and callers press on while it comes back."""

from fescueseam.handshake.members import UNHEARD_AFTER_S, Availability, Identity, Role
from fescueseam.handshake.openings import CLOSED_REST_S, PARK_S, PARKED_PER_TICK
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    FakeBackend,
    Mesh,
    build_opening,
    build_segment,
    flow_number,
)


def count_all_openings(mesh: Mesh) -> int:
    return sum(len(backend.openings) for backend in mesh.backends.values())


def test_openings_wait_for_the_first_agent_that_is_ready() -> None:
    mesh = Mesh()
    mesh.add_balancer(1)
    for number in range(6):
        mesh.send(build_opening(flow_number(number)), 1)
    mesh.run(0.5)
    assert mesh.resets == []
    for address in (11, 12, 13):
        mesh.add_agent(address)
    mesh.run(0.4)
    assert count_all_openings(mesh) == 6
    assert mesh.resets == []


def test_an_opening_is_given_up_before_its_caller_does() -> None:
    mesh = Mesh()
    mesh.add_balancer(1)
    mesh.send(build_opening(flow_number(0)), 1)
    mesh.run(PARK_S + 0.1)
    assert mesh.nodes[1].parked == {}
    mesh.add_agent(11)
    mesh.run(0.5)
    assert count_all_openings(mesh) == 0


def test_a_server_that_has_not_reported_gets_few_openings() -> None:
    mesh = Mesh()
    mesh.add_balancer(1)
    agent = mesh.add_agent(11, sequence=1)
    mesh.run(0.3)
    agent.backend.current = None
    agent.backend.availability = Availability.UNKNOWN
    mesh.run(0.3)
    for number in range(10):
        mesh.send(build_opening(flow_number(number)), 1)
    mesh.run(0.2)
    assert 1 <= count_all_openings(mesh) <= 2


def test_entries_of_lost_agents_do_not_keep_dead_flows_waiting(mesh: Mesh) -> None:
    lost = Identity("lost", Role.AGENT, 99, "a", ALERTS)
    balancer = mesh.add_balancer(1)
    balancer.fleet.note_listed(lost, mesh.now)
    mesh.run(0.5)
    mesh.request(flow_number(0), 1)
    mesh.run(0.5)
    assert mesh.resets == []
    mesh.run(UNHEARD_AFTER_S)
    mesh.request(flow_number(0), 1)
    mesh.run(0.1)
    assert mesh.resets == [flow_number(0)]


def test_flows_of_servers_that_lost_power_are_reset(mesh: Mesh) -> None:
    flows = [flow_number(number) for number in range(10)]
    for flow in flows:
        mesh.open(flow, 1)
    for address in (1, 2):
        mesh.add_balancer(address)
    for address in (11, 12, 13):
        mesh.backends[address] = FakeBackend(f"anew-{address}")
        mesh.add_agent(address, sequence=6)
    mesh.run(0.3)
    for flow in flows:
        mesh.request(flow, 2)
    mesh.run(0.5)
    assert sorted(mesh.resets) == flows


def test_a_crashed_server_keeps_no_opening_waiting_while_others_are_full(mesh: Mesh) -> None:
    mesh.nodes[11].backend.unanswered = 9
    for address in (12, 13):
        mesh.nodes[address].flows.busy = 100
    mesh.run(0.3)
    mesh.send(build_opening(flow_number(0)), 1)
    mesh.run(0.05)
    assert mesh.resets == [flow_number(0)]


def test_openings_wait_while_every_server_of_the_service_is_crashed(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.nodes[address].backend.unanswered = 9
    mesh.run(0.3)
    mesh.send(build_opening(flow_number(0)), 1)
    mesh.run(0.3)
    assert mesh.resets == []
    mesh.beat(12, 60)
    mesh.run(0.1)
    assert count_all_openings(mesh) == 1


def test_waiting_openings_are_not_offered_over_and_over_to_full_agents(mesh: Mesh) -> None:
    for address in (11, 12, 13):
        mesh.nodes[address].flows.busy = 100
    balancer = mesh.add_balancer(1)
    mesh.run(0.3)
    for number in range(50):
        mesh.send(build_opening(flow_number(number)), 1)
    mesh.run(0.1)
    assert len(balancer.parked) > PARKED_PER_TICK
    mesh.notes.clear()
    mesh.run(1.0)
    # Each of the few tries at each of three agents, at ease and insisting, once a rest.
    tries = PARKED_PER_TICK * 3 * 2
    assert mesh.count_notes("flow-offered") <= tries * (1.0 / CLOSED_REST_S + 1)


def test_a_callers_reset_of_an_unknown_flow_asks_nobody(mesh: Mesh) -> None:
    mesh.send(build_segment(flow_number(0), resets=True), 1)
    mesh.run(0.05)
    assert mesh.nodes[1].searches == {}
    assert mesh.resets == []


def test_probes_do_not_make_a_server_look_busy(mesh: Mesh) -> None:
    agents = [mesh.add_agent(address, sequence=9) for address in (11, 12, 13)]
    mesh.run(0.3)
    for address in (11, 12, 13):
        mesh.backends[address].alive = False
    for number in range(40):
        mesh.request(flow_number(number), 1)
    mesh.run(1.0)
    assert [agent.flows.busy for agent in agents] == [0, 0, 0]


def test_a_callers_reset_frees_the_slot(mesh: Mesh) -> None:
    mesh.open(flow_number(0), 1)
    mesh.run(0.1)
    home = mesh.find_home(flow_number(0))
    assert home is not None
    mesh.backends[home].alive = False
    mesh.request(flow_number(0), 1)
    mesh.run(0.05)
    agent = mesh.nodes[home]
    assert agent.flows.busy == 1
    mesh.send(build_segment(flow_number(0), resets=True), 1)
    mesh.run(0.05)
    assert agent.flows.busy == 0


def test_a_server_that_started_anew_is_not_busy_with_earlier_requests(mesh: Mesh) -> None:
    mesh.open(flow_number(0), 1)
    home = mesh.find_home(flow_number(0))
    assert home is not None
    mesh.backends[home].alive = False
    mesh.request(flow_number(0), 1)
    mesh.run(0.05)
    mesh.backends[home] = FakeBackend("anew")
    mesh.beat(home, 1, name="anew", started_ms=9)
    assert mesh.nodes[home].flows.busy == 0


def test_flows_admitted_before_the_first_heartbeat_outlive_it() -> None:
    mesh = Mesh()
    mesh.add_balancer(1)
    agent = mesh.add_agent(11, sequence=1)
    agent.backend.current = None
    agent.backend.availability = Availability.UNKNOWN
    mesh.run(0.3)
    mesh.open(flow_number(0), 1)
    assert mesh.find_home(flow_number(0)) == 11
    mesh.beat(11, 1)
    mesh.request(flow_number(0), 1)
    mesh.run(0.3)
    assert mesh.resets == []
    assert mesh.backends[11].served == 1


def test_a_retired_agent_that_shows_up_and_goes_does_not_keep_dead_flows_waiting(
    mesh: Mesh,
) -> None:
    mesh.beat(13, 90)
    agent = mesh.nodes[13]
    agent.backend.current = None
    agent.backend.availability = Availability.UNKNOWN
    mesh.run(0.3)
    mesh.cut.add(13)
    mesh.run(UNHEARD_AFTER_S)
    mesh.request(flow_number(0), 1)
    mesh.run(0.1)
    assert mesh.resets == [flow_number(0)]

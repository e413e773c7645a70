"""Recovery after all instances lose power at once, while callers keep sending."""

from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.members import SHORT_MEMBER_TIMEOUT_S
from fescueseam.handshake.openings import (
    DEFERRED_RETRIES_PER_TICK,
    DEFERRED_TIMEOUT_S,
    REJECTED_BACKOFF_S,
)
from fescueseam.handshake.rules import Rules
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    RULES,
    Cluster,
    FakeBackend,
    build_flow,
    build_opening,
    build_segment,
)


def count_all_openings(cluster: Cluster) -> int:
    return sum(len(backend.opening_times) for backend in cluster.backends.values())


def test_openings_wait_until_an_agent_is_ready() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    for number in range(6):
        cluster.send(build_opening(build_flow(number)), 1)
    cluster.run(0.5)
    assert cluster.resets == []
    for address in (11, 12, 13):
        cluster.add_agent(address)
    cluster.run(0.4)
    assert count_all_openings(cluster) == 6
    assert cluster.resets == []


def test_opening_that_arrives_before_the_configuration_is_placed_once_it_is_there() -> None:
    cluster = Cluster(rules=Rules())
    balancer = cluster.add_balancer(1)
    cluster.add_agent(11)
    cluster.run(0.5)
    flow, unknown = build_flow(0), (*build_flow(1)[:3], 999)
    for item in (flow, unknown):
        cluster.send(build_opening(item), 1)
    cluster.run(0.1)
    assert count_all_openings(cluster) == 0
    balancer.configuration.update_rules(RULES, 0.0)
    cluster.run(0.1)
    assert cluster.answers[flow] == 1
    assert cluster.answers[unknown] == 0
    assert balancer.deferred == {}


def test_deferred_opening_expires_before_its_caller_gives_up() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(DEFERRED_TIMEOUT_S + 0.1)
    assert cluster.nodes[1].deferred == {}
    cluster.add_agent(11)
    cluster.run(0.5)
    assert count_all_openings(cluster) == 0


def test_backend_without_a_heartbeat_gets_few_openings() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    agent = cluster.add_agent(11, sequence=1)
    cluster.run(0.3)
    agent.backend.last_heartbeat = None
    agent.backend.availability = Availability.UNKNOWN
    cluster.run(0.3)
    for number in range(10):
        cluster.send(build_opening(build_flow(number)), 1)
    cluster.run(0.2)
    assert 1 <= count_all_openings(cluster) <= 2


def test_listed_agent_that_is_lost_blocks_resets_only_until_its_timeout(cluster: Cluster) -> None:
    lost = Identity("lost", Role.AGENT, 99, "a", ALERTS)
    balancer = cluster.add_balancer(1)
    balancer.fleet.add_listed(lost, cluster.now)
    cluster.run(0.5)
    cluster.request(build_flow(0), 1)
    cluster.run(0.5)
    assert cluster.resets == []
    cluster.run(SHORT_MEMBER_TIMEOUT_S)
    cluster.request(build_flow(0), 1)
    cluster.run(0.1)
    assert cluster.resets == [build_flow(0)]


def test_flows_of_restarted_backends_are_reset(cluster: Cluster) -> None:
    flows = [build_flow(number) for number in range(10)]
    for flow in flows:
        cluster.open(flow, 1)
    for address in (1, 2):
        cluster.add_balancer(address)
    for address in (11, 12, 13):
        cluster.backends[address] = FakeBackend(f"restarted-{address}")
        cluster.add_agent(address, sequence=6)
    cluster.run(0.3)
    for flow in flows:
        cluster.request(flow, 2)
    cluster.run(0.5)
    assert sorted(cluster.resets) == flows


def test_servers_that_start_before_their_agents_are_not_probed(cluster: Cluster) -> None:
    flows = [build_flow(number) for number in range(10)]
    for flow in flows:
        cluster.open(flow, 1)
    for address in (1, 2):
        cluster.add_balancer(address)
    for address in (11, 12, 13):
        cluster.backends[address] = FakeBackend(f"restarted-{address}")
        # The server has called its agent in vain since both got power.
        cluster.add_agent(address, sequence=8, process_started_ms=10)
    cluster.run(0.3)
    for flow in flows:
        cluster.request(flow, 2)
    cluster.run(0.1)
    assert sorted(cluster.resets) == flows
    assert cluster.count_events("flow-probed") == 0
    assert all(not backend.misrouted_packets for backend in cluster.backends.values())


def test_retired_far_agent_that_came_up_for_a_moment_blocks_resets_only_shortly(
    cluster: Cluster,
) -> None:
    balancer = cluster.nodes[1]
    for number in range(30):
        far = Identity(f"balancer-{500 + number}", Role.BALANCER, 500 + number, "b")
        balancer.fleet.record_report(far, Load(), 1, cluster.now)
    retired = Identity("retired", Role.AGENT, 99, "b", ALERTS, 7)
    balancer.fleet.record_report(retired, Load(Availability.UNKNOWN), 1, cluster.now)
    balancer.fleet.collect_reachability_changes(cluster.now)
    assert balancer.fleet.compute_report_timeout(balancer.fleet.members["retired"]) > 9.0
    flow = build_flow(0)
    for _ in range(6):
        cluster.request(flow, 1)
        cluster.run(0.5)
    assert set(cluster.resets) == {flow}


def test_openings_do_not_wait_for_a_crashed_backend_while_others_are_full(cluster: Cluster) -> None:
    cluster.nodes[11].backend.unanswered_openings = 9
    for address in (12, 13):
        cluster.nodes[address].flows.busy = 100
    cluster.run(0.3)
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(0.05)
    assert cluster.resets == [build_flow(0)]


def test_openings_wait_while_every_backend_of_the_service_is_crashed(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].backend.unanswered_openings = 9
    cluster.run(0.3)
    cluster.send(build_opening(build_flow(0)), 1)
    cluster.run(0.3)
    assert cluster.resets == []
    cluster.start_heartbeats(12, 60)
    cluster.run(0.1)
    assert count_all_openings(cluster) == 1


def test_deferred_openings_are_seldom_offered_to_full_agents(cluster: Cluster) -> None:
    for address in (11, 12, 13):
        cluster.nodes[address].flows.busy = 100
    balancer = cluster.add_balancer(1)
    cluster.run(0.3)
    for number in range(50):
        cluster.send(build_opening(build_flow(number)), 1)
    cluster.run(0.1)
    assert len(balancer.deferred) > DEFERRED_RETRIES_PER_TICK
    cluster.events.clear()
    cluster.run(1.0)
    # In each backoff period, each retried opening is offered to each of three agents twice: for a
    # free slot, and even if every slot is busy.
    offers = DEFERRED_RETRIES_PER_TICK * 3 * 2
    assert cluster.count_events("flow-offered") <= offers * (1.0 / REJECTED_BACKOFF_S + 1)


def test_reset_of_an_unknown_flow_starts_no_search(cluster: Cluster) -> None:
    cluster.send(build_segment(build_flow(0), resets=True), 1)
    cluster.run(0.05)
    assert cluster.nodes[1].searches == {}
    assert cluster.resets == []


def test_probes_do_not_count_as_busy_requests(cluster: Cluster) -> None:
    agents = [cluster.add_agent(address, sequence=9) for address in (11, 12, 13)]
    cluster.run(0.3)
    for address in (11, 12, 13):
        cluster.backends[address].alive = False
    for number in range(40):
        cluster.request(build_flow(number), 1)
    cluster.run(1.0)
    assert [agent.flows.busy for agent in agents] == [0, 0, 0]


def test_reset_by_the_caller_frees_the_slot(cluster: Cluster) -> None:
    cluster.open(build_flow(0), 1)
    cluster.run(0.1)
    home = cluster.find_home(build_flow(0))
    assert home is not None
    cluster.backends[home].alive = False
    cluster.request(build_flow(0), 1)
    cluster.run(0.05)
    agent = cluster.nodes[home]
    assert agent.flows.busy == 1
    cluster.send(build_segment(build_flow(0), resets=True), 1)
    cluster.run(0.05)
    assert agent.flows.busy == 0


def test_restarted_backend_is_not_busy_with_earlier_requests(cluster: Cluster) -> None:
    cluster.open(build_flow(0), 1)
    home = cluster.find_home(build_flow(0))
    assert home is not None
    cluster.backends[home].alive = False
    cluster.request(build_flow(0), 1)
    cluster.run(0.05)
    cluster.backends[home] = FakeBackend("restarted")
    cluster.start_heartbeats(home, 1, name="restarted", started_ms=9)
    assert cluster.nodes[home].flows.busy == 0


def test_flow_admitted_before_the_first_heartbeat_survives_it() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    agent = cluster.add_agent(11, sequence=1)
    agent.backend.last_heartbeat = None
    agent.backend.availability = Availability.UNKNOWN
    cluster.run(0.3)
    cluster.open(build_flow(0), 1)
    assert cluster.find_home(build_flow(0)) == 11
    cluster.start_heartbeats(11, 1)
    cluster.request(build_flow(0), 1)
    cluster.run(0.3)
    assert cluster.resets == []
    assert cluster.backends[11].served == 1


def test_agent_that_disappears_without_a_backend_blocks_resets_only_until_its_timeout(
    cluster: Cluster,
) -> None:
    cluster.start_heartbeats(13, 90)
    agent = cluster.nodes[13]
    agent.backend.last_heartbeat = None
    agent.backend.availability = Availability.UNKNOWN
    cluster.run(0.3)
    cluster.disconnected.add(13)
    cluster.run(SHORT_MEMBER_TIMEOUT_S)
    cluster.request(build_flow(0), 1)
    cluster.run(0.1)
    assert cluster.resets == [build_flow(0)]


def test_agents_that_await_their_first_heartbeat_are_not_probed_after_a_loss_of_power() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    agents = range(11, 31)
    for address in agents:
        backend = FakeBackend(f"restarted-{address}", alive=False)
        cluster.add_agent(address, backend=backend, process_started_ms=1)
    cluster.run(0.3)
    flows = [build_flow(number) for number in range(10)]
    for flow in flows:
        cluster.request(flow, 1)
    cluster.run(0.1)
    for address in agents:
        cluster.backends[address].alive = True
        cluster.start_heartbeats(address, 5)
    cluster.run(0.2)
    assert cluster.count_events("flow-probed") == 0
    assert sorted(cluster.resets) == flows


def test_agent_that_restarts_alone_is_probed_before_its_first_heartbeat(cluster: Cluster) -> None:
    flow = build_flow(0)
    cluster.open(flow, 1)
    home = cluster.find_home(flow)
    assert home is not None
    agent = cluster.add_agent(home)
    agent.backend.last_heartbeat = None
    agent.backend.availability = Availability.UNKNOWN
    agent.backend.knows_all_flows = False
    for balancer in (1, 2):
        cluster.nodes[balancer].homes.clear()
    cluster.execute(home, agent.report_to_all(cluster.now))
    cluster.run(0.01)
    answers = cluster.answers[flow]
    cluster.request(flow, 1)
    cluster.run(0.07)
    assert cluster.answers[flow] > answers


def test_agent_whose_server_does_not_run_holds_up_no_reset() -> None:
    cluster = Cluster()
    cluster.add_balancer(1)
    for address in range(11, 17):
        cluster.add_agent(address, sequence=1)
    retired = cluster.add_agent(17, backend=FakeBackend("retired", alive=False))
    cluster.run(0.3)
    retired.backend.record_refused_connection()
    cluster.execute(17, retired.tick(cluster.now))
    cluster.run(0.01)
    del cluster.nodes[17]
    cluster.request(build_flow(0), 1)
    cluster.run(0.2)
    assert cluster.resets == [build_flow(0)]
    assert cluster.count_events("flow-probed") == 0

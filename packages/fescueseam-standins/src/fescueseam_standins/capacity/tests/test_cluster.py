import pytest
from attrs import evolve

from fescueseam.conf.models import DataCentreState
from fescueseam.routing.table import MemberState
from fescueseam_daemon.control.node import LEASE_S

CONFIGURATION_TIMEOUT_S = 6.0
DATA_CENTRE_OUT_TIMEOUT_S = 3.0


def take_data_centre_out(cfg, data_centre, version=2):
    changed = tuple(
        evolve(item, state=DataCentreState.OUT) if item.name == data_centre else item
        for item in cfg.data_centres
    )
    return evolve(cfg, version=version, data_centres=changed)


def get_configuration_versions(cluster):
    return {item.view.cfg.version for item in cluster.processes.values()}


def get_member_states(cluster, service="katalog"):
    table = cluster.processes["b0"].view.find_table(service)
    return {member.name: member.state for member in table.members}


def get_suspects(cluster):
    return {item.view.suspects for item in cluster.list_balancers()}


def test_a_change_is_in_force_everywhere_though_the_store_fails_right_after(cluster, cfg):
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.step()
    cluster.store.is_down = True
    observed = []
    cluster.run_for(
        CONFIGURATION_TIMEOUT_S, lambda: observed.append(get_configuration_versions(cluster))
    )
    assert observed[-1] == {2}
    oldest = [
        min(version for version in step) for step in observed
    ]  # No process goes back to the earlier version.
    assert oldest == sorted(oldest)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_a_data_centre_out_is_known_in_time_with_a_balancer_cut_from_the_store(cluster, cfg, loss):
    cluster.loss = loss
    cluster.can_reach_store = lambda name: name != "b1"
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(DATA_CENTRE_OUT_TIMEOUT_S)
    assert all(item.view.is_data_centre_out("solo") for item in cluster.processes.values())


def test_an_agent_that_hears_nobody_loses_its_lease_and_gets_it_back(cluster):
    agent = cluster.processes["katalog-1"]
    cluster.can_deliver = lambda sender, receiver: "katalog-1" not in (sender, receiver)
    cluster.run_for(LEASE_S + 0.1)
    assert not agent.node.hears_peers(cluster.now)
    cluster.can_deliver = lambda sender, receiver: True
    cluster.run_for(1.5)
    assert agent.node.hears_peers(cluster.now)


def test_a_frozen_agent_wakes_without_a_lease_though_its_queue_is_full(cluster, cfg):
    agent = cluster.processes["katalog-1"]
    agent.is_frozen = True
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(60.0)
    # Answers to heartbeats sent before the pause wait in the queue; later ones cannot.
    queue = list(agent.inbox)
    for send in queue:
        agent.node.handle(send.message, cluster.now)
    assert not agent.node.hears_peers(cluster.now)
    agent.is_frozen = False
    cluster.run_for(1.5)
    assert agent.node.hears_peers(cluster.now)
    assert agent.view.is_data_centre_out("solo")


def test_a_store_outage_alone_lapses_no_lease_and_ends_without_a_storm(cluster):
    cluster.store.is_down = True
    calls = cluster.store.calls

    def check():
        assert all(item.node.hears_peers(cluster.now) for item in cluster.processes.values())

    cluster.run_for(60.0, check)
    cluster.kill("katalog-0")
    cluster.run_for(240.0, check)
    during = cluster.store.calls - calls
    assert during < 6 * 300 / 5, "each balancer calls less than once in five seconds"
    assert get_suspects(cluster) == {frozenset({"katalog-0"})}
    assert get_member_states(cluster)["katalog-0"] is MemberState.ACTIVE
    cluster.store.is_down = False
    calls = cluster.store.calls
    writes = cluster.store.writes
    cluster.run_for(45.0)
    assert "katalog-0" not in get_member_states(cluster)
    assert cluster.store.writes - writes <= 6
    assert cluster.store.calls - calls <= 60


def test_a_rack_gone_is_suspected_at_once_everywhere(cluster):
    cluster.kill("katalog-1", "katalog-4", "foto-1")
    cluster.run_for(2.5)
    assert get_suspects(cluster) == {frozenset({"katalog-1", "katalog-4", "foto-1"})}
    writes = cluster.store.writes
    cluster.run_for(3.0)
    retired = {
        name for name, state in get_member_states(cluster).items() if state is MemberState.RETIRED
    }
    assert retired == {"katalog-1", "katalog-4"}
    assert cluster.store.writes - writes <= 5, "one for each table and one for the directory"
    agents = [item for item in cluster.list_agents() if item.node.settings.service == "katalog"]
    assert all({"katalog-1", "katalog-4"} <= item.view.suspects for item in agents)


def test_a_dead_balancer_costs_no_agent_its_lease_and_accuses_nobody(cluster):
    def check():
        assert get_suspects(cluster) == {frozenset()}
        assert all(item.node.hears_peers(cluster.now) for item in cluster.list_agents())

    cluster.kill("b1", "b3")
    cluster.run_for(30.0, check)
    assert all(state is MemberState.ACTIVE for state in get_member_states(cluster).values())


def test_restarts_of_agents_and_balancers_stay_invisible(cluster):
    def check():
        assert get_suspects(cluster) == {frozenset()}

    before = cluster.processes["b0"].view.find_table("katalog").epoch
    for index in range(7):
        cluster.kill(f"katalog-{index}")
        data_centre = ("semarang", "solo", "magelang")[index % 3]
        cluster.add_agent(f"katalog-{index}", data_centre, "katalog")
        cluster.run_for(4.0, check)
    assert len(get_member_states(cluster)) == 7
    assert set(get_member_states(cluster).values()) == {MemberState.ACTIVE}
    after = cluster.processes["b0"].view.find_table("katalog").epoch
    assert after - before <= 7, "one write for each restart"


def test_a_region_apart_stands_still_and_comes_back_without_a_storm(cluster, cfg):
    for index in range(2):
        cluster.add_balancer(f"far-b{index}", "esclusa-uno", "valle-central")
    for index in range(3):
        cluster.add_agent(f"far-{index}", "esclusa-uno", "katalog", "valle-central")
    cluster.run_for(40.0)
    assert len(get_member_states(cluster)) == 10
    writes = cluster.store.writes
    cluster.can_deliver = lambda sender, receiver: sender.startswith("far-") == receiver.startswith(
        "far-"
    )
    cluster.can_reach_store = lambda name: not name.startswith("far-")
    cluster.run_for(120.0)
    far = [item for name, item in cluster.processes.items() if name.startswith("far-")]
    assert all(item.node.hears_peers(cluster.now) for item in far)
    assert all(state is MemberState.ACTIVE for state in get_member_states(cluster).values())
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(CONFIGURATION_TIMEOUT_S)
    before = sum(cluster.sent_by_type.values())
    cluster.run_for(10.0)
    usual_messages = sum(cluster.sent_by_type.values()) - before
    cluster.can_deliver = lambda sender, receiver: True
    cluster.can_reach_store = lambda name: True
    before = sum(cluster.sent_by_type.values())
    cluster.run_for(10.0)
    assert sum(cluster.sent_by_type.values()) - before < 2 * usual_messages
    assert get_configuration_versions(cluster) == {2}
    assert cluster.store.writes - writes <= 5


def test_a_balancer_that_starts_while_the_store_is_down_asks_its_peers_first(cluster, cfg):
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(CONFIGURATION_TIMEOUT_S)
    cluster.store.is_down = True
    late = cluster.add_balancer("late", "solo")
    known = cluster.processes["b0"].node.settings
    late.node.seeds.append(cluster.processes["b1"].node.peers.find("b0"))
    assert known.name == "b0"
    observed = []
    cluster.run_for(CONFIGURATION_TIMEOUT_S, lambda: observed.append(late.view.cfg.version))
    assert set(observed) == {0, 2}
    assert late.node.is_current(cluster.now)
    assert len(late.view.find_table("katalog").members) == 7


def test_an_address_used_by_another_service_confuses_no_table(cluster):
    old = cluster.processes["katalog-0"].node.settings
    cluster.kill("katalog-0")
    newcomer = cluster.add_agent("foto-new", "semarang", "foto-cocok")
    address = (old.address, old.control_port)
    newcomer.node.settings = evolve(
        newcomer.node.settings, address=old.address, control_port=old.control_port
    )
    cluster._name_by_address[address] = "foto-new"
    cluster.run_for(6.0)
    assert get_member_states(cluster)["katalog-0"] is MemberState.RETIRED
    cluster.run_for(20.0)
    assert "katalog-0" not in get_member_states(cluster)
    assert "foto-new" in get_member_states(cluster, "foto-cocok")
    assert "foto-new" not in get_member_states(cluster)

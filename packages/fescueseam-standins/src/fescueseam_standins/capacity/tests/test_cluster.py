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


def test_change_reaches_every_process_if_store_fails_right_after_write(cluster, cfg):
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.step()
    cluster.store.is_down = True
    observed = []
    cluster.run_for(
        CONFIGURATION_TIMEOUT_S, lambda: observed.append(get_configuration_versions(cluster))
    )
    assert observed[-1] == {2}
    # No process returns to an earlier version.
    oldest = [min(version for version in step) for step in observed]
    assert oldest == sorted(oldest)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_data_centre_out_reaches_every_process_with_a_balancer_cut_from_store(cluster, cfg, loss):
    cluster.loss = loss
    cluster.can_reach_store = lambda name: name != "b1"
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(DATA_CENTRE_OUT_TIMEOUT_S)
    assert all(item.view.is_data_centre_out("solo") for item in cluster.processes.values())


def test_isolated_agent_loses_lease_and_regains_it(cluster):
    agent = cluster.processes["katalog-1"]
    cluster.can_deliver = lambda sender, receiver: "katalog-1" not in (sender, receiver)
    cluster.run_for(LEASE_S + 0.1)
    assert not agent.node.hears_peers(cluster.now)
    cluster.can_deliver = lambda sender, receiver: True
    cluster.run_for(1.5)
    assert agent.node.hears_peers(cluster.now)


def test_queued_answers_do_not_renew_lease_of_frozen_agent(cluster, cfg):
    agent = cluster.processes["katalog-1"]
    agent.is_frozen = True
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(60.0)
    # The inbox holds only answers to heartbeats that the agent sent before it was frozen.
    queued = list(agent.inbox)
    for send in queued:
        agent.node.handle(send.message, cluster.now)
    assert not agent.node.hears_peers(cluster.now)
    agent.is_frozen = False
    cluster.run_for(1.5)
    assert agent.node.hears_peers(cluster.now)
    assert agent.view.is_data_centre_out("solo")


def test_store_outage_expires_no_lease_and_causes_no_burst_of_calls(cluster):
    cluster.store.is_down = True
    calls = cluster.store.calls

    def check():
        assert all(item.node.hears_peers(cluster.now) for item in cluster.processes.values())

    cluster.run_for(60.0, check)
    cluster.kill("katalog-0")
    cluster.run_for(240.0, check)
    calls_during_outage = cluster.store.calls - calls
    assert calls_during_outage < 6 * 300 / 5, "more than one call per balancer in five seconds"
    assert get_suspects(cluster) == {frozenset({"katalog-0"})}
    assert get_member_states(cluster)["katalog-0"] is MemberState.ACTIVE
    cluster.store.is_down = False
    calls = cluster.store.calls
    writes = cluster.store.writes
    cluster.run_for(45.0)
    assert "katalog-0" not in get_member_states(cluster)
    assert cluster.store.writes - writes <= 6
    assert cluster.store.calls - calls <= 60


def test_agents_killed_together_are_suspected_by_every_balancer(cluster):
    cluster.kill("katalog-1", "katalog-4", "foto-1")
    cluster.run_for(2.5)
    assert get_suspects(cluster) == {frozenset({"katalog-1", "katalog-4", "foto-1"})}
    writes = cluster.store.writes
    cluster.run_for(3.0)
    retired = {
        name for name, state in get_member_states(cluster).items() if state is MemberState.RETIRED
    }
    assert retired == {"katalog-1", "katalog-4"}
    assert cluster.store.writes - writes <= 5, "more than one write per table and directory"
    agents = [item for item in cluster.list_agents() if item.node.settings.service == "katalog"]
    assert all({"katalog-1", "katalog-4"} <= item.view.suspects for item in agents)


def test_killing_balancers_expires_no_lease_and_causes_no_suspicion(cluster):
    def check():
        assert get_suspects(cluster) == {frozenset()}
        assert all(item.node.hears_peers(cluster.now) for item in cluster.list_agents())

    cluster.kill("b1", "b3")
    cluster.run_for(30.0, check)
    assert all(state is MemberState.ACTIVE for state in get_member_states(cluster).values())


def test_restarted_agents_are_not_suspected_and_stay_in_table(cluster):
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
    assert after - before <= 7, "more than one table write for each restart"


def test_isolated_region_keeps_leases_and_rejoins_without_burst_of_messages(cluster, cfg):
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
    isolated = [item for name, item in cluster.processes.items() if name.startswith("far-")]
    assert all(item.node.hears_peers(cluster.now) for item in isolated)
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


def test_balancer_started_during_store_outage_learns_state_from_peers(cluster, cfg):
    cluster.write_configuration(take_data_centre_out(cfg, "solo"))
    cluster.run_for(CONFIGURATION_TIMEOUT_S)
    cluster.store.is_down = True
    late_balancer = cluster.add_balancer("late", "solo")
    known = cluster.processes["b0"].node.settings
    late_balancer.node.seeds.append(cluster.processes["b1"].node.peers.find("b0"))
    assert known.name == "b0"
    observed = []
    cluster.run_for(
        CONFIGURATION_TIMEOUT_S, lambda: observed.append(late_balancer.view.cfg.version)
    )
    assert set(observed) == {0, 2}
    assert late_balancer.node.is_current(cluster.now)
    assert len(late_balancer.view.find_table("katalog").members) == 7


def test_agent_on_reused_address_is_listed_for_its_own_service_only(cluster):
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

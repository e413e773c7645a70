from attrs import evolve

from fescueseam.admission.gate import MAX_REPORT_LAG_S, Gate, LoadReport, Verdict
from fescueseam.agent.home import Home
from fescueseam.agent.tests.conftest import (
    CLASSES,
    NON_REPEATABLE_PORT,
    REQUEST_PORT,
    STREAM_PORT,
    Cluster,
    build_packet,
)
from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentreState,
    FlowKind,
    ServiceClass,
    Transport,
)
from fescueseam.exceptions import ErrorKind
from fescueseam.messages import types
from fescueseam.messages.types import Message
from fescueseam.packets.ip import parse_packet


def test_later_packets_reach_the_home_of_the_flow(cluster: Cluster) -> None:
    for number in range(6):
        cluster.send(build_packet(STREAM_PORT, number))
        cluster.send(build_packet(STREAM_PORT, number, b"more"))
    homes = dict(reversed(flow) for flow in cluster.opened)
    assert len(cluster.opened) == 6
    assert all(homes[flow] == name for name, flow in cluster.delivered)
    assert len(cluster.delivered) == 12


def test_every_slot_is_filled_before_anything_is_refused(cluster: Cluster) -> None:
    for number in range(8):
        cluster.send(build_packet(REQUEST_PORT, number))
    assert len(cluster.opened) == 8
    cluster.send(build_packet(REQUEST_PORT, 8))
    assert len(cluster.opened) == 8
    cluster.advance(0.1)
    assert not cluster.refused
    cluster.advance(0.2)
    assert len(cluster.refused) == 1


def test_waiting_opening_takes_the_first_free_slot(cluster: Cluster) -> None:
    for number in range(9):
        cluster.send(build_packet(REQUEST_PORT, number))
    name, flow = cluster.opened[3]
    cluster.close_flow(name, flow)
    assert len(cluster.opened) == 9
    assert cluster.opened[-1][0] == name
    cluster.advance(1.0)
    assert not cluster.refused


def test_duplicate_of_a_refused_opening_is_refused_again(cluster: Cluster) -> None:
    for number in range(9):
        cluster.send(build_packet(REQUEST_PORT, number))
    cluster.advance(0.4)
    for name, flow in list(cluster.opened):
        cluster.close_flow(name, flow)
    cluster.send(build_packet(REQUEST_PORT, 8))
    assert len(cluster.opened) == 8
    assert len(cluster.refused) == 2


def test_duplicate_of_a_closed_flow_does_not_run_again(cluster: Cluster) -> None:
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    cluster.send(raw)
    assert len(cluster.opened) == 1
    cluster.close_flow(*cluster.opened[0])
    cluster.send(raw)
    for agent in cluster.agents.values():
        agent.recorder.homes.clear()
    cluster.send(raw)
    assert len(cluster.opened) == 1


def test_two_recorders_do_not_both_place_a_flow(cluster: Cluster) -> None:
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    flow = parse_packet(raw).flow
    for agent in list(cluster.agents.values()):
        carry = Message("balancer", 1, types.Carry(raw), 0, agent.name, "bitacora", "once", 1, 1)
        cluster.apply_effects(agent.name, agent.handle_message(carry, cluster.now))
    assert [opened for _, opened in cluster.opened] == [flow]


def test_opening_without_a_majority_of_grants_is_neither_run_nor_refused(cluster: Cluster) -> None:
    def should_deliver(sender: str, target: str, message: Message) -> bool:
        return not isinstance(message.body, types.Ask) or target == sender

    cluster.should_deliver = should_deliver
    cluster.send(build_packet(NON_REPEATABLE_PORT, 1))
    cluster.advance(3.0)
    assert not cluster.opened
    assert not cluster.refused
    assert ErrorKind.UNRESOLVED_CLAIM in {drop.kind for drop in cluster.dropped}


def test_opening_is_not_refused_if_the_placed_reply_is_lost(cluster: Cluster) -> None:
    def should_deliver(sender: str, target: str, message: Message) -> bool:
        return not isinstance(message.body, types.Placed)

    cluster.should_deliver = should_deliver
    for number in range(8):
        cluster.send(build_packet(NON_REPEATABLE_PORT, number))
    cluster.advance(5.0)
    flows = [flow for _, flow in cluster.opened]
    assert len(flows) == len(set(flows))
    assert not cluster.refused


def test_restarted_member_grants_nothing_until_old_packets_have_expired(cluster: Cluster) -> None:
    agent = cluster.start("server-1", incarnation=2)
    flow = parse_packet(build_packet(NON_REPEATABLE_PORT, 1)).flow
    assert not agent.claims.grant(flow, "server-0", 1, 1, cluster.now)
    later = cluster.now + PACKET_LIFETIME_S
    assert agent.claims.grant(flow, "server-0", 1, 1, later)


def test_new_recorder_finds_the_flows_of_the_previous_one(
    cluster: Cluster, cfg: Configuration
) -> None:
    for number in range(6):
        cluster.send(build_packet(STREAM_PORT, number))
    names = [*cluster.agents, "server-4", "server-5", "server-6"]
    for name in names[4:]:
        cluster.start(name)
    cluster.publish(cfg, cluster.build_table(names, epoch=2))
    for name in names[4:]:
        cluster.publish(evolve(cfg, version=2), cluster.build_table(names, epoch=2), {name})
    cluster.advance(0.1)
    for number in range(6):
        cluster.send(build_packet(STREAM_PORT, number, b"more"))
    assert len(cluster.opened) == 6
    assert len(cluster.delivered) == 12


def test_data_centre_that_is_out_gets_no_packets(cluster: Cluster, cfg: Configuration) -> None:
    for number in range(8):
        cluster.send(build_packet(STREAM_PORT, number))
    data_centres = tuple(
        evolve(data_centre, state=DataCentreState.OUT) if data_centre.name == "uno" else data_centre
        for data_centre in cfg.data_centres
    )
    # The balancer still has the old configuration, so the agents have to drop its packets.
    new_cfg = evolve(cfg, version=2, data_centres=data_centres)
    cluster.publish(new_cfg, cluster.build_table(list(cluster.agents)), set(cluster.agents))
    cluster.advance(0.1)
    cluster.delivered.clear()
    for number in range(16):
        cluster.send(build_packet(STREAM_PORT, number))
    agents_in_data_centre = {
        name for name, agent in cluster.agents.items() if agent.data_centre == "uno"
    }
    assert agents_in_data_centre
    assert not agents_in_data_centre & {name for name, _ in cluster.delivered}


def test_message_for_another_service_is_dropped(cluster: Cluster) -> None:
    raw = build_packet(REQUEST_PORT, 1)
    for service, target in (("acopio", "server-0"), ("bitacora", "server-1")):
        message = Message("balancer", 1, types.Carry(raw), 0, target, service, "request", 1, 1)
        cluster.apply_effects(
            "server-0", cluster.agents["server-0"].handle_message(message, cluster.now)
        )
    assert not cluster.delivered
    assert [drop.kind for drop in cluster.dropped] == [ErrorKind.WRONG_SERVICE] * 2


def test_cold_bound_holds_without_load_reports(cluster: Cluster) -> None:
    cluster.silent_backends = set(cluster.agents)
    for agent in cluster.agents.values():
        agent.home.gate.rules = evolve(agent.home.gate.rules, cold_slots=1)
    for number in range(8):
        cluster.send(build_packet(REQUEST_PORT, number))
    cluster.advance(0.5)
    assert len(cluster.opened) == 4


def test_offers_after_a_pause_are_rejected(cluster: Cluster) -> None:
    agent = cluster.agents["server-0"]
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    place = Message("server-1", 1, types.Place(1, raw), 0, "server-0", "bitacora", "once", 1, 1)
    cluster.apply_effects("server-0", agent.handle_message(place, cluster.now + 5.0))
    assert not cluster.opened


def test_flow_that_ran_at_a_restarted_home_does_not_run_again(cluster: Cluster) -> None:
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    cluster.send(raw)
    home, _ = cluster.opened[0]
    agent = cluster.start(home, incarnation=2)
    for other in cluster.agents.values():
        agent.view.set_configuration(other.view.cfg)
        for table in other.view.list_tables():
            agent.view.set_table(table)
    cluster.send(raw)
    cluster.advance(1.0)
    cluster.send(raw)
    assert len(cluster.opened) == 1
    assert not cluster.refused


def test_reused_port_opens_a_new_flow(cluster: Cluster) -> None:
    raw = build_packet(REQUEST_PORT, 1)
    cluster.send(raw)
    cluster.close_flow(*cluster.opened[0])
    cluster.send(raw)
    assert len(cluster.opened) == 2


def test_report_frees_a_slot_but_closes_no_flow(cluster: Cluster) -> None:
    raw = build_packet(REQUEST_PORT, 1)
    cluster.send(raw)
    name, _ = cluster.opened[0]
    home = cluster.agents[name].home
    cluster.advance(0.5)
    report = LoadReport(1, 0, 0, cluster.now, 5000.0)
    cluster.apply_effects(name, cluster.agents[name].handle_report(report, cluster.now))
    assert home.gate.busy == 0
    cluster.send(build_packet(REQUEST_PORT, 1, b"more"))
    assert home.gate.busy == 1
    assert len(cluster.delivered) == 2
    assert len(cluster.opened) == 1


def test_unannounced_restart_resets_the_gate_to_the_cold_bound(cluster: Cluster) -> None:
    rules = AdmissionRules(slots=4, cold_slots=1, warm_up_successes=1)
    gate = Gate(rules, cluster.now - MAX_REPORT_LAG_S)
    gate.note_report(LoadReport(1, 0, 0, cluster.now, 10.0), cluster.now)
    for _ in range(3):
        gate.take(FlowKind.REQUEST, cluster.now)
        gate.give_back(FlowKind.REQUEST, True, cluster.now)
    assert gate.slot_bound == 4
    gate.take(FlowKind.REQUEST, cluster.now)
    arrived = cluster.now + 1.0
    assert gate.judge(FlowKind.REQUEST, arrived, arrived) is Verdict.VERIFY
    assert gate.note_report(LoadReport(1, 0, 0, arrived, 0.1), arrived)
    assert gate.slot_bound == 1
    assert gate.judge(FlowKind.REQUEST, arrived, arrived) is Verdict.FULL


def test_grant_of_an_abandoned_claim_does_not_count_for_the_next(cluster: Cluster) -> None:
    delayed: list[tuple[str, Message]] = []

    def should_deliver(sender: str, target: str, message: Message) -> bool:
        if isinstance(message.body, types.AskAnswer):
            delayed.append((target, message))
            return False
        return True

    cluster.should_deliver = should_deliver
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    cluster.send(raw)
    cluster.advance(3.0)
    assert delayed
    answers = list(delayed)
    cluster.should_deliver = lambda sender, target, message: not isinstance(message.body, types.Ask)
    cluster.send(raw)
    for target, message in answers:
        cluster.apply_effects(target, cluster.agents[target].handle_message(message, cluster.now))
    assert not cluster.opened


def test_flow_continues_if_the_reply_of_its_home_is_lost(cluster: Cluster) -> None:
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    cluster.should_deliver = lambda sender, target, message: not isinstance(
        message.body, types.Placed
    )
    first_send = cluster.balancer.handle_packet(raw)[0]
    recorder = cluster.agents[first_send.address]
    # The home has to be another member than the recorder.
    recorder.home.gate.draining = True
    cluster.send(raw)
    cluster.advance(2.0)
    cluster.send(build_packet(NON_REPEATABLE_PORT, 1, b"more"))
    assert len(cluster.opened) == 1
    assert len(cluster.delivered) == 2
    cluster.advance(12.0)
    cluster.send(raw)
    cluster.advance(1.0)
    assert len(cluster.opened) == 1
    assert not cluster.refused


def count_free_cold_slots(cluster: Cluster, transport: Transport, idle_s: float) -> int:
    """Return the free slots of a cold server after a silent request and a report of no load."""
    rules = AdmissionRules(slots=2, cold_slots=1)
    gate = Gate(rules, cluster.now)
    gate.note_report(LoadReport(1, 0, 0, cluster.now, 10.0), cluster.now)
    home = Home(gate, cluster.now)
    service_class = ServiceClass("request", REQUEST_PORT, transport)
    packet = parse_packet(build_packet(REQUEST_PORT, 1))
    home.open_flow(packet, service_class, cluster.now)
    later = cluster.now + idle_s
    home.handle_report(LoadReport(1, 0, 0, later, 10.0 + idle_s), later)
    home.tick(later)
    return rules.cold_slots - gate.busy


def test_report_frees_a_cold_slot_only_after_the_longest_report_lag(cluster: Cluster) -> None:
    assert count_free_cold_slots(cluster, Transport.QUIC, MAX_REPORT_LAG_S / 2) == 0
    assert count_free_cold_slots(cluster, Transport.QUIC, MAX_REPORT_LAG_S) == 1


def test_answered_datagram_request_frees_its_slot_without_a_report(cluster: Cluster) -> None:
    cluster.send(build_packet(REQUEST_PORT, 1))
    name, flow = cluster.opened[0]
    agent = cluster.agents[name]
    agent.handle_backend_packet(flow, cluster.now)
    assert agent.home.gate.busy == 1
    cluster.advance(0.5)
    assert agent.home.gate.busy == 0
    assert agent.home.flows.find(flow) is not None


def test_reports_are_not_trusted_at_a_cold_server_after_a_wrong_one(cluster: Cluster) -> None:
    gate = Gate(AdmissionRules(slots=4, cold_slots=1, warm_up_successes=9), cluster.now)
    gate.note_report(LoadReport(1, 0, 0, cluster.now, 10.0), cluster.now)
    home = Home(gate, cluster.now)
    service_class = ServiceClass("request", REQUEST_PORT, Transport.QUIC)
    packet = parse_packet(build_packet(REQUEST_PORT, 1))
    home.open_flow(packet, service_class, cluster.now)
    for _ in range(2):
        cluster.now += MAX_REPORT_LAG_S + 1.0
        home.handle_report(LoadReport(1, 0, 0, cluster.now, cluster.now), cluster.now)
        home.record_backend_packet(packet.flow, cluster.now)
    assert gate.busy == 1
    cluster.now += MAX_REPORT_LAG_S + 1.0
    home.handle_report(LoadReport(1, 0, 0, cluster.now, cluster.now), cluster.now)
    assert gate.busy == 1


def test_new_agent_counts_the_running_request_of_a_cold_server(cluster: Cluster) -> None:
    gate = Gate(AdmissionRules(slots=2, cold_slots=1), cluster.now)
    # The content of the first report is older than the agent and shows an idle server.
    gate.note_report(LoadReport(1, 0, 0, cluster.now, 10.0), cluster.now)
    soon = cluster.now + 0.5
    assert gate.judge(FlowKind.REQUEST, soon, soon) is Verdict.FULL
    later = cluster.now + MAX_REPORT_LAG_S - 0.1
    gate.note_report(LoadReport(1, 1, 1, later, 12.0), later)
    after = cluster.now + MAX_REPORT_LAG_S + 0.1
    assert gate.judge(FlowKind.REQUEST, after, after) is Verdict.FULL


def test_restarted_recorder_adopts_flows_unknown_to_other_members(cluster: Cluster) -> None:
    raw = build_packet(STREAM_PORT, 1)
    flow = parse_packet(raw).flow
    agent = cluster.start("server-0", incarnation=2)
    other = cluster.agents["server-1"]
    agent.view.set_configuration(other.view.cfg)
    for table in other.view.list_tables():
        agent.view.set_table(table)
    service_class = evolve(CLASSES[2], transport=Transport.QUIC)
    packet = evolve(parse_packet(raw), payload=b"\x40" + bytes(30))
    cluster.apply_effects(
        "server-0", agent.recorder.handle_packet(packet, service_class, cluster.now)
    )
    assert agent.recorder.adopt_orphans_until > cluster.now
    assert flow not in agent.recorder.searches


def test_copy_of_an_opening_is_delivered_only_if_repeatable(cluster: Cluster) -> None:
    raw = build_packet(NON_REPEATABLE_PORT, 1)
    cluster.send(raw)
    cluster.send(raw)
    cluster.send(build_packet(NON_REPEATABLE_PORT, 1, b"more"))
    assert len(cluster.opened) == 1
    assert len(cluster.delivered) == 2
    repeatable = build_packet(REQUEST_PORT, 2)
    cluster.send(repeatable)
    cluster.send(repeatable)
    assert len(cluster.delivered) == 4

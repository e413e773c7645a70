"""A cluster of agents on a lossless network; tests choose which messages are dropped."""

import ipaddress
from collections.abc import Callable

import pytest
from attrs import define, field

from fescueseam.admission.gate import LoadReport
from fescueseam.agent.agent import Agent
from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentre,
    FlowKind,
    Service,
    ServiceClass,
    Transport,
)
from fescueseam.effects import CloseFlow, Deliver, Drop, Effects, Probe, Refuse, Send
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Message
from fescueseam.packets.ip import build_udp
from fescueseam.routing.balancer import Balancer
from fescueseam.routing.table import Member, Table

ADDRESS = "10.40.0.10"
REQUEST_PORT = 5000
NON_REPEATABLE_PORT = 5001
STREAM_PORT = 5002
RULES = AdmissionRules(slots=2, cold_slots=2, connections=10, cold_connections=10)
CLASSES = (
    ServiceClass("request", REQUEST_PORT, Transport.UDP, wait_s=0.2),
    ServiceClass("once", NON_REPEATABLE_PORT, Transport.UDP, repeatable=False, wait_s=0.2),
    ServiceClass("stream", STREAM_PORT, Transport.UDP, kind=FlowKind.STREAM),
)
DATA_CENTRES = ("uno", "dos", "tres")


def build_packet(port: int, number: int, payload: bytes = b"open") -> bytes:
    source = ipaddress.ip_address("10.9.0.1").packed
    destination = ipaddress.ip_address(ADDRESS).packed
    return build_udp(source, 1024 + number, destination, port, payload)


def deliver_all(sender: str, target: str, message: Message) -> bool:
    return True


@define
class Cluster:
    """Agents and a balancer that share one virtual clock."""

    now: float = 0.0
    agents: dict[str, Agent] = field(factory=dict)
    balancer: Balancer = field(factory=lambda: Balancer("balancer", 1))
    reports: dict[str, LoadReport] = field(factory=dict)
    delivered: list[tuple[str, FlowKey]] = field(factory=list)
    opened: list[tuple[str, FlowKey]] = field(factory=list)
    refused: list[FlowKey] = field(factory=list)
    dropped: list[Drop] = field(factory=list)
    should_deliver: Callable[[str, str, Message], bool] = deliver_all
    silent_backends: set[str] = field(factory=set)
    epoch: int = 1

    def set_up(self, names: list[str], cfg: Configuration) -> None:
        for name in names:
            self.start(name)
        self.publish(cfg, self.build_table(names))

    def start(self, name: str, incarnation: int = 1) -> Agent:
        data_centre = DATA_CENTRES[int(name[-1]) % len(DATA_CENTRES)]
        agent = Agent(name, incarnation, "bitacora", data_centre, self.now, RULES)
        self.agents[name] = agent
        self.reports.setdefault(name, LoadReport(1, 0, 0, self.now, 1000.0))
        return agent

    def build_table(self, names: list[str], epoch: int = 1) -> Table:
        members = [
            Member(name, self.agents[name].data_centre, name, 1, self.agents[name].incarnation)
            for name in names
        ]
        return Table("bitacora", epoch, tuple(members), buckets=16, seed=7)

    def publish(self, cfg: Configuration, table: Table, recipients: set[str] | None = None) -> None:
        for name, agent in self.agents.items():
            if recipients is None or name in recipients:
                agent.view.set_configuration(cfg)
                agent.view.set_table(table)
        if recipients is None or "balancer" in recipients:
            self.balancer.view.set_configuration(cfg)
            self.balancer.view.set_table(table)

    def send(self, raw: bytes) -> None:
        self.apply_effects("balancer", self.balancer.handle_packet(raw))

    def apply_effects(self, name: str, effects: Effects) -> None:
        for effect in effects:
            self.apply_effect(name, effect)

    def apply_effect(self, name: str, effect: object) -> None:
        match effect:
            case Send():
                if self.should_deliver(name, effect.address, effect.message):
                    target = self.agents.get(effect.address)
                    if target is not None:
                        self.apply_effects(
                            target.name, target.handle_message(effect.message, self.now)
                        )
            case Deliver():
                self.delivered.append((name, effect.flow))
                if effect.opening:
                    self.opened.append((name, effect.flow))
            case Refuse():
                self.refused.append(effect.packet.flow)
            case Drop():
                self.dropped.append(effect)
            case Probe():
                self.probe(name)
            case CloseFlow():
                pass

    def probe(self, name: str) -> None:
        if name in self.silent_backends:
            return
        last_report = self.reports[name]
        flows = len(self.agents[name].home.flows)
        uptime_s = last_report.uptime_s + self.now
        report = LoadReport(last_report.incarnation, 0, flows, self.now, uptime_s)
        self.apply_effects(name, self.agents[name].handle_report(report, self.now))

    def advance(self, seconds: float, step: float = 0.02) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += step
            for name, agent in list(self.agents.items()):
                self.apply_effects(name, agent.tick(self.now))

    def close_flow(self, name: str, flow: FlowKey) -> None:
        self.apply_effects(name, self.agents[name].handle_flow_closed(flow, True, self.now))


@pytest.fixture
def cfg() -> Configuration:
    data_centres = tuple(DataCentre(name, "valle") for name in DATA_CENTRES)
    return Configuration(1, (Service("bitacora", ADDRESS, CLASSES, RULES),), data_centres)


@pytest.fixture
def cluster(cfg: Configuration) -> Cluster:
    new_cluster = Cluster()
    new_cluster.set_up([f"server-{index}" for index in range(4)], cfg)
    new_cluster.advance(2 * PACKET_LIFETIME_S)
    for name in new_cluster.agents:
        new_cluster.probe(name)
    new_cluster.advance(0.02)
    return new_cluster

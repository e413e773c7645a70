"""Print what the packet path of an agent and a balancer costs, one JSON object a line."""

import ipaddress
import json
import random
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

import typer
from attrs import asdict, frozen

from fescueseam.admission.gate import LoadReport
from fescueseam.agent.agent import Agent
from fescueseam.claims.registry import PACKET_LIFETIME_S, ClaimRegistry
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentre,
    FlowKind,
    Service,
    ServiceClass,
    Transport,
)
from fescueseam.flows.keys import FlowKey
from fescueseam.messages import types
from fescueseam.messages.replay import ReplayGuard
from fescueseam.messages.types import Message
from fescueseam.packets.ip import build_udp, parse_packet
from fescueseam.placement.search import FlowHome
from fescueseam.routing.balancer import Balancer
from fescueseam.routing.table import Member, Table
from fescueseam.routing.view import View

SERVICE = "ledger"
ADDRESS = ipaddress.ip_address("10.90.0.1").packed
SOURCE = ipaddress.ip_address("10.9.0.1").packed
PORT = 5000
FIRST_PORT = 1024
PACKET_BYTES = 1200
MEMBERS = 5
SIZES = (2000, 4000, 8000)
REPEATS = 5000
STARTED_S = -10 * PACKET_LIFETIME_S


RESIDENT_CODE = """
import re
{imports}
print(re.search(r"VmRSS:\\s+(\\d+)", open("/proc/self/status").read())[1])
"""
LIBRARIES = "import capnp, dpkt, httpx, prometheus_client, trio, typer"
DAEMON = "import fescueseam_daemon.cli"


@frozen
class Cost:
    """Hold the cost of one entry or one step."""

    measure: str
    size: int
    value: float
    unit: str
    seed: int


@frozen
class Site:
    """Hold one balancer and one agent that know one service."""

    balancer: Balancer
    agent: Agent


def main(seed: int = 1) -> None:
    """Measure and print."""
    for size in SIZES:
        for measure, build in MEMORY_BUILDERS.items():
            cost = Cost(measure, size, measure_bytes(build, size), "B per entry", seed)
            typer.echo(json.dumps(asdict(cost)))
    for measure, imports in (
        ("bare_interpreter_resident", ""),
        ("libraries_resident", LIBRARIES),
        ("daemon_resident", DAEMON),
    ):
        cost = Cost(measure, 1, measure_resident(imports), "KiB", seed)
        typer.echo(json.dumps(asdict(cost)))
    for measure, step in list_steps(seed).items():
        cost = Cost(measure, REPEATS, measure_step(step), "us", seed)
        typer.echo(json.dumps(asdict(cost)))


def measure_bytes(build: Callable[[int], object], size: int) -> float:
    """Return the memory of one of so many entries, in bytes."""
    tracemalloc.start()
    kept = build(size)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round(used / size, 1)


def measure_resident(imports: str) -> float:
    """Return the resident memory of an interpreter after some imports, in KiB."""
    code = RESIDENT_CODE.format(imports=imports)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True, text=True)
    return float(done.stdout)


def measure_step(step: Callable[[int], object]) -> float:
    """Return the processor time of one step, in microseconds."""
    started = time.process_time()
    for number in range(REPEATS):
        step(number)
    return round((time.process_time() - started) / REPEATS * 1e6, 2)


def make_flow(number: int) -> FlowKey:
    """Return one of many flows to the service."""
    source = (int.from_bytes(SOURCE, "big") + number // 32768).to_bytes(4, "big")
    return FlowKey(17, source, FIRST_PORT + number % 32768, bytes(ADDRESS), PORT)


def make_packet(number: int) -> bytes:
    """Return a packet of one of many flows."""
    flow = make_flow(number)
    return build_udp(flow.source, flow.source_port, ADDRESS, PORT, bytes(PACKET_BYTES))


def make_site() -> Site:
    """Return a balancer and an agent whose views are complete."""
    service_class = ServiceClass("entries", PORT, Transport.UDP, FlowKind.STREAM)
    rules = AdmissionRules(slots=64, connections=1 << 20, cold_slots=64, cold_connections=1 << 20)
    service = Service(SERVICE, str(ipaddress.ip_address(ADDRESS)), (service_class,), rules)
    cfg = Configuration(1, (service,), (DataCentre("here", "region"),))
    members = tuple(
        Member(f"server-{index}", "here", "127.0.0.1", 7000 + index, 1) for index in range(MEMBERS)
    )
    views = (View(), View())
    for view in views:
        view.set_configuration(cfg)
        view.set_table(Table(SERVICE, 1, members))
    agent = Agent("server-0", 1, SERVICE, "here", STARTED_S, rules, views[1])
    agent.handle_report(LoadReport(1, 0, 0, 0.0, 1000.0), 0.0)
    return Site(Balancer("balancer", 1, views[0]), agent)


def build_open_flows(size: int) -> object:
    """Return an agent that holds so many flows."""
    agent = make_site().agent
    service_class = agent.view.cfg.services[0].classes[0]
    for number in range(size):
        flow = make_flow(number)
        packet = parse_packet(build_udp(flow.source, flow.source_port, ADDRESS, PORT, b""))
        agent.home.open_flow(packet, service_class, 0.0)
    return agent


def build_homes(size: int) -> object:
    """Return a recorder that knows so many homes."""
    agent = make_site().agent
    for number in range(size):
        agent.recorder.homes.add(make_flow(number), FlowHome("server-1", 1))
    return agent


def build_grants(size: int) -> object:
    """Return a member that has granted so many claims."""
    registry = ClaimRegistry(STARTED_S)
    for number in range(size):
        registry.grant(make_flow(number), "server-1", 1, number + 1, 0.0)
    return registry


def build_replay_windows(size: int) -> object:
    """Return a guard that has heard from so many senders."""
    guard = ReplayGuard()
    for number in range(size):
        for sequence in range(1, 9):
            guard.check(f"balancer-{number}", 1, sequence)
    return guard


MEMORY_BUILDERS: dict[str, Callable[[int], object]] = {
    "open_flow_memory": build_open_flows,
    "home_memory": build_homes,
    "grant_memory": build_grants,
    "replay_window_memory": build_replay_windows,
}


def list_steps(seed: int) -> dict[str, Callable[[int], object]]:
    """Return the steps whose processor time is measured."""
    site = make_site()
    rng = random.Random(seed)
    raw = [make_packet(rng.randrange(10**6)) for _ in range(REPEATS)]
    for packet in raw[:1000]:
        service_class = site.agent.view.cfg.services[0].classes[0]
        site.agent.home.open_flow(parse_packet(packet), service_class, 0.0)

    def carry(packet: bytes, homed: bool) -> Message:
        body = types.Carry(packet, homed)
        return Message("balancer", 1, body, 0, "server-0", SERVICE, "entries", 1, 1)

    def ask(number: int) -> Message:
        body = types.Ask(make_flow(number), number + 1)
        return Message("server-1", 1, body, 0, "server-0", SERVICE, "entries", 1, 1)

    return {
        "balancer_decision": lambda number: site.balancer.handle_packet(raw[number]),
        "agent_deliver_decision": lambda number: site.agent.handle_message(
            carry(raw[number % 1000], True), 0.0
        ),
        "agent_claim_answer_decision": lambda number: site.agent.handle_message(ask(number), 0.0),
    }


if __name__ == "__main__":
    typer.run(main)

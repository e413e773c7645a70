"""Print the memory and processor time of the packet path, one JSON object per line."""

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

SERVICE_NAME = "ledger"
SERVICE_ADDRESS = ipaddress.ip_address("10.90.0.1").packed
FIRST_SOURCE_ADDRESS = ipaddress.ip_address("10.9.0.1").packed
SERVICE_PORT = 5000
FIRST_SOURCE_PORT = 1024
PAYLOAD_BYTES = 1200
MEMBER_COUNT = 5
ENTRY_COUNTS = (2000, 4000, 8000)
STEP_REPEATS = 5000
AGENT_STARTED_AT_S = -10 * PACKET_LIFETIME_S
"""Start of the agent, in seconds; no claims are granted for a packet lifetime after a start."""

RESIDENT_MEMORY_SCRIPT = """
import re
{imports}
print(re.search(r"VmRSS:\\s+(\\d+)", open("/proc/self/status").read())[1])
"""
LIBRARY_IMPORTS = "import capnp, dpkt, httpx, prometheus_client, trio, typer"
DAEMON_IMPORTS = "import fescueseam_daemon.cli"


@frozen
class Cost:
    """Measured cost of one entry or of one step."""

    measure: str
    size: int
    value: float
    unit: str
    seed: int


@frozen
class PacketPath:
    """A balancer and an agent that know the same service."""

    balancer: Balancer
    agent: Agent


def main(seed: int = 1) -> None:
    """Measure and print every cost."""
    for size in ENTRY_COUNTS:
        for measure, build in MEMORY_BUILDERS.items():
            cost = Cost(measure, size, measure_bytes_per_entry(build, size), "B per entry", seed)
            typer.echo(json.dumps(asdict(cost)))
    for measure, imports in (
        ("bare_interpreter_resident", ""),
        ("libraries_resident", LIBRARY_IMPORTS),
        ("daemon_resident", DAEMON_IMPORTS),
    ):
        cost = Cost(measure, 1, measure_resident_kib(imports), "KiB", seed)
        typer.echo(json.dumps(asdict(cost)))
    for measure, step in make_steps(seed).items():
        cost = Cost(measure, STEP_REPEATS, measure_step_us(step), "us", seed)
        typer.echo(json.dumps(asdict(cost)))


def measure_bytes_per_entry(build: Callable[[int], object], size: int) -> float:
    """Return the memory that an object with `size` entries takes for each of them, in bytes."""
    tracemalloc.start()
    built = build(size)
    allocated, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return round(allocated / size, 1)


def measure_resident_kib(imports: str) -> float:
    """Return the resident memory of an interpreter after import statements, in KiB."""
    code = RESIDENT_MEMORY_SCRIPT.format(imports=imports)
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=True, text=True
    )
    return float(completed.stdout)


def measure_step_us(step: Callable[[int], object]) -> float:
    """Return the mean processor time of a step, in microseconds."""
    started = time.process_time()
    for number in range(STEP_REPEATS):
        step(number)
    return round((time.process_time() - started) / STEP_REPEATS * 1e6, 2)


def make_flow(number: int) -> FlowKey:
    """Return the flow to the service that has a given number."""
    source = (int.from_bytes(FIRST_SOURCE_ADDRESS, "big") + number // 32768).to_bytes(4, "big")
    return FlowKey(
        17, source, FIRST_SOURCE_PORT + number % 32768, bytes(SERVICE_ADDRESS), SERVICE_PORT
    )


def make_packet(number: int) -> bytes:
    """Return a packet of the flow with a given number."""
    flow = make_flow(number)
    return build_udp(
        flow.source, flow.source_port, SERVICE_ADDRESS, SERVICE_PORT, bytes(PAYLOAD_BYTES)
    )


def make_packet_path() -> PacketPath:
    """Return a balancer and an agent that have the configuration and the service's table."""
    service_class = ServiceClass("entries", SERVICE_PORT, Transport.UDP, FlowKind.STREAM)
    rules = AdmissionRules(slots=64, connections=1 << 20, cold_slots=64, cold_connections=1 << 20)
    service = Service(
        SERVICE_NAME, str(ipaddress.ip_address(SERVICE_ADDRESS)), (service_class,), rules
    )
    cfg = Configuration(1, (service,), (DataCentre("here", "region"),))
    members = tuple(
        Member(f"server-{index}", "here", "127.0.0.1", 7000 + index, 1)
        for index in range(MEMBER_COUNT)
    )
    views = (View(), View())
    for view in views:
        view.set_configuration(cfg)
        view.set_table(Table(SERVICE_NAME, 1, members))
    agent = Agent("server-0", 1, SERVICE_NAME, "here", AGENT_STARTED_AT_S, rules, views[1])
    agent.handle_report(LoadReport(1, 0, 0, 0.0, 1000.0), 0.0)
    return PacketPath(Balancer("balancer", 1, views[0]), agent)


def build_open_flows(size: int) -> object:
    """Return an agent with a number of open flows."""
    agent = make_packet_path().agent
    service_class = agent.view.cfg.services[0].classes[0]
    for number in range(size):
        flow = make_flow(number)
        packet = parse_packet(
            build_udp(flow.source, flow.source_port, SERVICE_ADDRESS, SERVICE_PORT, b"")
        )
        agent.home.open_flow(packet, service_class, 0.0)
    return agent


def build_recorded_homes(size: int) -> object:
    """Return an agent that has recorded the homes of a number of flows."""
    agent = make_packet_path().agent
    for number in range(size):
        agent.recorder.homes.add(make_flow(number), FlowHome("server-1", 1))
    return agent


def build_grants(size: int) -> object:
    """Return a claim registry with a number of grants."""
    registry = ClaimRegistry(AGENT_STARTED_AT_S)
    for number in range(size):
        registry.grant(make_flow(number), "server-1", 1, number + 1, 0.0)
    return registry


def build_replay_windows(size: int) -> object:
    """Return a replay guard with the windows of a number of senders."""
    guard = ReplayGuard()
    for number in range(size):
        for sequence in range(1, 9):
            guard.check(f"balancer-{number}", 1, sequence)
    return guard


MEMORY_BUILDERS: dict[str, Callable[[int], object]] = {
    "open_flow_memory": build_open_flows,
    "home_memory": build_recorded_homes,
    "grant_memory": build_grants,
    "replay_window_memory": build_replay_windows,
}


def make_steps(seed: int) -> dict[str, Callable[[int], object]]:
    """Return the steps whose processor time is measured, by the name of the measure."""
    path = make_packet_path()
    rng = random.Random(seed)
    packets = [make_packet(rng.randrange(10**6)) for _ in range(STEP_REPEATS)]
    for packet in packets[:1000]:
        service_class = path.agent.view.cfg.services[0].classes[0]
        path.agent.home.open_flow(parse_packet(packet), service_class, 0.0)

    def make_carry(packet: bytes, homed: bool) -> Message:
        body = types.Carry(packet, homed)
        return Message("balancer", 1, body, 0, "server-0", SERVICE_NAME, "entries", 1, 1)

    def make_ask(number: int) -> Message:
        body = types.Ask(make_flow(number), number + 1)
        return Message("server-1", 1, body, 0, "server-0", SERVICE_NAME, "entries", 1, 1)

    return {
        "balancer_decision": lambda number: path.balancer.handle_packet(packets[number]),
        "agent_deliver_decision": lambda number: path.agent.handle_message(
            make_carry(packets[number % 1000], True), 0.0
        ),
        "agent_claim_answer_decision": lambda number: path.agent.handle_message(
            make_ask(number), 0.0
        ),
    }


if __name__ == "__main__":
    typer.run(main)

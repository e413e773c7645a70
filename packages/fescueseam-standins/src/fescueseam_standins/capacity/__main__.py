"""Print measured costs of the control plane and their linear fits, one JSON object per line."""

import json
import random
import time
import tracemalloc
from collections import Counter
from collections.abc import Sequence

import typer
from attrs import asdict, frozen

from fescueseam.conf.models import Configuration, DataCentre, Role, Service, ServiceClass
from fescueseam.effects import Send
from fescueseam.membership.facts import ProcessFacts, Status
from fescueseam.membership.reports import Report, build_report_key, encode_report
from fescueseam.messages.codec import build_keyring, decode_message, encode_message
from fescueseam.messages.types import Announce, AnnounceAnswer, Body, Message
from fescueseam.routing.table import Member, Table
from fescueseam.upkeep.codec import pack_table
from fescueseam.versions.values import VersionedMap, VersionedValue
from fescueseam_standins.capacity.cluster import MESSAGE_KEYS, Cluster

FULL_SIZE_BALANCERS = 690
FULL_SIZE_AGENTS = 5200
FULL_SIZE_SERVICES = 1200
FULL_SIZE_PROCESSES = FULL_SIZE_BALANCERS + FULL_SIZE_AGENTS
"""Number of daemons: a balancer on each entry instance, an agent beside each backend server."""
FULL_SIZE_BY_MEASURE = {"tables_memory": FULL_SIZE_SERVICES}
"""Full size of each measure whose size is not the number of processes."""
AGENTS_PER_BALANCER = 7
"""Number of agents for each balancer of a measured cluster."""
CLUSTER_SIZES = (32, 64, 128)
DATA_CENTRE_COUNT = 3
SETTLE_TIME_S = 45.0
"""Time that a cluster runs before it is measured, in seconds."""
MEASUREMENT_TIME_S = 20.0
CHANGE_COUNT = 4
IP_AND_UDP_HEADER_BYTES = 28
CODEC_REPEATS = 2000


@frozen
class Point:
    """One measured value."""

    measure: str
    size: int
    value: float
    unit: str
    seed: int


@frozen
class Fit:
    """Straight line through points, and its value at full size."""

    fit: str
    intercept: float
    slope: float
    at: int
    value: float
    unit: str


def main(seed: int = 1) -> None:
    """Print every point, then the fit of every measure that has several points."""
    points = [point for size in CLUSTER_SIZES for point in measure_cluster(size, seed)]
    points += measure_messages(seed)
    points += [point for size in (200, 400, 800) for point in measure_memory(size, seed)]
    for point in points:
        print(json.dumps(asdict(point)))
    for measure in sorted({point.measure for point in points}):
        group = [point for point in points if point.measure == measure]
        if len(group) > 1:
            print(
                json.dumps(
                    asdict(fit_line(group, FULL_SIZE_BY_MEASURE.get(measure, FULL_SIZE_PROCESSES)))
                )
            )


def fit_line(points: Sequence[Point], at: int) -> Fit:
    """Return the least-squares line through points and its value at a size."""
    mean_x = sum(point.size for point in points) / len(points)
    mean_y = sum(point.value for point in points) / len(points)
    spread = sum((point.size - mean_x) ** 2 for point in points)
    slope = sum((p.size - mean_x) * (p.value - mean_y) for p in points) / spread
    intercept = mean_y - slope * mean_x
    first = points[0]
    return Fit(first.measure, intercept, slope, at, intercept + slope * at, first.unit)


def build_cluster(size: int, seed: int) -> Cluster:
    """Return a cluster of balancers and agents that has run for the settling time."""
    cluster = Cluster(random.Random(seed))
    cluster.write_configuration(make_configuration(size))
    balancer_count = max(2, size // (AGENTS_PER_BALANCER + 1))
    for index in range(balancer_count):
        cluster.add_balancer(f"balancer-{index}", f"dc-{index % DATA_CENTRE_COUNT}")
    for index in range(size - balancer_count):
        service = f"service-{index // 5}"
        cluster.add_agent(f"agent-{index}", f"dc-{index % DATA_CENTRE_COUNT}", service)
    cluster.run_for(SETTLE_TIME_S)
    return cluster


def make_configuration(size: int) -> Configuration:
    """Return a configuration with a service for every five processes of a cluster."""
    classes = (ServiceClass("listing", 443),)
    services = tuple(
        Service(f"service-{index}", f"10.90.{index >> 8}.{index & 255}", classes)
        for index in range(size // 5 + 1)
    )
    data_centres = tuple(DataCentre(f"dc-{index}", "region") for index in range(DATA_CENTRE_COUNT))
    return Configuration(1, services, data_centres)


def measure_cluster(size: int, seed: int) -> list[Point]:
    """Measure idle traffic, processor time, and the cost and delay of a configuration change."""
    cluster = build_cluster(size, seed)
    traffic = TrafficCounter()
    cluster.on_send = traffic.count_message
    calls = cluster.store.calls
    cpu_started_s = time.process_time()
    cluster.run_for(MEASUREMENT_TIME_S)
    cpu_s = time.process_time() - cpu_started_s - traffic.encoding_s
    balancer_count = len(cluster.list_balancers())

    def build_point(measure: str, value: float, unit: str) -> Point:
        return Point(measure, size, round(value, 6), unit, seed)

    points = [
        build_point(
            "balancer_bytes",
            traffic.count_role_bytes(Role.BALANCER) / balancer_count / MEASUREMENT_TIME_S,
            "B/s",
        ),
        build_point(
            "agent_bytes",
            traffic.count_role_bytes(Role.AGENT) / (size - balancer_count) / MEASUREMENT_TIME_S,
            "B/s",
        ),
        build_point("decisions_cpu", cpu_s / MEASUREMENT_TIME_S / size, "cores per daemon"),
        build_point(
            "store_calls_at_rest", (cluster.store.calls - calls) / MEASUREMENT_TIME_S, "calls/s"
        ),
    ]
    return [*points, *measure_changes(cluster, size, seed)]


def measure_changes(cluster: Cluster, size: int, seed: int) -> list[Point]:
    """Measure the bytes that a change adds and the longest time until every process has it."""
    idle_traffic = TrafficCounter()
    cluster.on_send = idle_traffic.count_message
    cluster.run_for(MEASUREMENT_TIME_S / 2)
    traffic = TrafficCounter()
    cluster.on_send = traffic.count_message
    slowest_s = 0.0
    for version in range(2, 2 + CHANGE_COUNT):
        cfg = make_configuration(size)
        first, *rest = cfg.services
        changed = Service(first.name, f"10.91.0.{version}", first.classes)
        cluster.write_configuration(Configuration(version, (changed, *rest), cfg.data_centres))
        changed_at = cluster.now
        delays_s: list[float] = []

        def record_delay(
            version: int = version, changed_at: float = changed_at, delays_s: list[float] = delays_s
        ) -> None:
            versions = [item.view.cfg.version for item in cluster.processes.values()]
            if not delays_s and min(versions) >= version:
                delays_s.append(cluster.now - changed_at)

        cluster.run_for(MEASUREMENT_TIME_S / 2, record_delay)
        slowest_s = max(slowest_s, delays_s[0] if delays_s else MEASUREMENT_TIME_S)
    added = traffic.count_all_bytes() - CHANGE_COUNT * idle_traffic.count_all_bytes()
    return [
        Point("change_bytes", size, round(added / CHANGE_COUNT / size, 1), "B per daemon", seed),
        Point("change_in_force", size, round(slowest_s, 3), "s", seed),
    ]


class TrafficCounter:
    """Count of the bytes that processes send and receive, IP and UDP headers included."""

    def __init__(self) -> None:
        """Start at zero."""
        self.encoding_s = 0.0
        """Processor time spent to encode messages for the count, in seconds."""
        self._bytes: Counter[str] = Counter()
        self._keyring = build_keyring(MESSAGE_KEYS)

    def count_message(self, sender: str, send: Send) -> None:
        """Add the size of a message at its sender and at its receiver."""
        started = time.process_time()
        size = len(encode_message(send.message, self._keyring)) + IP_AND_UDP_HEADER_BYTES
        self.encoding_s += time.process_time() - started
        self._bytes[sender] += size
        self._bytes[send.message.target] += size

    def count_role_bytes(self, role: Role) -> int:
        """Return the bytes of all processes of a role."""
        return sum(count for name, count in self._bytes.items() if name.startswith(role.value))

    def count_all_bytes(self) -> int:
        """Return the bytes of all processes."""
        return sum(self._bytes.values())


def measure_messages(seed: int) -> list[Point]:
    """Measure the size and codec time of the periodic messages: an announcement and its answer."""
    keyring = build_keyring(MESSAGE_KEYS)
    announce = Announce("agent", "semarang", "jawa-tengah", "10.0.0.1", 7000, 7001, 1)
    bodies: dict[str, Body] = {"announce": announce, "answer": AnnounceAnswer((), 1)}
    points = []
    for name, body in bodies.items():
        message = Message("katalog-1", 1, body, 1, "balancer-1", "katalog", "", 4, 5)
        datagram = encode_message(message, keyring)
        started = time.process_time()
        for _ in range(CODEC_REPEATS):
            decode_message(encode_message(message, keyring), keyring)
        cpu_s = (time.process_time() - started) / CODEC_REPEATS
        points.append(Point(f"{name}_size", 1, len(datagram), "B", seed))
        points.append(Point(f"{name}_codec_cpu", 1, round(cpu_s * 1e6, 1), "us", seed))
    return points


def measure_memory(size: int, seed: int) -> list[Point]:
    """Measure the memory of the members' reports and of the tables."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    reports = VersionedMap()
    for index in range(size):
        reports.put(_make_report(index))
    reports_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    tables = VersionedMap()
    for index in range(size):
        tables.put(pack_table(_make_table(index)))
    tables_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return [
        Point("reports_memory", size, reports_bytes, "B", seed),
        Point("tables_memory", size, tables_bytes, "B", seed),
    ]


def _make_report(index: int) -> VersionedValue:
    facts = ProcessFacts(
        f"agent-{index}", Role.AGENT, "dc-1", "region", f"10.0.{index >> 8}.{index & 255}", 7000,
        index, f"service-{index // 5}",
    )  # fmt: skip
    key = build_report_key("dc-1", "balancer-1", facts)
    return VersionedValue(key, index + 1, encode_report(Report(facts, Status.ALIVE)), "balancer-1")


def _make_table(index: int) -> Table:
    members = tuple(
        Member(f"agent-{index}-{number}", "dc-1", f"10.1.{number}.1", 7000, index)
        for number in range(5)
    )
    return Table(f"service-{index}", 1, members, writer="balancer-1/1/1")


if __name__ == "__main__":
    typer.run(main)

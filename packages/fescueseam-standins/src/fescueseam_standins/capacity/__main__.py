"""Print the points and fits of what control costs, one JSON object a line."""

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
"""Count a balancer on each entry instance and an agent beside each backend server."""
FULL_SIZE_BY_MEASURE = {"tables_memory": FULL_SIZE_SERVICES}
"""Fit these measures at another size than the count of processes."""
AGENTS_PER_BALANCER = 7
"""Let each balancer stand for this many agents."""
CLUSTER_SIZES = (32, 64, 128)
DATA_CENTRE_COUNT = 3
SETTLE_TIME_S = 45.0
MEASUREMENT_TIME_S = 20.0
CHANGE_COUNT = 4
UDP_HEADER_BYTES = 28
CODEC_REPEATS = 2000


@frozen
class Point:
    """Hold one measured value."""

    measure: str
    size: int
    value: float
    unit: str
    seed: int


@frozen
class Fit:
    """Hold a straight line through points and its value at full size."""

    fit: str
    intercept: float
    slope: float
    at: int
    value: float
    unit: str


def main(seed: int = 1) -> None:
    """Measure, fit and print."""
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
    """Return the least-squares line through points."""
    mean_x = sum(point.size for point in points) / len(points)
    mean_y = sum(point.value for point in points) / len(points)
    spread = sum((point.size - mean_x) ** 2 for point in points)
    slope = sum((p.size - mean_x) * (p.value - mean_y) for p in points) / spread
    intercept = mean_y - slope * mean_x
    first = points[0]
    return Fit(first.measure, intercept, slope, at, intercept + slope * at, first.unit)


def build_cluster(size: int, seed: int) -> Cluster:
    """Return a running cluster of balancers and agents."""
    cluster = Cluster(random.Random(seed))
    cluster.write_configuration(make_configuration(size))
    balancers = max(2, size // (AGENTS_PER_BALANCER + 1))
    for index in range(balancers):
        cluster.add_balancer(f"balancer-{index}", f"dc-{index % DATA_CENTRE_COUNT}")
    for index in range(size - balancers):
        service = f"service-{index // 5}"
        cluster.add_agent(f"agent-{index}", f"dc-{index % DATA_CENTRE_COUNT}", service)
    cluster.run_for(SETTLE_TIME_S)
    return cluster


def make_configuration(size: int) -> Configuration:
    """Return a configuration with as many services as a cluster of that size needs."""
    classes = (ServiceClass("listing", 443),)
    services = tuple(
        Service(f"service-{index}", f"10.90.{index >> 8}.{index & 255}", classes)
        for index in range(size // 5 + 1)
    )
    centres = tuple(DataCentre(f"dc-{index}", "region") for index in range(DATA_CENTRE_COUNT))
    return Configuration(1, services, centres)


def measure_cluster(size: int, seed: int) -> list[Point]:
    """Measure traffic at rest, processor time, and the cost and time of a change."""
    cluster = build_cluster(size, seed)
    traffic = TrafficCounter()
    cluster.on_send = traffic.count_message
    calls = cluster.store.calls
    started = time.process_time()
    cluster.run_for(MEASUREMENT_TIME_S)
    cpu_s = time.process_time() - started - traffic.encoding_s
    balancers = len(cluster.list_balancers())

    def build_point(measure: str, value: float, unit: str) -> Point:
        return Point(measure, size, round(value, 6), unit, seed)

    points = [
        build_point(
            "balancer_bytes",
            traffic.count_role_bytes(Role.BALANCER) / balancers / MEASUREMENT_TIME_S,
            "B/s",
        ),
        build_point(
            "agent_bytes",
            traffic.count_role_bytes(Role.AGENT) / (size - balancers) / MEASUREMENT_TIME_S,
            "B/s",
        ),
        build_point("decisions_cpu", cpu_s / MEASUREMENT_TIME_S / size, "cores per daemon"),
        build_point(
            "store_calls_at_rest", (cluster.store.calls - calls) / MEASUREMENT_TIME_S, "calls/s"
        ),
    ]
    return [*points, *measure_changes(cluster, size, seed)]


def measure_changes(cluster: Cluster, size: int, seed: int) -> list[Point]:
    """Measure the bytes that one change adds and how long it takes."""
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

        def check(
            version: int = version, changed_at: float = changed_at, delays_s: list[float] = delays_s
        ) -> None:
            views = [item.view.cfg.version for item in cluster.processes.values()]
            if not delays_s and min(views) >= version:
                delays_s.append(cluster.now - changed_at)

        cluster.run_for(MEASUREMENT_TIME_S / 2, check)
        slowest_s = max(slowest_s, delays_s[0] if delays_s else MEASUREMENT_TIME_S)
    added = traffic.count_all_bytes() - CHANGE_COUNT * idle_traffic.count_all_bytes()
    return [
        Point("change_bytes", size, round(added / CHANGE_COUNT / size, 1), "B per daemon", seed),
        Point("change_in_force", size, round(slowest_s, 3), "s", seed),
    ]


class TrafficCounter:
    """Count the bytes that processes send and receive, headers of UDP included."""

    def __init__(self) -> None:
        """Start at zero."""
        self.encoding_s = 0.0
        self._bytes: Counter[str] = Counter()
        self._keyring = build_keyring(MESSAGE_KEYS)

    def count_message(self, sender: str, send: Send) -> None:
        """Count one message at its sender and its receiver."""
        started = time.process_time()
        size = len(encode_message(send.message, self._keyring)) + UDP_HEADER_BYTES
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
    """Measure the size and the processor time of the two messages that never stop."""
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
    """Measure what members and tables hold in memory."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    reports = VersionedMap()
    for index in range(size):
        reports.put(_make_report(index))
    members_bytes = tracemalloc.get_traced_memory()[0] - before
    before = tracemalloc.get_traced_memory()[0]
    tables = VersionedMap()
    for index in range(size):
        tables.put(pack_table(_make_table(index)))
    tables_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return [
        Point("reports_memory", size, members_bytes, "B", seed),
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
        Member(f"agent-{index}-{place}", "dc-1", f"10.1.{place}.1", 7000, index)
        for place in range(5)
    )
    return Table(f"service-{index}", 1, members, writer="balancer-1/1/1")


if __name__ == "__main__":
    typer.run(main)

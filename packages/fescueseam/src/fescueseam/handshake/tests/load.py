"""Callers that open flows at a steady rate, retransmit, retry and measure what they get."""

import random
from collections.abc import Callable

from attrs import define, evolve, field

from fescueseam.handshake.effects import Effects, SendReset, SendToCaller
from fescueseam.handshake.rules import Route, RouteShare, Rules, ServiceRules
from fescueseam.handshake.segments import FlowId, Segment
from fescueseam.handshake.tests.conftest import (
    ALERTS,
    HOP_DELAY_S,
    SERVICE_ADDRESS,
    Cluster,
    FakeBackend,
    build_opening,
    build_segment,
)
from fescueseam.overload.needs import RouteNeeds

COPY_DELAYS_S = (0.2, 0.6)
OPENING_TIMEOUT_S = 1.4
RETRY_DELAY_S = 0.05
SERVICE_TIME_S = 0.05
DEAR_PORT, CHEAP_PORT = 443, 444
DEAR, CHEAP = RouteNeeds(0.25, 1.0, 1), RouteNeeds(0.25, 1.0, 2)


def build_rules(version: int, needs: dict[int, RouteNeeds | None]) -> Rules:
    """Return rules with one route of the service at each port."""
    shares = (RouteShare(ALERTS),)
    routes = tuple(
        Route(f"port-{port}", SERVICE_ADDRESS, port, shares, item) for port, item in needs.items()
    )
    return Rules(version, routes, (ServiceRules(ALERTS),))


@define(eq=False)
class Request:
    """One request, over all its attempts."""

    caller: int
    port: int
    started_at: float
    flow: FlowId = (0, 0, 0, 0)
    retries_left: int = 2
    is_open: bool = False
    refused: int = 0
    answered_after_s: float | None = None


@define(eq=False)
class QueueingBackend(FakeBackend):
    """Backend server of one slot that works on one request after the other."""

    free_at: float = 0.0
    work_s: dict[int, float] = field(factory=dict)
    """Service time of the requests of each port; SERVICE_TIME_S for the others."""

    def queue_request(self, now: float, port: int) -> None:
        """Set the time that the next request takes, its wait in the queue included."""
        self.free_at = max(now, self.free_at) + self.work_s.get(port, SERVICE_TIME_S)
        self.service_time_s = (self.free_at - now) / max(1, self.busy + 1)


@define(eq=False)
class LoadedCluster(Cluster):
    """A cluster with callers that react to what they are sent."""

    requests: list[Request] = field(factory=list)
    by_flow: dict[FlowId, Request] = field(factory=dict)
    rng: random.Random = field(factory=lambda: random.Random(1))
    _ports: int = 1024

    def offer_load(self, caller: int, port: int, per_s: float, duration_s: float) -> None:
        """Let a caller send requests at random times, with a mean rate."""
        delay_s = self.rng.expovariate(per_s)
        while delay_s < duration_s:
            self.schedule(delay_s, lambda: self._start(Request(caller, port, self.now)))
            delay_s += self.rng.expovariate(per_s)

    def compute_share(self, chosen: Callable[[Request], bool], within_s: float) -> float:
        """Return the share of some requests that were answered within a time."""
        requests = [item for item in self.requests if chosen(item)]
        in_time = [
            item
            for item in requests
            if item.answered_after_s is not None and item.answered_after_s <= within_s
        ]
        return len(in_time) / len(requests)

    def execute(self, address: int, effects: Effects) -> None:
        super().execute(address, effects)
        for effect in effects:
            if isinstance(effect, SendToCaller):
                flow = effect.segment.get_flow_to_caller()
                opens, has_data = effect.segment.opens, effect.segment.data_bytes > 0
                self.schedule(HOP_DELAY_S, lambda f=flow, o=opens, d=has_data: self._hear(f, o, d))
            elif isinstance(effect, SendReset):
                flow = effect.segment.get_flow_from_caller()
                self.schedule(HOP_DELAY_S, lambda f=flow: self._hear_reset(f))

    def _handle_at_backend(self, address: int, segment: Segment) -> None:
        backend = self.backends[address]
        if segment.data_bytes and isinstance(backend, QueueingBackend):
            backend.queue_request(self.now, segment.destination_port)
        super()._handle_at_backend(address, segment)

    def _start(self, request: Request) -> None:
        self.requests.append(request)
        self._try(request)

    def _try(self, request: Request) -> None:
        self._ports += 1
        flow = (request.caller, self._ports, SERVICE_ADDRESS, request.port)
        request.flow, request.is_open = flow, False
        self.by_flow[flow] = request
        for attempt, delay_s in enumerate((0.0, *COPY_DELAYS_S)):
            self.schedule(delay_s, lambda a=attempt: self._send_opening(flow, a))
        self.schedule(OPENING_TIMEOUT_S, lambda: self._give_up(flow))

    def _send_opening(self, flow: FlowId, attempt: int) -> None:
        if flow in self.by_flow and not self.by_flow[flow].is_open:
            self.send(build_opening(flow, attempt), self._choose_balancer(flow))

    def _choose_balancer(self, flow: FlowId) -> int:
        balancers = [item for item in self.nodes if item < 10 and item not in self.disconnected]
        return balancers[hash(flow) % len(balancers)]

    def _hear(self, flow: FlowId, opens: bool, has_data: bool) -> None:
        request = self.by_flow.get(flow)
        if request is not None and opens and not request.is_open:
            request.is_open = True
            segment = build_segment(flow, data_bytes=100)
            self.send(segment, self._choose_balancer(flow))
        elif request is not None and has_data:
            request.answered_after_s = self.now - request.started_at
            del self.by_flow[flow]
            closing = build_segment(flow, sequence=1100, finishes=True)
            self.send(closing, self._choose_balancer(flow))

    def _hear_reset(self, flow: FlowId) -> None:
        request = self.by_flow.pop(flow, None)
        if request is None:
            return
        assert not any(flow in item.flows for item in self.backends.values())
        request.refused += 1
        if request.retries_left:
            request.retries_left -= 1
            self.schedule(RETRY_DELAY_S, lambda: self._try(request))

    def _give_up(self, flow: FlowId) -> None:
        request = self.by_flow.get(flow)
        if request is not None and not request.is_open:
            del self.by_flow[flow]


def build_cluster(needs: dict[int, RouteNeeds | None], agents: int = 4) -> LoadedCluster:
    """Return two balancers and agents of one slot each, some seconds after their start."""
    cluster = LoadedCluster(rules=build_rules(1, needs))
    for address in (1, 2):
        cluster.add_balancer(address)
    for address in range(11, 11 + agents):
        backend = QueueingBackend(f"b{address}", 1, closes_flows=True)
        cluster.add_agent(address, backend)
    cluster.run(3.0)
    return cluster


def replace_rules(cluster: LoadedCluster, rules: Rules) -> None:
    """Give both balancers new rules."""
    cluster.rules = evolve(rules)
    for address in (1, 2):
        cluster.nodes[address].configuration.update_rules(rules, cluster.now)

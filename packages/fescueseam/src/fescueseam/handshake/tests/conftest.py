"""Simulation of balancers, agents and backend servers in virtual time, without a network."""

import heapq
from collections import defaultdict
from collections.abc import Callable

import pytest
from attrs import define, evolve, field

from fescueseam.handshake.agent import Agent
from fescueseam.handshake.backend import BackendMonitor, Heartbeat
from fescueseam.handshake.balancer import Balancer
from fescueseam.handshake.effects import (
    Deliver,
    Effects,
    Forward,
    LogEvent,
    Observe,
    SendNotice,
    SendReset,
    SendToCaller,
)
from fescueseam.handshake.member import Availability, Identity, Load, Role
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.notices import (
    HomeHandover,
    Locate,
    LocateBatch,
    Located,
    LocatedBatch,
    NoticeBody,
    Report,
)
from fescueseam.handshake.rules import (
    ActiveConfiguration,
    Outage,
    Route,
    RouteShare,
    Rules,
    ServiceRules,
)
from fescueseam.handshake.segments import FlowId, Segment
from fescueseam.handshake.tests.packets import (
    build_backend_segment,
    build_opening,
    build_segment,
)

HOP_DELAY_S = 0.001
TICK_INTERVAL_S = 0.02
HEARTBEAT_INTERVAL_S = 1.0
BACKEND_STARTED_MS = 5
REPORT_INTERVAL_S = 0.25
SERVICE_ADDRESS, SERVICE_PORT = 0xC6120001, 443
CALLER_ADDRESS = 0x64400007
ALERTS, INTAKE = "alerts", "intake"


RULES = Rules(
    1,
    (Route("alerts", SERVICE_ADDRESS, SERVICE_PORT, (RouteShare(ALERTS),)),),
    (ServiceRules(ALERTS, 4.0), ServiceRules(INTAKE)),
)


@define(eq=False)
class FakeBackend:
    """Simulated backend server that follows the documented interface."""

    name: str
    slots: int = 2
    service_time_s: float = 0.02
    flows: dict[FlowId, bool] = field(factory=dict)
    """Whether each known flow is open; False for half-open flows."""
    opening_times: list[float] = field(factory=list)
    """Arrival times of opening packets."""
    misrouted_packets: defaultdict[FlowId, int] = field(factory=lambda: defaultdict(int))
    """Number of received packets of each flow that the backend server does not hold."""
    accepts_openings: bool = True
    alive: bool = True
    ends_unanswered: bool = False
    """Whether it ends each request without an answer."""
    hangs: bool = False
    """Whether it never ends a request."""
    closes_flows: bool = False
    """Whether it closes each flow after one answer; the closing packet overtakes the answer."""
    sequences: defaultdict[FlowId, int] = field(factory=lambda: defaultdict(lambda: 5001))
    """Sequence number of the next data of each flow."""
    busy: int = 0
    peak_busy: int = 0
    served: int = 0

    def accepts(self, flow: FlowId, segment: Segment) -> bool:
        """Return whether a packet belongs to a known flow; 0 acknowledges any handshake."""
        return self.flows[flow] or segment.acknowledgement in (0, self.sequences[flow])


@define(eq=False)
class Cluster:
    """Simulated processes, and the delivery of the effects that each returns."""

    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    nodes: dict[int, Balancer | Agent] = field(factory=dict)
    backends: dict[int, FakeBackend] = field(factory=dict)
    resets: list[FlowId] = field(factory=list)
    """Flows whose callers were sent a reset."""
    answers: defaultdict[FlowId, int] = field(factory=lambda: defaultdict(int))
    """Number of packets sent to the caller of each flow."""
    events: list[LogEvent] = field(factory=list)
    observed: list[Observe] = field(factory=list)
    locate_requests: list[tuple[int, int]] = field(factory=list)
    """Sender and receiver of each Locate and LocateBatch notice."""
    disconnected: set[int] = field(factory=set)
    """Addresses that neither send nor receive anything."""
    lost_reports: set[tuple[int, int]] = field(factory=set)
    """Senders and receivers between which reports are lost; other notices arrive."""
    rules: Rules = RULES
    _scheduled: int = 0
    _sequence: int = 0

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._scheduled += 1
        heapq.heappush(self.queue, (self.now + delay_s, self._scheduled, callback))

    def run(self, duration_s: float) -> None:
        end = self.now + duration_s
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    def add_balancer(self, address: int, data_centre: str = "a") -> Balancer:
        own = Identity(
            f"balancer-{address}", Role.BALANCER, address, data_centre, "", self._next_sequence()
        )
        configuration = ActiveConfiguration()
        configuration.update_rules(self.rules, self.now)
        configuration.update_outage(Outage(1))
        core = Balancer(Fleet(own), configuration, self.now, has_member_list=True)
        self._add_node(address, core, own)
        return core

    def add_agent(
        self,
        address: int,
        backend: FakeBackend | None = None,
        service: str = ALERTS,
        sequence: int = 1,
        data_centre: str = "a",
        process_started_ms: int | None = None,
    ) -> Agent:
        own = Identity(
            f"agent-{address}", Role.AGENT, address, data_centre, service, self._next_sequence()
        )
        if sequence <= 1 and process_started_ms is None:
            # Agent and backend server start together.
            process_started_ms = BACKEND_STARTED_MS
        monitor = BackendMonitor(service, HEARTBEAT_INTERVAL_S, self.now, process_started_ms)
        core = Agent(Fleet(own), monitor, self.now)
        core.admission.rules_version = self.rules.version
        core.admission.cold_bounds = {
            item.name: item.cold_openings_per_s for item in self.rules.services
        }
        self.backends[address] = backend or self.backends.get(address) or FakeBackend(f"b{address}")
        self._add_node(address, core, own)
        self.start_heartbeats(address, sequence)
        return core

    def start_heartbeats(self, address: int, sequence: int, **changes: object) -> None:
        """Send a heartbeat of a backend server to its agent now and at every interval."""
        core, backend = self.nodes.get(address), self.backends[address]
        if not isinstance(core, Agent) or not backend.alive:
            return
        heartbeat = Heartbeat(
            backend.name,
            BACKEND_STARTED_MS,
            sequence,
            core.backend.service,
            Availability.READY,
            backend.slots,
        )
        self.execute(address, core.handle_heartbeat(evolve(heartbeat, **changes), self.now)[1])
        self.schedule(
            HEARTBEAT_INTERVAL_S,
            lambda: self._continue_heartbeats(address, core, sequence + 1, changes),
        )

    def _continue_heartbeats(
        self, address: int, core: Agent, sequence: int, changes: dict[str, object]
    ) -> None:
        if self.nodes.get(address) is core and self.backends[address].alive:
            current = core.backend.last_heartbeat
            if current is not None and current.sequence == sequence - 1:
                self.start_heartbeats(address, sequence, **changes)

    def send(self, segment: Segment, balancer: int) -> None:
        """Send a caller's packet to a balancer."""
        self.schedule(HOP_DELAY_S, lambda: self._receive_from_caller(segment, balancer))

    def request(self, flow: FlowId, balancer: int, sequence: int = 1000) -> None:
        """Send one request on an open flow."""
        self.send(build_segment(flow, sequence=sequence, data_bytes=100), balancer)

    def open(self, flow: FlowId, balancer: int) -> None:
        """Open a flow and complete its handshake."""
        self.send(build_opening(flow), balancer)
        self.run(0.01)
        self.send(build_segment(flow), balancer)
        self.run(0.01)

    def find_home(self, flow: FlowId) -> int | None:
        """Return the address of the backend server that holds an open flow."""
        for address, backend in self.backends.items():
            if backend.flows.get(flow):
                return address
        return None

    def count_events(self, event: str) -> int:
        return sum(1 for item in self.events if item.event == event)

    def execute(self, address: int, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, LogEvent):
                self.events.append(effect)
            elif isinstance(effect, Observe):
                self.observed.append(effect)
            elif address in self.disconnected:
                continue
            elif isinstance(effect, Forward):
                segment = evolve(effect.segment, mark=effect.mark, returned=effect.returned)
                self._forward(address, effect.address, segment)
            elif isinstance(effect, SendNotice):
                self._send_notice(address, effect.address, effect.body)
            elif isinstance(effect, Deliver):
                segment = effect.segment
                self.schedule(
                    HOP_DELAY_S / 10, lambda s=segment: self._handle_at_backend(address, s)
                )
            elif isinstance(effect, SendToCaller):
                self.answers[effect.segment.get_flow_to_caller()] += 1
            elif isinstance(effect, SendReset):
                self.resets.append(effect.segment.get_flow_from_caller())

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence

    def _add_node(self, address: int, core: Balancer | Agent, own: Identity) -> None:
        self.nodes[address] = core
        for other, node in self.nodes.items():
            if other != address:
                core.fleet.add_listed(node.fleet.own, self.now)
                node.fleet.add_listed(own, self.now)
        self.schedule(REPORT_INTERVAL_S, lambda: self._report(address, core))
        self.schedule(TICK_INTERVAL_S, lambda: self._tick(address, core))

    def _tick(self, address: int, core: Balancer | Agent) -> None:
        if self.nodes.get(address) is core:
            self.execute(address, core.tick(self.now))
            self.schedule(TICK_INTERVAL_S, lambda: self._tick(address, core))

    def _report(self, address: int, core: Balancer | Agent) -> None:
        if self.nodes.get(address) is not core:
            return
        if isinstance(core, Agent):
            self.execute(address, core.report_to_all(self.now))
        else:
            body = Report(
                core.fleet.own,
                Load(),
                core.configuration.rules.version,
                core.configuration.outage,
                tuple(
                    (item.name, item.cold_openings_per_s)
                    for item in core.configuration.rules.services
                ),
            )
            members = list(core.fleet.members.values())
            self.execute(address, [SendNotice(item.identity.address, body) for item in members])
        self.schedule(REPORT_INTERVAL_S, lambda: self._report(address, core))

    def _send_notice(self, sender: int, address: int, body: NoticeBody) -> None:
        name, sequence = self.nodes[sender].fleet.own.name, self._next_sequence()
        if isinstance(body, Locate | LocateBatch):
            self.locate_requests.append((sender, address))

        def arrive() -> None:
            core = self.nodes.get(address)
            if core is None or address in self.disconnected or sender in self.disconnected:
                return
            if isinstance(body, Report) and (sender, address) in self.lost_reports:
                return
            if isinstance(body, Report):
                core.fleet.record_report(body.identity, body.load, sequence, self.now)
                if isinstance(core, Agent):
                    self.execute(address, core.handle_report(body, self.now))
                elif body.identity.role is Role.AGENT:
                    self.execute(address, core.handle_agent_report(name, self.now))
            elif isinstance(body, Locate):
                self.execute(address, core.handle_locate(sender, body, self.now))
            elif isinstance(body, LocateBatch) and isinstance(core, Agent):
                self.execute(address, core.handle_locate_batch(sender, body, self.now))
            elif isinstance(body, HomeHandover) and isinstance(core, Balancer):
                core.handle_handover(body, self.now)
            elif isinstance(body, Located | LocatedBatch) and isinstance(core, Balancer):
                core.fleet.record_message(name, self.now)
                answers = body.answers if isinstance(body, LocatedBatch) else (body,)
                for answer in answers:
                    self.execute(address, core.handle_located(name, answer, self.now))

        self.schedule(HOP_DELAY_S, arrive)

    def _forward(self, sender: int, address: int, segment: Segment) -> None:
        def arrive() -> None:
            core = self.nodes.get(address)
            if core is None or address in self.disconnected or sender in self.disconnected:
                return
            if isinstance(core, Agent):
                self.execute(address, core.handle_packet(segment, self.now))
            else:
                self.execute(address, core.handle_returned_packet(segment, sender, self.now))

        self.schedule(HOP_DELAY_S, arrive)

    def _receive_from_caller(self, segment: Segment, balancer: int) -> None:
        core = self.nodes.get(balancer)
        if isinstance(core, Balancer) and balancer not in self.disconnected:
            self.execute(balancer, core.handle_packet(segment, self.now))

    def _handle_at_backend(self, address: int, segment: Segment) -> None:
        backend = self.backends[address]
        if not backend.alive:
            return
        flow = segment.get_flow_from_caller()
        if segment.opens:
            backend.opening_times.append(self.now)
            if not backend.accepts_openings:
                self._send_from_backend(address, evolve(segment, returned=True))
                return
            backend.flows.setdefault(flow, False)
            sequence = backend.sequences[flow] - 1
            opening = build_backend_segment(flow, opens=True, sequence=sequence)
            self._send_from_backend(address, opening)
        elif flow not in backend.flows or not backend.accepts(flow, segment):
            backend.misrouted_packets[flow] += 1
            self._send_from_backend(address, evolve(segment, returned=True))
        else:
            backend.flows[flow] = True
            if segment.data_bytes:
                backend.busy += 1
                backend.peak_busy = max(backend.peak_busy, backend.busy)
                wait_s = backend.service_time_s * max(1.0, backend.busy / backend.slots)
                self.schedule(wait_s, lambda: self._finish_request(address, flow))
            else:
                sequence = backend.sequences[flow]
                self._send_from_backend(address, build_backend_segment(flow, sequence=sequence))

    def _finish_request(self, address: int, flow: FlowId) -> None:
        backend = self.backends[address]
        if backend.hangs:
            return
        backend.busy -= 1
        backend.served += 1
        sequence = backend.sequences[flow]
        closing = build_backend_segment(flow, finishes=True, sequence=sequence)
        if backend.ends_unanswered:
            self._send_from_backend(address, closing)
        elif backend.alive and flow in backend.flows:
            backend.sequences[flow] = sequence + 500
            if backend.closes_flows:
                self._send_from_backend(address, evolve(closing, sequence=sequence + 500))
            answer = build_backend_segment(flow, data_bytes=500, sequence=sequence)
            self._send_from_backend(address, answer)

    def _send_from_backend(self, address: int, segment: Segment) -> None:
        core = self.nodes.get(address)
        if isinstance(core, Agent):
            self.execute(address, core.handle_backend_packet(segment, self.now))


def build_flow(number: int) -> FlowId:
    """Return the flow whose caller port is 10,000 plus the number."""
    return (CALLER_ADDRESS, 10_000 + number, SERVICE_ADDRESS, SERVICE_PORT)


@pytest.fixture
def cluster() -> Cluster:
    """Return two balancers and three agents that have received each other's reports."""
    built = Cluster()
    for address in (1, 2):
        built.add_balancer(address)
    for address in (11, 12, 13):
        built.add_agent(address)
    built.run(3.0)
    return built

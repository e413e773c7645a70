"""Join balancers, agents and made-up backend servers on virtual time, without a network."""

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
from fescueseam.handshake.members import Availability, Fleet, Identity, Load, Role
from fescueseam.handshake.notices import Locate, Located, Report
from fescueseam.handshake.rules import (
    ActiveConfiguration,
    Outage,
    Route,
    RouteShare,
    Rules,
    ServiceRules,
)
from fescueseam.handshake.segments import NO_MARK, FlowId, Segment

HOP_S = 0.001
TICK_S = 0.02
HEARTBEAT_S = 1.0
REPORT_S = 0.25
SERVICE_ADDRESS, SERVICE_PORT = 0xC6120001, 443
CALLER = 0x64400007
ALERTS, INTAKE = "alerts", "intake"


RULES = Rules(
    1,
    (Route("alerts", SERVICE_ADDRESS, SERVICE_PORT, (RouteShare(ALERTS),)),),
    (ServiceRules(ALERTS, 4.0), ServiceRules(INTAKE)),
)


def build_segment(flow: FlowId, **changes: object) -> Segment:
    """Return a caller's packet without data."""
    blank = Segment(*flow, False, True, False, False, False, 0, 1000, 0, 0, NO_MARK, b"")
    return evolve(blank, **changes)


def build_opening(flow: FlowId, attempt: int = 0) -> Segment:
    """Return the opening packet of a flow."""
    return build_segment(flow, opens=True, acknowledges=False, attempt=attempt)


def build_answer(flow: FlowId, **changes: object) -> Segment:
    """Return a backend server's packet."""
    caller, caller_port, service, service_port = flow
    return build_segment((service, service_port, caller, caller_port), **changes)


@define(eq=False)
class FakeBackend:
    """Behave as the pages say a backend server does."""

    name: str
    slots: int = 2
    work_s: float = 0.02
    flows: dict[FlowId, bool] = field(factory=dict)
    """Hold whether each flow is open."""
    openings: list[float] = field(factory=list)
    strangers: defaultdict[FlowId, int] = field(factory=lambda: defaultdict(int))
    """Count the packets of flows that are held elsewhere."""
    accepts: bool = True
    alive: bool = True
    breaks_off: bool = False
    """Tell that it ends each request without an answer."""
    hangs: bool = False
    """Tell that it never ends a request."""
    busy: int = 0
    most_busy: int = 0
    served: int = 0


@define(eq=False)
class Mesh:
    """Hold every process and carry out what each decides."""

    now: float = 100.0
    queue: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    nodes: dict[int, Balancer | Agent] = field(factory=dict)
    backends: dict[int, FakeBackend] = field(factory=dict)
    resets: list[FlowId] = field(factory=list)
    answers: defaultdict[FlowId, int] = field(factory=lambda: defaultdict(int))
    notes: list[LogEvent] = field(factory=list)
    observed: list[Observe] = field(factory=list)
    asked: list[tuple[int, int]] = field(factory=list)
    """Hold sender and receiver of each question for a flow."""
    cut: set[int] = field(factory=set)
    """Name the addresses that neither send nor get anything."""
    lost_reports: set[tuple[int, int]] = field(factory=set)
    """Name sender and receiver of the reports that are lost; other notices arrive."""
    rules: Rules = RULES
    _count: int = 0
    _sequence: int = 0

    def after(self, delay_s: float, do: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self.queue, (self.now + delay_s, self._count, do))

    def run(self, for_s: float) -> None:
        end = self.now + for_s
        while self.queue and self.queue[0][0] <= end:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = end

    def add_balancer(self, address: int, data_centre: str = "a") -> Balancer:
        own = Identity(f"balancer-{address}", Role.BALANCER, address, data_centre, "", self._next())
        configuration = ActiveConfiguration()
        configuration.update_rules(self.rules)
        configuration.update_outage(Outage(1))
        core = Balancer(Fleet(own), configuration, self.now, knows_all=True)
        self._join(address, core, own)
        return core

    def add_agent(
        self,
        address: int,
        backend: FakeBackend | None = None,
        service: str = ALERTS,
        sequence: int = 1,
        data_centre: str = "a",
    ) -> Agent:
        own = Identity(f"agent-{address}", Role.AGENT, address, data_centre, service, self._next())
        core = Agent(Fleet(own), BackendMonitor(service, HEARTBEAT_S, self.now), self.now)
        core.rules_version = self.rules.version
        core.cold_bounds = {item.name: item.cold_openings_per_s for item in self.rules.services}
        self.backends[address] = backend or self.backends.get(address) or FakeBackend(f"b{address}")
        self._join(address, core, own)
        self.beat(address, sequence)
        return core

    def beat(self, address: int, sequence: int, **changes: object) -> None:
        """Let a backend server send heartbeats from now on."""
        core, backend = self.nodes.get(address), self.backends[address]
        if not isinstance(core, Agent) or not backend.alive:
            return
        beat = Heartbeat(
            backend.name, 5, sequence, core.backend.service, Availability.READY, backend.slots
        )
        self.carry_out(address, core.handle_heartbeat(evolve(beat, **changes), self.now)[1])
        self.after(HEARTBEAT_S, lambda: self._beat_on(address, core, sequence + 1, changes))

    def _beat_on(
        self, address: int, core: Agent, sequence: int, changes: dict[str, object]
    ) -> None:
        if self.nodes.get(address) is core and self.backends[address].alive:
            current = core.backend.last_heartbeat
            if current is not None and current.sequence == sequence - 1:
                self.beat(address, sequence, **changes)

    def send(self, segment: Segment, balancer: int) -> None:
        """Hand a caller's packet to a balancer."""
        self.after(HOP_S, lambda: self._take_from_caller(segment, balancer))

    def request(self, flow: FlowId, balancer: int, sequence: int = 1000) -> None:
        """Send one request on an open flow."""
        self.send(build_segment(flow, sequence=sequence, data_bytes=100), balancer)

    def open(self, flow: FlowId, balancer: int) -> None:
        """Open a flow and let the caller answer the handshake."""
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

    def count_notes(self, event: str) -> int:
        return sum(1 for note in self.notes if note.event == event)

    def carry_out(self, address: int, effects: Effects) -> None:
        for effect in effects:
            if isinstance(effect, LogEvent):
                self.notes.append(effect)
            elif isinstance(effect, Observe):
                self.observed.append(effect)
            elif address in self.cut:
                continue
            elif isinstance(effect, Forward):
                segment = evolve(effect.segment, mark=effect.mark, returned=effect.returned)
                self._hand(address, effect.address, segment)
            elif isinstance(effect, SendNotice):
                self._tell(address, effect.address, effect.body)
            elif isinstance(effect, Deliver):
                segment = effect.segment
                self.after(HOP_S / 10, lambda s=segment: self._serve(address, s))
            elif isinstance(effect, SendToCaller):
                self.answers[effect.segment.get_flow_to_caller()] += 1
            elif isinstance(effect, SendReset):
                self.resets.append(effect.segment.get_flow_from_caller())

    def _next(self) -> int:
        self._sequence += 1
        return self._sequence

    def _join(self, address: int, core: Balancer | Agent, own: Identity) -> None:
        self.nodes[address] = core
        for other, node in self.nodes.items():
            if other != address:
                core.fleet.add_listed(node.fleet.own, self.now)
                node.fleet.add_listed(own, self.now)
        self.after(REPORT_S, lambda: self._report(address, core))
        self.after(TICK_S, lambda: self._tick(address, core))

    def _tick(self, address: int, core: Balancer | Agent) -> None:
        if self.nodes.get(address) is core:
            self.carry_out(address, core.tick(self.now))
            self.after(TICK_S, lambda: self._tick(address, core))

    def _report(self, address: int, core: Balancer | Agent) -> None:
        if self.nodes.get(address) is not core:
            return
        if isinstance(core, Agent):
            self.carry_out(address, core.report_to_all(self.now))
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
            self.carry_out(address, [SendNotice(item.identity.address, body) for item in members])
        self.after(REPORT_S, lambda: self._report(address, core))

    def _tell(self, sender: int, address: int, body: Report | Locate | Located) -> None:
        name, sequence = self.nodes[sender].fleet.own.name, self._next()
        if isinstance(body, Locate):
            self.asked.append((sender, address))

        def arrive() -> None:
            core = self.nodes.get(address)
            if core is None or address in self.cut or sender in self.cut:
                return
            if isinstance(body, Report) and (sender, address) in self.lost_reports:
                return
            if isinstance(body, Report):
                core.fleet.note_report(body.identity, body.load, sequence, self.now)
                if isinstance(core, Agent):
                    self.carry_out(address, core.handle_report(body, self.now))
            elif isinstance(body, Locate):
                self.carry_out(address, core.handle_locate(sender, body, self.now))
            elif isinstance(body, Located) and isinstance(core, Balancer):
                core.fleet.note_heard(name, self.now)
                self.carry_out(address, core.handle_located(name, body, self.now))

        self.after(HOP_S, arrive)

    def _hand(self, sender: int, address: int, segment: Segment) -> None:
        def arrive() -> None:
            core = self.nodes.get(address)
            if core is None or address in self.cut or sender in self.cut:
                return
            if isinstance(core, Agent):
                self.carry_out(address, core.handle_packet(segment, self.now))
            else:
                self.carry_out(address, core.handle_return(segment, sender, self.now))

        self.after(HOP_S, arrive)

    def _take_from_caller(self, segment: Segment, balancer: int) -> None:
        core = self.nodes.get(balancer)
        if isinstance(core, Balancer) and balancer not in self.cut:
            self.carry_out(balancer, core.handle_packet(segment, self.now))

    def _serve(self, address: int, segment: Segment) -> None:
        backend = self.backends[address]
        if not backend.alive:
            return
        flow = segment.get_flow_from_caller()
        if segment.opens:
            backend.openings.append(self.now)
            if not backend.accepts:
                self._from_backend(address, evolve(segment, returned=True))
                return
            backend.flows.setdefault(flow, False)
            self._from_backend(address, build_answer(flow, opens=True))
        elif flow not in backend.flows:
            backend.strangers[flow] += 1
            self._from_backend(address, evolve(segment, returned=True))
        else:
            backend.flows[flow] = True
            if segment.data_bytes:
                backend.busy += 1
                backend.most_busy = max(backend.most_busy, backend.busy)
                wait_s = backend.work_s * max(1.0, backend.busy / backend.slots)
                self.after(wait_s, lambda: self._finish(address, flow))
            else:
                self._from_backend(address, build_answer(flow))

    def _finish(self, address: int, flow: FlowId) -> None:
        backend = self.backends[address]
        if backend.hangs:
            return
        backend.busy -= 1
        backend.served += 1
        if backend.breaks_off:
            self._from_backend(address, build_answer(flow, finishes=True))
        elif backend.alive and flow in backend.flows:
            self._from_backend(address, build_answer(flow, data_bytes=500))

    def _from_backend(self, address: int, segment: Segment) -> None:
        core = self.nodes.get(address)
        if isinstance(core, Agent):
            self.carry_out(address, core.handle_backend_packet(segment, self.now))


def flow_number(number: int) -> FlowId:
    """Return one of many flows to the service."""
    return (CALLER, 10_000 + number, SERVICE_ADDRESS, SERVICE_PORT)


@pytest.fixture
def mesh() -> Mesh:
    """Return two balancers and three agents that have heard each other."""
    built = Mesh()
    for address in (1, 2):
        built.add_balancer(address)
    for address in (11, 12, 13):
        built.add_agent(address)
    built.run(3.0)
    return built

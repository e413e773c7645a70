"""Join cores, backend servers, callers and the network on one timeline."""

import random
from collections.abc import Callable

from attrs import define, evolve, field

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.conf.models import (
    AdmissionRules,
    Configuration,
    DataCentreState,
    EndpointRule,
    Service,
)
from fescueseam.effects import Deliver, Observe, Refuse, Send
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Body, Message
from fescueseam.routing.table import Member, MemberState, Table
from fescueseam.routing.view import View
from fescueseam.upkeep.history import TableHistory

from .backend import Answer, Backend
from .callers import Callers
from .calls import Call
from .control import accept, make_control, read_store
from .cores import MakeEntry, MakeHome, make_entry, make_home
from .deployments import Deployment
from .hosts import AgentHost, EntryHost, Host
from .journal import Delivery, Journal, Order, Refusal
from .life import Life
from .network import CALLERS, Network, Place
from .payloads import Stamp, read_stamp
from .store import Store
from .suspicion import Suspicion
from .timeline import Timeline
from .traffic import Arrivals

TICK_S = 0.02
REPORT_INTERVAL_S = 0.5
STORE_INTERVAL_S = 0.5
CHANGE_RETRY_S = 0.5
CONTROL_PORT = 7000
WARM_START = -1000.0
WARM_TICKS = (-1.6, -0.8)
"""Tick warm agents at these times, so that their long past is not taken for a pause."""


@define(eq=False)
class World:
    """Run one deployment."""

    deployment: Deployment
    seed: int = 1
    make_entry: MakeEntry = make_entry
    make_home: MakeHome = make_home
    ends_seen: bool = True
    """Let agents see the end of a flow at once, not only by load reports."""
    warm: bool = True
    """Start with backend servers and agents that are warm."""
    keep_observed: bool = False
    gossips: bool = False
    """Let configurations travel by the store and the gossip core, not directly."""
    keeps_majorities: bool = False
    """Put off a table whose majorities do not meet those of recent epochs."""
    timeline: Timeline = field(factory=Timeline)
    rng: random.Random = field(init=False)
    network: Network = field(init=False)
    callers: Callers = field(init=False)
    store: Store = field(init=False)
    history: TableHistory = field(init=False)
    suspicion: Suspicion = field(init=False)
    calls: dict[int, Call] = field(factory=dict)
    journal: Journal = field(factory=Journal)
    entries: dict[str, EntryHost] = field(factory=dict)
    agents: dict[str, AgentHost] = field(factory=dict)
    backends: dict[str, Backend] = field(factory=dict)
    cfg: Configuration = field(init=False)
    """Hold the configuration that operators last had accepted."""
    tables: dict[str, Table] = field(factory=dict)
    """Hold the newest table of each service."""
    spray_choice: Callable[[list[EntryHost]], EntryHost] | None = None
    before_ticks: list[Callable[[], None]] = field(factory=list)
    _directory: dict[str, Host] = field(factory=dict)
    _addresses: int = 0
    _incarnations: int = 0

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.network = Network(self.timeline, random.Random(self.seed + 1), self.deployment.delays)
        self.callers = Callers(self)
        self.cfg = self.deployment.configuration
        self.store = Store(self.timeline, self.network, random.Random(self.seed + 2))
        self.store.write(self.cfg)
        self.history = TableHistory(complete_since=-PACKET_LIFETIME_S)
        self.suspicion = Suspicion(self)

    def start(self) -> None:
        """Start every process, with the same table and configuration in all views."""
        if self.gossips:
            self.suspicion.start()
        members: dict[str, list[Member]] = {service.name: [] for service in self.cfg.services}
        for plan in self.deployment.servers:
            member = self._make_member(plan.name, plan.data_centre)
            members[plan.service].append(member)
        for service in self.cfg.services:
            self.tables[service.name] = Table(
                service.name,
                1,
                tuple(members[service.name]),
                self.deployment.buckets,
                self.deployment.seed,
            )
        for balancer in self.deployment.balancers:
            self.start_entry(balancer.name, balancer.data_centre)
        for plan in self.deployment.servers:
            self.start_backend(plan.name, plan.service, plan.speed)
            member = next(m for m in members[plan.service] if m.name == plan.name)
            self.start_agent(member, plan.service)

    # Processes

    def start_entry(self, name: str, data_centre: str) -> EntryHost:
        """Start a balancer that knows the newest configuration and tables."""
        self._incarnations += 1
        view = self._make_view()
        host = EntryHost(
            Place(name, data_centre),
            view,
            self,
            core=self.make_entry(name, self._incarnations, view),
        )
        self.entries[name] = host
        self._give_control(host)
        self.timeline.every(TICK_S, host.run_tick)
        self.timeline.every(STORE_INTERVAL_S, lambda: read_store(self.store, host))
        return host

    def start_backend(self, name: str, service: str, speed: float = 1.0) -> Backend:
        """Start a backend server."""
        rules = self.find_service(service).admission
        backend = Backend(name, service, rules, self.timeline, speed, started=self.timeline.now)
        if self.warm and self.timeline.now == 0:
            backend.warm_up()
        self.backends[name] = backend
        return backend

    def start_agent(self, member: Member, service: str) -> AgentHost:
        """Start an agent beside its backend server."""
        view = self._make_view()
        rules = self.find_service(service).admission
        now = self.timeline.now
        warm = self.warm and now == 0
        # A warm world is one whose agents have run for long.
        started = WARM_START if warm else now
        core = self.make_home(member, service, rules, view, started)
        host = AgentHost(
            Place(member.name, member.data_centre),
            view,
            self,
            member=member,
            core=core,
            backend=self.backends[member.name],
        )
        self.agents[member.name] = host
        self._directory[member.address] = host
        self._give_control(host)
        if warm:
            warm_up_core(core, rules)
            for time in WARM_TICKS:
                host.apply(core.tick(time))
        host.probe()
        self.timeline.every(TICK_S, host.run_tick)
        self.timeline.every(REPORT_INTERVAL_S, lambda: self._poll(host))
        return host

    def restart_agent(self, name: str) -> AgentHost:
        """Kill an agent and start it anew beside the living backend server."""
        old = self.agents[name]
        old.kill()
        self._incarnations += 1
        member = evolve(old.member, incarnation=self._incarnations)
        return self.start_agent(member, old.backend.service)

    def kill_server(self, name: str) -> None:
        """Kill an instance: the backend server and the agent beside it."""
        self.agents[name].kill()
        self.backends[name].kill()
        self.note("kill", name)

    # Changes

    def publish_configuration(self, cfg: Configuration, spread_s: float = 0.0) -> None:
        """Accept a configuration; each process has it in force after its own delay."""
        self.cfg = accepted = evolve(cfg, version=self.cfg.version + 1)
        if self.gossips:
            accept(self.store, self.network, list(self.entries.values()), accepted)
            return
        for host in self.list_hosts():
            self.give(host, lambda view: view.set_configuration(accepted), spread_s)

    def change_configuration(
        self,
        change: Callable[[Configuration], Configuration],
        order: Order | None = None,
        spread_s: float = 0.0,
    ) -> None:
        """Let operators have a change accepted; they try again while the store is down."""
        if self.gossips and not self.store.up:
            self.timeline.after(
                CHANGE_RETRY_S, lambda: self.change_configuration(change, order, spread_s)
            )
            return
        if order is not None:
            self.note(order.verb, order.subject)
        self.publish_configuration(change(self.cfg), spread_s)

    def publish_table(self, table: Table, spread_s: float = 0.0) -> None:
        """Publish the next epoch of a table; each process has it after its own delay."""
        known = self.tables[table.service]
        self.history.forget_expired(self.timeline.now)
        self.history.record(known, self.timeline.now)
        fresh = evolve(table, epoch=known.epoch + 1)
        self.tables[table.service] = fresh
        for host in self.list_hosts():
            self.give(host, lambda view: view.set_table(fresh), spread_s)

    def set_data_centre(self, name: str, state: DataCentreState, spread_s: float = 0.0) -> None:
        """Take a data centre out or bring it back."""

        def change(cfg: Configuration) -> Configuration:
            centres = tuple(
                evolve(item, state=state) if item.name == name else item
                for item in cfg.data_centres
            )
            return evolve(cfg, data_centres=centres)

        self.change_configuration(change, Order(0.0, state.value, name), spread_s)

    def drain_server(self, name: str, drain: bool = True, spread_s: float = 0.0) -> None:
        """Drain a backend server by the operators' rule, or take that back."""

        def change(cfg: Configuration) -> Configuration:
            rules = [rule for rule in cfg.endpoints if rule.name != name]
            rules += [EndpointRule(name, True)] if drain else []
            return evolve(cfg, endpoints=tuple(rules))

        order = Order(0.0, "drain" if drain else "undrain", name)
        self.change_configuration(change, order, spread_s)

    def change_members(
        self,
        service: str,
        change: Callable[[tuple[Member, ...]], tuple[Member, ...]],
        spread_s: float = 0.0,
    ) -> None:
        """Publish a table with changed members, as soon as majorities allow it."""
        table = self.tables[service]
        planned = evolve(table, members=change(table.members))
        self.history.forget_expired(self.timeline.now)
        if self.keeps_majorities and not self.history.allows(table, planned):
            self.timeline.after(
                CHANGE_RETRY_S, lambda: self.change_members(service, change, spread_s)
            )
            return
        self.publish_table(planned, spread_s)

    def set_member_state(self, name: str, state: MemberState, spread_s: float = 0.0) -> None:
        """Change a member's state in the table of its service."""

        def change(members: tuple[Member, ...]) -> tuple[Member, ...]:
            return tuple(evolve(m, state=state) if m.name == name else m for m in members)

        self.change_members(self.backends[name].service, change, spread_s)

    def add_server(
        self,
        name: str,
        service: str,
        data_centre: str,
        speed: float = 1.0,
        spread_s: float = 0.0,
        address: str = "",
    ) -> AgentHost:
        """Start a new backend server with its agent and add it to the table."""
        member = self._make_member(name, data_centre)
        member = evolve(member, address=address or member.address)
        self.start_backend(name, service, speed)
        host = self.start_agent(member, service)
        self.change_members(service, lambda members: (*members, member), spread_s)
        return host

    def remove_server(self, name: str, spread_s: float = 0.0) -> None:
        """Remove a member from the table of its service."""
        self.change_members(
            self.backends[name].service,
            lambda members: tuple(member for member in members if member.name != name),
            spread_s,
        )

    # Traffic

    def open_call(self, service: str, class_name: str, size_s: float) -> Call:
        """Let a caller open one call."""
        found = self.find_service(service)
        service_class = next(item for item in found.classes if item.name == class_name)
        return self.callers.open(found, service_class, size_s)

    def open_poisson(
        self, service: str, class_name: str, rate: float, mean_s: float, start: float, end: float
    ) -> None:
        """Let callers open calls at random times with exponential sizes."""
        found = self.find_service(service)
        service_class = next(item for item in found.classes if item.name == class_name)
        rng = random.Random(f"{self.seed}/{service}/{class_name}/{start}")
        Arrivals(self.callers, self.timeline, found, service_class, rng, rate, mean_s, end).begin(
            start
        )

    def spray(self, raw: bytes) -> None:
        """Hand a caller's packet to any living balancer, as the fabric does."""
        hosts = [
            host
            for host in self.entries.values()
            if host.life is not Life.DEAD and not host.leaving
        ]
        if not hosts:
            return
        choose = self.spray_choice
        host = choose(hosts) if choose is not None else hosts[int(self.rng.random() * len(hosts))]
        self.send_to_entry(host, raw)

    def send_to_entry(self, host: EntryHost, raw: bytes) -> None:
        """Hand a caller's packet to one balancer."""
        self.network.send(CALLERS, host.place, lambda: host.receive(lambda: host.take_packet(raw)))

    def run_until(self, end: float) -> None:
        """Run the world up to a time."""
        self.timeline.run_until(end)

    # What processes do

    def carry_message(self, source: Place, effect: Send) -> None:
        """Carry a message to whatever process has the address now."""
        host = self._directory.get(effect.address)
        if host is None:
            return
        message = effect.message
        self.journal.messages[type(message.body).__name__] += 1
        self.network.send(source, host.place, lambda: self._take(host, effect))

    def carry_control(self, source: Host, target: str, body: Body, version: int) -> None:
        """Carry a control message to the newest process of a name."""
        host = self.entries.get(target) or self.agents.get(target)
        if host is None:
            return
        message = Message(source.name, 0, body, target=target, config_version=version)
        self.network.send(
            source.place, host.place, lambda: host.receive(lambda: host.take_message(message))
        )

    def carry_answer(self, source: Place, flow: FlowKey, answer: Answer) -> None:
        """Carry an answer to its caller, past the balancers."""
        self.network.send(source, CALLERS, lambda: self.callers.take_answer(flow, answer))

    def refuse(self, source: Place, effect: Refuse) -> None:
        """Carry a refusal to its caller."""
        call_id = read_stamp(effect.packet).call_id
        refusal = Refusal(
            self.timeline.now, source.name, call_id, effect.kind.value, self.count_runs(call_id)
        )
        self.journal.refusals.append(refusal)
        flow = effect.packet.flow
        self.network.send(source, CALLERS, lambda: self.callers.take_refusal(flow, call_id))

    def observe(self, effect: Observe) -> None:
        """Keep an observation if anybody wants it."""
        if self.keep_observed:
            self.journal.observed.append(effect)

    def note_delivery(self, host: AgentHost, effect: Deliver, stamp: Stamp) -> None:
        """Note a packet that an agent hands to its backend server."""
        centre = host.place.data_centre
        service = host.backend.service
        delivery = Delivery(
            self.timeline.now, host.name, service, centre, stamp.call_id, stamp.number
        )
        self.journal.last_delivery[centre] = self.timeline.now
        if stamp.number == 0:
            self.journal.openings.append(delivery)
        if self.calls[stamp.call_id].service != service:
            self.journal.misdelivered.append(delivery)
        if self.is_out(centre):
            self.journal.deliveries_out.append(delivery)

    # Questions

    def count_runs(self, call_id: int) -> int:
        """Return how often a call has run anywhere."""
        return sum(backend.runs[call_id] for backend in self.backends.values())

    def is_out(self, data_centre: str) -> bool:
        """Tell whether operators have taken a data centre out, known everywhere or not."""
        return any(
            item.name == data_centre and item.state is DataCentreState.OUT
            for item in self.cfg.data_centres
        )

    def find_service(self, name: str) -> Service:
        """Return a service of the configuration."""
        return next(item for item in self.cfg.services if item.name == name)

    def list_hosts(self) -> list[Host]:
        """Return every process that is not dead."""
        hosts: list[Host] = [*self.entries.values(), *self.agents.values()]
        return [host for host in hosts if host.life is not Life.DEAD]

    def list_peers(self, host: Host) -> list[str]:
        """Return the names of all other processes."""
        return [name for name in (*self.entries, *self.agents) if name != host.name]

    def find_host(self, name: str) -> Host:
        """Return the newest process of a name."""
        return self.entries[name] if name in self.entries else self.agents[name]

    def note(self, verb: str, subject: str) -> None:
        """Note what operators or a failure did."""
        self.journal.orders.append(Order(self.timeline.now, verb, subject))

    # Helpers

    def _take(self, host: Host, effect: Send) -> None:
        host.receive(lambda: host.take_message(effect.message))

    def give(self, host: Host, change: Callable[[View], object], spread_s: float) -> None:
        """Change the view of a process after a delay."""

        def take() -> None:
            change(host.view)
            if isinstance(host, AgentHost):
                host.core.update_draining(host.backend.draining)

        delay_s = self.rng.random() * spread_s
        self.timeline.after(delay_s, lambda: host.receive(take))

    def _give_control(self, host: Host) -> None:
        if self.gossips:
            host.heard = self.timeline.now
            host.control = make_control(host, host.view.cfg, self.seed, self.timeline.now)

    def _poll(self, host: AgentHost) -> bool:
        if host.life is Life.RUNNING:
            host.probe()
        return host.life is not Life.DEAD

    def _make_view(self) -> View:
        view = View()
        view.set_configuration(self.cfg)
        for table in self.tables.values():
            view.set_table(table)
        return view

    def _make_member(self, name: str, data_centre: str) -> Member:
        self._addresses += 1
        self._incarnations += 1
        number = self._addresses
        address = f"10.60.{number // 250}.{number % 250 + 1}"
        return Member(name, data_centre, address, CONTROL_PORT, self._incarnations)


def warm_up_core(core: object, rules: AdmissionRules) -> None:
    """Lift the bounds of a core that has a gate to their full values."""
    gate = getattr(getattr(core, "home", None), "gate", None)
    if gate is None:
        return
    gate.slot_bound = rules.slots
    gate._warm_up_started = float("-inf")

"""Simulate a deployment: cores, backend servers, callers, network and store."""

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
from .control import accept_configuration, make_control_plane, poll_store
from .cores import MakeAgent, MakeBalancer, make_agent, make_balancer
from .deployments import Deployment
from .failure_detector import SimulatedFailureDetector
from .hosts import AgentHost, BalancerHost, Host
from .journal import Delivery, Event, Journal, Refusal
from .network import CALLERS, Location, Network
from .payloads import PacketId, read_packet_id
from .process_state import ProcessState
from .store import Store
from .timeline import Timeline
from .traffic import PoissonArrivals

TICK_INTERVAL_S = 0.02
LOAD_REPORT_INTERVAL_S = 0.5
STORE_POLL_INTERVAL_S = 0.5
CHANGE_RETRY_INTERVAL_S = 0.5
"""Interval between attempts to make a change that cannot be made yet, in seconds."""
CONTROL_PORT = 7000
WARM_STARTED_AT_S = -1000.0
"""Start time of agents in a world that starts warm, in seconds."""
WARM_TICK_TIMES_S = (-1.6, -0.8)
"""Times of ticks before the start, so that warm agents do not detect a pause, in seconds."""


@define(eq=False)
class World:
    """Simulation of one deployment on virtual time."""

    deployment: Deployment
    seed: int = 1
    make_balancer: MakeBalancer = make_balancer
    make_agent: MakeAgent = make_agent
    reports_flow_ends: bool = True
    """Whether agents learn of the end of a flow at once, instead of only from load reports."""
    starts_warm: bool = True
    """Whether backend servers and agents start with a completed warm-up."""
    records_observations: bool = False
    uses_gossip: bool = False
    """Whether configurations are distributed by the store and gossip, instead of directly."""
    preserves_majorities: bool = False
    """Whether a table is published only once its majorities overlap with those of recent epochs."""
    timeline: Timeline = field(factory=Timeline)
    rng: random.Random = field(init=False)
    network: Network = field(init=False)
    callers: Callers = field(init=False)
    store: Store = field(init=False)
    table_history: TableHistory = field(init=False)
    failure_detector: SimulatedFailureDetector = field(init=False)
    calls: dict[int, Call] = field(factory=dict)
    journal: Journal = field(factory=Journal)
    balancers: dict[str, BalancerHost] = field(factory=dict)
    agents: dict[str, AgentHost] = field(factory=dict)
    backends: dict[str, Backend] = field(factory=dict)
    cfg: Configuration = field(init=False)
    """Configuration that was accepted last."""
    tables: dict[str, Table] = field(factory=dict)
    """Newest table of each service."""
    choose_balancer: Callable[[list[BalancerHost]], BalancerHost] | None = None
    """Selects the balancer that gets a caller's packet; without it, the choice is random."""
    _hosts_by_address: dict[str, Host] = field(factory=dict)
    _last_address_number: int = 0
    _last_incarnation: int = 0

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.network = Network(self.timeline, random.Random(self.seed + 1), self.deployment.delays)
        self.callers = Callers(self)
        self.cfg = self.deployment.configuration
        self.store = Store(self.timeline, self.network, random.Random(self.seed + 2))
        self.store.write(self.cfg)
        self.table_history = TableHistory(complete_since=-PACKET_LIFETIME_S)
        self.failure_detector = SimulatedFailureDetector(self)

    def start(self) -> None:
        """Start all processes with the same tables and configuration."""
        if self.uses_gossip:
            self.failure_detector.start()
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
                self.deployment.table_seed,
            )
        for balancer in self.deployment.balancers:
            self.start_balancer(balancer.name, balancer.data_centre)
        for plan in self.deployment.servers:
            self.start_backend(plan.name, plan.service, plan.speed)
            member = next(m for m in members[plan.service] if m.name == plan.name)
            self.start_agent(member, plan.service)

    # Processes

    def start_balancer(self, name: str, data_centre: str) -> BalancerHost:
        """Start a balancer with the newest configuration and tables."""
        self._last_incarnation += 1
        view = self._make_view()
        host = BalancerHost(
            Location(name, data_centre),
            view,
            self,
            core=self.make_balancer(name, self._last_incarnation, view),
        )
        self.balancers[name] = host
        self._attach_control_plane(host)
        self.timeline.call_every(TICK_INTERVAL_S, host.run_tick)
        self.timeline.call_every(STORE_POLL_INTERVAL_S, lambda: poll_store(self.store, host))
        return host

    def start_backend(self, name: str, service: str, speed: float = 1.0) -> Backend:
        """Start a backend server."""
        rules = self.find_service(service).admission
        backend = Backend(name, service, rules, self.timeline, speed, started_at=self.timeline.now)
        if self.starts_warm and self.timeline.now == 0:
            backend.skip_warm_up()
        self.backends[name] = backend
        return backend

    def start_agent(self, member: Member, service: str) -> AgentHost:
        """Start an agent beside its backend server."""
        view = self._make_view()
        rules = self.find_service(service).admission
        now = self.timeline.now
        is_warm = self.starts_warm and now == 0
        # Agents of a world that starts warm have already run for a long time.
        started_at = WARM_STARTED_AT_S if is_warm else now
        core = self.make_agent(member, service, rules, view, started_at)
        host = AgentHost(
            Location(member.name, member.data_centre),
            view,
            self,
            member=member,
            core=core,
            backend=self.backends[member.name],
        )
        self.agents[member.name] = host
        self._hosts_by_address[member.address] = host
        self._attach_control_plane(host)
        if is_warm:
            skip_core_warm_up(core, rules)
            for time in WARM_TICK_TIMES_S:
                host.apply_effects(core.tick(time))
        host.probe()
        self.timeline.call_every(TICK_INTERVAL_S, host.run_tick)
        self.timeline.call_every(LOAD_REPORT_INTERVAL_S, lambda: self._poll_load(host))
        return host

    def restart_agent(self, name: str) -> AgentHost:
        """Kill an agent and start a new one beside the running backend server."""
        old = self.agents[name]
        old.kill()
        self._last_incarnation += 1
        member = evolve(old.member, incarnation=self._last_incarnation)
        return self.start_agent(member, old.backend.service)

    def kill_server(self, name: str) -> None:
        """Kill an instance with its backend server and agent."""
        self.agents[name].kill()
        self.backends[name].kill()
        self.record_event("kill", name)

    # Changes

    def publish_configuration(self, cfg: Configuration, max_propagation_s: float = 0.0) -> None:
        """Accept a configuration and distribute it.

        Without gossip, each process applies it after a random delay of at most
        max_propagation_s.
        """
        self.cfg = accepted = evolve(cfg, version=self.cfg.version + 1)
        if self.uses_gossip:
            accept_configuration(self.store, self.network, list(self.balancers.values()), accepted)
            return
        for host in self.list_hosts():
            self.change_view(host, lambda view: view.set_configuration(accepted), max_propagation_s)

    def change_configuration(
        self,
        change: Callable[[Configuration], Configuration],
        event: Event | None = None,
        max_propagation_s: float = 0.0,
    ) -> None:
        """Change the configuration; retry while the store is down."""
        if self.uses_gossip and not self.store.up:
            self.timeline.call_later(
                CHANGE_RETRY_INTERVAL_S,
                lambda: self.change_configuration(change, event, max_propagation_s),
            )
            return
        if event is not None:
            self.record_event(event.verb, event.subject)
        self.publish_configuration(change(self.cfg), max_propagation_s)

    def publish_table(self, table: Table, max_propagation_s: float = 0.0) -> None:
        """Publish the next epoch of a table; each process applies it after a random delay."""
        current = self.tables[table.service]
        self.table_history.forget_expired(self.timeline.now)
        self.table_history.record(current, self.timeline.now)
        published = evolve(table, epoch=current.epoch + 1)
        self.tables[table.service] = published
        for host in self.list_hosts():
            self.change_view(host, lambda view: view.set_table(published), max_propagation_s)

    def set_data_centre_state(
        self, name: str, state: DataCentreState, max_propagation_s: float = 0.0
    ) -> None:
        """Take a data centre out, or bring it back in."""

        def change(cfg: Configuration) -> Configuration:
            centres = tuple(
                evolve(item, state=state) if item.name == name else item
                for item in cfg.data_centres
            )
            return evolve(cfg, data_centres=centres)

        self.change_configuration(change, Event(0.0, state.value, name), max_propagation_s)

    def drain_server(self, name: str, drain: bool = True, max_propagation_s: float = 0.0) -> None:
        """Add or remove the endpoint rule that drains a backend server."""

        def change(cfg: Configuration) -> Configuration:
            rules = [rule for rule in cfg.endpoints if rule.name != name]
            rules += [EndpointRule(name, True)] if drain else []
            return evolve(cfg, endpoints=tuple(rules))

        event = Event(0.0, "drain" if drain else "undrain", name)
        self.change_configuration(change, event, max_propagation_s)

    def change_members(
        self,
        service: str,
        change: Callable[[tuple[Member, ...]], tuple[Member, ...]],
        max_propagation_s: float = 0.0,
    ) -> None:
        """Publish a table with changed members; retry while its majorities do not allow it."""
        table = self.tables[service]
        planned = evolve(table, members=change(table.members))
        self.table_history.forget_expired(self.timeline.now)
        if self.preserves_majorities and not self.table_history.allows(table, planned):
            self.timeline.call_later(
                CHANGE_RETRY_INTERVAL_S,
                lambda: self.change_members(service, change, max_propagation_s),
            )
            return
        self.publish_table(planned, max_propagation_s)

    def set_member_state(
        self, name: str, state: MemberState, max_propagation_s: float = 0.0
    ) -> None:
        """Change a member's state in the table of its service."""

        def change(members: tuple[Member, ...]) -> tuple[Member, ...]:
            return tuple(evolve(m, state=state) if m.name == name else m for m in members)

        self.change_members(self.backends[name].service, change, max_propagation_s)

    def add_server(
        self,
        name: str,
        service: str,
        data_centre: str,
        speed: float = 1.0,
        max_propagation_s: float = 0.0,
        address: str = "",
    ) -> AgentHost:
        """Start a new backend server with its agent and add it to the table."""
        member = self._make_member(name, data_centre)
        member = evolve(member, address=address or member.address)
        self.start_backend(name, service, speed)
        host = self.start_agent(member, service)
        self.change_members(service, lambda members: (*members, member), max_propagation_s)
        return host

    def remove_server(self, name: str, max_propagation_s: float = 0.0) -> None:
        """Remove a member from the table of its service."""
        self.change_members(
            self.backends[name].service,
            lambda members: tuple(member for member in members if member.name != name),
            max_propagation_s,
        )

    # Traffic

    def open_call(self, service: str, class_name: str, size_s: float) -> Call:
        """Open a call of a service class."""
        found_service = self.find_service(service)
        service_class = next(item for item in found_service.classes if item.name == class_name)
        return self.callers.open_call(found_service, service_class, size_s)

    def open_poisson_calls(
        self,
        service: str,
        class_name: str,
        rate_per_s: float,
        mean_size_s: float,
        start: float,
        end: float,
    ) -> None:
        """Open calls as a Poisson process with exponentially distributed sizes."""
        found_service = self.find_service(service)
        service_class = next(item for item in found_service.classes if item.name == class_name)
        rng = random.Random(f"{self.seed}/{service}/{class_name}/{start}")
        PoissonArrivals(
            self.callers,
            self.timeline,
            found_service,
            service_class,
            rng,
            rate_per_s,
            mean_size_s,
            end,
        ).start(start)

    def send_through_fabric(self, raw: bytes) -> None:
        """Send a caller's packet to any live balancer, as the fabric does."""
        hosts = [
            host
            for host in self.balancers.values()
            if host.state is not ProcessState.DEAD and not host.is_withdrawn
        ]
        if not hosts:
            return
        choose_host = self.choose_balancer
        host = (
            choose_host(hosts)
            if choose_host is not None
            else hosts[int(self.rng.random() * len(hosts))]
        )
        self.send_to_balancer(host, raw)

    def send_to_balancer(self, host: BalancerHost, raw: bytes) -> None:
        """Send a caller's packet to a balancer."""
        self.network.send(
            CALLERS, host.location, lambda: host.receive(lambda: host.receive_packet(raw))
        )

    def run_until(self, end: float) -> None:
        """Run the simulation up to a time."""
        self.timeline.run_until(end)

    # Effects of processes

    def send_message(self, source: Location, effect: Send) -> None:
        """Send a message to the process that has the address now."""
        host = self._hosts_by_address.get(effect.address)
        if host is None:
            return
        message = effect.message
        self.journal.message_counts[type(message.body).__name__] += 1
        self.network.send(source, host.location, lambda: self._deliver_message(host, effect))

    def send_control_message(self, source: Host, target: str, body: Body, version: int) -> None:
        """Send a control message to the newest process with a name."""
        host = self.balancers.get(target) or self.agents.get(target)
        if host is None:
            return
        message = Message(source.name, 0, body, target=target, config_version=version)
        self.network.send(
            source.location,
            host.location,
            lambda: host.receive(lambda: host.receive_message(message)),
        )

    def send_answer(self, source: Location, flow: FlowKey, answer: Answer) -> None:
        """Send an answer to its caller; answers bypass the balancers."""
        self.network.send(source, CALLERS, lambda: self.callers.handle_answer(flow, answer))

    def send_refusal(self, source: Location, effect: Refuse) -> None:
        """Record a refusal and send it to its caller."""
        call_id = read_packet_id(effect.packet).call_id
        refusal = Refusal(
            self.timeline.now, source.name, call_id, effect.kind.value, self.count_runs(call_id)
        )
        self.journal.refusals.append(refusal)
        flow = effect.packet.flow
        self.network.send(source, CALLERS, lambda: self.callers.handle_refusal(flow, call_id))

    def record_observation(self, effect: Observe) -> None:
        """Record an observation if observations are enabled."""
        if self.records_observations:
            self.journal.observations.append(effect)

    def record_delivery(self, host: AgentHost, effect: Deliver, packet_id: PacketId) -> None:
        """Record a packet that an agent delivers to its backend server."""
        centre = host.location.data_centre
        service = host.backend.service
        delivery = Delivery(
            self.timeline.now,
            host.name,
            service,
            centre,
            packet_id.call_id,
            packet_id.packet_number,
        )
        self.journal.last_delivered_at[centre] = self.timeline.now
        if packet_id.packet_number == 0:
            self.journal.openings.append(delivery)
        if self.calls[packet_id.call_id].service != service:
            self.journal.misdelivered.append(delivery)
        if self.is_data_centre_out(centre):
            self.journal.deliveries_while_out.append(delivery)

    # Queries

    def count_runs(self, call_id: int) -> int:
        """Return how often a call has run on all backend servers together."""
        return sum(backend.runs_by_call[call_id] for backend in self.backends.values())

    def is_data_centre_out(self, data_centre: str) -> bool:
        """Return whether a data centre is out in the accepted configuration.

        Some processes may not have that configuration yet.
        """
        return any(
            item.name == data_centre and item.state is DataCentreState.OUT
            for item in self.cfg.data_centres
        )

    def find_service(self, name: str) -> Service:
        """Return a service of the configuration."""
        return next(item for item in self.cfg.services if item.name == name)

    def list_hosts(self) -> list[Host]:
        """Return all processes that are not dead."""
        hosts: list[Host] = [*self.balancers.values(), *self.agents.values()]
        return [host for host in hosts if host.state is not ProcessState.DEAD]

    def list_peers(self, host: Host) -> list[str]:
        """Return the names of all other processes."""
        return [name for name in (*self.balancers, *self.agents) if name != host.name]

    def find_host(self, name: str) -> Host:
        """Return the newest process with a name."""
        return self.balancers[name] if name in self.balancers else self.agents[name]

    def record_event(self, verb: str, subject: str) -> None:
        """Record an action of an operator or a failure."""
        self.journal.events.append(Event(self.timeline.now, verb, subject))

    # Helpers

    def _deliver_message(self, host: Host, effect: Send) -> None:
        host.receive(lambda: host.receive_message(effect.message))

    def change_view(
        self, host: Host, change: Callable[[View], object], max_propagation_s: float
    ) -> None:
        """Change the view of a process after a random delay."""

        def apply_change() -> None:
            change(host.view)
            if isinstance(host, AgentHost):
                host.core.update_draining(host.backend.draining)

        delay_s = self.rng.random() * max_propagation_s
        self.timeline.call_later(delay_s, lambda: host.receive(apply_change))

    def _attach_control_plane(self, host: Host) -> None:
        if self.uses_gossip:
            host.last_heard_at = self.timeline.now
            host.control_plane = make_control_plane(
                host, host.view.cfg, self.seed, self.timeline.now
            )

    def _poll_load(self, host: AgentHost) -> bool:
        if host.state is ProcessState.RUNNING:
            host.probe()
        return host.state is not ProcessState.DEAD

    def _make_view(self) -> View:
        view = View()
        view.set_configuration(self.cfg)
        for table in self.tables.values():
            view.set_table(table)
        return view

    def _make_member(self, name: str, data_centre: str) -> Member:
        self._last_address_number += 1
        self._last_incarnation += 1
        number = self._last_address_number
        address = f"10.60.{number // 250}.{number % 250 + 1}"
        return Member(name, data_centre, address, CONTROL_PORT, self._last_incarnation)


def skip_core_warm_up(core: object, rules: AdmissionRules) -> None:
    """Set the admission bounds of a core that has a gate to their full values."""
    gate = getattr(getattr(core, "home", None), "gate", None)
    if gate is None:
        return
    gate.slot_bound = rules.slots
    gate._warm_up_started = float("-inf")

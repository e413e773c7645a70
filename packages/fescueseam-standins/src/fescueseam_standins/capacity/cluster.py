"""Run the control decisions of many processes on virtual time."""

import random
from collections import Counter, deque
from collections.abc import Callable, Iterable

from attrs import define, field

from fescueseam.conf.accepted import (
    CONFIGURATION_KEY,
    AcceptedConfiguration,
    decode_accepted,
    encode_accepted,
)
from fescueseam.conf.models import Configuration, KeySettings, ProcessSettings, Role
from fescueseam.effects import Send
from fescueseam.exceptions import StoreConflictError, StoreError
from fescueseam.retries.backoff import Breaker
from fescueseam.routing.view import View
from fescueseam.upkeep.codec import TABLES_PREFIX, decode_table, encode_table, pack_table
from fescueseam.upkeep.keeper import ReadTable
from fescueseam.upkeep.store import StoredObject
from fescueseam_daemon.control.agent_node import AgentNode
from fescueseam_daemon.control.balancer_node import BalancerNode
from fescueseam_daemon.control.directory import Directory, read_directory
from fescueseam_daemon.control.node import ControlNode
from fescueseam_daemon.control.tables import TableSet, TableStep
from fescueseam_standins.capacity.store import InMemoryStore

TICK_S = 0.05
TABLE_INTERVAL_TICKS = 4
"""Ticks between two runs of the table keepers."""
DIRECTORY_INTERVAL_TICKS = 20
"""Ticks between two checks of the directory object."""
MESSAGE_KEYS = (KeySettings(1, "capacity"),)

ControlAddress = tuple[str, int]
"""Address and control port of a process."""
CanDeliver = Callable[[str, str], bool]
"""Tells whether a message gets from its sender to its receiver, given their names."""


@define
class SimulatedProcess:
    """Control node of one process, and the state that the daemon's loops hold beside it."""

    node: ControlNode
    view: View
    tables: TableSet | None = None
    directory: Directory | None = None
    breaker: Breaker | None = None
    seen_revision: int = 0
    """Revision of the store up to which the process has seen the changes."""
    started_at: float | None = None
    is_frozen: bool = False
    """A frozen process handles nothing; its inbox fills up."""
    inbox: deque[Send] = field(factory=deque)

    @property
    def balancer_node(self) -> BalancerNode:
        """Return the node; the process has to be a balancer."""
        assert isinstance(self.node, BalancerNode), "process is an agent"
        return self.node


@define
class Cluster:
    """Processes on virtual time that exchange messages and call the store at each tick."""

    rng: random.Random
    store: InMemoryStore = field(factory=InMemoryStore)
    now: float = 0.0
    loss: float = 0.0
    """Share of the messages that are lost."""
    can_deliver: CanDeliver = lambda sender, receiver: True
    can_reach_store: Callable[[str], bool] = lambda name: True
    """Tells whether a process, given its name, reaches the store."""
    processes: dict[str, SimulatedProcess] = field(factory=dict)
    on_send: Callable[[str, Send], None] = lambda sender, send: None
    """Called for each message, also for those that are lost."""
    sent_by_type: Counter[str] = field(factory=Counter)
    """Number of sent messages by the type of their body."""
    _name_by_address: dict[ControlAddress, str] = field(factory=dict)
    _ticks: int = 0
    _started_count: int = 0

    def add_balancer(
        self, name: str, data_centre: str, region: str = "jawa-tengah"
    ) -> SimulatedProcess:
        """Start a balancer."""
        settings = self._make_settings(name, Role.BALANCER, data_centre, region, "")
        view = View()
        rng = random.Random(self.rng.getrandbits(64))
        node = BalancerNode(settings, self._next_incarnation(), view, rng, self.now)
        process = SimulatedProcess(
            node, view, TableSet(node, rng), Directory(node), Breaker(rng), 0, self.now
        )
        return self._add(process)

    def add_agent(
        self, name: str, data_centre: str, service: str, region: str = "jawa-tengah"
    ) -> SimulatedProcess:
        """Start an agent."""
        settings = self._make_settings(name, Role.AGENT, data_centre, region, service)
        view = View()
        rng = random.Random(self.rng.getrandbits(64))
        node = AgentNode(settings, self._next_incarnation(), view, rng, self.now)
        return self._add(SimulatedProcess(node, view, breaker=Breaker(rng), started_at=self.now))

    def kill(self, *names: str) -> None:
        """Remove processes without notice to others."""
        for name in names:
            del self.processes[name]

    def write_configuration(self, cfg: Configuration) -> None:
        """Write a configuration to the store, as the operator's command does."""
        stored = self.store.get(CONFIGURATION_KEY)
        version = stored.version if stored is not None else 0
        value = encode_accepted(AcceptedConfiguration(f"op-{cfg.version}", cfg))
        self.store.put(CONFIGURATION_KEY, value, version)

    def run_for(self, seconds: float, on_tick: Callable[[], None] | None = None) -> None:
        """Advance virtual time, and call a function after each tick."""
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self.step()
            if on_tick is not None:
                on_tick()

    def step(self) -> None:
        """Advance virtual time by one tick."""
        self._ticks += 1
        self.now = self._ticks * TICK_S
        for name, process in list(self.processes.items()):
            if process.is_frozen:
                continue
            received, process.inbox = process.inbox, deque()
            for send in received:
                self._send(name, process.node.handle(send.message, self.now) or ())
            self._send(name, process.node.tick(self.now))
            self._call_store(name, process)

    def list_balancers(self) -> list[SimulatedProcess]:
        """Return the running balancers."""
        return [item for item in self.processes.values() if item.tables is not None]

    def list_agents(self) -> list[SimulatedProcess]:
        """Return the running agents."""
        return [item for item in self.processes.values() if item.tables is None]

    def _add(self, process: SimulatedProcess) -> SimulatedProcess:
        settings = process.node.settings
        self.processes[settings.name] = process
        self._name_by_address[(settings.address, settings.control_port)] = settings.name
        return process

    def _next_incarnation(self) -> int:
        self._started_count += 1
        return int(self.now * 1e9) + self._started_count * 1_000_000_000

    def _make_settings(
        self, name: str, role: Role, data_centre: str, region: str, service: str
    ) -> ProcessSettings:
        number = self._started_count + 1
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        return ProcessSettings(
            name, data_centre, region, address, 7000, "", MESSAGE_KEYS, 7001, role, service=service
        )

    def _send(self, sender: str, sends: Iterable[Send]) -> None:
        for send in sends:
            self.on_send(sender, send)
            self.sent_by_type[type(send.message.body).__name__] += 1
            receiver = self._name_by_address.get((send.address, send.port), "")
            if receiver not in self.processes or not self.can_deliver(sender, receiver):
                continue
            if self.rng.random() >= self.loss:
                self.processes[receiver].inbox.append(send)

    # Calls of the store, as the daemon's loops make them

    def _call_store(self, name: str, process: SimulatedProcess) -> None:
        if process.tables is None:
            self._read_store_as_agent(name, process)
            return
        if self._ticks % TABLE_INTERVAL_TICKS == 0:
            for step in process.tables.list_due_steps(self.now):
                self._run_table_step(name, process, step)
        self._watch_store(name, process)
        if (self._ticks + len(name)) % DIRECTORY_INTERVAL_TICKS == 0:
            self._update_directory(name, process)

    def _read_store_as_agent(self, name: str, process: SimulatedProcess) -> None:
        assert process.breaker is not None, "process has no breaker"
        if process.node.hears_peers(self.now) or not self._can_call_store(process):
            return
        try:
            self._require_store_access(name)
            for stored in self.store.list_objects("members/"):
                self._apply_stored_object(process, stored)
            if process.view.cfg.version == 0:
                stored_cfg = self.store.get(CONFIGURATION_KEY)
                process.node.gossip.record_store_read()
                if stored_cfg is not None:
                    self._apply_stored_object(process, stored_cfg)
            # As in the daemon, an agent backs off after each read until it hears peers again.
            process.breaker.record_failure(self.now)
        except StoreError:
            process.breaker.record_failure(self.now)

    def _can_call_store(self, process: SimulatedProcess) -> bool:
        return process.breaker is not None and process.breaker.allows(self.now)

    def _watch_store(self, name: str, process: SimulatedProcess) -> None:
        assert process.breaker is not None, "process has no breaker"
        if process.seen_revision > 0 and not process.balancer_node.is_watcher():
            return
        if not process.breaker.allows(self.now):
            return
        try:
            self._require_store_access(name)
            changes = self.store.find_changes(process.seen_revision)
        except StoreError:
            self.store.watches += 1
            process.breaker.record_failure(self.now)
            return
        process.breaker.record_success()
        process.node.gossip.record_store_read()
        for stored in changes.objects:
            self._apply_stored_object(process, stored)
        process.seen_revision = max(changes.revision, 1)

    def _apply_stored_object(self, process: SimulatedProcess, stored: StoredObject) -> None:
        if stored.key == CONFIGURATION_KEY:
            accepted = decode_accepted(stored.value)
            process.node.accept_configuration(accepted.configuration, accepted.writer)
        elif stored.key.startswith(TABLES_PREFIX):
            process.node.gossip.put(pack_table(decode_table(stored.value)))
        else:
            for peer in read_directory(stored):
                process.node.peers.learn(peer)

    def _run_table_step(self, name: str, process: SimulatedProcess, step: TableStep) -> None:
        keeper, call = step.keeper, step.call
        try:
            self._require_store_access(name)
            if isinstance(call, ReadTable):
                keeper.on_read(self.store.get(call.key), self.now)
            else:
                value = encode_table(call.table)
                keeper.on_written(self.store.put(call.key, value, call.expected_version), self.now)
        except StoreConflictError:
            keeper.on_conflict()
        except StoreError:
            keeper.on_failed(self.now)
        else:
            if keeper.table.epoch > 0:
                process.node.gossip.put(pack_table(keeper.table))

    def _update_directory(self, name: str, process: SimulatedProcess) -> None:
        directory, tables = process.directory, process.tables
        if directory is None or tables is None:
            return
        if tables.breaker.failures or not directory.is_due(self.now):
            return
        try:
            self._require_store_access(name)
            stored = self.store.get(directory.key)
            directory.on_read(stored, self.now)
            value = directory.build_value(self.now)
            if value is not None:
                self.store.put(directory.key, value, stored.version if stored is not None else 0)
                directory.on_written(self.now)
        except StoreError:
            directory.on_failed(self.now)

    def _require_store_access(self, name: str) -> None:
        if not self.can_reach_store(name):
            raise StoreError("process cannot reach the store")

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
from fescueseam_standins.capacity.store import VirtualStore

TICK_S = 0.05
TABLE_TICKS = 4
DIRECTORY_TICKS = 20
BOOT_S = 1.0
KEYS = (KeySettings(1, "capacity"),)

Place = tuple[str, int]
Carries = Callable[[str, str], bool]


@define
class Process:
    """Hold the decisions of one process and what its loops would keep."""

    node: ControlNode
    view: View
    tables: TableSet | None = None
    directory: Directory | None = None
    breaker: Breaker | None = None
    seen_revision: int = 0
    booted_at: float | None = None
    is_frozen: bool = False
    queue: deque[Send] = field(factory=deque)

    @property
    def balancer(self) -> BalancerNode:
        """Return the node of a balancer."""
        assert isinstance(self.node, BalancerNode), "the process is an agent"
        return self.node


@define
class Cluster:
    """Move messages between processes and calls to the store, tick by tick."""

    rng: random.Random
    store: VirtualStore = field(factory=VirtualStore)
    now: float = 0.0
    loss: float = 0.0
    carries: Carries = lambda sender, receiver: True
    reaches_store: Callable[[str], bool] = lambda name: True
    processes: dict[str, Process] = field(factory=dict)
    on_send: Callable[[str, Send], None] = lambda sender, send: None
    sent: Counter[str] = field(factory=Counter)
    _places: dict[Place, str] = field(factory=dict)
    _ticks: int = 0
    _started: int = 0

    def add_balancer(self, name: str, data_centre: str, region: str = "jawa-tengah") -> Process:
        """Start a balancer."""
        settings = self._make_settings(name, Role.BALANCER, data_centre, region, "")
        view = View()
        rng = random.Random(self.rng.getrandbits(64))
        node = BalancerNode(settings, self._next_incarnation(), view, rng, self.now)
        process = Process(
            node, view, TableSet(node, rng), Directory(node), Breaker(rng), 0, self.now
        )
        return self._add(process)

    def add_agent(
        self, name: str, data_centre: str, service: str, region: str = "jawa-tengah"
    ) -> Process:
        """Start an agent."""
        settings = self._make_settings(name, Role.AGENT, data_centre, region, service)
        view = View()
        rng = random.Random(self.rng.getrandbits(64))
        node = AgentNode(settings, self._next_incarnation(), view, rng, self.now)
        return self._add(Process(node, view, breaker=Breaker(rng), booted_at=self.now))

    def kill(self, *names: str) -> None:
        """End processes at once."""
        for name in names:
            del self.processes[name]

    def apply(self, cfg: Configuration) -> None:
        """Write a configuration as an operator does."""
        stored = self.store.get(CONFIGURATION_KEY)
        version = stored.version if stored is not None else 0
        value = encode_accepted(AcceptedConfiguration(f"op-{cfg.version}", cfg))
        self.store.put(CONFIGURATION_KEY, value, version)

    def run(self, seconds: float, check: Callable[[], None] | None = None) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self.step()
            if check is not None:
                check()

    def step(self) -> None:
        """Let one tick pass."""
        self._ticks += 1
        self.now = self._ticks * TICK_S
        for name, process in list(self.processes.items()):
            if process.is_frozen:
                continue
            arrived, process.queue = process.queue, deque()
            for send in arrived:
                self._send(name, process.node.handle(send.message, self.now) or ())
            self._send(name, process.node.tick(self.now))
            self._call_store(name, process)

    def list_balancers(self) -> list[Process]:
        """Return the running balancers."""
        return [item for item in self.processes.values() if item.tables is not None]

    def list_agents(self) -> list[Process]:
        """Return the running agents."""
        return [item for item in self.processes.values() if item.tables is None]

    def _add(self, process: Process) -> Process:
        settings = process.node.settings
        self.processes[settings.name] = process
        self._places[(settings.address, settings.control_port)] = settings.name
        return process

    def _next_incarnation(self) -> int:
        self._started += 1
        return int(self.now * 1e9) + self._started * 1_000_000_000

    def _make_settings(
        self, name: str, role: Role, data_centre: str, region: str, service: str
    ) -> ProcessSettings:
        number = self._started + 1
        address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        return ProcessSettings(
            name, data_centre, region, address, 7000, "", KEYS, 7001, role, service=service
        )

    def _send(self, sender: str, sends: Iterable[Send]) -> None:
        for send in sends:
            self.on_send(sender, send)
            self.sent[type(send.message.body).__name__] += 1
            receiver = self._places.get((send.address, send.port), "")
            if receiver not in self.processes or not self.carries(sender, receiver):
                continue
            if self.rng.random() >= self.loss:
                self.processes[receiver].queue.append(send)

    # What the loops of the daemons do with the store

    def _call_store(self, name: str, process: Process) -> None:
        if process.tables is None:
            self._ask_as_agent(name, process)
            return
        if self._ticks % TABLE_TICKS == 0:
            for step in process.tables.list_due_steps(self.now):
                self._run_step(name, process, step)
        self._watch(name, process)
        if (self._ticks + len(name)) % DIRECTORY_TICKS == 0:
            self._keep_directory(name, process)

    def _ask_as_agent(self, name: str, process: Process) -> None:
        assert process.breaker is not None, "every process has one"
        if process.node.hears_peers(self.now) or not self._may_ask(process):
            return
        try:
            self._check_reach(name)
            for stored in self.store.list_objects("members/"):
                self._take(process, stored)
            if process.view.cfg.version == 0:
                stored_cfg = self.store.get(CONFIGURATION_KEY)
                process.node.gossip.record_store_read()
                if stored_cfg is not None:
                    self._take(process, stored_cfg)
            process.breaker.record_failure(self.now)
        except StoreError:
            process.breaker.record_failure(self.now)

    def _may_ask(self, process: Process) -> bool:
        return process.breaker is not None and process.breaker.allows(self.now)

    def _watch(self, name: str, process: Process) -> None:
        assert process.breaker is not None, "every process has one"
        if process.seen_revision > 0 and not process.balancer.is_watcher():
            return
        if not process.breaker.allows(self.now):
            return
        try:
            self._check_reach(name)
            changes = self.store.find_changes(process.seen_revision)
        except StoreError:
            self.store.watches += 1
            process.breaker.record_failure(self.now)
            return
        process.breaker.record_success()
        process.node.gossip.record_store_read()
        for stored in changes.objects:
            self._take(process, stored)
        process.seen_revision = max(changes.revision, 1)

    def _take(self, process: Process, stored: StoredObject) -> None:
        if stored.key == CONFIGURATION_KEY:
            accepted = decode_accepted(stored.value)
            process.node.accept_configuration(accepted.configuration, accepted.writer)
        elif stored.key.startswith(TABLES_PREFIX):
            process.node.gossip.put(pack_table(decode_table(stored.value)))
        else:
            for peer in read_directory(stored):
                process.node.peers.learn(peer)

    def _run_step(self, name: str, process: Process, step: TableStep) -> None:
        keeper, call = step.keeper, step.call
        try:
            self._check_reach(name)
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

    def _keep_directory(self, name: str, process: Process) -> None:
        directory, tables = process.directory, process.tables
        if directory is None or tables is None:
            return
        if tables.breaker.failures or not directory.is_due(self.now):
            return
        try:
            self._check_reach(name)
            stored = self.store.get(directory.key)
            directory.on_read(stored, self.now)
            value = directory.build_value(self.now)
            if value is not None:
                self.store.put(directory.key, value, stored.version if stored is not None else 0)
                directory.on_written(self.now)
        except StoreError:
            directory.on_failed(self.now)

    def _check_reach(self, name: str) -> None:
        if not self.reaches_store(name):
            raise StoreError("no way to the store")

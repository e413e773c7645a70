"""Run the control loops of a daemon: tick, watch the store, and write tables and directories."""

import logging
import random
import time
from collections.abc import Awaitable, Callable, Iterable
from functools import partial
from typing import Any

import trio

from fescueseam.conf.accepted import CONFIGURATION_KEY, decode_accepted
from fescueseam.conf.models import ProcessSettings
from fescueseam.effects import Send
from fescueseam.exceptions import FescueseamError, StoreConflictError, StoreError
from fescueseam.messages.types import Load, Message
from fescueseam.retries.backoff import Breaker, compute_backoff
from fescueseam.routing.view import View
from fescueseam.upkeep.codec import TABLES_PREFIX, decode_table, encode_table, pack_table
from fescueseam.upkeep.keeper import ReadTable
from fescueseam.upkeep.store import StoredObject
from fescueseam_daemon.channel import Channel
from fescueseam_daemon.control.agent_node import AgentNode
from fescueseam_daemon.control.balancer_node import BalancerNode
from fescueseam_daemon.control.directory import Directory, read_directory
from fescueseam_daemon.control.node import ControlNode
from fescueseam_daemon.control.store import HttpStore
from fescueseam_daemon.control.tables import TableSet, TableStep
from fescueseam_daemon.failure_barrier import FailureBarrier

log = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.05
WATCH_TIMEOUT_S = 1.5
"""Longest time that one watch of the store waits for a change, in seconds. It bounds, with the
margin of the reply, how long a connection that went silent hides a change."""
WATCH_RETRY_CAP_S = 2.0
"""Largest delay before a failed watch is retried, in seconds.

Only a few balancers watch the store, and a change must be seen in time.
"""
STORE_RECOVERY_SPREAD_S = 5.0
"""Time over which balancers spread their first table calls after a store outage, in seconds."""
ISOLATED_POLL_INTERVAL_S = 20.0
"""Mean interval between two reads of the configuration while no peer answers, in seconds."""
POLL_INTERVAL_S = 600.0
"""Shortest interval between two reads of the configuration while peers answer, in seconds.

Balancers that watch the store do not poll. Each read transfers the whole configuration.
"""
TABLE_STEP_INTERVAL_S = 0.2
DIRECTORY_CHECK_INTERVAL_S = 1.0


class ControlLoops:
    """The loops that connect a node's decisions with the channel and the store."""

    def __init__(self, node: ControlNode, view: View, channel: Channel) -> None:
        """Initialise the loops; `start` runs them."""
        self.node = node
        self.view = view
        self.store = HttpStore(node.settings.store_url, channel.metrics.registry)
        self.rng = random.Random(f"{node.settings.name}/{node.incarnation}")
        self._channel = channel
        self._barrier = FailureBarrier(channel.metrics.record_failure)
        self._cancel_scope = trio.CancelScope()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start all loops."""
        nursery.start_soon(self._run)

    async def close(self) -> None:
        """Stop all loops and close the connections to the store."""
        self._cancel_scope.cancel()
        await self.store.close()

    def handle_message(self, message: Message) -> bool:
        """Process a message; return whether it was a control message."""
        try:
            sends = self.node.handle(message, time.monotonic())
        except FescueseamError as exc:
            self._channel.metrics.count_drop(exc.kind)
            return True
        if sends is None:
            return False
        self._send(sends)
        return True

    def hears_peers(self, now: float) -> bool:
        """Return whether another process answered within the lease."""
        return self.node.hears_peers(now)

    def is_current(self) -> bool:
        """Return whether the configuration was confirmed by a peer or the store."""
        return self.node.is_current(time.monotonic())

    def update_own_state(self, load: Load, draining: bool, open_flows: int) -> None:
        """Set the state that announcements report of this process."""
        self.node.own_state.load = load
        self.node.own_state.draining = draining
        self.node.own_state.open_flows = open_flows

    def describe_status(self) -> dict[str, object]:
        """Return the entries of the status page that concern control."""
        settings = self.node.settings
        return {
            "name": settings.name,
            "role": settings.role.value,
            "data_centre": settings.data_centre,
            "region": settings.region,
            "incarnation": self.node.incarnation,
            "config_version": self.view.cfg.version,
            "is_current": self.is_current(),
            "hears_peers": self.hears_peers(time.monotonic()),
            "tables": {table.service: table.epoch for table in self.view.list_tables()},
            "suspects": sorted(self.view.suspects),
        }

    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that the role runs."""
        return [self._tick]

    async def _run(self) -> None:
        with self._cancel_scope:
            async with trio.open_nursery() as nursery:
                for loop in self.list_loops():
                    nursery.start_soon(self._barrier.keep_running, loop.__name__.strip("_"), loop)

    async def _tick(self) -> None:
        while True:
            self._barrier.run("control-tick", self._run_node_tick)
            await trio.sleep(TICK_INTERVAL_S)

    def _run_node_tick(self) -> None:
        self._send(self.node.tick(time.monotonic()))

    def _send(self, sends: Iterable[Send]) -> None:
        for send in sends:
            self._channel.send(send.address, send.port, send.message)

    def accept_object(self, stored: StoredObject) -> None:
        """Accept an object of the store; count it as dropped if it cannot be decoded."""
        try:
            if stored.key == CONFIGURATION_KEY:
                accepted = decode_accepted(stored.value)
                self.node.accept_configuration(accepted.configuration, accepted.writer)
            elif stored.key.startswith(TABLES_PREFIX):
                self.node.gossip.put(pack_table(decode_table(stored.value)))
            else:
                for peer in read_directory(stored):
                    self.node.peers.learn(peer)
        except FescueseamError as exc:
            self._channel.metrics.count_drop(exc.kind)

    async def read_configuration(self) -> None:
        """Read the configuration from the store and accept it."""
        stored = await self.store.get(CONFIGURATION_KEY)
        self.node.gossip.record_store_read()
        if stored is not None:
            self.accept_object(stored)

    async def retry(self, call: Callable[[], Awaitable[Any]], attempts: int = 1 << 30) -> None:
        """Repeat a call until it succeeds or the attempts are used up, with backoff and jitter."""
        for attempt in range(attempts):
            try:
                await call()
            except StoreError:
                await trio.sleep(compute_backoff(attempt, self.rng))
            else:
                return


class AgentControl(ControlLoops):
    """The control loops of an agent, which reads the store at its start and when isolated."""

    def __init__(
        self, settings: ProcessSettings, incarnation: int, view: View, channel: Channel
    ) -> None:
        """Initialise the loops; `start` runs them."""
        rng = random.Random(f"{settings.name}/{incarnation}")
        self.agent = AgentNode(settings, incarnation, view, rng, time.monotonic())
        super().__init__(self.agent, view, channel)

    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that the role runs."""
        return [self._tick, self._poll_store]

    async def _poll_store(self) -> None:
        attempt = 0
        await self.retry(self._read_store, attempts=3)
        while True:
            self.agent.update_suspects(time.monotonic())
            if self.hears_peers(time.monotonic()):
                attempt = 0
                await trio.sleep(1.0)
                continue
            await self.retry(self._read_store, attempts=1)
            attempt += 1
            await trio.sleep(1.0 + compute_backoff(attempt, self.rng))

    async def _read_store(self) -> None:
        for stored in await self.store.list_objects("members/"):
            self.accept_object(stored)
        if self.view.cfg.version == 0:
            await self.read_configuration()


class BalancerControl(ControlLoops):
    """The control loops of a balancer, which watches the store, writes tables and a directory."""

    def __init__(
        self, settings: ProcessSettings, incarnation: int, view: View, channel: Channel
    ) -> None:
        """Initialise the loops; `start` runs them."""
        rng = random.Random(f"{settings.name}/{incarnation}")
        self.balancer = BalancerNode(settings, incarnation, view, rng, time.monotonic())
        super().__init__(self.balancer, view, channel)
        self.tables = TableSet(self.balancer, rng)
        self.directory = Directory(self.balancer)
        self._watch_breaker = Breaker(rng, cap_s=WATCH_RETRY_CAP_S)

    def list_loops(self) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops that the role runs."""
        return [
            self._tick,
            self._watch,
            self._poll_configuration,
            self._maintain_tables,
            self._maintain_directory,
        ]

    def describe_status(self) -> dict[str, object]:
        """Return the entries of the status page that concern control."""
        # The page is built on a thread of its own, so the mappings are copied before iteration.
        records = list(self.balancer.membership.records.values())
        known_processes = [report.facts for report in list(self.balancer.merged_reports.values())]
        return super().describe_status() | {
            "peers": [
                {
                    "name": facts.name,
                    "role": facts.role.value,
                    "data_centre": facts.data_centre,
                    "address": facts.address,
                    "metrics_port": facts.metrics_port,
                }
                for facts in known_processes
            ],
            "announcing": {
                record.facts.name: {
                    "status": record.status.value,
                    "config_version": record.config_version,
                }
                for record in records
            },
            "watches_store": self.balancer.is_watcher(),
        }

    async def _watch(self) -> None:
        after, revision, era = 0, 0, 0
        while True:
            if after > 0 and not self.balancer.is_watcher():
                await trio.sleep(1.0)
                continue
            if not self._watch_breaker.allows(time.monotonic()):
                await trio.sleep(TICK_INTERVAL_S)
                continue
            try:
                changes = await self.store.watch("", after, WATCH_TIMEOUT_S)
                if changes.era < era:
                    raise StoreError(f"the store answered in era {changes.era}, after era {era}")
            except StoreError:
                self._watch_breaker.record_failure(time.monotonic())
                continue
            self._watch_breaker.record_success()
            self.tables.breaker.probe_within(STORE_RECOVERY_SPREAD_S, time.monotonic())
            self.node.gossip.record_store_read()
            for stored in changes.objects:
                self.accept_object(stored)
            if after > 0 and (changes.era > era or changes.revision < revision):
                # The store came back from an older copy. Its changes up to here may have been
                # missed, and its revisions are those of another history.
                log.warning(
                    "store came back from an older copy",
                    extra={"revision": changes.revision, "before": revision, "era": changes.era},
                )
                self.tables.check_again()
                self.directory.check_again()
                after, revision, era = 0, 0, changes.era
                continue
            revision, era = changes.revision, changes.era
            # An empty store is at revision 0, which would ask for everything again.
            after = max(revision, 1)

    async def _poll_configuration(self) -> None:
        polled_at = trio.current_time()
        while True:
            await trio.sleep(ISOLATED_POLL_INTERVAL_S * self.rng.uniform(0.5, 1.5))
            is_isolated = not self.hears_peers(time.monotonic())
            is_due = is_isolated or trio.current_time() >= polled_at + POLL_INTERVAL_S
            if is_due and not self.balancer.is_watcher():
                polled_at = trio.current_time()
                await self.retry(self.read_configuration, attempts=1)

    async def _maintain_tables(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for step in self.tables.list_due_steps(time.monotonic()):
                    run_step = partial(self._run_step, step)
                    nursery.start_soon(self._barrier.run_task, "table-step", run_step)
                await trio.sleep(TABLE_STEP_INTERVAL_S)

    async def _run_step(self, step: TableStep) -> None:
        keeper, call = step.keeper, step.call
        try:
            if isinstance(call, ReadTable):
                keeper.on_read(await self.store.get(call.key), time.monotonic())
            else:
                value = encode_table(call.table)
                version = await self.store.put(call.key, value, call.expected_version)
                keeper.on_written(version, time.monotonic())
        except StoreConflictError:
            keeper.on_conflict()
        except StoreError:
            keeper.on_failed(time.monotonic())
        else:
            if keeper.table.epoch > 0:
                self.node.gossip.put(pack_table(keeper.table))

    async def _maintain_directory(self) -> None:
        while True:
            await trio.sleep(DIRECTORY_CHECK_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            now = time.monotonic()
            if self.tables.breaker.failures == 0 and self.directory.is_due(now):
                await self._write_directory(now)

    async def _write_directory(self, now: float) -> None:
        try:
            stored = await self.store.get(self.directory.key)
            self.directory.on_read(stored, now)
            value = self.directory.build_value(now)
            if value is not None:
                version = stored.version if stored is not None else 0
                await self.store.put(self.directory.key, value, version)
                self.directory.on_written(now)
        except StoreError:
            self.directory.on_failed(now)

"""Which balancers watch the store, and how the others follow it.

Load pattern: many balancers in one data centre, whose watches alone would fill the store's rate.
"""

from collections import Counter

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from fescueseam.exceptions import StoreError
from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.notices import Report
from fescueseam.handshake.rules import Outage, Rules
from fescueseam.handshake.watchers import WATCHERS_PER_DATA_CENTRE, is_watcher
from fescueseam_daemon.handshake.balancer import BalancerProcess
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.platform_interface import OutageChanges, RulesSnapshot

NEIGHBOURS = [Identity(f"balancer-{n}", Role.BALANCER, 100 + n, "a") for n in range(40)]


@define
class CountingStore:
    """Store that counts its calls; a watch returns when its time is over."""

    version: int = 1
    fails_from_version: int = 99
    """Version of the configuration from which on it cannot be read."""
    calls: Counter[str] = field(factory=Counter)

    async def read_rules(self) -> RulesSnapshot:
        self.calls["read_rules"] += 1
        if self.version >= self.fails_from_version:
            raise StoreError("the store cannot be reached")
        return RulesSnapshot(Rules(self.version), self.version)

    async def watch_rules(self, revision: int, wait_s: float) -> RulesSnapshot:
        self.calls["watch_rules"] += 1
        if self.version == revision:
            await trio.sleep(wait_s)
        return RulesSnapshot(Rules(self.version), self.version)

    async def read_outage(self) -> Outage:
        self.calls["read_outage"] += 1
        return Outage(1)

    async def watch_outage(self, revision: int, wait_s: float) -> OutageChanges:
        self.calls["watch_outage"] += 1
        await trio.sleep(wait_s)
        return OutageChanges(revision, (), ())


def report_neighbours(process: BalancerProcess, sequence: int, version: int) -> None:
    """Receive a report of each neighbour."""
    for identity in NEIGHBOURS:
        report = Report(identity, Load(), version, Outage(1))
        process._receive_report(report, sequence, trio.current_time())


@pytest.fixture
def store(node: Node, monkeypatch: pytest.MonkeyPatch) -> CountingStore:
    """Return the store of the node, which sends nothing."""
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: None)
    node.store = CountingStore()
    return node.store


def follow(node: Node, store: CountingStore, seconds: int, hear_until_s: int) -> BalancerProcess:
    """Run the loops that follow the store; return the process.

    Neighbours report once a second until a time. After 2 s the configuration gets version 2.
    """
    processes = []

    async def main() -> None:
        process = BalancerProcess(node)
        processes.append(process)
        report_neighbours(process, 1, version=0)
        assert not is_watcher(node.fleet, trio.current_time())
        async with trio.open_nursery() as nursery:
            process._nursery = nursery
            nursery.start_soon(process._watch_rules)
            nursery.start_soon(process._watch_outage)
            for second in range(1, seconds + 1):
                await trio.sleep(1.0)
                store.version = 2 if second >= 2 else 1
                if second <= hear_until_s:
                    report_neighbours(process, 1 + second, store.version)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    return processes[0]


def test_balancer_that_hears_the_watchers_reads_only_what_has_changed(
    node: Node, store: CountingStore
) -> None:
    assert len(NEIGHBOURS) > WATCHERS_PER_DATA_CENTRE
    process = follow(node, store, 30, hear_until_s=30)
    assert process.configuration.rules.version == 2
    assert store.calls == {"read_rules": 2, "read_outage": 1}


def test_balancer_watches_once_its_neighbours_are_silent(node: Node, store: CountingStore) -> None:
    process = follow(node, store, 30, hear_until_s=1)
    assert process.configuration.rules.version == 2
    watches = (30 - 4) // node.store_watch_s
    assert watches <= store.calls["watch_rules"] <= watches + 2
    assert watches <= store.calls["watch_outage"] <= watches + 2


def test_reported_configuration_is_fetched_from_the_peer_without_the_store(
    node: Node, store: CountingStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked = []

    async def fetch(process: BalancerProcess, peer: Identity) -> None:
        asked.append(peer.name)
        process._apply_rules(Rules(2), peer.name)

    monkeypatch.setattr(BalancerProcess, "_fetch_rules_from", fetch)
    store.fails_from_version = 2
    process = follow(node, store, 4, hear_until_s=4)
    assert process.configuration.rules.version == 2
    assert asked == [NEIGHBOURS[0].name]

"""What a process does when the store comes back from an older copy.

Load pattern: all processes of a large fleet write their entries again in the same era.
"""

from collections.abc import Callable

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from fescueseam.exceptions import StoreEraChangedError
from fescueseam.handshake.member import Identity, Load, Role
from fescueseam.handshake.notices import Report
from fescueseam.handshake.rules import Outage
from fescueseam_daemon.handshake.balancer import BalancerProcess
from fescueseam_daemon.handshake.node import Node
from fescueseam_daemon.handshake.platform_interface import OutageChanges

PEER = Identity("balancer-2", Role.BALANCER, 102, "b")
NORTH = frozenset({"north"})


@define
class EntryStore:
    """Store that records when the entry of the process was written."""

    written_at: list[float] = field(factory=list)
    observed_eras: list[int] = field(factory=list)
    outages: list[Outage] = field(factory=list)
    """Results of the reads of the outage, in turn."""

    def observe_era(self, era: int) -> None:
        self.observed_eras.append(era)

    async def register(self, identity: Identity) -> bool:
        self.written_at.append(trio.current_time())
        return True

    async def read_outage(self) -> Outage:
        return self.outages.pop(0)

    async def watch_outage(self, revision: int, wait_s: float) -> OutageChanges:
        await trio.sleep(wait_s)
        if self.outages:
            raise StoreEraChangedError("another era")
        return OutageChanges(revision)


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> EntryStore:
    """Return a store; the processes of the test send nothing."""
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: None)
    return EntryStore()


def run_registration(
    node: Node, steps: list[tuple[float, Callable[[], None]]], end_s: float
) -> None:
    """Register a process, keep it registered, and take each step at its time."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await node.register()
            nursery.start_soon(node.keep_registered)
            for at, step in steps:
                await trio.sleep_until(trio.current_time() + at)
                step()
            await trio.sleep(end_s)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def build_report(era: int, revision: int = 5, member_count: int = 0) -> Report:
    return Report(PEER, Load(), 0, Outage(revision, era=era), member_count=member_count)


def test_entry_is_written_once_in_each_later_era(node: Node, store: EntryStore) -> None:
    node.store = store
    node.record_store_era(3, "store")
    later = [
        (100.0, lambda: node.record_store_era(4, "store")),
        (100.0, lambda: node.record_store_era(4, "balancer-2")),
        (100.0, lambda: node.record_report(build_report(3), 1, 0.0)),
        (100.0, lambda: node.record_report(build_report(5), 2, 0.0)),
    ]
    run_registration(node, later, 100.0)
    assert len(store.written_at) == 3
    assert store.observed_eras == [3, 4, 5]
    assert node.events.counts["store-era-changed", ""] == 2
    assert node.events.counts["member-rewritten", ""] == 2


def test_entry_is_not_written_again_without_an_era(node: Node, store: EntryStore) -> None:
    node.store = store
    reports = [(9.0, lambda: node.record_report(build_report(0), 1, 0.0))] * 3
    run_registration(node, reports, 100.0)
    assert len(store.written_at) == 1
    assert store.observed_eras == []


def test_processes_spread_their_calls_by_their_number(agent_node: Node, store: EntryStore) -> None:
    agent_node.store = store
    member_count = 690
    spread_s = member_count / agent_node.settings.store_rewrites_per_s
    delays = []
    for era in range(1, 41):
        store.written_at.clear()
        report = build_report(era, member_count=member_count)
        steps = [(1.0, lambda report=report: agent_node.record_report(report, 1, 0.0))]
        run_registration(agent_node, steps, 20.0)
        first, again = store.written_at
        delays.append(again - first - 1.0)
    assert max(delays) <= spread_s
    assert max(delays) > 0.8 * spread_s
    assert min(delays) < 0.2 * spread_s


def test_agent_whose_server_has_left_does_not_write(agent_node: Node, store: EntryStore) -> None:
    agent_node.store = store
    is_needed = False
    written = []

    async def main() -> None:
        nonlocal is_needed
        async with trio.open_nursery() as nursery:
            await agent_node.register()
            nursery.start_soon(agent_node.keep_registered, lambda: is_needed)
            await trio.sleep(0)
            agent_node.record_store_era(1, "store")
            await trio.sleep(30.0)
            written.append(len(store.written_at))
            is_needed = True
            await trio.sleep(2.0)
            written.append(len(store.written_at))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert written == [1, 2]


def test_balancer_follows_the_store_into_a_later_era_and_holds_what_is_lost(
    node: Node, store: EntryStore
) -> None:
    node.store = store
    store.outages = [Outage(300, NORTH, 1), Outage(200, era=2)]
    out_at: dict[float, bool] = {}

    async def main() -> None:
        process = BalancerProcess(node)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(process._watch_outage)
            nursery.start_soon(process._run_periodic_tasks)
            for at in (1.0, node.store_watch_s + 1.0, node.store_watch_s + 9.0):
                await trio.sleep_until(at)
                out_at[at] = process.configuration.is_data_centre_out("north")
            assert process.configuration.outage == Outage(200, era=2)
            report = build_report(1, revision=999)
            process._receive_report(report, 1, trio.current_time())
            assert process.configuration.outage.order == (2, 200)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))
    assert list(out_at.values()) == [True, True, False]
    assert node.events.counts["outage-held", ""] == 1
    assert node.events.counts["dependency-lost", ""] == 0


def test_report_with_the_former_era_is_answered(
    node: Node, store: EntryStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    answered: list[int] = []
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: answered.append(address))
    node.store = store

    async def main() -> None:
        process = BalancerProcess(node)
        process._apply_outage(Outage(200, era=2), "store")
        answered.clear()
        process._receive_report(build_report(1, revision=300), 1, trio.current_time())
        assert answered == [PEER.address]

    trio.run(main)

"""Load pattern: open connections to the store go silent without a reset, while new ones work."""

import math
from collections import Counter
from typing import Any

import pytest
import trio
from attrs import define, field
from trio.testing import MockClock

from fescueseam.exceptions import StoreError
from fescueseam.handshake.member import Identity, Role
from fescueseam.handshake.rules import Outage, Rules
from fescueseam_daemon.handshake.balancer import BalancerProcess
from fescueseam_daemon.handshake.node import MIN_STORE_BACKOFF_S, Node
from fescueseam_daemon.handshake.platform_interface import (
    WATCH_MARGIN_S,
    OutageChanges,
    RulesSnapshot,
)
from fescueseam_daemon.handshake.tests.conftest import BALANCER_CHANGES, build_node
from fescueseam_daemon.handshake.web import LostResponseError

CALL_S = 0.004
"""Time that a call takes, in seconds."""
CHANGE_DELAY_S = 0.5
"""Time from the silence to the change that it hides, in seconds."""


@define
class SilentStore:
    """Store whose watches get no answer if they were open at one moment."""

    version: int = 1
    outage: Outage = field(factory=lambda: Outage(1))
    silent_at: float = math.inf
    refuses_watches: bool = False
    calls: Counter[str] = field(factory=Counter)
    _changed: trio.Event = field(factory=trio.Event)

    def change(self) -> None:
        """Give the configuration and the outage a newer version."""
        self.version = 2
        self.outage = Outage(2, frozenset({"a"}))
        self._changed.set()
        self._changed = trio.Event()

    async def read_rules(self) -> RulesSnapshot:
        self.calls["read_rules"] += 1
        await trio.sleep(CALL_S)
        return RulesSnapshot(Rules(self.version), self.version)

    async def watch_rules(self, revision: int, wait_s: float) -> RulesSnapshot:
        self.calls["watch_rules"] += 1
        await self._watch(self.version > revision, wait_s)
        return RulesSnapshot(Rules(self.version), self.version)

    async def read_outage(self) -> Outage:
        self.calls["read_outage"] += 1
        await trio.sleep(CALL_S)
        return self.outage

    async def watch_outage(self, revision: int, wait_s: float) -> OutageChanges:
        self.calls["watch_outage"] += 1
        await self._watch(self.outage.revision > revision, wait_s)
        return OutageChanges(self.outage.revision, tuple(self.outage.data_centres))

    async def _watch(self, has_changed: bool, wait_s: float) -> None:
        if self.refuses_watches:
            raise StoreError("the store refuses watches")
        started_at = trio.current_time()
        if not has_changed:
            with trio.move_on_after(wait_s):
                await self._changed.wait()
        if started_at < self.silent_at <= trio.current_time():
            await trio.sleep_until(started_at + wait_s + WATCH_MARGIN_S)
            raise LostResponseError("no response")


def build_silent_node(store: SilentStore, monkeypatch: pytest.MonkeyPatch, **changes: Any) -> Node:
    monkeypatch.setattr(Node, "send_notice", lambda node, address, body: None)
    node = build_node(Identity("balancer-1", Role.BALANCER, 1, "a"), **BALANCER_CHANGES, **changes)
    node.store = store  # type: ignore[assignment]
    return node


@pytest.mark.parametrize("limit_ms", [2000, 4000, 5000, 6000, 20_000])
@pytest.mark.parametrize("phase_s", [number / 4 for number in range(24)])
def test_change_is_in_force_in_time_after_the_connections_went_silent(
    limit_ms: int, phase_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a silent watch is noticed only after the time within which a change is due.
    async def main() -> None:
        store = SilentStore()
        node = build_silent_node(store, monkeypatch, store_silence_limit_ms=limit_ms)
        process = BalancerProcess(node)
        async with trio.open_nursery() as nursery:
            process._nursery = nursery
            nursery.start_soon(process._watch_rules)
            nursery.start_soon(process._watch_outage)
            await trio.sleep(10.0 + phase_s)
            store.silent_at = trio.current_time()
            await trio.sleep(CHANGE_DELAY_S)
            store.change()
            await trio.sleep(limit_ms / 1000 - CHANGE_DELAY_S)
            assert process.configuration.rules.version == 2
            assert process.configuration.outage.data_centres == {"a"}
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_refused_watches_are_tried_again_with_a_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        store = SilentStore(refuses_watches=True)
        process = BalancerProcess(build_silent_node(store, monkeypatch))
        with trio.move_on_after(20.0):
            await process._watch_rules()
        assert 10 <= store.calls["watch_rules"] <= 80

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_failed_reads_are_tried_again_with_a_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against: reads of a store that is away follow each other without a pause.
    async def main() -> None:
        store, pauses = SilentStore(), []
        ended_at = -math.inf

        async def fail() -> RulesSnapshot:
            nonlocal ended_at
            pauses.append(trio.current_time() - ended_at)
            await trio.sleep(2.0)
            ended_at = trio.current_time()
            raise LostResponseError("no response")

        monkeypatch.setattr(SilentStore, "read_rules", lambda store: fail())
        process = BalancerProcess(build_silent_node(store, monkeypatch))
        with trio.move_on_after(60.0):
            await process._watch_rules()
        assert len(pauses) >= 10
        assert min(pauses) >= MIN_STORE_BACKOFF_S

    trio.run(main, clock=MockClock(autojump_threshold=0))

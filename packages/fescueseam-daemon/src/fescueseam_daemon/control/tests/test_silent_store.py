"""Load pattern: the connections to the store go silent without a reset, while new ones work."""

import math
import time
from types import SimpleNamespace

import pytest
import trio
from attrs import define, field
from prometheus_client import CollectorRegistry
from trio.testing import MockClock

from fescueseam.conf.models import Role
from fescueseam.routing.view import View
from fescueseam.upkeep.store import StoreChanges, StoredObject
from fescueseam_daemon.control.loops import BalancerControl
from fescueseam_daemon.control.store import WATCH_MARGIN_S
from fescueseam_daemon.control.tests.test_nodes import make_settings
from fescueseam_daemon.store import ReplyLostError

CHANGE_LIMIT_S = 6.0
"""Time within which a change has to be in force everywhere, in seconds."""
SPREAD_S = 2.7
"""Time that a change takes from the watchers to all processes at the planned size, in seconds."""


@define
class SilentStore:
    """Store whose watches get no answer if they were open at one moment."""

    revision: int = 1
    silent_at: float = math.inf
    watches: int = 0
    _changed: trio.Event = field(factory=trio.Event)

    def change(self) -> None:
        self.revision += 1
        self._changed.set()
        self._changed = trio.Event()

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        self.watches += 1
        started_at = trio.current_time()
        if after >= self.revision:
            with trio.move_on_after(timeout_s):
                await self._changed.wait()
        if started_at < self.silent_at <= trio.current_time():
            await trio.sleep_until(started_at + timeout_s + WATCH_MARGIN_S)
            raise ReplyLostError("no answer")
        objects = (StoredObject("config", self.revision, {}),) if after < self.revision else ()
        return StoreChanges(self.revision, objects, ())


@pytest.mark.parametrize("phase_s", [number / 4 for number in range(16)])
def test_change_is_read_in_time_after_the_connections_went_silent(
    phase_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against: a silent watch is noticed long after the change should be in force.
    async def main() -> None:
        monkeypatch.setattr(time, "monotonic", trio.current_time)
        metrics = SimpleNamespace(registry=CollectorRegistry(), record_failure=None)
        channel = SimpleNamespace(metrics=metrics)
        loops = BalancerControl(make_settings(Role.BALANCER), 1, View(), channel)
        loops.store, accepted = SilentStore(), []
        monkeypatch.setattr(loops, "accept_object", lambda item: accepted.append(item.version))
        monkeypatch.setattr(loops.balancer, "is_watcher", lambda: True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(loops._watch)
            await trio.sleep(10.0 + phase_s)
            loops.store.silent_at = trio.current_time()
            loops.store.change()
            await trio.sleep(CHANGE_LIMIT_S - SPREAD_S)
            assert accepted == [1, 2]
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))

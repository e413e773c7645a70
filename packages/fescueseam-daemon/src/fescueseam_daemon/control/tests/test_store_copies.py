"""What a balancer does when the product's own store comes back from an older copy."""

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
from fescueseam_daemon.control.tests.test_nodes import make_settings


@define
class ReturningStore:
    """Store that answers each watch with the next of its changes, and then with none."""

    changes: list[StoreChanges]
    watched_after: list[int] = field(factory=list)

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        self.watched_after.append(after)
        await trio.sleep(timeout_s)
        return self.changes.pop(0) if len(self.changes) > 1 else self.changes[0]


def build_changes(revision: int, era: int, *versions: int) -> StoreChanges:
    objects = tuple(StoredObject("config", version, {}) for version in versions)
    return StoreChanges(revision, objects, (), era)


@pytest.mark.parametrize(
    ("later", "watched_after", "checks"),
    [
        pytest.param(
            [build_changes(310, 1, 305), build_changes(310, 1, 200, 305)],
            [0, 300, 0, 310],
            1,
            id="later-era-at-a-higher-revision",
        ),
        pytest.param(
            [build_changes(200, 0), build_changes(205, 0, 203, 205)],
            [0, 300, 0, 205],
            1,
            id="lower-revision-without-an-era",
        ),
        pytest.param(
            [build_changes(299, 0), build_changes(299, 0, 299)],
            [0, 300, 0, 299],
            1,
            id="one-revision-lost",
        ),
        pytest.param([build_changes(301, 0, 301)], [0, 300, 301], 0, id="same-era"),
    ],
)
def test_watch_reads_everything_again_after_a_return(
    later: list[StoreChanges],
    watched_after: list[int],
    checks: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        monkeypatch.setattr(time, "monotonic", trio.current_time)
        metrics = SimpleNamespace(registry=CollectorRegistry(), record_failure=None)
        loops = BalancerControl(
            make_settings(Role.BALANCER), 1, View(), SimpleNamespace(metrics=metrics)
        )
        accepted: list[int] = []
        checked: list[str] = []
        loops.store = store = ReturningStore([build_changes(300, 0, 300), *later])
        monkeypatch.setattr(loops, "accept_object", lambda item: accepted.append(item.version))
        monkeypatch.setattr(loops.balancer, "is_watcher", lambda: True)
        monkeypatch.setattr(loops.tables, "check_again", lambda: checked.append("tables"))
        monkeypatch.setattr(loops.directory, "check_again", lambda: checked.append("directory"))
        with trio.move_on_after(30.0):
            await loops._watch()
        assert store.watched_after[: len(watched_after)] == watched_after
        assert checked == ["tables", "directory"] * checks
        assert {version for item in later for version in (o.version for o in item.objects)} <= set(
            accepted
        )

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_answer_of_an_earlier_era_is_not_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        monkeypatch.setattr(time, "monotonic", trio.current_time)
        metrics = SimpleNamespace(registry=CollectorRegistry(), record_failure=None)
        loops = BalancerControl(
            make_settings(Role.BALANCER), 1, View(), SimpleNamespace(metrics=metrics)
        )
        accepted: list[int] = []
        changes = [build_changes(300, 2, 300), build_changes(400, 1, 400), build_changes(301, 2)]
        loops.store = ReturningStore(changes)
        monkeypatch.setattr(loops, "accept_object", lambda item: accepted.append(item.version))
        monkeypatch.setattr(loops.balancer, "is_watcher", lambda: True)
        with trio.move_on_after(30.0):
            await loops._watch()
        assert accepted == [300]

    trio.run(main, clock=MockClock(autojump_threshold=0))

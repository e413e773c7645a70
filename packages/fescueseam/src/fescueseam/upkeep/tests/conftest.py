import os
import random

import pytest
from attrs import define, evolve, field

from fescueseam.conf.models import Role
from fescueseam.membership.facts import ProcessFacts, Status
from fescueseam.membership.reports import MergedReport
from fescueseam.upkeep.codec import decode_table, encode_table
from fescueseam.upkeep.keeper import KeeperInput, ReadTable, TableKeeper, WriteTable
from fescueseam.upkeep.planner import PlannerInput
from fescueseam.upkeep.store import StoredObject

STEP_S = 0.25
SERVICE = "katalog"
CALL_TIMEOUT_S = 3.0


@define
class FakeStore:
    """A store of one object that counts calls and simulates faults."""

    current: StoredObject | None = None
    previous: StoredObject | None = None
    reads: int = 0
    writes: int = 0
    is_down: bool = False
    delay_s: float = 0.0
    replies_to_lose: int = 0
    stale_reads_to_return: int = 0
    epochs: list[int] = field(factory=list)

    def read(self):
        self.reads += 1
        if self.stale_reads_to_return > 0 and self.previous is not None:
            self.stale_reads_to_return -= 1
            return self.previous
        return self.current

    def write(self, call):
        self.writes += 1
        version = self.current.version if self.current is not None else 0
        if version != call.expected_version:
            return None
        self.previous = self.current
        self.current = StoredObject(call.key, version + 1, encode_table(call.table))
        self.epochs.append(call.table.epoch)
        return version + 1

    @property
    def table(self):
        return decode_table(self.current.value) if self.current is not None else None


@define
class KeeperSimulation:
    """A simulation of table keepers that share a store, in virtual time."""

    store: FakeStore
    rng: random.Random
    now: float = 0.0
    planner_input: PlannerInput = field(factory=lambda: PlannerInput({}))
    keepers: dict[str, TableKeeper] = field(factory=dict)
    ranks: dict[str, int] = field(factory=dict)
    paused_keepers: set[str] = field(factory=set)
    shares_tables: bool = True
    """Whether keepers receive each other's tables, as by gossip."""
    tables: list = field(factory=list)
    _delayed_calls: list = field(factory=list)

    def add(self, name, rank=0):
        self.keepers[name] = TableKeeper(SERVICE, name, 1, self.rng, self.now)
        self.ranks[name] = rank

    def report_members(self, *names, status=Status.ALIVE, **changes):
        """Replace the merged reports on some members."""
        merged_reports = dict(self.planner_input.merged_reports)
        for name in names:
            known = merged_reports.get(name) or MergedReport(make_facts(name), status, 2)
            merged_reports[name] = MergedReport(evolve(known.facts, **changes), status, 2)
        self.planner_input = evolve(self.planner_input, merged_reports=merged_reports)

    def remove_reports(self, *names):
        """Remove the merged reports on some members, as at a keeper that never heard of them."""
        merged_reports = {
            k: v for k, v in self.planner_input.merged_reports.items() if k not in names
        }
        self.planner_input = evolve(self.planner_input, merged_reports=merged_reports)

    def run(self, seconds, check=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._answer_delayed_calls()
            for name, keeper in self.keepers.items():
                if name not in self.paused_keepers:
                    self._step(name, keeper)
            if self.shares_tables:
                self._share_tables()
            if self.store.table is not None and self.store.table not in self.tables[-1:]:
                self.tables.append(self.store.table)
            if check is not None:
                check()

    def _step(self, name, keeper):
        visible_data_centres = frozenset(
            report.facts.data_centre for report in self.planner_input.merged_reports.values()
        )
        keeper_input = KeeperInput(self.planner_input, self.ranks[name], visible_data_centres)
        call = keeper.start_next_call(keeper_input, self.now)
        if call is None:
            return
        if self.store.delay_s > 0:
            self._delayed_calls.append((self.now + self.store.delay_s, name, keeper, call))
        else:
            self._answer(keeper, call)

    def _answer_delayed_calls(self):
        due_calls = [item for item in self._delayed_calls if item[0] <= self.now]
        self._delayed_calls = [item for item in self._delayed_calls if item[0] > self.now]
        for at, name, keeper, call in due_calls:
            if name not in self.paused_keepers:
                # None stands for a call whose reply timed out while the keeper was paused.
                self._answer(keeper, call) if call else keeper.on_failed(self.now)
            else:
                # The call was sent before the pause, so it takes effect; its reply is lost.
                if isinstance(call, WriteTable):
                    self.store.write(call)
                self._delayed_calls.append((at, name, keeper, None))

    def _answer(self, keeper, call):
        if self.store.is_down:
            if isinstance(call, WriteTable):
                self.store.writes += 1
            else:
                self.store.reads += 1
            keeper.on_failed(self.now)
        elif isinstance(call, ReadTable):
            keeper.on_read(self.store.read(), self.now)
        else:
            self._answer_write(keeper, call)

    def _answer_write(self, keeper, call):
        version = self.store.write(call)
        if version is not None and self.store.replies_to_lose > 0:
            self.store.replies_to_lose -= 1
            keeper.on_failed(self.now)
        elif version is None:
            keeper.on_conflict()
        else:
            keeper.on_written(version, self.now)

    def _share_tables(self):
        newest = max((keeper.table for keeper in self.keepers.values()), key=lambda t: t.epoch)
        if newest.epoch > 0:
            for name, keeper in self.keepers.items():
                if name not in self.paused_keepers:
                    keeper.learn(newest, self.now)


def make_facts(name, incarnation=1):
    port = 7000 + sum(name.encode())
    return ProcessFacts(
        name, Role.AGENT, "solo", "jawa-tengah", "10.0.0.1", port, incarnation, SERVICE
    )


@pytest.fixture
def store():
    return FakeStore()


@pytest.fixture
def sim(store):
    return KeeperSimulation(store, random.Random(int(os.environ.get("SEED", "1"))))

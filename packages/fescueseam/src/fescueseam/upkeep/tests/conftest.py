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
    """Hold one object with faults on demand; count the calls."""

    current: StoredObject | None = None
    previous: StoredObject | None = None
    reads: int = 0
    writes: int = 0
    is_down: bool = False
    delay_s: float = 0.0
    lose_replies: int = 0
    stale_reads: int = 0
    epochs: list[int] = field(factory=list)

    def read(self):
        self.reads += 1
        if self.stale_reads > 0 and self.previous is not None:
            self.stale_reads -= 1
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
class Race:
    """Run keepers against a store in virtual time."""

    store: FakeStore
    rng: random.Random
    now: float = 0.0
    wanted: PlannerInput = field(factory=lambda: PlannerInput({}))
    keepers: dict[str, TableKeeper] = field(factory=dict)
    ranks: dict[str, int] = field(factory=dict)
    frozen: set[str] = field(factory=set)
    shares: bool = True
    """Tell the keepers of each other's tables, as gossip does."""
    tables: list = field(factory=list)
    _late: list = field(factory=list)

    def add(self, name, rank=0):
        self.keepers[name] = TableKeeper(SERVICE, name, 1, self.rng, self.now)
        self.ranks[name] = rank

    def see(self, *names, status=Status.ALIVE, **changes):
        """Replace what is seen of some members."""
        merged_reports = dict(self.wanted.merged_reports)
        for name in names:
            known = merged_reports.get(name) or MergedReport(make_facts(name), status, 2)
            merged_reports[name] = MergedReport(evolve(known.facts, **changes), status, 2)
        self.wanted = evolve(self.wanted, merged_reports=merged_reports)

    def lose(self, *names):
        """Forget some members, as a keeper does that never heard of them."""
        merged_reports = {k: v for k, v in self.wanted.merged_reports.items() if k not in names}
        self.wanted = evolve(self.wanted, merged_reports=merged_reports)

    def run(self, seconds, check=None):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self._answer_late()
            for name, keeper in self.keepers.items():
                if name not in self.frozen:
                    self._step(name, keeper)
            if self.shares:
                self._share()
            if self.store.table is not None and self.store.table not in self.tables[-1:]:
                self.tables.append(self.store.table)
            if check is not None:
                check()

    def _step(self, name, keeper):
        visible = frozenset(s.facts.data_centre for s in self.wanted.merged_reports.values())
        given = KeeperInput(self.wanted, self.ranks[name], visible)
        call = keeper.start_next_call(given, self.now)
        if call is None:
            return
        if self.store.delay_s > 0:
            self._late.append((self.now + self.store.delay_s, name, keeper, call))
        else:
            self._answer(keeper, call)

    def _answer_late(self):
        due = [item for item in self._late if item[0] <= self.now]
        self._late = [item for item in self._late if item[0] > self.now]
        for at, name, keeper, call in due:
            if name not in self.frozen:
                # The reply of a call that waited for a frozen process has timed out.
                self._answer(keeper, call) if call else keeper.on_failed(self.now)
            else:
                # The call had left the process; only the reply waits for it.
                if isinstance(call, WriteTable):
                    self.store.write(call)
                self._late.append((at, name, keeper, None))

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
        if version is not None and self.store.lose_replies > 0:
            self.store.lose_replies -= 1
            keeper.on_failed(self.now)
        elif version is None:
            keeper.on_conflict()
        else:
            keeper.on_written(version, self.now)

    def _share(self):
        newest = max((keeper.table for keeper in self.keepers.values()), key=lambda t: t.epoch)
        if newest.epoch > 0:
            for name, keeper in self.keepers.items():
                if name not in self.frozen:
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
def race(store):
    return Race(store, random.Random(int(os.environ.get("SEED", "1"))))

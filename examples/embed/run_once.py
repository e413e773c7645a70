"""Run jobs at most once on lossy links: claims grant the right, a budget bounds the retries.

Run it with ``python examples/embed/run_once.py [seed]``. Nothing is sent; calls stand for
messages, and both the question and its answer may get lost.
"""

import random
import sys

from attrs import define, field, frozen

from fescueseam.claims import ClaimRegistry, count_majority
from fescueseam.flows.keys import PROTOCOL_UDP, FlowKey
from fescueseam.retries import RetryBudget

KEEPERS = 3
WORKERS = ("kluwih", "sawo")
JOBS = 200
LOSS = 0.1
START_S = 100.0
"""Begin long after the keepers' start; a fresh keeper grants nothing for a while."""


@frozen
class Outcome:
    """Hold what became of every job."""

    runs: dict[int, int]
    asked: int
    retried: int

    @property
    def repeated(self) -> int:
        """Count the jobs that ran more than once."""
        return sum(runs > 1 for runs in self.runs.values())

    @property
    def done(self) -> int:
        """Count the jobs that ran."""
        return sum(runs > 0 for runs in self.runs.values())


@define
class Worker:
    """Ask every keeper for a claim and run the job with a majority's grants."""

    name: str
    rng: random.Random
    budget: RetryBudget = field(factory=RetryBudget)
    asked: int = 0
    _claims: int = 0

    def may_run(self, job: int, keepers: list[ClaimRegistry], now: float) -> bool:
        """Tell whether a majority granted the job; give grants back if not."""
        self._claims += 1
        granted = [keeper for keeper in keepers if self._ask(keeper, job, now)]
        if len(granted) >= count_majority(len(keepers)):
            return True
        for keeper in granted:
            keeper.release(make_key(job), self.name, 1, self._claims)
        return False

    def _ask(self, keeper: ClaimRegistry, job: int, now: float) -> bool:
        self.budget.record_first_try()
        answer = self._call(keeper, job, now)
        while answer is None and self.budget.take_retry():
            # Asking again under the same claim is harmless.
            answer = self._call(keeper, job, now)
        return bool(answer)

    def _call(self, keeper: ClaimRegistry, job: int, now: float) -> bool | None:
        self.asked += 1
        if self.rng.random() < LOSS:
            return None
        granted = keeper.grant(make_key(job), self.name, 1, self._claims, now)
        return None if self.rng.random() < LOSS else granted


def make_key(job: int) -> FlowKey:
    """Return the key that stands for a job; claims are kept by flow keys."""
    return FlowKey(PROTOCOL_UDP, job.to_bytes(4, "big"), 1, b"\x0a\x00\x00\x01", 1)


def run_jobs(seed: int) -> Outcome:
    """Let every worker try every job, in an order of chance."""
    rng = random.Random(seed)
    keepers = [ClaimRegistry(started=0.0) for _ in range(KEEPERS)]
    workers = [Worker(name, rng) for name in WORKERS]
    runs = dict.fromkeys(range(JOBS), 0)
    tries = [(job, worker) for job in runs for worker in workers]
    rng.shuffle(tries)
    for step, (job, worker) in enumerate(tries):
        if worker.may_run(job, keepers, START_S + step / 100):
            runs[job] += 1
    asked = sum(worker.asked for worker in workers)
    return Outcome(runs, asked, sum(worker.budget.retries for worker in workers))


def main() -> None:
    """Print what became of the jobs."""
    outcome = run_jobs(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    print(f"{outcome.done} of {JOBS} jobs ran, {outcome.repeated} of them more than once;")
    print(f"{outcome.asked} questions, {outcome.retried} of them retries")


if __name__ == "__main__":
    main()

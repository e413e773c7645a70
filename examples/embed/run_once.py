"""Run jobs at most once over lossy links: claims grant the right, a retry budget bounds retries.

Run it with ``python examples/embed/run_once.py [seed]``. Nothing is sent: method calls stand for
messages, and either the request or its reply may be lost.
"""

import random
import sys

from attrs import define, field, frozen

from fescueseam.claims import ClaimRegistry, count_majority
from fescueseam.flows.keys import PROTOCOL_UDP, FlowKey
from fescueseam.retries import RetryBudget

KEEPER_COUNT = 3
"""Number of keepers, the members that grant the claims."""
WORKERS = ("kluwih", "sawo")
JOB_COUNT = 200
LOSS_SHARE = 0.1
"""Share of the requests, and of the replies, that are lost."""
FIRST_JOB_AT_S = 100.0
"""Time of the first job, in seconds; a keeper grants nothing for some time after its start."""


@frozen
class Outcome:
    """Outcome of all jobs."""

    runs: dict[int, int]
    """Number of runs of each job."""
    calls: int
    retries: int

    @property
    def repeated(self) -> int:
        """Return the number of jobs that ran more than once."""
        return sum(runs > 1 for runs in self.runs.values())

    @property
    def completed(self) -> int:
        """Return the number of jobs that ran."""
        return sum(runs > 0 for runs in self.runs.values())


@define
class Worker:
    """Worker that may run a job once a majority of the keepers has granted its claim."""

    name: str
    rng: random.Random
    budget: RetryBudget = field(factory=RetryBudget)
    calls: int = 0
    _claim_number: int = 0

    def claim_job(self, job: int, keepers: list[ClaimRegistry], now: float) -> bool:
        """Return whether a majority of the keepers granted the claim; release the grants if not."""
        self._claim_number += 1
        granted = [keeper for keeper in keepers if self._request_grant(keeper, job, now)]
        if len(granted) >= count_majority(len(keepers)):
            return True
        for keeper in granted:
            keeper.release(make_flow_key(job), self.name, 1, self._claim_number)
        return False

    def _request_grant(self, keeper: ClaimRegistry, job: int, now: float) -> bool:
        self.budget.record_first_try()
        answer = self._send_request(keeper, job, now)
        while answer is None and self.budget.take_retry():
            # A retry is idempotent, since it carries the same claim number.
            answer = self._send_request(keeper, job, now)
        return bool(answer)

    def _send_request(self, keeper: ClaimRegistry, job: int, now: float) -> bool | None:
        self.calls += 1
        if self.rng.random() < LOSS_SHARE:
            return None
        granted = keeper.grant(make_flow_key(job), self.name, 1, self._claim_number, now)
        return None if self.rng.random() < LOSS_SHARE else granted


def make_flow_key(job: int) -> FlowKey:
    """Return the flow key that stands for a job, since claims are stored by flow key."""
    return FlowKey(PROTOCOL_UDP, job.to_bytes(4, "big"), 1, b"\x0a\x00\x00\x01", 1)


def run_jobs(seed: int) -> Outcome:
    """Let every worker try every job, in random order."""
    rng = random.Random(seed)
    keepers = [ClaimRegistry(started=0.0) for _ in range(KEEPER_COUNT)]
    workers = [Worker(name, rng) for name in WORKERS]
    runs = dict.fromkeys(range(JOB_COUNT), 0)
    attempts = [(job, worker) for job in runs for worker in workers]
    rng.shuffle(attempts)
    for step, (job, worker) in enumerate(attempts):
        if worker.claim_job(job, keepers, FIRST_JOB_AT_S + step / 100):
            runs[job] += 1
    calls = sum(worker.calls for worker in workers)
    return Outcome(runs, calls, sum(worker.budget.retries for worker in workers))


def main() -> None:
    """Run the jobs and print their outcome."""
    outcome = run_jobs(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
    print(
        f"{outcome.completed} of {JOB_COUNT} jobs ran, {outcome.repeated} of them more than once;"
    )
    print(f"{outcome.calls} requests, {outcome.retries} of them retries")


if __name__ == "__main__":
    main()

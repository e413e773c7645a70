import os
import random

import pytest

from fescueseam.retries.backoff import (
    BACKOFF_BASE_S,
    BACKOFF_CAP_S,
    Breaker,
    compute_backoff,
)
from fescueseam.retries.budget import RESERVE_RETRIES, RETRIES_PER_TRY, RetryBudget

CLIENTS = 200
CAPACITY_PER_S = 400
OUTAGE = (20, 50)
SECONDS = 120


@pytest.fixture
def rng():
    return random.Random(int(os.environ.get("SEED", "1")))


def run_crowd(rng, make_policy):
    """Return attempts a second while clients each start one call a second."""
    policies = [make_policy() for _ in range(CLIENTS)]
    due = [(rng.random(), index, 0) for index in range(CLIENTS)]
    attempts, succeeded = [0] * SECONDS, [0] * SECONDS
    for second in range(SECONDS):
        now, due = [call for call in due if call[0] < second + 1], [
            call for call in due if call[0] >= second + 1
        ]
        attempts[second] = len(now)
        # An overloaded store answers nobody: the worst that retries can be met with.
        is_up = not OUTAGE[0] <= second < OUTAGE[1] and len(now) <= CAPACITY_PER_S
        succeeded[second] = len(now) if is_up else 0
        for at, index, attempt in now:
            if not is_up and policies[index](attempt) is not None:
                due.append((at + policies[index].wait(attempt), index, attempt + 1))
            if attempt == 0:
                due.append((at + 1.0, index, 0))
    return attempts, succeeded


class Budgeted:
    def __init__(self, rng):
        self.budget = RetryBudget()
        self.rng = rng

    def __call__(self, attempt):
        if attempt == 0:
            self.budget.record_first_try()
        return True if self.budget.take_retry() else None

    def wait(self, attempt):
        return max(1.0, compute_backoff(attempt, self.rng))


class Unbounded:
    def __call__(self, attempt):
        return True

    def wait(self, attempt):
        return 1.0


def test_a_retrying_crowd_recovers_by_itself_within_its_budget(rng):
    attempts, succeeded = run_crowd(rng, lambda: Budgeted(rng))
    during = attempts[OUTAGE[0] : OUTAGE[1]]
    reserve = CLIENTS * RESERVE_RETRIES
    bound = CLIENTS * len(during) * (1 + RETRIES_PER_TRY) + reserve
    assert sum(during) <= bound
    assert max(attempts[OUTAGE[1] :]) <= CAPACITY_PER_S
    assert min(succeeded[OUTAGE[1] + 1 :]) >= CLIENTS


def test_the_same_crowd_without_a_budget_never_recovers(rng):
    attempts, succeeded = run_crowd(rng, Unbounded)
    assert sum(succeeded[OUTAGE[1] :]) == 0
    assert attempts[-1] > CAPACITY_PER_S


def test_a_budget_allows_its_reserve_and_then_its_share():
    budget = RetryBudget()
    assert sum(budget.take_retry() for _ in range(100)) == RESERVE_RETRIES
    for _ in range(100):
        budget.record_first_try()
        budget.take_retry()
    assert budget.retries == pytest.approx(RESERVE_RETRIES + 100 * RETRIES_PER_TRY, abs=1)


def test_backoff_grows_to_its_cap_and_spreads(rng):
    waits = [compute_backoff(attempt, rng) for attempt in range(100)]
    assert max(waits) <= BACKOFF_CAP_S
    late = [compute_backoff(50, rng) for _ in range(1000)]
    assert sum(late) / len(late) == pytest.approx(BACKOFF_CAP_S / 2, rel=0.1)


def test_a_breaker_probes_alone_and_closes_at_the_first_success(rng):
    breaker = Breaker(rng)
    breaker.record_failure(0.0)
    tried = [now for now in range(3600) if breaker.allows(float(now)) and _fail(breaker, now)]
    assert len(tried) < 3600 / (BACKOFF_CAP_S / 4)
    breaker.record_success()
    assert breaker.allows(0.0)
    assert breaker.allows(0.0)


def _fail(breaker, now):
    breaker.record_failure(float(now))
    return True


def test_breaker_that_hears_of_the_return_probes_soon_and_waits_little_after(rng):
    breaker = Breaker(rng)
    for _ in range(20):
        breaker.record_failure(0.0)
    waits = []
    for _ in range(200):
        breaker.next_attempt_at = 30.0
        breaker.probe_within(5.0, 1.0)
        waits.append(breaker.next_attempt_at - 1.0)
    assert max(waits) <= 5.0
    assert max(waits) - min(waits) > 2.5, "the first calls are spread"
    breaker.record_failure(6.0)
    assert breaker.next_attempt_at - 6.0 <= BACKOFF_BASE_S * 4

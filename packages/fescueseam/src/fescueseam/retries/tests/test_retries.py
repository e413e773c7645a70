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

CLIENT_COUNT = 200
CAPACITY_PER_S = 400
OUTAGE_SPAN_S = (20, 50)
DURATION_S = 120


@pytest.fixture
def rng():
    return random.Random(int(os.environ.get("SEED", "1")))


def simulate_clients(rng, make_policy):
    """Return the attempts and successes of each second; each client starts one call a second."""
    policies = [make_policy() for _ in range(CLIENT_COUNT)]
    pending = [(rng.random(), index, 0) for index in range(CLIENT_COUNT)]
    attempts, succeeded = [0] * DURATION_S, [0] * DURATION_S
    for second in range(DURATION_S):
        due, pending = [call for call in pending if call[0] < second + 1], [
            call for call in pending if call[0] >= second + 1
        ]
        attempts[second] = len(due)
        # Worst case: an overloaded store answers no call at all.
        is_up = not OUTAGE_SPAN_S[0] <= second < OUTAGE_SPAN_S[1] and len(due) <= CAPACITY_PER_S
        succeeded[second] = len(due) if is_up else 0
        for at, index, attempt in due:
            if not is_up and policies[index](attempt) is not None:
                pending.append((at + policies[index].wait(attempt), index, attempt + 1))
            if attempt == 0:
                pending.append((at + 1.0, index, 0))
    return attempts, succeeded


class BudgetedRetries:
    def __init__(self, rng):
        self.budget = RetryBudget()
        self.rng = rng

    def __call__(self, attempt):
        if attempt == 0:
            self.budget.record_first_try()
        return True if self.budget.take_retry() else None

    def wait(self, attempt):
        return max(1.0, compute_backoff(attempt, self.rng))


class UnlimitedRetries:
    def __call__(self, attempt):
        return True

    def wait(self, attempt):
        return 1.0


def test_clients_with_a_budget_recover_after_an_outage(rng):
    attempts, succeeded = simulate_clients(rng, lambda: BudgetedRetries(rng))
    outage_attempts = attempts[OUTAGE_SPAN_S[0] : OUTAGE_SPAN_S[1]]
    reserve = CLIENT_COUNT * RESERVE_RETRIES
    bound = CLIENT_COUNT * len(outage_attempts) * (1 + RETRIES_PER_TRY) + reserve
    assert sum(outage_attempts) <= bound
    assert max(attempts[OUTAGE_SPAN_S[1] :]) <= CAPACITY_PER_S
    assert min(succeeded[OUTAGE_SPAN_S[1] + 1 :]) >= CLIENT_COUNT


def test_clients_without_a_budget_never_recover(rng):
    attempts, succeeded = simulate_clients(rng, UnlimitedRetries)
    assert sum(succeeded[OUTAGE_SPAN_S[1] :]) == 0
    assert attempts[-1] > CAPACITY_PER_S


def test_budget_allows_its_reserve_and_then_a_share_of_first_tries():
    budget = RetryBudget()
    assert sum(budget.take_retry() for _ in range(100)) == RESERVE_RETRIES
    for _ in range(100):
        budget.record_first_try()
        budget.take_retry()
    assert budget.retries == pytest.approx(RESERVE_RETRIES + 100 * RETRIES_PER_TRY, abs=1)


def test_backoff_grows_to_its_cap_with_jitter(rng):
    waits = [compute_backoff(attempt, rng) for attempt in range(100)]
    assert max(waits) <= BACKOFF_CAP_S
    late = [compute_backoff(50, rng) for _ in range(1000)]
    assert sum(late) / len(late) == pytest.approx(BACKOFF_CAP_S / 2, rel=0.1)


def test_open_breaker_allows_few_probes_and_closes_on_success(rng):
    breaker = Breaker(rng)
    breaker.record_failure(0.0)
    probes = [
        now for now in range(3600) if breaker.allows(float(now)) and _record_failure(breaker, now)
    ]
    assert len(probes) < 3600 / (BACKOFF_CAP_S / 4)
    breaker.record_success()
    assert breaker.allows(0.0)
    assert breaker.allows(0.0)


def _record_failure(breaker, now):
    breaker.record_failure(float(now))
    return True


def test_probe_within_schedules_an_early_probe_and_restarts_backoff(rng):
    breaker = Breaker(rng)
    for _ in range(20):
        breaker.record_failure(0.0)
    waits = []
    for _ in range(200):
        breaker.next_attempt_at = 30.0
        breaker.probe_within(5.0, 1.0)
        waits.append(breaker.next_attempt_at - 1.0)
    assert max(waits) <= 5.0
    assert max(waits) - min(waits) > 2.5, "the first probes are not spread over the window"
    breaker.record_failure(6.0)
    assert breaker.next_attempt_at - 6.0 <= BACKOFF_BASE_S * 4

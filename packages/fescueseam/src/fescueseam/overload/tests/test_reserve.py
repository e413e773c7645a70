"""Load pattern: a burst of a cheap class, seen by balancers of which each has a share of the load.

The model has only what the decision sees: requests of the dear class are in time while the servers
that the balancers keep for it are as many as it needs.
"""

import random
from statistics import mean

import pytest

from fescueseam.overload.reserve import PERIOD_S, RESERVE_LIMIT_SHARE, ServerReserves

SERVICE, DEAR, CHEAP = "alerts", 1, 2
BALANCERS, SERVERS = 16, 40
NEEDED_SHARE = 0.3
STEP_S = 0.1


def play_burst(lag_s: tuple[float, float], burst_s: float, quiet_s: float) -> list[float]:
    """Return the mean reserve at each step of a burst and of the time after it."""
    rng = random.Random(1)
    balancers = [ServerReserves() for _ in range(BALANCERS)]
    lags = [round(rng.uniform(*lag_s) / STEP_S) for _ in balancers]
    misses, shares = [], []
    for step in range(round((burst_s + quiet_s) / STEP_S)):
        now = step * STEP_S
        share = mean(item.compute_share(SERVICE, CHEAP, now) for item in balancers)
        shares.append(share)
        misses.append(now < burst_s and share < NEEDED_SHARE)
        for balancer, lag in zip(balancers, lags, strict=True):
            for _ in range(2):
                balancer.record(SERVICE, DEAR, step < lag or not misses[step - lag], now)
    return shares


@pytest.mark.parametrize(("lag_s", "least"), [((0.0, 0.0), 0.9), ((0.5, 2.0), 0.8)])
def test_room_is_kept_through_a_burst_although_news_is_late(
    lag_s: tuple[float, float], least: float
) -> None:
    shares = play_burst(lag_s, 20.0, 0.0)
    settled = shares[round(3.0 / STEP_S) :]
    assert sum(item >= NEEDED_SHARE for item in settled) >= least * len(settled)
    assert max(shares) <= RESERVE_LIMIT_SHARE


def test_unused_room_is_lent_out_after_the_burst() -> None:
    shares = play_burst((0.5, 2.0), 10.0, 35.0)
    assert shares[round(20.0 / STEP_S)] < 0.75 * RESERVE_LIMIT_SHARE
    assert shares[-1] == 0.0


def test_balancers_keep_the_same_servers_free() -> None:
    servers = [f"agent-{number}" for number in range(SERVERS)]
    reserves = ServerReserves()
    chosen: list[set[str]] = []
    for step in range(3):
        for _ in range(10):
            reserves.record(SERVICE, DEAR, False, step * PERIOD_S)
        chosen.append(reserves.select_reserved(SERVICE, CHEAP, servers, (step + 1) * PERIOD_S))
    assert chosen[0] < chosen[1] == chosen[2]
    assert len(chosen[1]) == SERVERS * RESERVE_LIMIT_SHARE
    assert reserves.select_reserved(SERVICE, DEAR, servers, 2.0) == set()
    assert reserves.select_reserved("intake", CHEAP, servers, 2.0) == set()


def test_a_clock_that_jumps_ends_a_reserve_and_breaks_nothing() -> None:
    reserves = ServerReserves()
    for now in (5.0, 5.6, 1.0, 1e9):
        for _ in range(10):
            reserves.record(SERVICE, DEAR, False, now)
    assert reserves.compute_share(SERVICE, CHEAP, 1e9) <= RESERVE_LIMIT_SHARE

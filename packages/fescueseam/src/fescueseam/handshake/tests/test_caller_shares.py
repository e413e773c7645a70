"""Load pattern: ten callers ask for 30 requests a second in all, and one for 100, of 80."""

import random

import pytest

from fescueseam.handshake.tests.conftest import CALLER_ADDRESS
from fescueseam.handshake.tests.load import DEAR, DEAR_PORT, LoadedCluster, build_cluster

DURATION_S = 10.0
GREEDY_CALLER = CALLER_ADDRESS + 0x1000


def build_load(seed: int, greedy_callers: int = 1) -> LoadedCluster:
    cluster = build_cluster({DEAR_PORT: DEAR})
    cluster.rng = random.Random(seed)
    for number in range(10):
        cluster.offer_load(CALLER_ADDRESS + number, DEAR_PORT, 3.0, DURATION_S)
    for number in range(greedy_callers):
        per_s = 100.0 / greedy_callers
        cluster.offer_load(GREEDY_CALLER + number, DEAR_PORT, per_s, DURATION_S)
    cluster.run(DURATION_S + 3.0)
    return cluster


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_modest_callers_get_theirs_beside_a_greedy_one(seed: int) -> None:
    cluster = build_load(seed)
    modest = cluster.compute_share(lambda item: item.caller < GREEDY_CALLER, DEAR.target_s)
    greedy = cluster.compute_share(lambda item: item.caller >= GREEDY_CALLER, DEAR.limit_s)
    assert modest >= 0.9
    # The rest of the room is its own: 50 of the 100 a second.
    assert greedy >= 0.4


def test_a_caller_with_many_addresses_does_not_push_the_others_out() -> None:
    cluster = build_load(1, greedy_callers=200)
    modest = cluster.compute_share(lambda item: item.caller < GREEDY_CALLER, DEAR.target_s)
    assert modest >= 0.9

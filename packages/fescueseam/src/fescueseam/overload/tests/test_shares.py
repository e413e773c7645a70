"""Load pattern: one greedy caller beside callers who ask for little."""

from fescueseam.overload.shares import (
    CALLERS_LIMIT,
    NEWCOMER_TIME_S,
    RANKS_PER_DOUBLING,
    CallerShares,
)

MODEST, GREEDY, OTHER_PREFIX = 0x64400001, 0x64400102, 0x64410000


def serve(shares: CallerShares, caller: int, per_s: int, duration_s: float, start: float) -> None:
    for number in range(int(per_s * duration_s)):
        shares.record(caller, start + number / per_s)


def test_a_caller_with_one_opening_goes_before_one_with_a_hundred() -> None:
    shares = CallerShares()
    assert shares.compute_rank(MODEST, 0, 0.0) < shares.compute_rank(GREEDY, 99, 0.0)


def test_who_got_less_lately_goes_first_and_use_is_forgotten() -> None:
    shares = CallerShares()
    serve(shares, MODEST, 3, 10.0, 0.0)
    serve(shares, GREEDY, 50, 10.0, 0.0)
    assert shares.compute_rank(MODEST, 0, 10.0) < shares.compute_rank(GREEDY, 0, 10.0)
    assert shares.compute_rank(GREEDY, 0, 60.0) == 0


def test_rotating_addresses_of_a_prefix_does_not_make_a_caller_new() -> None:
    shares = CallerShares()
    serve(shares, MODEST, 3, 20.0, 0.0)
    for number in range(500):
        shares.record(OTHER_PREFIX + number % 256, 10.0 + number / 50)
    unseen = OTHER_PREFIX + 0xFF
    assert shares.compute_rank(MODEST, 0, 20.0) < shares.compute_rank(unseen, 0, 20.0)


def test_an_established_caller_is_judged_by_its_own_use() -> None:
    shares = CallerShares()
    duration_s = 2 * NEWCOMER_TIME_S
    serve(shares, GREEDY, 50, duration_s, 0.0)
    serve(shares, GREEDY + 1, 1, duration_s, 0.0)
    ranks = [shares.compute_rank(GREEDY + item, 0, duration_s) for item in (0, 1, 2)]
    # The third has never been seen; nobody of its prefix is new any more.
    assert ranks[0] > ranks[1] > ranks[2] == 0


def test_the_table_is_bounded_and_a_clock_that_goes_back_does_no_harm() -> None:
    shares = CallerShares()
    for caller in range(CALLERS_LIMIT + 10):
        shares.record(caller << 8, 5.0)
    assert len(shares) == CALLERS_LIMIT
    shares.record(CALLERS_LIMIT << 8, 1.0)
    assert shares.compute_rank(CALLERS_LIMIT << 8, 0, 0.0) <= RANKS_PER_DOUBLING * 2

"""Notices that arrive twice, late, or from an earlier start of their sender."""

import random

import pytest

from fescueseam.exceptions import ErrorKind, MessageError
from fescueseam.handshake.notice_guard import (
    RANDOM_INCARNATION_BITS,
    NoticeGuard,
    build_incarnation,
)

FIRST, SECOND, THIRD = (build_incarnation(started_ms, 5) for started_ms in (1000, 2000, 3000))


def is_accepted(guard: NoticeGuard, incarnation: int, sequence: int) -> bool:
    try:
        guard.check("agent-1", incarnation, sequence)
    except MessageError:
        return False
    return True


def test_rejection_is_counted_as_a_replay() -> None:
    guard = NoticeGuard()
    guard.check("agent-1", FIRST, 1)
    with pytest.raises(MessageError) as info:
        guard.check("agent-1", FIRST, 1)
    assert info.value.kind is ErrorKind.REPLAYED_MESSAGE


def test_repeated_notice_is_rejected() -> None:
    guard = NoticeGuard()
    assert [is_accepted(guard, FIRST, sequence) for sequence in (1, 3, 2, 3, 1)] == [
        True,
        True,
        True,
        False,
        False,
    ]


def test_delayed_notice_of_an_earlier_start_is_rejected() -> None:
    guard = NoticeGuard()
    assert is_accepted(guard, FIRST, 40)
    assert is_accepted(guard, SECOND, 1)
    assert not is_accepted(guard, FIRST, 41)
    assert is_accepted(guard, SECOND, 2)


def test_notice_of_an_earlier_start_is_rejected_by_a_guard_that_has_just_started() -> None:
    guard = NoticeGuard()
    assert is_accepted(guard, SECOND, 1)
    assert not is_accepted(guard, FIRST, 41)


def test_start_after_the_clock_was_set_back_is_accepted_from_its_second_notice_on() -> None:
    guard = NoticeGuard()
    assert is_accepted(guard, SECOND, 40)
    assert not is_accepted(guard, FIRST, 1)
    assert is_accepted(guard, FIRST, 2)
    assert is_accepted(guard, FIRST, 3)


def test_current_start_is_accepted_again_after_two_delayed_notices_of_an_earlier_one() -> None:
    guard = NoticeGuard()
    assert is_accepted(guard, SECOND, 1)
    assert [is_accepted(guard, FIRST, sequence) for sequence in (40, 41)] == [False, True]
    assert is_accepted(guard, SECOND, 2)
    assert not is_accepted(guard, SECOND, 1)


def test_no_start_is_shut_out_whatever_came_before() -> None:
    rng = random.Random(1)
    for _ in range(200):
        guard = NoticeGuard()
        for _ in range(rng.randrange(30)):
            is_accepted(guard, rng.choice((FIRST, SECOND, THIRD)), rng.randrange(1, 60))
        current = rng.choice((FIRST, SECOND, THIRD))
        accepted = [is_accepted(guard, current, sequence) for sequence in (100, 101, 102)]
        assert accepted[1:] == [True, True]


def test_incarnations_of_one_millisecond_differ() -> None:
    assert build_incarnation(1000, 1) != build_incarnation(1000, 2)
    assert build_incarnation(1000, 2**RANDOM_INCARNATION_BITS - 1) < build_incarnation(1001, 0)


@pytest.mark.parametrize("sender_count", [1, 3])
def test_senders_do_not_affect_each_other(sender_count: int) -> None:
    guard = NoticeGuard()
    for number in range(sender_count):
        guard.check(f"agent-{number}", FIRST, 1)

"""Load pattern: more openings of two classes than one backend server can take."""

import pytest

from fescueseam.overload.waiting_room import (
    LOWER_CLASS_SHARE,
    WAITING_LIMIT,
    ServerState,
    Waiter,
    WaitingRoom,
)

BUSY = ServerState(2, 1, 0.05)


def build_waiter(number: int, priority: int = 0, **changes: object) -> Waiter:
    fields = {"late": False, "rank": 0, "arrived_at": 0.01 * number, "usable_until": 100.0}
    return Waiter((7, number, 1, 443), priority, **{**fields, **changes})  # type: ignore[arg-type]


def fill(room: WaitingRoom, *waiters: Waiter) -> None:
    for waiter in waiters:
        room.add(waiter)


def test_the_order_is_class_then_usefulness_then_caller_then_age() -> None:
    room = WaitingRoom()
    cheap, late = build_waiter(1, 2), build_waiter(2, late=True)
    greedy, young, old = build_waiter(3, rank=5), build_waiter(5), build_waiter(4)
    fill(room, cheap, late, greedy, young, old)
    assert [room.take_next() for _ in range(5)] == [old, young, greedy, late, cheap]


def test_a_lower_class_keeps_its_share_while_a_higher_one_takes_all_it_can() -> None:
    room = WaitingRoom()
    taken = 0
    for number in range(100):
        fill(room, build_waiter(number), build_waiter(1000 + number, 1))
        waiter = room.take_next()
        taken += waiter is not None and waiter.priority == 1
    assert taken == pytest.approx(100 * LOWER_CLASS_SHARE, abs=2)


def test_an_opening_waits_only_if_a_slot_is_expected_while_it_is_usable() -> None:
    room = WaitingRoom()
    assert room.decide(build_waiter(1, usable_until=0.1), BUSY, 0.0).holds
    fill(room, *(build_waiter(number) for number in range(2, 6)))
    decision = room.decide(build_waiter(9, usable_until=0.1), BUSY, 0.0)
    assert not decision.holds
    assert decision.wait_s > 0.1


def test_openings_that_higher_ones_have_overtaken_are_returned_as_soon_as_that_is_known() -> None:
    room = WaitingRoom()
    cheap = build_waiter(1, 1, usable_until=0.1)
    assert room.decide(cheap, BUSY, 0.0).holds
    fill(room, cheap, *(build_waiter(number) for number in range(2, 8)))
    assert room.remove_unusable(BUSY, 0.0) == [cheap]


def test_a_full_room_refuses_the_last_in_the_order() -> None:
    room = WaitingRoom()
    fill(room, *(build_waiter(number, 1) for number in range(WAITING_LIMIT)))
    fast = ServerState(2, 1, 0.0001)
    assert not room.decide(build_waiter(WAITING_LIMIT, 1), fast, 0.0).holds
    dear = build_waiter(WAITING_LIMIT + 1, 0)
    assert room.decide(dear, fast, 0.0).holds
    displaced = room.add(dear)
    assert displaced is not None
    assert displaced.flow[1] == WAITING_LIMIT - 1
    assert len(room) == WAITING_LIMIT

"""Load pattern: a constant load of more than all slots, seen as the queue that an opening meets."""

import pytest

from fescueseam.overload.needs import RouteNeeds
from fescueseam.overload.waits import Outlook, assess_wait, estimate_wait_s

NEEDS = RouteNeeds(0.25, 1.0)


@pytest.mark.parametrize(
    ("ahead", "slots", "cold", "expected_s"),
    [
        (0, 1, False, 0.0),
        (1, 1, False, 0.025),
        (2, 1, False, 0.075),
        (2, 1, True, 0.225),
        (3, 2, False, 0.05 / 3 + 0.025),
    ],
)
def test_a_wait_grows_with_the_requests_ahead(
    ahead: int, slots: int, cold: bool, expected_s: float
) -> None:
    assert estimate_wait_s(ahead, slots, 0.05, cold) == pytest.approx(expected_s)


@pytest.mark.parametrize(
    ("wait_s", "elapsed_s", "outlook"),
    [
        (0.1, 0.0, Outlook.MEETS_TARGET),
        (0.1, 0.2, Outlook.MEETS_LIMIT),
        (0.5, 0.0, Outlook.MEETS_LIMIT),
        (0.5, 0.6, Outlook.TOO_LATE),
    ],
)
def test_a_wait_is_compared_with_what_is_left_of_target_and_limit(
    wait_s: float, elapsed_s: float, outlook: Outlook
) -> None:
    assert assess_wait(wait_s, 0.05, NEEDS, elapsed_s) is outlook


def test_unknown_service_times_and_slots_do_not_promise_room() -> None:
    assert estimate_wait_s(1, 0, 0.0) > 0

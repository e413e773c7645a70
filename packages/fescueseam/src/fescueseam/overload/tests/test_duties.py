"""Steps of balancers that fall behind.

Load patterns: a small balancer beside large ones under a burst; all balancers of a data centre
behind at once. Failures: reports between them are lost; a balancer is killed while others rest.
"""

from collections.abc import Callable

import pytest
from attrs import define, field

from fescueseam.overload.duties import (
    CALM_S,
    REST_AFTER_S,
    START_GRACE_S,
    DutyControl,
    Peer,
    Step,
    compute_capacity,
    compute_share,
    may_rest,
)

SAMPLE_S = 0.05
REPORT_S, REPORT_LAG_S, HEARD_S = 0.5, 1.0, 2.2
"""Interval and lag of reports, and the time without one after which a balancer counts as lost."""
SMALL, LARGE = 0.25, 1.0


@define(eq=False)
class DataCentre:
    """Balancers that see each other by late reports."""

    capacities: list[float]
    reports_arrive: Callable[[float], bool] = lambda now: True
    now: float = 0.0
    killed: set[int] = field(factory=set)
    least_in_rotation: int = 10**6
    controls: list[DutyControl] = field(init=False)
    heard_at: list[float] = field(init=False)
    """Time at which the others last heard each balancer."""
    _history: list[list[Step]] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.controls = [
            DutyControl(f"balancer-{number}", capacity, 0.0)
            for number, capacity in enumerate(self.capacities)
        ]
        self.heard_at = [0.0] * len(self.controls)

    def run(self, duration_s: float, behind: set[int]) -> None:
        """Let some balancers be behind for a time."""
        for _ in range(round(duration_s / SAMPLE_S)):
            self.now += SAMPLE_S
            self._history.append([control.step for control in self.controls])
            if self.reports_arrive(self.now):
                for number in set(range(len(self.controls))) - self.killed:
                    self.heard_at[number] = self.now
            seen = self._history[max(0, len(self._history) - round(REPORT_LAG_S / SAMPLE_S))]
            for number, control in enumerate(self.controls):
                if number in self.killed:
                    continue
                control.record_sample(0.1 if number in behind else 0.0, False, 0, 0.0, self.now)
                control.update(self._list_peers(number, seen), self.now)
            self.least_in_rotation = min(self.least_in_rotation, self.count_in_rotation())

    def list_resting(self) -> list[int]:
        return [n for n, control in enumerate(self.controls) if control.step is Step.REST]

    def count_in_rotation(self) -> int:
        return len(self.controls) - len(self.killed | set(self.list_resting()))

    def _list_peers(self, own: int, seen: list[Step]) -> list[Peer]:
        return [
            Peer(
                other.own_name,
                other.capacity,
                seen[number] > Step.NONE,
                self.now - self.heard_at[number] < HEARD_S and seen[number] is not Step.REST,
            )
            for number, other in enumerate(self.controls)
            if number != own
        ]


def test_small_balancer_rests_in_a_burst_and_returns() -> None:
    centre = DataCentre([SMALL, LARGE, LARGE, LARGE])
    centre.run(START_GRACE_S, set())
    centre.run(REST_AFTER_S - 0.5, {0})
    assert centre.controls[0].step is Step.SHED
    centre.run(3.0, {0})
    assert centre.list_resting() == [0]
    centre.run(1.0, set())
    assert centre.list_resting() == [0]
    centre.run(2 * CALM_S + 3.0, set())
    assert centre.controls[0].step is Step.NONE


def test_no_step_is_taken_back_by_a_pause_of_the_load() -> None:
    centre = DataCentre([SMALL, LARGE, LARGE, LARGE])
    centre.run(START_GRACE_S + 6.0, {0})
    for _ in range(5):
        centre.run(1.0, set())
        centre.run(1.0, {0})
        assert centre.list_resting() == [0]


@pytest.mark.parametrize(
    "capacities", [[SMALL] * 5 + [LARGE] * 2, [LARGE] * 8, [LARGE], [SMALL] * 2]
)
def test_half_stay_in_rotation_when_all_are_behind(capacities: list[float]) -> None:
    centre = DataCentre(capacities)
    everyone = set(range(len(capacities)))
    centre.run(START_GRACE_S - 1.0, everyone)
    assert centre.list_resting() == []
    centre.run(20.0, everyone)
    assert 2 * centre.least_in_rotation >= len(capacities)
    assert all(control.step > Step.NONE for control in centre.controls)


@pytest.mark.parametrize("behind", [{0}, {0, 1, 2}, {0, 1, 2, 3, 4}, {5, 6}])
def test_half_stay_in_rotation_when_some_are_behind(behind: set[int]) -> None:
    centre = DataCentre([SMALL] * 5 + [LARGE] * 2)
    centre.run(START_GRACE_S + 20.0, behind)
    assert 2 * centre.least_in_rotation >= len(centre.controls)
    assert set(centre.list_resting()) <= behind


@pytest.mark.parametrize("count", [1, 2, 5, 8, 21])
def test_half_stay_even_if_nobody_knows_that_the_others_leave(count: int) -> None:
    peers = [Peer(f"balancer-{number}", LARGE) for number in range(count)]
    leaving = [own for own in peers if may_rest(own, [item for item in peers if item is not own])]
    assert len(leaving) == count // 2


def test_nobody_leaves_while_reports_are_lost() -> None:
    centre = DataCentre([SMALL] * 4, reports_arrive=lambda now: now < START_GRACE_S - HEARD_S)
    centre.run(START_GRACE_S + 10.0, {0, 1, 2, 3})
    assert centre.least_in_rotation == len(centre.controls)


def test_resting_balancer_returns_when_another_is_killed() -> None:
    centre = DataCentre([SMALL, SMALL, LARGE, LARGE])
    centre.run(START_GRACE_S + 8.0, {0, 1})
    assert centre.list_resting() == [0, 1]
    centre.killed = {2}
    centre.run(HEARD_S + 2 * REPORT_LAG_S, {0, 1})
    assert 2 * centre.count_in_rotation() >= len(centre.controls)


def test_unknown_capacity_changes_nothing() -> None:
    centre = DataCentre([0.0] * 4)
    centre.run(START_GRACE_S + 10.0, {0, 1, 2, 3})
    assert {control.step for control in centre.controls} == {Step.NONE}
    assert compute_share(0.0, (SMALL, LARGE), Step.NONE) == 1.0
    assert compute_share(SMALL, (SMALL, SMALL), Step.NONE) == 1.0


def test_duties_follow_what_a_machine_has() -> None:
    assert compute_capacity(0.717, 3, 200) == pytest.approx(2.151)
    assert compute_capacity(0.39, 1, 5) == pytest.approx(0.25)
    assert compute_capacity(None, None, None) == 0.0
    # What a balancer that is not behind asks, its own callers wait for.
    assert compute_share(SMALL, (LARGE, LARGE), Step.NONE) == 1.0
    assert compute_share(LARGE, (SMALL, LARGE), Step.NONE) > 1.0
    assert compute_share(SMALL, (LARGE, LARGE), Step.SHED) < 0.3


@pytest.mark.parametrize(
    ("late_s", "unread", "unsent", "link_share", "is_behind"),
    [
        (0.0, False, 0, 0.0, False),
        (0.05, False, 0, 0.0, True),
        (0.0, True, 0, 0.0, True),
        (0.0, False, 1, 0.0, True),
        (0.0, False, 0, 0.95, True),
    ],
)
def test_each_sign_of_lag_counts(
    late_s: float, unread: bool, unsent: int, link_share: float, is_behind: bool
) -> None:
    control = DutyControl("balancer", LARGE, 0.0)
    for number in range(1, 101):
        control.record_sample(late_s, unread, unsent, link_share, number * SAMPLE_S)
    assert (control.pressure > 0.9) is is_behind

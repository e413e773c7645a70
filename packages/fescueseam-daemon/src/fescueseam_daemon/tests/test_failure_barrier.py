"""One packet, notice or background loop that fails does not end its process."""

import logging

import pytest
import trio
import trio.testing

from fescueseam.exceptions import SettingsError
from fescueseam_daemon.failure_barrier import FailureBarrier
from fescueseam_daemon.metrics import FAILURES_PER_LOG_LINE, Metrics


@pytest.fixture
def failures() -> list[tuple[str, str]]:
    """Return the list to which the barrier adds each failure."""
    return []


@pytest.fixture
def barrier(failures: list[tuple[str, str]]) -> FailureBarrier:
    """Return a barrier that adds place and cause to the list of failures."""
    return FailureBarrier(lambda place, exc: failures.append((place, str(exc))))


def test_next_event_is_handled_after_one_fails(
    barrier: FailureBarrier, failures: list[tuple[str, str]]
) -> None:
    handled = []
    for number in (1, 0, 2):
        barrier.run("packet", lambda n: handled.append(6 // n), number)
    assert handled == [6, 3]
    assert [place for place, _ in failures] == ["packet"]


@pytest.mark.parametrize("error", [MemoryError, SettingsError("address in use")])
def test_loop_that_cannot_go_on_ends_the_process(barrier: FailureBarrier, error: object) -> None:
    async def loop() -> None:
        raise error  # type: ignore[misc]

    with pytest.raises((MemoryError, SettingsError)):
        trio.run(barrier.keep_running, "loop", loop)


def test_failed_loop_is_started_again(
    barrier: FailureBarrier, failures: list[tuple[str, str]]
) -> None:
    starts = []

    async def loop() -> None:
        starts.append(trio.current_time())
        if len(starts) < 3:
            raise ValueError(f"start {len(starts)}")

    trio.run(
        barrier.keep_running,
        "watch",
        loop,
        clock=trio.testing.MockClock(autojump_threshold=0),
    )
    assert failures == [("watch", "start 1"), ("watch", "start 2")]
    assert len(starts) == 3


def test_failures_are_counted_by_place_and_logged_within_a_budget(
    caplog: pytest.LogCaptureFixture,
) -> None:
    metrics = Metrics()
    with caplog.at_level(logging.ERROR):
        for _ in range(FAILURES_PER_LOG_LINE + 1):
            metrics.record_failure("packet", ValueError("x"))
        metrics.record_failure("tick", ValueError("y"))
    value = metrics.registry.get_sample_value(
        "fescueseam_handler_failures_total", {"place": "packet"}
    )
    assert value == FAILURES_PER_LOG_LINE + 1
    assert [record.place for record in caplog.records] == ["packet", "packet", "tick"]
    assert all(record.exc_info for record in caplog.records)

"""Load pattern: a server says that it is well and ends its requests without an answer."""

import pytest

from fescueseam.handshake.failures import FAILURE_DECAY_TIME_S, FailureTracker, compute_stuck_after
from fescueseam.handshake.tests.conftest import Mesh, flow_number


def open_and_ask(mesh: Mesh, first: int, count: int) -> None:
    for number in range(first, first + count):
        mesh.open(flow_number(number), 1)
        mesh.request(flow_number(number), 1)
        mesh.run(0.05)


def count_openings(mesh: Mesh, address: int) -> int:
    return len(mesh.backends[address].openings)


def test_a_server_that_breaks_requests_off_gets_few_new_flows(mesh: Mesh) -> None:
    mesh.backends[11].breaks_off = True
    open_and_ask(mesh, 0, 30)
    mesh.run(0.3)
    before = count_openings(mesh, 11)
    open_and_ask(mesh, 30, 60)
    assert count_openings(mesh, 11) - before <= 6
    assert mesh.count_notes("request-unanswered") > 0


def test_a_server_that_hangs_gets_few_new_flows(mesh: Mesh) -> None:
    mesh.backends[11].slots = 8
    mesh.beat(11, 90)
    mesh.backends[11].hangs = True
    open_and_ask(mesh, 0, 12)
    mesh.run(1.0)
    before = count_openings(mesh, 11)
    open_and_ask(mesh, 12, 60)
    assert count_openings(mesh, 11) - before <= 6


def test_a_server_that_has_recovered_gets_its_share_again(mesh: Mesh) -> None:
    open_and_ask(mesh, 0, 12)
    mesh.backends[11].breaks_off = True
    open_and_ask(mesh, 12, 30)
    mesh.backends[11].breaks_off = False
    mesh.run(4 * FAILURE_DECAY_TIME_S)
    before = count_openings(mesh, 11)
    open_and_ask(mesh, 42, 60)
    assert count_openings(mesh, 11) - before >= 10


def test_one_failure_among_many_counts_little() -> None:
    failures = FailureTracker()
    for number in range(20):
        failures.note_request_end(number == 7, 1.0)
    assert failures.compute_failing_share(0, 1.0) == pytest.approx(0.05)


def test_a_single_failure_does_not_condemn_a_server() -> None:
    failures = FailureTracker()
    failures.note_request_end(True, 1.0)
    assert failures.compute_failing_share(0, 1.0) == 0.25


def test_failures_fade() -> None:
    failures = FailureTracker()
    for _ in range(8):
        failures.note_request_end(True, 0.0)
    assert failures.compute_failing_share(0, 0.0) == 1.0
    assert failures.compute_failing_share(0, 4 * FAILURE_DECAY_TIME_S) < 0.1


def test_stuck_requests_count_as_failures() -> None:
    assert FailureTracker().compute_failing_share(2, 1.0) == 0.5
    assert compute_stuck_after(0.02) == 0.5
    assert compute_stuck_after(0.1) == pytest.approx(0.8)

"""Tests of the event log: format, rate limit, and a slow or missing reader."""

import json
import logging
import os
import time
from collections.abc import Iterator

import pytest

from fescueseam_daemon.handshake.events import (
    LOGGER,
    MAX_BURST_LINES,
    MAX_QUEUED_LINES,
    EventLog,
    JsonLineHandler,
    configure_log,
)


@pytest.fixture
def pipe() -> Iterator[tuple[int, int]]:
    """Yield the read and write ends of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    LOGGER.handlers[:] = []
    os.close(reader)
    os.close(writer)


def read_lines(reader: int) -> list[dict[str, object]]:
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_event_is_logged_as_one_json_line(pipe: tuple[int, int]) -> None:
    events = EventLog(10.0, configure_log("balancer-1", pipe[1]))
    events.log_event("flow-refused", {"flow": "a>b", "reason": "no-room"}, 1.0)
    (line,) = read_lines(pipe[0])
    assert line["event"] == "flow-refused"
    assert line["instance"] == "balancer-1"
    assert line["reason"] == "no-room"


def test_logging_does_not_block_on_a_reader_that_never_reads(pipe: tuple[int, int]) -> None:
    handler = configure_log("balancer-1", pipe[1])
    events = EventLog(1e9, handler)
    started = time.monotonic()
    for number in range(2 * MAX_QUEUED_LINES):
        events.log_event(f"event-{number % 50}", {"pad": "x" * 200}, float(number))
    assert time.monotonic() - started < 5.0
    assert handler.dropped_lines > 0
    assert events.counts.total() == 2 * MAX_QUEUED_LINES


def test_late_reader_receives_complete_lines(pipe: tuple[int, int]) -> None:
    handler = configure_log("balancer-1", pipe[1])
    events = EventLog(1e9, handler)
    for number in range(1000):
        events.log_event(f"event-{number % 50}", {"pad": "x" * 200}, float(number))
    text = b""
    while chunk := _read_available(pipe[0]):
        text += chunk
        handler.flush()
    lines = [json.loads(line) for line in text.splitlines()]
    assert len(lines) == 1000


def _read_available(reader: int) -> bytes:
    os.set_blocking(reader, False)
    try:
        return os.read(reader, 1 << 16)
    except BlockingIOError:
        return b""


def test_lines_are_dropped_when_the_reader_is_gone() -> None:
    reader, writer = os.pipe()
    handler = JsonLineHandler(writer, "balancer-1")
    os.close(reader)
    handler.emit(logging.LogRecord("x", logging.INFO, "", 0, "event", None, None))
    os.close(writer)
    assert handler.dropped_lines == 1


def test_rate_limit_applies_per_event_and_reports_dropped_lines(pipe: tuple[int, int]) -> None:
    events = EventLog(10.0, configure_log("balancer-1", pipe[1]))
    for _ in range(1000):
        events.log_event("flow-offered", {}, 1.0)
    events.log_event("flow-refused", {}, 1.0)
    events.log_event("flow-offered", {}, 2.0)
    lines = read_lines(pipe[0])
    assert len(lines) == MAX_BURST_LINES + 2
    assert lines[-1]["left_out_before"] == 1000 - MAX_BURST_LINES
    assert events.counts["flow-offered", ""] == 1001


def test_metrics_include_counters_and_histograms() -> None:
    events = EventLog(10.0)
    events.log_event("flow-refused", {"reason": "no-room"}, 1.0)
    for value in (0.002, 0.02, 20.0):
        events.observe("service_seconds", "alerts", value)
    text = events.render({"members": 3.0}).decode()
    assert 'fescueseam_events_total{event="flow-refused",reason="no-room"} 1.0' in text
    assert 'fescueseam_service_seconds_bucket{le="0.03",service="alerts"} 2.0' in text
    assert 'fescueseam_service_seconds_count{service="alerts"} 3.0' in text
    assert "fescueseam_members 3.0" in text


def test_messages_are_counted_by_direction_and_body() -> None:
    events = EventLog(10.0)
    for _ in range(3):
        events.count_message("sent", "report", 160)
    events.count_message("received", "locate", 60)
    text = events.render({}).decode()
    assert 'fescueseam_messages_total{body="report",direction="sent"} 3.0' in text
    assert 'fescueseam_message_bytes_total{body="report",direction="sent"} 480.0' in text
    assert 'fescueseam_messages_total{body="locate",direction="received"} 1.0' in text

"""Structured event log and the metrics that are derived from it."""

import json
import logging
import os
from collections import Counter, deque
from typing import Any

from attrs import define, field

LOGGER = logging.getLogger("fescueseam.steering")
MAX_QUEUED_LINES = 2000
"""Largest number of lines queued for a slow reader; further lines are dropped and counted."""
MAX_BURST_LINES = 100.0
"""Largest burst of lines of one event."""
HISTOGRAM_BOUNDS_S = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0)
"""Upper bounds of the histogram buckets, in seconds."""


class JsonLineHandler(logging.Handler):
    """A log handler that writes one JSON object per line and never blocks on the reader."""

    def __init__(self, fd: int, instance: str) -> None:
        """Set the file descriptor to non-blocking mode."""
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._instance = instance
        self._lines: deque[bytes] = deque()
        self.dropped_lines = 0
        """Number of lines that were dropped because the queue was full or the reader is gone."""

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write as many queued lines as the reader accepts."""
        line = {
            "time": round(record.created, 3),
            "level": record.levelname.lower(),
            "instance": self._instance,
            "event": record.getMessage(),
            **getattr(record, "fields", {}),
        }
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped_lines += 1
        else:
            self._lines.append(json.dumps(line, default=str).encode() + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write as many queued lines as the reader accepts."""
        while self._lines:
            try:
                written = os.write(self._fd, self._lines[0])
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: queued lines would only use memory.
                self.dropped_lines += len(self._lines)
                self._lines.clear()
                return
            if written < len(self._lines[0]):
                self._lines[0] = self._lines[0][written:]
                return
            self._lines.popleft()


def configure_log(instance: str, fd: int = 1) -> JsonLineHandler:
    """Send the log of this process to a file descriptor, by default standard output."""
    handler = JsonLineHandler(fd, instance)
    LOGGER.handlers[:] = [handler]
    LOGGER.propagate = False
    LOGGER.setLevel(logging.INFO)
    return handler


@define
class _TokenBucket:
    tokens: float
    refilled_at: float
    dropped_lines: int = 0


@define
class EventLog:
    """Counts events and observations, and logs each event at a bounded rate."""

    max_lines_per_s: float
    handler: JsonLineHandler | None = None
    counts: Counter[tuple[str, str]] = field(factory=Counter)
    """Number of events by event name and reason."""
    bucket_counts: dict[tuple[str, str], list[int]] = field(factory=dict)
    """Number of observations per histogram bucket, by metric and service; the last has no bound."""
    sums: Counter[tuple[str, str]] = field(factory=Counter)
    """Sum of the observed values, by metric and service."""
    messages: Counter[tuple[str, str]] = field(factory=Counter)
    """Number of messages between processes, by direction and body."""
    message_bytes: Counter[tuple[str, str]] = field(factory=Counter)
    """Bytes of messages between processes without their headers, by direction and body."""
    _token_buckets: dict[str, _TokenBucket] = field(factory=dict)

    def count_message(self, direction: str, body: str, size_bytes: int) -> None:
        """Count a message between processes."""
        self.messages[direction, body] += 1
        self.message_bytes[direction, body] += size_bytes

    def log_event(self, event: str, fields: dict[str, Any], now: float) -> None:
        """Count an event, and log it unless its rate limit is exceeded."""
        self.counts[event, str(fields.get("reason", ""))] += 1
        bucket = self._token_buckets.get(event)
        if bucket is None:
            bucket = self._token_buckets[event] = _TokenBucket(MAX_BURST_LINES, now)
        refill = (now - bucket.refilled_at) * self.max_lines_per_s
        bucket.tokens = min(MAX_BURST_LINES, bucket.tokens + refill)
        bucket.refilled_at = now
        if bucket.tokens < 1:
            bucket.dropped_lines += 1
            return
        bucket.tokens -= 1
        if bucket.dropped_lines:
            fields = {**fields, "left_out_before": bucket.dropped_lines}
            bucket.dropped_lines = 0
        LOGGER.info(event, extra={"fields": fields})

    def observe(self, metric: str, service: str, value: float) -> None:
        """Record a value in the histogram of a metric, in seconds."""
        counts = self.bucket_counts.get((metric, service))
        if counts is None:
            counts = self.bucket_counts[metric, service] = [0] * (len(HISTOGRAM_BOUNDS_S) + 1)
        index = sum(1 for bound in HISTOGRAM_BOUNDS_S if value > bound)
        counts[index] += 1
        self.sums[metric, service] += value  # type: ignore[assignment]

    def render(self, gauges: dict[str, float]) -> bytes:
        """Return the metrics in the Prometheus text format."""
        # Imported on first use to keep the start of a process short.
        from prometheus_client import CollectorRegistry, generate_latest
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        families: list[Any] = []
        events = CounterMetricFamily(
            "fescueseam_events", "Decisions and changes of belief.", labels=("event", "reason")
        )
        for (event, reason), count in self.counts.items():
            events.add_metric((event, reason), count)
        families.append(events)
        dropped_lines = self.handler.dropped_lines if self.handler is not None else 0
        dropped = CounterMetricFamily("fescueseam_log_lines_left_out", "Lines without a reader.")
        dropped.add_metric((), dropped_lines)
        families.append(dropped)
        for name, text, counter in (
            ("messages", "Messages between processes.", self.messages),
            ("message_bytes", "Bytes of messages between processes.", self.message_bytes),
        ):
            family = CounterMetricFamily(f"fescueseam_{name}", text, labels=("direction", "body"))
            for labels, count in counter.items():
                family.add_metric(labels, count)
            families.append(family)
        for name, value in gauges.items():
            families.append(GaugeMetricFamily(f"fescueseam_{name}", name, value=value))
        metrics = {metric for metric, _ in self.bucket_counts}
        for metric in sorted(metrics):
            histogram = HistogramMetricFamily(
                f"fescueseam_{metric}", f"Distribution of {metric}.", labels=("service",)
            )
            for (name, service), counts in self.bucket_counts.items():
                if name == metric:
                    histogram.add_metric(
                        (service,), _cumulate(counts), sum_value=self.sums[name, service]
                    )
            families.append(histogram)

        class _Collector:
            def collect(self) -> list[Any]:
                return families

        registry = CollectorRegistry()
        registry.register(_Collector())
        return generate_latest(registry)


def _cumulate(counts: list[int]) -> list[tuple[str, float]]:
    total = 0
    buckets = []
    for bound, count in zip((*map(str, HISTOGRAM_BOUNDS_S), "+Inf"), counts, strict=True):
        total += count
        buckets.append((bound, float(total)))
    return buckets

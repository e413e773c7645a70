"""Define the metrics of a daemon."""

import logging
from collections import defaultdict

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from fescueseam.effects import Metric
from fescueseam.exceptions import ErrorKind

SECONDS_BUCKETS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0, 600.0, 3600.0)
COUNT_BUCKETS = (1, 2, 3, 4, 6, 8, 12, 16)
LABELS = ("service", "service_class")
FAILURES_PER_LOG_LINE = 100
"""Number of failures of one place for which one line with a traceback is logged."""

log = logging.getLogger(__name__)


class Metrics:
    """The metrics of one process, in a registry of their own."""

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.registry = CollectorRegistry()
        self.packets = Counter(
            "fescueseam_packets_total",
            "Packets by what was done with them.",
            (*LABELS, "outcome"),
            registry=self.registry,
        )
        self.dropped = Counter(
            "fescueseam_dropped_total",
            "Packets and messages dropped, by error kind.",
            (*LABELS, "kind"),
            registry=self.registry,
        )
        self.refused = Counter(
            "fescueseam_refused_total",
            "Openings refused before any delivery, by error kind.",
            (*LABELS, "kind"),
            registry=self.registry,
        )
        self.messages = Counter(
            "fescueseam_messages_total",
            "Messages between processes, by direction and body.",
            ("direction", "body"),
            registry=self.registry,
        )
        self.message_bytes = Counter(
            "fescueseam_message_bytes_total",
            "Bytes of messages between processes, by direction.",
            ("direction",),
            registry=self.registry,
        )
        self.datagrams_not_sent = Counter(
            "fescueseam_datagrams_not_sent_total",
            "Messages that the kernel did not accept.",
            registry=self.registry,
        )
        self.handler_failures = Counter(
            "fescueseam_handler_failures_total",
            "Unexpected exceptions that were contained, by the place where they occurred.",
            ("place",),
            registry=self.registry,
        )
        self.config_version = Gauge(
            "fescueseam_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.open_flows = Gauge(
            "fescueseam_open_flows", "Flows held by this agent.", registry=self.registry
        )
        self.slot_bound = Gauge(
            "fescueseam_slot_bound",
            "Requests admitted at once.",
            registry=self.registry,
        )
        self._failures: defaultdict[str, int] = defaultdict(int)
        self._histograms = {
            metric: Histogram(
                f"fescueseam_{metric.value}",
                f"Distribution of {metric.value} for each service and class.",
                LABELS,
                buckets=COUNT_BUCKETS if metric is Metric.ATTEMPTS else SECONDS_BUCKETS,
                registry=self.registry,
            )
            for metric in Metric
        }

    def observe(self, metric: Metric, value: float, service: str, class_name: str) -> None:
        """Record a value in the histogram of a service class."""
        self._histograms[metric].labels(service, class_name).observe(value)

    def record_failure(self, place: str, exc: Exception) -> None:
        """Count an unexpected exception; log the first of each place and then every hundredth."""
        self.handler_failures.labels(place).inc()
        self._failures[place] += 1
        count = self._failures[place]
        if count % FAILURES_PER_LOG_LINE == 1:
            fields = {"place": place, "failures": count}
            log.error("a handler failed", extra=fields, exc_info=exc)

    def count_drop(self, kind: ErrorKind, service: str = "", class_name: str = "") -> None:
        """Count a dropped packet or message."""
        self.dropped.labels(service, class_name, kind.value).inc()

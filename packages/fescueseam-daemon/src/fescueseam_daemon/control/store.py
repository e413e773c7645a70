"""The store client of a daemon, with timeouts, a connection limit and metrics."""

import httpx
from prometheus_client import CollectorRegistry, Counter

from fescueseam_daemon.store import StoreClient

CALL_TIMEOUT_S = 3.0
"""Timeout of a call, in seconds."""
WATCH_MARGIN_S = 1.0
"""Time that the reply to a watch may take longer than the watch, in seconds."""
CONCURRENT_CALLS_LIMIT = 4
"""Largest number of calls of one process that are in flight at once."""


def make_calls_counter(registry: CollectorRegistry) -> Counter:
    """Return a counter of the calls to the store."""
    return Counter(
        "fescueseam_store_calls_total",
        "Calls of the object API, by kind and outcome.",
        ("call", "outcome"),
        registry=registry,
    )


class HttpStore(StoreClient):
    """A store client that creates its HTTP client and counts its calls."""

    def __init__(self, url: str, registry: CollectorRegistry) -> None:
        """Create the HTTP client; it connects with the first call."""
        calls = make_calls_counter(registry)
        client = httpx.AsyncClient(
            base_url=url,
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_connections=CONCURRENT_CALLS_LIMIT),
            trust_env=False,
        )
        super().__init__(
            client, WATCH_MARGIN_S, lambda call, outcome: calls.labels(call, outcome).inc()
        )

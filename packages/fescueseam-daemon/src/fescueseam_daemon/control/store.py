"""Open the store for a daemon, with its bounds and its metrics."""

import httpx
from prometheus_client import CollectorRegistry, Counter

from fescueseam_daemon.store import StoreClient

CALL_TIMEOUT_S = 3.0
CONCURRENT_CALLS_LIMIT = 4
"""Bound the calls of one process that are under way at once."""


def make_calls_counter(registry: CollectorRegistry) -> Counter:
    """Return the counter of the store's calls."""
    return Counter(
        "fescueseam_store_calls_total",
        "Calls of the object API, by kind and outcome.",
        ("call", "outcome"),
        registry=registry,
    )


class HttpStore(StoreClient):
    """Own the HTTP client of a daemon and count its calls."""

    def __init__(self, url: str, registry: CollectorRegistry) -> None:
        """Prepare the client; nothing is sent before the first call."""
        calls = make_calls_counter(registry)
        client = httpx.AsyncClient(
            base_url=url,
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_connections=CONCURRENT_CALLS_LIMIT),
            trust_env=False,
        )
        super().__init__(
            client, CALL_TIMEOUT_S, lambda call, outcome: calls.labels(call, outcome).inc()
        )

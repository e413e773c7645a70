"""Call the platform's object API over HTTP."""

from typing import Any
from urllib.parse import quote

import httpx
import trio
from prometheus_client import CollectorRegistry, Counter

from fescueseam.exceptions import ErrorKind, StoreConflictError, StoreError
from fescueseam.upkeep.store import StoreChanges, StoredObject

CALL_TIMEOUT_S = 3.0
CALLS_LIMIT = 4
"""Bound the calls of one process that are under way at once."""
OK = 200
NOT_FOUND = 404
PRECONDITION_FAILED = 412


class HttpStore:
    """Implement the store's interface; every failure is a StoreError."""

    def __init__(self, url: str, registry: CollectorRegistry) -> None:
        """Prepare the client; nothing is sent before the first call."""
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=CALL_TIMEOUT_S,
            limits=httpx.Limits(max_connections=CALLS_LIMIT),
            trust_env=False,
        )
        self._calls = Counter(
            "fescueseam_store_calls_total",
            "Calls of the object API, by kind and outcome.",
            ("call", "outcome"),
            registry=registry,
        )

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        reply = await self._call("read", "GET", f"/objects/{quote(key)}")
        if reply.status_code == NOT_FOUND:
            return None
        return _read_object(_read_body(reply))

    async def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose key starts with a prefix."""
        reply = await self._call("read", "GET", "/objects", params={"prefix": prefix})
        body = _read_body(reply)
        return tuple(_read_object(item) for item in body.get("objects", ()))

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write if the version is the expected one, 0 for no object; return the new version."""
        headers = {"If-Match": f'"{expected_version}"'}
        reply = await self._call(
            "write", "PUT", f"/objects/{quote(key)}", json=value, headers=headers
        )
        if reply.status_code == PRECONDITION_FAILED:
            raise StoreConflictError(key)
        return int(_read_body(reply)["version"])

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        """Wait for changes after a revision, for a bounded time."""
        params: dict[str, str | int | float] = {
            "prefix": prefix,
            "after": after,
            "timeout_s": timeout_s,
        }
        timeout = httpx.Timeout(CALL_TIMEOUT_S, read=timeout_s + CALL_TIMEOUT_S)
        reply = await self._call("watch", "GET", "/watch", params=params, timeout=timeout)
        body = _read_body(reply)
        objects = tuple(_read_object(item) for item in body.get("objects", ()))
        return StoreChanges(int(body["revision"]), objects, tuple(body.get("deleted", ())))

    async def close(self) -> None:
        """Close every connection."""
        with trio.CancelScope(shield=True):
            await self._client.aclose()

    async def _call(self, name: str, method: str, path: str, **arguments: Any) -> httpx.Response:
        try:
            reply = await self._client.request(method, path, **arguments)
        except httpx.HTTPError as exc:
            self._calls.labels(name, "failed").inc()
            raise StoreError(f"{method} {path}: {type(exc).__name__}") from exc
        self._calls.labels(name, str(reply.status_code)).inc()
        if reply.status_code not in (OK, NOT_FOUND, PRECONDITION_FAILED):
            raise StoreError(f"{method} {path}: status {reply.status_code}")
        return reply


def _read_body(reply: httpx.Response) -> dict[str, Any]:
    try:
        body = reply.json()
    except ValueError as exc:
        raise StoreError("the reply is not JSON") from exc
    if reply.status_code != OK or not isinstance(body, dict):
        raise StoreError(f"unexpected reply, status {reply.status_code}")
    return body


def _read_object(item: Any) -> StoredObject:
    try:
        return StoredObject(str(item["key"]), int(item["version"]), item["value"])
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError("the reply holds no object", ErrorKind.STORE_UNAVAILABLE) from exc

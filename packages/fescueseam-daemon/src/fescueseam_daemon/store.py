"""A client for the store's object API over HTTP, used by the daemons and the command."""

import logging
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import httpx
import trio

from fescueseam.exceptions import ErrorKind, StoreConflictError, StoreError
from fescueseam.lenient_json import decode_readable
from fescueseam.upkeep.store import StoreChanges, StoredObject

log = logging.getLogger(__name__)

REPLY_LEVELS = 3
"""Levels of a reply in which unreadable parts are left out: the reply, its list and the objects. A
value is left out whole."""
OUTCOME_FAILED = "failed"
"""Outcome of a call that failed without a response status."""
_SUCCESS_CODES = (httpx.codes.OK, httpx.codes.CREATED)
_CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

RecordOutcome = Callable[[str, str], None]
"""A callback that gets the kind of a call (read, write, watch) and its outcome.

The outcome is the response status or `failed`.
"""


class ReplyLostError(StoreError):
    """A call without a usable reply; if it was a write, it may have taken effect."""


class OversizeValueError(StoreError):
    """A value that exceeds the store's size limit; nothing was written."""

    kind = ErrorKind.INVALID_SETTINGS


def ignore_outcome(call: str, outcome: str) -> None:
    """Do nothing; the default for clients without metrics."""


class StoreClient:
    """An implementation of the store's interface over HTTP; failed calls raise StoreError."""

    def __init__(
        self,
        client: httpx.AsyncClient,
        watch_margin_s: float,
        record_outcome: RecordOutcome = ignore_outcome,
    ) -> None:
        """Initialise the client with an HTTP client whose base URL is that of the store.

        The reply to a watch may take ``watch_margin_s`` longer than the time it was asked to wait.
        """
        self._client = client
        self._watch_margin_s = watch_margin_s
        self._record_outcome = record_outcome

    async def get(self, key: str) -> StoredObject | None:
        """Return the object with the key, or None."""
        reply = await self._call("read", "GET", f"/objects/{quote(key)}")
        if reply.status_code == httpx.codes.NOT_FOUND:
            return None
        return _read_object(_read_body(reply))

    async def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys start with the prefix."""
        reply = await self._call("read", "GET", "/objects", params={"prefix": prefix})
        return _read_objects(_read_body(reply))

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if it has the expected version; return its new version.

        The expected version is 0 for an object that does not exist yet.
        """
        headers = {"If-Match": f'"{expected_version}"'}
        reply = await self._call(
            "write", "PUT", f"/objects/{quote(key)}", json=value, headers=headers
        )
        if reply.status_code == httpx.codes.PRECONDITION_FAILED:
            current = _parse_body(reply).get("version")
            raise StoreConflictError(f"{key} is at version {current}, not at {expected_version}")
        if reply.status_code == httpx.codes.REQUEST_ENTITY_TOO_LARGE:
            raise OversizeValueError(f"{key} exceeds the store's limit on a value")
        return _read_int(_read_body(reply), "version")

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        """Wait for changes after a revision, until the timeout at most."""
        params: dict[str, str | int | float] = {
            "prefix": prefix,
            "after": after,
            "timeout_s": timeout_s,
        }
        default_timeout = self._client.timeout
        timeout = httpx.Timeout(
            connect=default_timeout.connect,
            read=timeout_s + self._watch_margin_s,
            write=default_timeout.write,
            pool=default_timeout.pool,
        )
        reply = await self._call("watch", "GET", "/watch", params=params, timeout=timeout)
        body = _read_body(reply)
        deleted = tuple(body.get("deleted", ()))
        era = _read_int(body, "era") if "era" in body else 0
        return StoreChanges(_read_int(body, "revision"), _read_objects(body), deleted, era)

    async def close(self) -> None:
        """Close all connections."""
        with trio.CancelScope(shield=True):
            await self._client.aclose()

    async def _call(self, call: str, method: str, path: str, **arguments: Any) -> httpx.Response:
        try:
            reply = await self._client.request(method, path, **arguments)
        except httpx.HTTPError as exc:
            self._record_outcome(call, OUTCOME_FAILED)
            reason = str(exc) or type(exc).__name__
            if isinstance(exc, _CONNECT_ERRORS):
                url = self._client.base_url
                raise StoreError(f"the store at {url} cannot be reached: {reason}") from exc
            raise ReplyLostError(f"the store did not answer {method} {path}: {reason}") from exc
        self._record_outcome(call, str(reply.status_code))
        if reply.is_server_error:
            raise ReplyLostError(
                f"the store answered {method} {path} with status {reply.status_code}"
            )
        return reply


def _read_body(reply: httpx.Response) -> dict[str, Any]:
    if reply.status_code not in _SUCCESS_CODES:
        raise StoreError(f"the store rejected the call with status {reply.status_code}")
    return _parse_body(reply)


def _parse_body(reply: httpx.Response) -> dict[str, Any]:
    try:
        body, _ = decode_readable(reply.content, REPLY_LEVELS)
    except ValueError as exc:
        raise ReplyLostError("the store's answer is not JSON") from exc
    if not isinstance(body, dict):
        raise ReplyLostError("the store's answer is not a JSON object")
    return body


def _read_int(body: dict[str, Any], key: str) -> int:
    try:
        return int(body[key])
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise ReplyLostError(f"the store's answer has no valid {key}") from exc


def _read_objects(body: dict[str, Any]) -> tuple[StoredObject, ...]:
    objects: list[StoredObject] = []
    for item in body.get("objects", ()):
        try:
            objects.append(_read_object(item))
        except StoreError as exc:
            # It was left by another writer; the others are still valid.
            log.warning("object of the store skipped", extra={"cause": str(exc)})
    return tuple(objects)


def _read_object(item: Any) -> StoredObject:
    try:
        return StoredObject(str(item["key"]), int(item["version"]), item["value"])
    except (KeyError, TypeError, ValueError, OverflowError) as exc:
        raise StoreError(f"malformed object in the store's answer: {item!r:.80}") from exc

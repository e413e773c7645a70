"""Call the platform's object API over HTTP."""

from typing import Any

import httpx

from fescueseam.exceptions import SettingsError, StoreConflictError, StoreError
from fescueseam.upkeep.store import StoreChanges, StoredObject

WATCH_MARGIN_S = 5.0
"""Wait this much longer for the answer to a watch than the watch itself lasts."""


class ReplyLostError(StoreError):
    """Report a call without a usable reply; a write may have taken effect."""


class HttpStore:
    """Read, watch and conditionally write objects through one HTTP client."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Keep the client, whose base URL is that of the store."""
        self._client = client

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        response = await self._call("GET", f"/objects/{key}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return _read_object(_read_body(response))

    async def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose key starts with a prefix."""
        response = await self._call("GET", "/objects", params={"prefix": prefix})
        body = _read_body(response)
        return tuple(_read_object(item) for item in body.get("objects", []))

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write if the version is the expected one, 0 for no object; return the new version."""
        headers = {"If-Match": f'"{expected_version}"'}
        response = await self._call("PUT", f"/objects/{key}", json=value, headers=headers)
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            current = _read_body(response).get("version")
            raise StoreConflictError(f"{key} is at version {current}, not at {expected_version}")
        if response.status_code == httpx.codes.REQUEST_ENTITY_TOO_LARGE:
            raise SettingsError(f"{key} exceeds the store's limit on a value; nothing was written")
        return int(_read_body(response)["version"])

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        """Wait for changes after a revision, for a bounded time."""
        params: dict[str, str | int | float] = {
            "prefix": prefix,
            "after": after,
            "timeout_s": timeout_s,
        }
        response = await self._call(
            "GET", "/watch", params=params, timeout=timeout_s + WATCH_MARGIN_S
        )
        body = _read_body(response)
        objects = tuple(_read_object(item) for item in body.get("objects", []))
        return StoreChanges(int(body["revision"]), objects, tuple(body.get("deleted", ())))

    async def _call(self, method: str, path: str, **arguments: Any) -> httpx.Response:
        try:
            response = await self._client.request(method, path, **arguments)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            url = self._client.base_url
            raise StoreError(f"the store at {url} cannot be reached: {exc}") from exc
        except httpx.TransportError as exc:
            reason = str(exc) or type(exc).__name__
            raise ReplyLostError(f"the store did not answer {method} {path}: {reason}") from exc
        if response.is_server_error:
            raise ReplyLostError(f"the store answered {method} {path} with {response.status_code}")
        return response


def _read_body(response: httpx.Response) -> dict[str, Any]:
    expected = (httpx.codes.OK, httpx.codes.CREATED, httpx.codes.PRECONDITION_FAILED)
    if response.status_code not in expected:
        raise StoreError(f"the store refused the call with {response.status_code}")
    try:
        body = response.json()
    except ValueError as exc:
        raise ReplyLostError("the store's answer is not JSON") from exc
    if not isinstance(body, dict):
        raise ReplyLostError("the store's answer is not a JSON object")
    return body


def _read_object(item: dict[str, Any]) -> StoredObject:
    try:
        return StoredObject(str(item["key"]), int(item["version"]), item.get("value"))
    except (KeyError, TypeError, ValueError) as exc:
        raise StoreError(f"the store's answer is no object: {item!r:.80}") from exc

import json

import httpx
import pytest
import trio
from prometheus_client import CollectorRegistry

from fescueseam.exceptions import StoreConflictError, StoreError
from fescueseam.upkeep.store import StoredObject
from fescueseam_daemon.control.store import HttpStore


def run_call(answer, call):
    """Run one call against a mock transport that answers each request with the function."""

    async def main():
        registry = CollectorRegistry()
        store = HttpStore("http://store", registry)
        store._client = httpx.AsyncClient(
            base_url="http://store", transport=httpx.MockTransport(answer)
        )
        try:
            return await call(store)
        finally:
            await store.close()

    return trio.run(main)


def test_get_returns_object_or_none_if_missing():
    stored = {"key": "tables/katalog", "version": 3, "value": {"epoch": 1}}

    def answer(request):
        exists = request.url.path == "/objects/tables/katalog"
        return httpx.Response(200 if exists else 404, json=stored)

    assert run_call(answer, lambda store: store.get("tables/katalog")) == StoredObject(**stored)
    assert run_call(answer, lambda store: store.get("tables/other")) is None


def test_put_sends_expected_version_and_raises_on_conflict():
    seen = []

    def answer(request):
        seen.append((request.headers["If-Match"], json.loads(request.content)))
        matches = request.headers["If-Match"] == '"3"'
        return httpx.Response(200 if matches else 412, json={"version": 4})

    assert run_call(answer, lambda store: store.put("config", {"a": 1}, 3)) == 4
    assert seen == [('"3"', {"a": 1})]
    with pytest.raises(StoreConflictError):
        run_call(answer, lambda store: store.put("config", {"a": 1}, 2))


@pytest.mark.parametrize(
    "reply",
    [
        httpx.Response(503),
        httpx.Response(200, content=b"no JSON"),
        httpx.Response(200, json=[1]),
        httpx.Response(200, json={"key": "x"}),
    ],
    ids=["unavailable", "no JSON", "a list", "incomplete"],
)
def test_invalid_reply_raises_store_error(reply):
    with pytest.raises(StoreError):
        run_call(lambda request: reply, lambda store: store.get("config"))


def test_lost_connection_raises_store_error():
    def answer(request):
        raise httpx.ReadError("gone", request=request)

    with pytest.raises(StoreError):
        run_call(answer, lambda store: store.list_objects("members/"))


def test_watch_returns_changes_and_deletions():
    body = {
        "revision": 9,
        "objects": [{"key": "a", "version": 9, "value": 1}],
        "deleted": ["b"],
    }
    changes = run_call(
        lambda request: httpx.Response(200, json=body), lambda store: store.watch("", 4, 1.0)
    )
    assert (changes.revision, changes.deleted) == (9, ("b",))
    assert changes.objects == (StoredObject("a", 9, 1),)

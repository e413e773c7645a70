from collections.abc import Callable

import httpx
import pytest
import trio
from prometheus_client import CollectorRegistry

from fescueseam.exceptions import ErrorKind, StoreConflictError, StoreError
from fescueseam_daemon.control.store import HttpStore
from fescueseam_daemon.store import OversizeValueError, ReplyLostError, StoreClient

URL = "http://store.test"


def make_client(handle: Callable[[httpx.Request], httpx.Response]) -> StoreClient:
    transport = httpx.MockTransport(handle)
    return StoreClient(httpx.AsyncClient(base_url=URL, transport=transport, timeout=1.0), 2.0)


def put(handle: Callable[[httpx.Request], httpx.Response]) -> int:
    return trio.run(make_client(handle).put, "tables/katalog", {}, 3)


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (412, {"version": 4}, StoreConflictError),
        (413, {"limit": 1}, OversizeValueError),
        (500, {}, ReplyLostError),
        (200, {}, ReplyLostError),
        (200, [], ReplyLostError),
        (404, {}, StoreError),
    ],
)
def test_failed_write_raises_error_for_its_status(status, body, error) -> None:
    with pytest.raises(error) as caught:
        put(lambda request: httpx.Response(status, json=body))
    assert type(caught.value) is error


@pytest.mark.parametrize(
    ("failure", "error"),
    [
        (httpx.ConnectError("refused"), StoreError),
        (httpx.ConnectTimeout("late"), StoreError),
        (httpx.ReadTimeout("late"), ReplyLostError),
        (httpx.RemoteProtocolError("cut"), ReplyLostError),
    ],
)
def test_reply_lost_error_is_raised_only_after_the_request_was_sent(failure, error) -> None:
    def handle(request: httpx.Request) -> httpx.Response:
        raise failure

    with pytest.raises(StoreError) as caught:
        put(handle)
    assert type(caught.value) is error
    assert caught.value.kind is ErrorKind.STORE_UNAVAILABLE


def test_put_sends_expected_version_and_returns_new_version() -> None:
    def handle(request: httpx.Request) -> httpx.Response:
        assert request.headers["If-Match"] == '"3"'
        assert request.url.path == "/objects/tables/katalog"
        return httpx.Response(201, json={"version": 4})

    assert put(handle) == 4


def test_watch_read_timeout_includes_the_margin() -> None:
    def handle(request: httpx.Request) -> httpx.Response:
        limits = request.extensions["timeout"]
        assert (limits["connect"], limits["read"]) == (1.0, 32.0)
        return httpx.Response(200, json={"revision": 9, "deleted": ["config"]})

    changes = trio.run(make_client(handle).watch, "", 8, 30.0)
    assert (changes.revision, changes.objects, changes.deleted) == (9, (), ("config",))


def test_daemon_counts_calls_by_outcome() -> None:
    registry = CollectorRegistry()

    async def call() -> None:
        # No process listens on this address and port.
        store = HttpStore("http://127.0.0.2:9", registry)
        with pytest.raises(StoreError):
            await store.get("config")
        await store.close()

    trio.run(call)
    labels = {"call": "read", "outcome": "failed"}
    assert registry.get_sample_value("fescueseam_store_calls_total", labels) == 1


@pytest.mark.parametrize("value", [b"[" * 100_000 + b"]" * 100_000, b"9" * 5000, b'"\xff"'])
@pytest.mark.parametrize("version", [b"3", b"1e999", b"null"])
def test_unreadable_object_does_not_hide_the_others(value: bytes, version: bytes) -> None:
    # Guards against: one object of another writer makes each read of the list fail.
    body = b"""{"revision": 9, "objects": [
        {"key": "tables/a", "version": %b, "value": %b}, 7, %b,
        {"key": "tables/b", "version": 4, "value": {"epoch": 1}}]}"""
    content = body % (version, value, value)
    client = make_client(lambda request: httpx.Response(200, content=content))
    objects = trio.run(client.list_objects, "tables/")
    assert [item.key for item in objects] == ["tables/b"]
    changes = trio.run(client.watch, "tables/", 3, 0.0)
    assert (changes.revision, changes.objects) == (9, objects)

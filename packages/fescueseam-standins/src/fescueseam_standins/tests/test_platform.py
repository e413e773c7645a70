import httpx
import pytest
import trio

from fescueseam_standins.platform import PlatformServer, build_app
from fescueseam_standins.platform_state import (
    LostReplyError,
    OutageError,
    PlatformState,
    VersionConflictError,
)
from fescueseam_standins.running import serve_http

ADDRESS = "127.0.0.11"


def run_with_client(scenario) -> None:
    async def run() -> None:
        async with trio.open_nursery() as nursery:
            app = build_app(PlatformServer(PlatformState()))
            url = await nursery.start(serve_http, app, ADDRESS, 0)
            url = url.replace("http://", "http://", 1)
            async with httpx.AsyncClient(base_url=url, timeout=5, trust_env=False) as client:
                with trio.fail_after(20):
                    await scenario(client)
            nursery.cancel_scope.cancel()

    trio.run(run)


def make_if_match(version: int) -> dict[str, str]:
    return {"If-Match": f'"{version}"'}


def test_conditional_updates_over_http() -> None:
    async def scenario(client: httpx.AsyncClient) -> None:
        assert (await client.get("/objects/a/b")).status_code == 404
        first = await client.put("/objects/a/b", json={"n": 1}, headers=make_if_match(0))
        assert first.json()["version"] == 1
        conflict = await client.put("/objects/a/b", json={"n": 2}, headers=make_if_match(0))
        assert (conflict.status_code, conflict.json()["version"]) == (412, 1)
        assert (await client.put("/objects/a/b", json=1)).status_code == 428
        large = await client.put("/objects/c", json="x" * 1_000_000, headers=make_if_match(0))
        assert large.status_code == 413
        assert (await client.get("/objects/a/b")).json() == {
            "key": "a/b",
            "version": 1,
            "value": {"n": 1},
        }
        listed = (await client.get("/objects", params={"prefix": "a/"})).json()
        assert [item["key"] for item in listed["objects"]] == ["a/b"]
        assert (await client.delete("/objects/a/b", headers=make_if_match(1))).status_code == 200
        assert (await client.get("/objects/a/b")).status_code == 404

    run_with_client(scenario)


def test_watch_waits_and_counts_as_one_call() -> None:
    async def scenario(client: httpx.AsyncClient) -> None:
        answers: list[dict] = []

        async def watch() -> None:
            params = {"prefix": "a/", "after": 0, "timeout_s": 10}
            answers.append((await client.get("/watch", params=params)).json())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch)
            await trio.sleep(0.1)
            assert not answers
            await client.put("/objects/b/x", json=1, headers=make_if_match(0))
            await trio.sleep(0.1)
            assert not answers
            await client.put("/objects/a/x", json=2, headers=make_if_match(0))
        assert answers[0]["revision"] == 2
        assert [item["key"] for item in answers[0]["objects"]] == ["a/x"]
        await client.delete("/objects/a/x", headers=make_if_match(2))
        later = await client.get("/watch", params={"prefix": "a/", "after": 2})
        assert later.json()["deleted"] == ["a/x"]
        nothing = await client.get("/watch", params={"after": 3, "timeout_s": 0.05})
        assert nothing.json() == {"revision": 3, "objects": [], "deleted": []}
        assert (await client.get("/calls")).json() == {"reads": 0, "writes": 3, "watches": 3}

    run_with_client(scenario)


def test_fault_switches_over_http() -> None:
    async def scenario(client: httpx.AsyncClient) -> None:
        await client.post("/faults", json={"lose_replies": 1})
        with pytest.raises(httpx.TransportError):
            await client.put("/objects/a", json=1, headers=make_if_match(0))
        assert (await client.get("/objects/a")).json()["value"] == 1
        await client.post("/faults", json={"outage": True})
        assert (await client.get("/objects/a")).status_code == 503
        await client.post("/faults", json={"outage": False, "drop_connections": True})
        with pytest.raises(httpx.TransportError):
            await client.get("/objects/a")
        await client.post("/faults", json={"drop_connections": False, "delay_s": 0.2})
        started = trio.current_time()
        assert (await client.get("/objects/a")).status_code == 200
        assert trio.current_time() - started >= 0.2
        assert (await client.post("/faults", json={"typo": 1})).status_code == 400

    run_with_client(scenario)


def test_outage_ends_a_pending_watch() -> None:
    async def scenario(client: httpx.AsyncClient) -> None:
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                assert (await client.get("/watch?timeout_s=10")).status_code == 503

            nursery.start_soon(watch)
            await trio.sleep(0.1)
            await client.post("/faults", json={"outage": True})

    run_with_client(scenario)


def test_state_checks_versions_and_injects_faults() -> None:
    state = PlatformState()
    assert state.write("a", 0, 1) == 1
    with pytest.raises(VersionConflictError) as caught:
        state.write("a", 0, 2)
    assert caught.value.version == 1
    state.faults.lose_replies = 1
    with pytest.raises(LostReplyError):
        state.write("a", 1, 2)
    assert state.read("a").version == 2
    state.faults.stale_reads = True
    assert state.read("a").value == 1
    state.faults.stale_reads = False
    state.faults.outage = True
    for call in (lambda: state.read("a"), lambda: state.write("a", 2, 3), state.begin_watch):
        with pytest.raises(OutageError):
            call()
    state.faults.outage = False
    state.delete("a", 2)
    assert state.write("a", 0, 4) == 4
    assert state.find_changes("", 3).objects[0].value == 4


def test_objects_come_back_from_an_older_copy() -> None:
    async def scenario(client: httpx.AsyncClient) -> None:
        await client.put("/objects/a", json=1, headers=make_if_match(0))
        await client.post("/copy")
        await client.put("/objects/a", json=2, headers=make_if_match(1))
        await client.put("/objects/b", json=3, headers=make_if_match(0))
        before = (await client.get("/watch", params={"after": 0})).json()
        assert (before["revision"], "era" in before) == (3, False)
        back = (await client.post("/come-back")).json()
        assert back == {"revision": 1, "era": 1}
        changes = (await client.get("/watch", params={"after": 0})).json()
        assert (changes["revision"], changes["era"]) == (1, 1)
        assert changes["objects"] == [{"key": "a", "version": 1, "value": 1}]
        again = await client.put("/objects/c", json=4, headers=make_if_match(0))
        assert again.json()["version"] == 2

    run_with_client(scenario)

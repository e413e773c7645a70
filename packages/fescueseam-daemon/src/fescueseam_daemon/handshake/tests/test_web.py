"""The HTTP client when the server closes idle connections, or answers nothing or twice."""

import contextlib
import os
from collections.abc import Awaitable, Callable

import pytest
import trio

from fescueseam_daemon.handshake.web import MAX_IDLE_TIME_S, HttpClient, LostResponseError

ADDRESS = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 256}.2"
PORT = 8181


def build_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


RESPONSE = build_response(b"{}")


async def run_with_server(
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    use: Callable[[HttpClient], Awaitable[None]],
) -> None:
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(PORT, host=ADDRESS)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        await use(HttpClient(ADDRESS, PORT))
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(("method", "is_repeated"), [("GET", True), ("PUT", False)])
def test_read_is_repeated_when_the_server_closed_the_idle_connection(
    method: str, is_repeated: bool
) -> None:
    received = []

    async def serve(stream: trio.SocketStream) -> None:
        received.append(await stream.receive_some(4096))
        await stream.send_all(RESPONSE)
        await stream.aclose()

    async def use(client: HttpClient) -> None:
        assert (await client.request("GET", "/a", None, 2.0)).status == 200
        await trio.sleep(0.05)
        if is_repeated:
            assert (await client.request(method, "/b", None, 2.0)).status == 200
        else:
            with pytest.raises(LostResponseError):
                await client.request(method, "/b", b"{}", 2.0)

    trio.run(run_with_server, serve, use)
    assert len(received) == (2 if is_repeated else 1)


def test_read_is_not_repeated_once_the_response_has_begun() -> None:
    received = []

    async def serve(stream: trio.SocketStream) -> None:
        received.append(await stream.receive_some(4096))
        await stream.send_all(RESPONSE)
        received.append(await stream.receive_some(4096))
        await stream.send_all(RESPONSE[:-1])
        await stream.aclose()

    async def use(client: HttpClient) -> None:
        await client.request("GET", "/a", None, 2.0)
        with pytest.raises(LostResponseError):
            await client.request("GET", "/b", None, 2.0)

    trio.run(run_with_server, serve, use)
    assert len(received) == 2


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_second_copy_of_an_answer_is_not_taken_for_the_next_one(delay_s: float) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        """Answer each request with its path, twice."""
        with contextlib.suppress(trio.BrokenResourceError):
            async for request in stream:
                copy = build_response(request.split()[1])
                await stream.send_all(copy if delay_s else 2 * copy)
                if delay_s:
                    await trio.sleep(delay_s)
                    await stream.send_all(copy)

    async def use(client: HttpClient) -> None:
        for path in ("/a", "/b", "/c"):
            assert (await client.request("GET", path, None, 2.0)).body == path.encode()
            await trio.sleep(2 * delay_s)

    trio.run(run_with_server, serve, use)


@pytest.mark.parametrize("pause_s", [0.0, MAX_IDLE_TIME_S + 0.1])
def test_read_after_the_connections_went_silent_costs_one_timeout_at_most(pause_s: float) -> None:
    # Guards against: each idle connection is tried, and each of them takes a whole timeout.
    silent: set[trio.SocketStream] = set()
    opened: set[trio.SocketStream] = set()

    async def serve(stream: trio.SocketStream) -> None:
        opened.add(stream)
        with contextlib.suppress(trio.BrokenResourceError):
            async for _ in stream:
                if stream not in silent:
                    await trio.sleep(0.05)
                    await stream.send_all(RESPONSE)

    async def use(client: HttpClient) -> None:
        async with trio.open_nursery() as nursery:
            for path in ("/a", "/b"):
                nursery.start_soon(client.request, "GET", path, None, 2.0)
        assert len(opened) == 2
        silent.update(opened)
        await trio.sleep(pause_s)
        if not pause_s:
            with pytest.raises(LostResponseError):
                await client.request("GET", "/c", None, 0.2)
        with trio.fail_after(0.2):
            assert (await client.request("GET", "/d", None, 2.0)).status == 200

    trio.run(run_with_server, serve, use)

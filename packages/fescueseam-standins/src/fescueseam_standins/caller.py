"""Stand in for a caller: send requests through the fabric and tell what became of each."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from enum import StrEnum

import trio
import typer
from attrs import frozen

from .backend import BACKEND_HEADER, SERVICE_HEADER
from .caller_socket import CallerSettings, CallerSocket, FlowHooks
from .datagrams import parse_endpoint
from .http3_client import (
    CallerError,
    FlowBrokenError,
    FlowRefusedError,
    Http3Client,
    ResponseHead,
    ResponseReader,
    Target,
    open_client,
)
from .running import run_until_stopped

DEFAULT_TIMEOUT_S = 5.0
STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class Outcome(StrEnum):
    """Tell what became of a request."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Know that the request was not run."""
    BROKEN = "broken"
    """Know nothing about the request."""


@frozen
class Result:
    """Hold what became of one request."""

    outcome: Outcome
    elapsed_s: float
    service: str = ""
    backend: str = ""
    body: str = ""
    detail: str = ""

    def __str__(self) -> str:
        who = f" by {self.service} {self.backend}" if self.backend else ""
        why = f": {self.detail}" if self.detail else ""
        return f"{self.outcome.value}{who} in {self.elapsed_s:.3f} s{why}"


@frozen
class OpenStream:
    """Hold a stream that is under way."""

    service: str
    backend: str
    reader: ResponseReader


async def request(
    sock: CallerSocket,
    target: Target,
    path: str,
    method: str = "GET",
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> Result:
    """Send one HTTP/3 request on a connection of its own."""
    started = trio.current_time()
    result: Result | None = None
    try:
        with trio.move_on_after(timeout_s):
            async with open_client(sock, target) as client:
                result = await _read_answer(client, path, method, started)
    except FlowRefusedError as exc:
        return _fail(Outcome.REFUSED, started, str(exc))
    except FlowBrokenError as exc:
        return _fail(Outcome.BROKEN, started, str(exc))
    return result or _fail(Outcome.BROKEN, started, "timeout")


@asynccontextmanager
async def open_stream(
    sock: CallerSocket, target: Target, path: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> AsyncIterator[OpenStream]:
    """Open one long answer; the timeout bounds the wait for its head only."""
    async with open_client(sock, target) as client:
        reader = client.send_request(path)
        head: ResponseHead | None = None
        with trio.move_on_after(timeout_s):
            head = await reader.read_head()
        if head is None:
            raise FlowBrokenError("timeout")
        if head.status == STATUS_UNAVAILABLE:
            raise FlowRefusedError("shed by the backend server")
        if head.status != STATUS_OK:
            raise FlowBrokenError(f"status {head.status}")
        yield OpenStream(_read_service(head), _read_backend(head), reader)


async def request_by_udp(
    sock: CallerSocket,
    target: Target,
    run_id: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    retry_s: float = math.inf,
) -> Result:
    """Send one plain UDP request on a flow of its own; repeat it where a retry does no harm."""
    started = trio.current_time()
    answers: list[bytes] = []
    refused: list[bool] = []
    arrived = trio.Event()

    def receive(payload: bytes) -> None:
        answers.append(payload)
        arrived.set()

    def note_prohibition() -> None:
        refused.append(True)
        arrived.set()

    flow = sock.open_flow(target.endpoint, FlowHooks(receive, note_prohibition))
    try:
        with trio.move_on_after(timeout_s):
            while not arrived.is_set():
                flow.send(run_id.encode("latin-1"))
                with trio.move_on_after(retry_s):
                    await arrived.wait()
    finally:
        flow.close()
    if answers:
        return _read_datagram(answers[0], run_id, started)
    if refused:
        return _fail(Outcome.REFUSED, started, "prohibited by the network")
    return _fail(Outcome.BROKEN, started, "timeout")


async def _read_answer(client: Http3Client, path: str, method: str, started: float) -> Result:
    reader = client.send_request(path, method)
    head = await reader.read_head()
    body = b"".join([chunk async for chunk in reader.read_chunks()])
    if head.status == STATUS_UNAVAILABLE:
        raise FlowRefusedError("shed by the backend server")
    if head.status != STATUS_OK:
        raise FlowBrokenError(f"status {head.status}")
    return Result(
        Outcome.ANSWERED,
        trio.current_time() - started,
        _read_service(head),
        _read_backend(head),
        body.decode(errors="replace"),
    )


def _read_datagram(payload: bytes, run_id: str, started: float) -> Result:
    words = payload.decode("latin-1").split(" ")
    if len(words) != 4 or words[2] != run_id:
        return _fail(Outcome.BROKEN, started, "the answer belongs to another request")
    elapsed_s = trio.current_time() - started
    return Result(Outcome.ANSWERED, elapsed_s, words[0], words[1], " ".join(words))


def _read_service(head: ResponseHead) -> str:
    return head.headers.get(SERVICE_HEADER, "")


def _read_backend(head: ResponseHead) -> str:
    return head.headers.get(BACKEND_HEADER, "")


def _fail(outcome: Outcome, started: float, detail: str) -> Result:
    return Result(outcome, trio.current_time() - started, detail=detail)


async def _print_stream(sock: CallerSocket, target: Target, path: str) -> bool:
    try:
        async with open_stream(sock, target, path) as stream:
            typer.echo(f"opened by {stream.service} {stream.backend}")
            async for chunk in stream.reader.read_chunks():
                typer.echo(chunk.decode(errors="replace").rstrip())
    except CallerError as exc:
        typer.echo(f"{type(exc).__name__}: {exc}")
        return False
    typer.echo("ended")
    return True


def main(
    to: str,
    path: str = "/echo",
    method: str = "GET",
    service: str = "service",
    fabric: str = "127.0.0.2:6081",
    bind_address: str = "127.0.0.3",
    inner_address: str = "10.9.0.1",
    count: int = 1,
    concurrency: int = 1,
    stream: bool = False,
    udp: bool = False,
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> None:
    """Send requests to "address:port" of a service; print one line for each."""
    cfg = CallerSettings(parse_endpoint(fabric), bind_address, inner_address)
    target = Target(parse_endpoint(to), service)
    failures: list[Result] = []

    async def send_one(sock: CallerSocket, number: int) -> None:
        if udp:
            result = await request_by_udp(sock, target, f"run-{number}", timeout_s)
        else:
            result = await request(sock, target, path, method, timeout_s)
        typer.echo(str(result))
        if result.outcome is not Outcome.ANSWERED:
            failures.append(result)

    async def send_all(sock: CallerSocket) -> None:
        limit = trio.CapacityLimiter(concurrency)

        async def send_limited(number: int) -> None:
            async with limit:
                await send_one(sock, number)

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(send_limited, number)

    async def work() -> None:
        sock = CallerSocket(cfg)
        async with trio.open_nursery() as nursery:
            await sock.start(nursery)
            if not stream:
                await send_all(sock)
            elif not await _print_stream(sock, target, path):
                failures.append(Result(Outcome.BROKEN, 0.0))
            nursery.cancel_scope.cancel()
        sock.close()

    run_until_stopped(work)
    raise typer.Exit(1 if failures else 0)


if __name__ == "__main__":
    typer.run(main)

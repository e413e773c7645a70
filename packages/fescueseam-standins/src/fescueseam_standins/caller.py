"""Send requests through the fabric as a caller and report the outcome of each."""

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
    """Outcome of a request."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """The request was not run."""
    BROKEN = "broken"
    """Whether the request was run is unknown."""


@frozen
class RequestResult:
    """Outcome of one request and the content of its answer."""

    outcome: Outcome
    elapsed_s: float
    service: str = ""
    backend: str = ""
    body: str = ""
    detail: str = ""

    def __str__(self) -> str:
        responder = f" by {self.service} {self.backend}" if self.backend else ""
        reason = f": {self.detail}" if self.detail else ""
        return f"{self.outcome.value}{responder} in {self.elapsed_s:.3f} s{reason}"


@frozen
class OpenStream:
    """Open stream and the backend server that sends it."""

    service: str
    backend: str
    reader: ResponseReader


async def send_request(
    sock: CallerSocket,
    target: Target,
    path: str,
    method: str = "GET",
    timeout_s: float = DEFAULT_TIMEOUT_S,
) -> RequestResult:
    """Send one HTTP/3 request on a new connection."""
    started = trio.current_time()
    result: RequestResult | None = None
    try:
        with trio.move_on_after(timeout_s):
            async with open_client(sock, target) as client:
                result = await _read_response(client, path, method, started)
    except FlowRefusedError as exc:
        return _make_failure(Outcome.REFUSED, started, str(exc))
    except FlowBrokenError as exc:
        return _make_failure(Outcome.BROKEN, started, str(exc))
    return result or _make_failure(Outcome.BROKEN, started, "timeout")


@asynccontextmanager
async def open_stream(
    sock: CallerSocket, target: Target, path: str, timeout_s: float = DEFAULT_TIMEOUT_S
) -> AsyncIterator[OpenStream]:
    """Open a stream; the timeout covers only the wait for the response head."""
    async with open_client(sock, target) as client:
        reader = client.send_request(path)
        head: ResponseHead | None = None
        with trio.move_on_after(timeout_s):
            head = await reader.read_head()
        if head is None:
            raise FlowBrokenError("timeout")
        if head.status == STATUS_UNAVAILABLE:
            raise FlowRefusedError("the backend server shed the request")
        if head.status != STATUS_OK:
            raise FlowBrokenError(f"unexpected status {head.status}")
        yield OpenStream(_get_service(head), _get_backend(head), reader)


async def send_udp_request(
    sock: CallerSocket,
    target: Target,
    run_id: str,
    timeout_s: float = DEFAULT_TIMEOUT_S,
    retry_interval_s: float = math.inf,
) -> RequestResult:
    """Send one plain UDP request on a new flow; resend it at the retry interval if one is given.

    Resending is only safe for requests that are repeatable.
    """
    started = trio.current_time()
    replies: list[bytes] = []
    refusals: list[bool] = []
    finished = trio.Event()

    def record_reply(payload: bytes) -> None:
        replies.append(payload)
        finished.set()

    def record_refusal() -> None:
        refusals.append(True)
        finished.set()

    flow = sock.open_flow(target.endpoint, FlowHooks(record_reply, record_refusal))
    try:
        with trio.move_on_after(timeout_s):
            while not finished.is_set():
                flow.send(run_id.encode("latin-1"))
                with trio.move_on_after(retry_interval_s):
                    await finished.wait()
    finally:
        flow.close()
    if replies:
        return _parse_udp_reply(replies[0], run_id, started)
    if refusals:
        return _make_failure(Outcome.REFUSED, started, "the network refused the flow")
    return _make_failure(Outcome.BROKEN, started, "timeout")


async def _read_response(
    client: Http3Client, path: str, method: str, started: float
) -> RequestResult:
    reader = client.send_request(path, method)
    head = await reader.read_head()
    body = b"".join([chunk async for chunk in reader.read_chunks()])
    if head.status == STATUS_UNAVAILABLE:
        raise FlowRefusedError("the backend server shed the request")
    if head.status != STATUS_OK:
        raise FlowBrokenError(f"unexpected status {head.status}")
    return RequestResult(
        Outcome.ANSWERED,
        trio.current_time() - started,
        _get_service(head),
        _get_backend(head),
        body.decode(errors="replace"),
    )


def _parse_udp_reply(payload: bytes, run_id: str, started: float) -> RequestResult:
    fields = payload.decode("latin-1").split(" ")
    if len(fields) != 4 or fields[2] != run_id:
        return _make_failure(
            Outcome.BROKEN, started, "the reply is malformed or belongs to another request"
        )
    elapsed_s = trio.current_time() - started
    return RequestResult(Outcome.ANSWERED, elapsed_s, fields[0], fields[1], " ".join(fields))


def _get_service(head: ResponseHead) -> str:
    return head.headers.get(SERVICE_HEADER, "")


def _get_backend(head: ResponseHead) -> str:
    return head.headers.get(BACKEND_HEADER, "")


def _make_failure(outcome: Outcome, started: float, detail: str) -> RequestResult:
    return RequestResult(outcome, trio.current_time() - started, detail=detail)


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
    """Send requests to a service at "address:port" and print one line for each."""
    cfg = CallerSettings(parse_endpoint(fabric), bind_address, inner_address)
    target = Target(parse_endpoint(to), service)
    failures: list[RequestResult] = []

    async def send_one(sock: CallerSocket, number: int) -> None:
        if udp:
            result = await send_udp_request(sock, target, f"run-{number}", timeout_s)
        else:
            result = await send_request(sock, target, path, method, timeout_s)
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

    async def run_caller() -> None:
        sock = CallerSocket(cfg)
        async with trio.open_nursery() as nursery:
            await sock.start(nursery)
            if not stream:
                await send_all(sock)
            elif not await _print_stream(sock, target, path):
                failures.append(RequestResult(Outcome.BROKEN, 0.0))
            nursery.cancel_scope.cancel()
        sock.close()

    run_until_stopped(run_caller)
    raise typer.Exit(1 if failures else 0)


if __name__ == "__main__":
    typer.run(main)

"""Send HTTP/3 requests through the fabric as a caller."""

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from ssl import CERT_NONE
from typing import Any

import trio
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated, HandshakeCompleted, StreamReset
from aioquic.quic.packet import QuicErrorCode
from attrs import frozen

from .caller_socket import CallerSocket, FlowHooks
from .datagrams import Endpoint
from .http3_server import HTTP3_ALPN
from .quic_driver import QuicDriver

IDLE_TIMEOUT_S = 10.0
"""Time without packets after which a connection counts as broken, in seconds."""
HTTP3_NO_ERROR = 0x100


class CallerError(Exception):
    """Base class of errors that a caller gets instead of an answer."""


class FlowRefusedError(CallerError):
    """The flow was refused, so its request was not run."""


class FlowBrokenError(CallerError):
    """The flow ended without an answer; its request may have been run."""


@frozen
class Target:
    """Address and port of a service class, and the name of its service."""

    endpoint: Endpoint
    service: str = "service"


@frozen
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: dict[str, str]


class ResponseReader:
    """Reader that returns the response to one request in parts as they arrive."""

    def __init__(self) -> None:
        self._event_sender, self._event_receiver = trio.open_memory_channel[Any](math.inf)
        self.head: ResponseHead | None = None

    def add_event(self, event: HeadersReceived | DataReceived | CallerError) -> None:
        """Queue an event of the request's stream for the reader."""
        self._event_sender.send_nowait(event)

    async def read_head(self) -> ResponseHead:
        """Wait for the status and the headers."""
        while self.head is None:
            event = await self._next_event()
            if isinstance(event, HeadersReceived):
                self.head = parse_head(event)
        return self.head

    async def read_chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body until its end."""
        await self.read_head()
        ended = False
        while not ended:
            event = await self._next_event()
            ended = event.stream_ended
            if isinstance(event, DataReceived) and event.data:
                yield event.data

    async def _next_event(self) -> Any:
        event = await self._event_receiver.receive()
        if isinstance(event, CallerError):
            raise event
        return event


class Http3Client:
    """HTTP/3 connection through the fabric."""

    def __init__(self, sock: CallerSocket, target: Target) -> None:
        cfg = QuicConfiguration(
            is_client=True,
            alpn_protocols=[HTTP3_ALPN],
            server_name=target.service,
            idle_timeout=IDLE_TIMEOUT_S,
            verify_mode=CERT_NONE,
        )
        self._target = target
        self._sock = sock
        self._quic = QuicConnection(configuration=cfg)
        self._http = H3Connection(self._quic)
        self._handshake_finished = trio.Event()
        self._error: CallerError | None = None
        self._readers: dict[int, ResponseReader] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Connect; raise CallerError if the connection is refused or breaks."""
        hooks = FlowHooks(self._receive, self._handle_prohibition)
        self._flow = self._sock.open_flow(self._target.endpoint, hooks)
        self._driver = QuicDriver(self._quic, self._flow.send, self._handle_event)
        self._quic.connect(self._target.endpoint, now=trio.current_time())
        self._driver.flush()
        nursery.start_soon(self._driver.run_timer)
        await self._handshake_finished.wait()
        if self._error is not None:
            raise self._error

    def close(self) -> None:
        """Close the connection and its flow."""
        if not self._driver.closed:
            self._quic.close(error_code=HTTP3_NO_ERROR)
            self._driver.flush()
        self._driver.end()
        self._flow.close()

    def send_request(self, path: str, method: str = "GET") -> ResponseReader:
        """Send a request without a body; return the reader of its response."""
        if self._error is not None:
            raise self._error
        stream_id = self._quic.get_next_available_stream_id()
        reader = self._readers[stream_id] = ResponseReader()
        headers = [
            (b":method", method.encode()),
            (b":scheme", b"https"),
            (b":authority", self._target.service.encode()),
            (b":path", path.encode()),
        ]
        self._http.send_headers(stream_id, headers, end_stream=True)
        self._driver.flush()
        return reader

    def _receive(self, datagram: bytes) -> None:
        if not self._driver.closed:
            self._driver.receive(datagram, self._target.endpoint)

    def _handle_prohibition(self) -> None:
        if not self._handshake_finished.is_set():
            self._fail(FlowRefusedError("the network refused the connection"))

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, HandshakeCompleted):
            self._handshake_finished.set()
        elif isinstance(event, ConnectionTerminated):
            self._fail(self._make_error(event))
        elif isinstance(event, StreamReset) and event.stream_id in self._readers:
            self._readers[event.stream_id].add_event(
                FlowBrokenError("the backend server reset the stream")
            )
        for http_event in self._http.handle_event(event):
            if isinstance(http_event, HeadersReceived | DataReceived):
                self._readers[http_event.stream_id].add_event(http_event)

    def _make_error(self, event: ConnectionTerminated) -> CallerError:
        refused = event.error_code == QuicErrorCode.CONNECTION_REFUSED
        if refused and not self._handshake_finished.is_set():
            return FlowRefusedError("connection refused during the handshake")
        return FlowBrokenError(f"connection ended: {event.error_code:#x} {event.reason_phrase}")

    def _fail(self, error: CallerError) -> None:
        self._error = error
        self._driver.end()
        self._handshake_finished.set()
        for reader in self._readers.values():
            reader.add_event(error)


@asynccontextmanager
async def open_client(sock: CallerSocket, target: Target) -> AsyncIterator[Http3Client]:
    """Open a connection for the duration of a with block."""
    client = Http3Client(sock, target)
    error: CallerError | None = None
    async with trio.open_nursery() as nursery:
        try:
            await client.start(nursery)
            yield client
        except CallerError as exc:
            # Raised outside the nursery, which would wrap it in an exception group.
            error = exc
        finally:
            client.close()
            nursery.cancel_scope.cancel()
    if error is not None:
        raise error


def parse_head(event: HeadersReceived) -> ResponseHead:
    """Return the status and the headers of a response."""
    headers = {name.decode("latin-1"): value.decode("latin-1") for name, value in event.headers}
    return ResponseHead(int(headers.get(":status", "0")), headers)

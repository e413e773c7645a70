"""Serve HTTP/3 on one UDP port with aioquic's protocol classes and trio."""

from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import trio
from aioquic.buffer import Buffer
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    StopSendingReceived,
    StreamReset,
)
from aioquic.quic.packet import (
    QuicPacketType,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from attrs import frozen

from fescueseam.packets.ip import QUIC_MIN_INITIAL_BYTES

from .certificates import Credentials
from .datagrams import DatagramSocket, Endpoint
from .quic_driver import QuicDriver

HTTP3_ALPN = "h3"
IDLE_TIMEOUT_S = 60.0


@frozen
class Http3Request:
    """Method, path and query of one request."""

    method: str
    path: str
    query: dict[str, str]


class ResponseWriter:
    """Writer of the response to one request."""

    def __init__(self, http: H3Connection, driver: QuicDriver, stream_id: int) -> None:
        self._http = http
        self._driver = driver
        self._stream_id = stream_id

    def send_head(self, status: int, headers: dict[str, str]) -> None:
        """Send the status and the headers."""
        fields = [(b":status", str(status).encode())]
        fields += [(name.encode(), value.encode()) for name, value in headers.items()]
        self._http.send_headers(self._stream_id, fields)
        self._driver.flush()

    def send_data(self, data: bytes, end: bool = False) -> None:
        """Send a part of the body."""
        self._http.send_data(self._stream_id, data, end_stream=end)
        self._driver.flush()


@frozen
class ConnectionHooks:
    """Callbacks for the events of one connection."""

    begin_request: Callable[[], None]
    finish_request: Callable[[bool], None]
    """Called at the end of a request with whether it was answered in full."""
    end: Callable[[], None]


RequestHandler = Callable[[Http3Request, ResponseWriter], Awaitable[bool]]
"""Function that answers one request and returns whether it was answered in full."""


class _Connection:
    """QUIC connection and the HTTP/3 requests that run on it."""

    def __init__(self, server: "Http3Server", quic: QuicConnection, peer: Endpoint) -> None:
        self.server = server
        self.peer = peer
        self.connection_ids: set[bytes] = set()
        self.hooks = server.track_connection()
        self.driver = QuicDriver(quic, self._send, self._handle_event)
        self.http = H3Connection(quic)
        self.cancel_scopes: dict[int, trio.CancelScope] = {}

    def end(self) -> None:
        """Cancel the requests and remove the connection from the server."""
        if self.driver.closed:
            return
        self.driver.end()
        for scope in self.cancel_scopes.values():
            scope.cancel()
        self.server.remove_connection(self)
        self.hooks.end()

    def _send(self, datagram: bytes) -> None:
        self.server.send(datagram, self.peer)

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, ConnectionTerminated):
            self.end()
        elif isinstance(event, ConnectionIdIssued):
            self.server.add_connection_id(event.connection_id, self)
        elif isinstance(event, ConnectionIdRetired):
            self.server.remove_connection_id(event.connection_id, self)
        elif isinstance(event, StreamReset | StopSendingReceived):
            scope = self.cancel_scopes.get(event.stream_id)
            if scope is not None:
                scope.cancel()
        for http_event in self.http.handle_event(event):
            if isinstance(http_event, HeadersReceived):
                self.server.nursery.start_soon(self._run_request, http_event)

    async def _run_request(self, event: HeadersReceived) -> None:
        request = parse_request(event.headers)
        writer = ResponseWriter(self.http, self.driver, event.stream_id)
        answered = False
        self.hooks.begin_request()
        with trio.CancelScope() as scope:
            self.cancel_scopes[event.stream_id] = scope
            answered = await self.server.handler(request, writer)
        del self.cancel_scopes[event.stream_id]
        if not self.driver.closed:
            self.hooks.finish_request(answered)


class Http3Server:
    """HTTP/3 server on one UDP port."""

    def __init__(
        self,
        credentials: Credentials,
        handler: RequestHandler,
        track_connection: Callable[[], ConnectionHooks],
        is_unresponsive: Callable[[], bool],
        count_datagram: Callable[[], None],
    ) -> None:
        self.cfg = QuicConfiguration(
            is_client=False, alpn_protocols=[HTTP3_ALPN], idle_timeout=IDLE_TIMEOUT_S
        )
        self.cfg.certificate = credentials.certificate
        self.cfg.private_key = credentials.private_key
        self.handler = handler
        self.track_connection = track_connection
        self._is_unresponsive = is_unresponsive
        self._count_datagram = count_datagram
        self._connections: dict[bytes, _Connection] = {}

    async def start(self, nursery: trio.Nursery, address: str, port: int) -> None:
        """Open the port and start serving."""
        self.nursery = nursery
        self.sock = DatagramSocket(address, port)
        nursery.start_soon(self._receive)

    def close(self) -> None:
        """Drop every connection without closing it, and close the port."""
        self.drop_all_connections()
        self.sock.close()

    def drop_all_connections(self) -> None:
        """Drop every connection without closing it, as a crash would."""
        for connection in set(self._connections.values()):
            connection.end()

    def send(self, datagram: bytes, peer: Endpoint) -> None:
        """Send a datagram unless the server is unresponsive."""
        if not self._is_unresponsive():
            self.sock.send(datagram, peer)

    def add_connection_id(self, connection_id: bytes, connection: _Connection) -> None:
        """Register an identifier of a connection."""
        connection.connection_ids.add(connection_id)
        self._connections[connection_id] = connection

    def remove_connection_id(self, connection_id: bytes, connection: _Connection) -> None:
        """Remove an identifier of a connection."""
        connection.connection_ids.discard(connection_id)
        self._connections.pop(connection_id, None)

    def remove_connection(self, connection: _Connection) -> None:
        """Remove every identifier of a connection."""
        for connection_id in list(connection.connection_ids):
            self.remove_connection_id(connection_id, connection)

    async def _receive(self) -> None:
        while True:
            datagram, peer = await self.sock.receive()
            self._count_datagram()
            if not self._is_unresponsive():
                self._handle_datagram(datagram, peer)

    def _handle_datagram(self, datagram: bytes, peer: Endpoint) -> None:
        try:
            header = pull_quic_header(
                Buffer(data=datagram), host_cid_length=self.cfg.connection_id_length
            )
        except ValueError:
            return
        connection = self._connections.get(header.destination_cid)
        if connection is None:
            if header.version is not None and header.version not in self.cfg.supported_versions:
                self._send_version_negotiation(header, peer)
                return
            if header.packet_type is not QuicPacketType.INITIAL:
                return
            if len(datagram) < QUIC_MIN_INITIAL_BYTES:
                return
            connection = self._open_connection(header.destination_cid, peer)
        connection.driver.receive(datagram, peer)

    def _open_connection(self, original_id: bytes, peer: Endpoint) -> _Connection:
        quic = QuicConnection(
            configuration=self.cfg, original_destination_connection_id=original_id
        )
        connection = _Connection(self, quic, peer)
        self.add_connection_id(original_id, connection)
        self.add_connection_id(quic.host_cid, connection)
        self.nursery.start_soon(connection.driver.run_timer)
        return connection

    def _send_version_negotiation(self, header: Any, peer: Endpoint) -> None:
        if header.packet_type is QuicPacketType.VERSION_NEGOTIATION:
            return
        packet = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=self.cfg.supported_versions,
        )
        self.send(packet, peer)


def parse_request(headers: list[tuple[bytes, bytes]]) -> Http3Request:
    """Return the head of a request from its headers."""
    fields = {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}
    target = urlsplit(fields.get(":path", "/"))
    return Http3Request(fields.get(":method", ""), target.path, dict(parse_qsl(target.query)))

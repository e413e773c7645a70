"""HTTP/1.1 server and client, built on `h11` and trio streams."""

from collections.abc import Awaitable, Callable

import h11
import trio
from attrs import define, field, frozen

from fescueseam.exceptions import SettingsError, StoreError

REQUEST_TIMEOUT_S = 10.0
"""Timeout of a server connection for receiving a whole request and for sending a response, in
seconds."""
CONNECT_TIMEOUT_S = 1.0
"""Timeout for opening a connection, in seconds. A round trip takes milliseconds."""
MAX_REQUEST_BODY_BYTES = 64 * 1024
"""Largest body of a request. Heartbeats are far smaller."""
MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024
"""Largest body of a response. The store returns lists of about one megabyte."""
MAX_SERVER_CONNECTIONS = 64
"""Largest number of connections that are served at the same time."""
REPEATABLE_METHODS = ("GET",)
"""Methods whose requests change nothing, so that they may be sent again."""
MAX_IDLE_TIME_S = 1.0
"""Time after which an idle connection of a client is not used again, in seconds. It may have gone
silent, which only a timeout would show."""
MAX_IDLE_CONNECTIONS = 2
"""Largest number of idle connections that a client keeps open."""
RECEIVE_CHUNK_BYTES = 65_536


@frozen
class Request:
    """An HTTP request."""

    method: str
    path: str
    body: bytes


@frozen
class Response:
    """An HTTP response."""

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()
    """Names and values of further headers."""

    def find_header(self, name: str) -> str | None:
        """Return the value of a header, or None if there is none of that name."""
        return next((item for key, item in self.headers if key.lower() == name.lower()), None)


NOT_FOUND = Response(404, b'{"error": "no such page"}')
INTERNAL_ERROR = Response(500, b'{"error": "the request could not be handled"}')
Handler = Callable[[Request], Awaitable[Response]]


class LostResponseError(StoreError):
    """A request without a response; it may have taken effect."""


class ClosedConnectionError(LostResponseError):
    """A request on a connection that was closed before the response began."""


def build_readiness_response(request: Request, is_ready: bool) -> Response:
    """Return the response to the fabric's readiness probe."""
    if request.path != "/readyz":
        return NOT_FOUND
    return Response(200 if is_ready else 503, b"{}")


async def serve_http(address: str, port: int, handler: Handler) -> None:
    """Serve requests until cancelled; raise SettingsError if the address cannot be bound."""
    try:
        listeners = await trio.open_tcp_listeners(port, host=address)
    except OSError as exc:
        raise SettingsError(f"cannot bind TCP {address}:{port}: {exc.strerror}") from exc
    limiter = trio.CapacityLimiter(MAX_SERVER_CONNECTIONS)

    async def serve(stream: trio.SocketStream) -> None:
        async with limiter:
            await _serve_connection(stream, handler)

    await trio.serve_listeners(serve, listeners)


async def _serve_connection(stream: trio.SocketStream, handler: Handler) -> None:
    conn = h11.Connection(h11.SERVER)
    async with stream:
        try:
            while True:
                with trio.fail_after(REQUEST_TIMEOUT_S):
                    request = await _read_request(conn, stream)
                if request is None:
                    return
                response = await handler(request)
                headers = [
                    ("Content-Type", response.content_type),
                    ("Content-Length", str(len(response.body))),
                    *response.headers,
                ]
                head = h11.Response(status_code=response.status, headers=headers)
                data = conn.send(head) or b""
                data += conn.send(h11.Data(data=response.body)) or b""
                data += conn.send(h11.EndOfMessage()) or b""
                with trio.fail_after(REQUEST_TIMEOUT_S):
                    await stream.send_all(data)
                if conn.our_state is h11.MUST_CLOSE:
                    return
                conn.start_next_cycle()
        except (h11.ProtocolError, trio.TooSlowError, trio.BrokenResourceError):
            # The peer broke the protocol, is too slow or is gone; it can open a new connection.
            return


async def _read_request(conn: h11.Connection, stream: trio.SocketStream) -> Request | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(RECEIVE_CHUNK_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REQUEST_BODY_BYTES:
                raise h11.RemoteProtocolError("the request body exceeds the limit")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return Request(head.method.decode(), head.target.decode(), bytes(body))
        elif isinstance(event, h11.ConnectionClosed):
            return None


@define
class HttpClient:
    """A client of one server that keeps connections open between calls."""

    address: str
    port: int
    _idle_connections: list[tuple[h11.Connection, trio.SocketStream, float]] = field(factory=list)
    """Connections without a request, and since when."""

    async def request(
        self, method: str, target: str, body: bytes | None, timeout_s: float
    ) -> Response:
        """Send a request and return the response.

        Raise StoreError if no connection can be opened. Raise LostResponseError if the time is up
        or if the connection fails before the response is complete. A read on an idle connection
        that the server has closed is sent again on a new one.
        """
        with trio.move_on_after(timeout_s):
            if self._idle_connections and method in REPEATABLE_METHODS:
                try:
                    return await self._request(method, target, body)
                except ClosedConnectionError:
                    await self.close()
            return await self._request(method, target, body)
        # The other connections may have gone silent at the same time.
        await self.close()
        raise LostResponseError(f"no response to {method} {target} within {timeout_s:g} s")

    async def close(self) -> None:
        """Close every idle connection."""
        while self._idle_connections:
            await trio.aclose_forcefully(self._idle_connections.pop()[1])

    async def _request(self, method: str, target: str, body: bytes | None) -> Response:
        conn, stream = await self._acquire_connection()
        try:
            headers = [("Host", f"{self.address}:{self.port}")]
            if body is not None:
                headers.append(("Content-Type", "application/json"))
                headers.append(("Content-Length", str(len(body))))
            data = conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
            if body is not None:
                data += conn.send(h11.Data(data=body)) or b""
            data += conn.send(h11.EndOfMessage()) or b""
            await stream.send_all(data)
            response = await _read_response(conn, stream)
        except (h11.ProtocolError, trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            await trio.aclose_forcefully(stream)
            raise LostResponseError(f"no response to {method} {target}: {exc}") from exc
        except BaseException:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            raise
        is_reusable = conn.our_state is h11.DONE and conn.their_state is h11.DONE
        if is_reusable and not conn.trailing_data[0]:
            conn.start_next_cycle()
            if len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
                self._idle_connections.append((conn, stream, trio.current_time()))
                return response
        await trio.aclose_forcefully(stream)
        return response

    async def _acquire_connection(self) -> tuple[h11.Connection, trio.SocketStream]:
        while self._idle_connections:
            conn, stream, idle_since = self._idle_connections.pop()
            is_recent = trio.current_time() - idle_since < MAX_IDLE_TIME_S
            if is_recent and not await _has_unread_data(stream):
                return conn, stream
            # It may be silent; unread data may be a second copy of an answer, which would be taken
            # as the answer to the next request.
            await trio.aclose_forcefully(stream)
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                sock = trio.socket.socket()
                try:
                    await sock.connect((self.address, self.port))
                except BaseException:
                    sock.close()
                    raise
        except trio.TooSlowError as exc:
            raise StoreError(f"{self.address}:{self.port} cannot be reached") from exc
        except OSError as exc:
            server = f"{self.address}:{self.port}"
            raise StoreError(f"{server} cannot be reached: {exc.strerror}") from exc
        return h11.Connection(h11.CLIENT), trio.SocketStream(sock)


async def _has_unread_data(stream: trio.SocketStream) -> bool:
    """Return whether data or an error wait on a connection; the end of the data does not count."""
    if not stream.socket.is_readable():
        return False
    try:
        return bool(await stream.socket.recv(1, trio.socket.MSG_PEEK))
    except OSError:
        return True


async def _receive_first(stream: trio.SocketStream) -> bytes:
    try:
        data = await stream.receive_some(RECEIVE_CHUNK_BYTES)
    except trio.BrokenResourceError as exc:
        raise ClosedConnectionError("the connection was reset before the response") from exc
    if not data:
        raise ClosedConnectionError("the connection was closed before the response")
    return bytes(data)


async def _read_response(conn: h11.Connection, stream: trio.SocketStream) -> Response:
    status = 0
    headers: tuple[tuple[str, str], ...] = ()
    body = bytearray()
    conn.receive_data(await _receive_first(stream))
    while True:
        event = conn.next_event()
        if event is h11.NEED_DATA:
            conn.receive_data(await stream.receive_some(RECEIVE_CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = tuple(
                (name.decode(), value.decode("latin-1")) for name, value in event.headers
            )
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_RESPONSE_BODY_BYTES:
                raise h11.RemoteProtocolError("the response body exceeds the limit")
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, bytes(body), headers=headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError("the connection closed before the end of the response")

"""Run a stand-in for a backend server: HTTP/3, plain UDP requests and a load endpoint."""

import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated

import trio
import typer
from quart import Response, request
from quart_trio import QuartTrio

from .backend_state import BackendSettings, BackendState
from .certificates import make_credentials
from .datagrams import DatagramSocket, Endpoint
from .http3_server import ConnectionHooks, Http3Request, Http3Server, ResponseWriter
from .platform import make_json_response
from .running import run_until_stopped, serve_http

DEFAULT_STREAM_CHUNKS = 10
DEFAULT_CHUNK_INTERVAL_S = 0.1
MAX_REMEMBERED_DATAGRAMS = 10_000
"""Largest number of plain UDP requests whose replies are remembered."""
SERVICE_HEADER = "x-service"
BACKEND_HEADER = "x-backend"


class BackendServer:
    """Backend server stand-in whose ports share one state."""

    def __init__(self, state: BackendState, clock: Callable[[], float] = trio.current_time) -> None:
        self.state = state
        self.clock = clock
        self._credentials = make_credentials(state.cfg.service)
        self._servers: list[Http3Server] = []
        self._udp_socks: list[DatagramSocket] = []
        self._udp_replies: OrderedDict[tuple[Endpoint, bytes], bytes] = OrderedDict()

    async def start(
        self,
        nursery: trio.Nursery,
        address: str,
        request_ports: list[int],
        stream_ports: list[int],
        udp_ports: list[int],
        decapsulation_port: int = 0,
    ) -> None:
        """Open every port and start serving."""
        for port in request_ports:
            await self._serve_http3(nursery, address, port, self._track_request_connection)
        for port in stream_ports:
            await self._serve_http3(nursery, address, port, self._track_stream_connection)
        self._udp_socks = [DatagramSocket(address, port) for port in udp_ports]
        for sock in self._udp_socks:
            nursery.start_soon(self._serve_udp, nursery, sock)
        self._decapsulation_sock = DatagramSocket(address, decapsulation_port)
        nursery.start_soon(self._count_encapsulated, self._decapsulation_sock)

    def close(self) -> None:
        """Close every port."""
        for server in self._servers:
            server.close()
        for sock in self._udp_socks:
            sock.close()
        self._decapsulation_sock.close()

    def list_sockets(self) -> list[DatagramSocket]:
        """Return the sockets for requests, streams and plain UDP, in this order."""
        return [server.sock for server in self._servers] + self._udp_socks

    def restart(self) -> None:
        """Return to a cold start and drop every connection without closing it."""
        for server in self._servers:
            server.drop_all_connections()
        self._udp_replies.clear()
        self.state.restart(self.clock(), make_incarnation())

    def is_unresponsive(self) -> bool:
        """Return whether the server answers nothing after an overload."""
        return self.state.is_unresponsive(self.clock())

    async def handle_request(self, req: Http3Request, writer: ResponseWriter) -> bool:
        """Answer one HTTP/3 request; return whether it was answered in full."""
        if self.state.is_over_capacity():
            self.state.counts.shed += 1
            self._send_text(writer, 503, "shed")
            return False
        if req.path == "/echo":
            await self._handle_echo(req, writer)
        elif req.path == "/stream":
            await self._handle_stream(req, writer)
        elif req.path == "/record" and req.method == "POST":
            await self._handle_record(req, writer)
        else:
            self._send_text(writer, 404, req.path)
        return True

    async def _handle_echo(self, req: Http3Request, writer: ResponseWriter) -> None:
        await trio.sleep(self.state.cfg.service_time_s)
        query = "&".join(f"{name}={value}" for name, value in req.query.items())
        self._send_text(writer, 200, query)

    async def _handle_record(self, req: Http3Request, writer: ResponseWriter) -> None:
        run_id = req.query.get("id", "")
        run_count = self.state.record_run(run_id)
        await trio.sleep(self.state.cfg.service_time_s)
        self._send_text(writer, 200, f"{run_id} {run_count}")

    async def _handle_stream(self, req: Http3Request, writer: ResponseWriter) -> None:
        try:
            interval_s = float(req.query.get("interval_s", DEFAULT_CHUNK_INTERVAL_S))
            count = int(req.query.get("count", DEFAULT_STREAM_CHUNKS))
        except ValueError as exc:
            self._send_text(writer, 400, str(exc))
            return
        writer.send_head(200, self._build_headers())
        for number in range(count):
            writer.send_data(f"{number}\n".encode())
            await trio.sleep(interval_s)
        writer.send_data(b"", end=True)

    def _send_text(self, writer: ResponseWriter, status: int, text: str) -> None:
        writer.send_head(status, self._build_headers())
        cfg = self.state.cfg
        writer.send_data(f"{cfg.service} {cfg.name} {text}".encode(), end=True)

    def _build_headers(self) -> dict[str, str]:
        return {SERVICE_HEADER: self.state.cfg.service, BACKEND_HEADER: self.state.cfg.name}

    async def _serve_http3(
        self,
        nursery: trio.Nursery,
        address: str,
        port: int,
        track_connection: Callable[[], ConnectionHooks],
    ) -> None:
        server = Http3Server(
            self._credentials,
            self.handle_request,
            track_connection,
            self.is_unresponsive,
            self._count_datagram,
        )
        await server.start(nursery, address, port)
        self._servers.append(server)

    def _track_stream_connection(self) -> ConnectionHooks:
        self.state.open_stream(self.clock())

        def end_connection() -> None:
            self.state.close_stream(self.clock())

        return ConnectionHooks(lambda: None, lambda answered: None, end_connection)

    def _track_request_connection(self) -> ConnectionHooks:
        # The opening packet takes the slot of the first request. Each slot is freed once its answer
        # has been sent.
        self.state.open_request(self.clock())
        slots_taken, requests_running, completed = 1, 0, False

        def begin_request() -> None:
            nonlocal slots_taken, requests_running
            requests_running += 1
            if requests_running > slots_taken:
                slots_taken += 1
                self.state.open_request(self.clock())

        def finish_request(answered: bool) -> None:
            nonlocal slots_taken, requests_running, completed
            requests_running -= 1
            slots_taken -= 1
            self.state.close_request(self.clock(), answered and not completed)
            completed = completed or answered

        def end_connection() -> None:
            for _ in range(slots_taken):
                self.state.close_request(self.clock(), False)

        return ConnectionHooks(begin_request, finish_request, end_connection)

    def _count_datagram(self) -> None:
        self.state.counts.received += 1

    async def _count_encapsulated(self, sock: DatagramSocket) -> None:
        while True:
            await sock.receive()
            self.state.counts.encapsulated += 1

    async def _serve_udp(self, nursery: trio.Nursery, sock: DatagramSocket) -> None:
        while True:
            datagram, peer = await sock.receive()
            self._count_datagram()
            if not self.is_unresponsive():
                self._handle_datagram(nursery, sock, datagram, peer)

    def _handle_datagram(
        self, nursery: trio.Nursery, sock: DatagramSocket, datagram: bytes, peer: Endpoint
    ) -> None:
        # As servers of such protocols do, a repeated datagram of a sender gets the stored reply
        # and does not run its request again. The stored reply is empty while the request runs.
        key = (peer, datagram)
        if key in self._udp_replies:
            if self._udp_replies[key]:
                sock.send(self._udp_replies[key], peer)
            return
        self._udp_replies[key] = b""
        if len(self._udp_replies) > MAX_REMEMBERED_DATAGRAMS:
            self._udp_replies.popitem(last=False)
        nursery.start_soon(self._run_udp_request, sock, datagram, peer)

    async def _run_udp_request(self, sock: DatagramSocket, datagram: bytes, peer: Endpoint) -> None:
        incarnation = self.state.incarnation
        self.state.open_request(self.clock())
        run_id = datagram.decode("latin-1")
        run_count = self.state.record_run(run_id)
        await trio.sleep(self.state.cfg.service_time_s)
        if incarnation != self.state.incarnation:
            return
        self.state.close_request(self.clock(), True)
        cfg = self.state.cfg
        reply = f"{cfg.service} {cfg.name} {run_id} {run_count}".encode("latin-1")
        self._udp_replies[(peer, datagram)] = reply
        if not self.is_unresponsive():
            sock.send(reply, peer)


def build_app(server: BackendServer) -> QuartTrio:
    """Return the ASGI application of the load endpoint and the control endpoints."""
    app = QuartTrio(__name__)

    async def show_load() -> Response:
        return make_json_response(200, server.state.describe_load(server.clock()))

    async def show_runs() -> Response:
        return make_json_response(200, server.state.describe_counts())

    async def restart() -> Response:
        server.restart()
        return await show_load()

    async def drain() -> Response:
        server.state.draining = request.args.get("on", "true") == "true"
        return await show_load()

    app.add_url_rule("/load", "show_load", show_load, methods=["GET"])
    app.add_url_rule("/runs", "show_runs", show_runs, methods=["GET"])
    app.add_url_rule("/restart", "restart", restart, methods=["POST"])
    app.add_url_rule("/drain", "drain", drain, methods=["POST"])
    return app


def make_incarnation() -> int:
    """Return the time in milliseconds, so that each start has a greater incarnation."""
    return time.time_ns() // 1_000_000


def main(
    service: Annotated[str, typer.Option()],
    name: Annotated[str, typer.Option()],
    address: str = "127.0.0.1",
    request_port: Annotated[list[int] | None, typer.Option(help="port for HTTP/3 requests")] = None,
    stream_port: Annotated[list[int] | None, typer.Option(help="port for HTTP/3 streams")] = None,
    udp_port: Annotated[list[int] | None, typer.Option(help="port for plain UDP requests")] = None,
    decapsulation_port: int = 6081,
    load_port: int = 7480,
    slots: int = 2,
    connections: int = 2000,
    cold_slots: int = 1,
    cold_connections: int = 100,
    warm_up_successes: int = 8,
    warm_up_s: float = 30.0,
    service_time_s: float = 0.02,
    fall_over_s: float = 2.0,
    load_lag_s: float = 0.0,
    load_busy_factor: float = 1.0,
) -> None:
    """Run the backend server stand-in until SIGTERM."""
    cfg = BackendSettings(
        service=service,
        name=name,
        slots=slots,
        connections=connections,
        cold_slots=cold_slots,
        cold_connections=cold_connections,
        warm_up_successes=warm_up_successes,
        warm_up_s=warm_up_s,
        service_time_s=service_time_s,
        fall_over_s=fall_over_s,
        load_lag_s=load_lag_s,
        load_busy_factor=load_busy_factor,
    )

    async def serve() -> None:
        server = BackendServer(BackendState(cfg, make_incarnation(), trio.current_time()))
        async with trio.open_nursery() as nursery:
            await server.start(
                nursery,
                address,
                request_port or [],
                stream_port or [],
                udp_port or [],
                decapsulation_port,
            )
            await serve_http(build_app(server), address, load_port)

    run_until_stopped(serve)


if __name__ == "__main__":
    typer.run(main)

"""Serve metrics, health and status over HTTP on threads of their own."""

import json
import socketserver
import threading
from collections.abc import Callable, Iterable
from typing import Any
from wsgiref.simple_server import WSGIRequestHandler, WSGIServer, make_server

from prometheus_client import CollectorRegistry, make_wsgi_app

from fescueseam.exceptions import SettingsError

StatusSource = Callable[[], dict[str, object]]
ReadinessSource = Callable[[], bool]
StartResponse = Callable[..., Any]


class _RequestHandler(WSGIRequestHandler):
    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log line of each request."""


class _Server(socketserver.ThreadingMixIn, WSGIServer):
    daemon_threads = True


class StatusServer:
    """An HTTP server for /metrics, /status, /healthz and /readyz, on a thread of its own."""

    def __init__(
        self,
        address: str,
        port: int,
        registry: CollectorRegistry,
        status: StatusSource,
        is_ready: ReadinessSource,
    ) -> None:
        """Initialise the server; `start` binds its port."""
        self._address = address
        self._port = port
        self._status = status
        self._is_ready = is_ready
        self._metrics_app = make_wsgi_app(registry)
        self._server: WSGIServer | None = None

    def start(self) -> None:
        """Bind the port and start serving."""
        try:
            self._server = make_server(
                self._address,
                self._port,
                self._serve,
                server_class=_Server,
                handler_class=_RequestHandler,
            )
        except OSError as exc:
            endpoint = f"{self._address}:{self._port}"
            raise SettingsError(f"cannot bind TCP {endpoint}: {exc.strerror}") from exc
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.shutdown()
            self._server.server_close()
            self._server = None

    def _serve(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        path = environ.get("PATH_INFO", "")
        if path == "/metrics":
            answer: Iterable[bytes] = self._metrics_app(environ, start_response)
            return answer
        if path == "/healthz":
            return _respond(start_response, "200 OK", {"healthy": True})
        if path == "/readyz":
            ready = self._is_ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            return _respond(start_response, status, {"ready": ready})
        if path == "/status":
            return _respond(start_response, "200 OK", self._status())
        return _respond(start_response, "404 Not Found", {"error": "no such page"})


def _respond(
    start_response: StartResponse, status: str, value: dict[str, object]
) -> Iterable[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(value).encode() + b"\n"]

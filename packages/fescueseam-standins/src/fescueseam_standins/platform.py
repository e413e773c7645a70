"""Serve the platform's object API over HTTP, with fault injection."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import trio
import typer
from quart import Response, request
from quart_trio import QuartTrio

from .platform_state import (
    MAX_VALUE_BYTES,
    Changes,
    JsonValue,
    LostReplyError,
    OutageError,
    PlatformState,
    VersionConflictError,
    encode_item,
)
from .running import run_until_stopped, serve_http

MAX_WATCH_TIMEOUT_S = 300.0
DROP_CONNECTION_HEADER = "x-drop-connection"
_DROP_CONNECTION_HEADER_BYTES = DROP_CONNECTION_HEADER.encode()


class PlatformServer:
    """HTTP handlers of the object API and the watches that wait for changes."""

    def __init__(self, state: PlatformState) -> None:
        self.state = state
        self._change_event = trio.Event()

    async def read(self, key: str) -> Response:
        """Return one object."""
        stored = self.state.read(key)
        if stored is None:
            return make_json_response(404, {"key": key})
        return make_json_response(200, encode_item(stored))

    async def list_objects(self) -> Response:
        """Return every object under a prefix."""
        stored = self.state.list_objects(request.args.get("prefix", ""))
        objects: list[JsonValue] = [encode_item(item) for item in stored]
        return make_json_response(200, {"revision": self.state.revision, "objects": objects})

    async def write(self, key: str) -> Response:
        """Replace one object if it has the expected version."""
        expected = parse_expected_version()
        body = await request.get_data()
        if len(body) > MAX_VALUE_BYTES:
            return make_json_response(413, {"key": key, "limit": MAX_VALUE_BYTES})
        try:
            value = json.loads(body)
        except ValueError:
            return make_json_response(400, {"key": key})
        if expected is None:
            return make_json_response(428, {"key": key})
        return self._apply_change(key, lambda: self.state.write(key, expected, value))

    async def delete(self, key: str) -> Response:
        """Delete one object if it has the expected version."""
        expected = parse_expected_version()
        if expected is None:
            return make_json_response(428, {"key": key})
        return self._apply_change(key, lambda: self.state.delete(key, expected))

    async def watch(self) -> Response:
        """Return the changes under a prefix as soon as there are any, or at the timeout."""
        prefix = request.args.get("prefix", "")
        after = int(request.args.get("after", "0"))
        timeout_s = min(float(request.args.get("timeout_s", "30")), MAX_WATCH_TIMEOUT_S)
        self.state.begin_watch()
        era = self.state.era
        changes = self.state.find_changes(prefix, after)
        with trio.move_on_after(timeout_s):
            while not changes.objects and not changes.deleted:
                await self._change_event.wait()
                self._check_outage()
                if era != self.state.era:
                    raise OutageError("the platform went away during the watch")
                changes = self.state.find_changes(prefix, after)
        return make_json_response(200, encode_changes(changes))

    async def set_faults(self) -> Response:
        """Set the fault switches in the request; leave the others unchanged."""
        body = json.loads(await request.get_data() or b"{}")
        try:
            self.state.faults = attrs.evolve(self.state.faults, **body)
        except TypeError as exc:
            return make_json_response(400, {"error": str(exc)})
        self._wake_watches()
        return make_json_response(200, encode_item(self.state.faults))

    async def make_copy(self) -> Response:
        """Keep a copy of the objects to come back to."""
        self.state.make_copy()
        return make_json_response(200, {"revision": self.state.revision})

    async def come_back(self) -> Response:
        """Continue from the copy; watches that wait are cut off."""
        self.state.come_back()
        self._wake_watches()
        return make_json_response(200, {"revision": self.state.revision, "era": self.state.era})

    async def show_call_counts(self) -> Response:
        """Return the number of calls by kind."""
        return make_json_response(200, encode_item(self.state.calls))

    def _apply_change(self, key: str, change: Callable[[], int]) -> Response:
        try:
            version = change()
        except VersionConflictError as exc:
            return make_json_response(412, {"key": key, "version": exc.version})
        finally:
            self._wake_watches()
        return make_json_response(200, {"key": key, "version": version})

    def _wake_watches(self) -> None:
        self._change_event.set()
        self._change_event = trio.Event()

    def _check_outage(self) -> None:
        if self.state.faults.outage or self.state.faults.drop_connections:
            raise OutageError("the platform became unavailable during the watch")


def build_app(server: PlatformServer) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application of the object API."""
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = 2 * MAX_VALUE_BYTES
    routes: tuple[tuple[str, str, Callable[..., Awaitable[Response]]], ...] = (
        ("GET", "/objects/<path:key>", server.read),
        ("GET", "/objects", server.list_objects),
        ("PUT", "/objects/<path:key>", server.write),
        ("DELETE", "/objects/<path:key>", server.delete),
        ("GET", "/watch", server.watch),
    )
    for method, rule, handler in routes:
        app.add_url_rule(
            rule, f"{method} {rule}", _inject_faults(server, handler), methods=[method]
        )
    app.add_url_rule("/faults", "set_faults", server.set_faults, methods=["POST"])
    app.add_url_rule("/copy", "make_copy", server.make_copy, methods=["POST"])
    app.add_url_rule("/come-back", "come_back", server.come_back, methods=["POST"])
    app.add_url_rule("/calls", "count_calls", server.show_call_counts, methods=["GET"])
    return _add_connection_drops(app)


def make_json_response(status: int, body: dict[str, JsonValue]) -> Response:
    """Return a JSON response."""
    return Response(json.dumps(body), status=status, content_type="application/json")


def encode_changes(changes: Changes) -> dict[str, JsonValue]:
    """Return changes as the JSON object of a watch response."""
    body: dict[str, JsonValue] = {
        "revision": changes.revision,
        "objects": [encode_item(stored) for stored in changes.objects],
        "deleted": list(changes.deleted),
    }
    if changes.era:
        body["era"] = changes.era
    return body


def parse_expected_version() -> int | None:
    """Return the version in the request's If-Match header, or None."""
    text = request.headers.get("If-Match", "").strip().strip('"')
    return int(text) if text.isdigit() else None


def _inject_faults(
    server: PlatformServer, handler: Callable[..., Awaitable[Response]]
) -> Callable[..., Awaitable[Response]]:
    async def handle(**arguments: str) -> Response:
        faults = server.state.faults
        if faults.delay_s > 0:
            await trio.sleep(faults.delay_s)
        try:
            return await handler(**arguments)
        except LostReplyError:
            return _make_drop_response()
        except OutageError:
            if server.state.faults.drop_connections:
                return _make_drop_response()
            return make_json_response(503, {"error": "the platform is away"})

    return handle


def _make_drop_response() -> Response:
    return Response(b"", status=503, headers={DROP_CONNECTION_HEADER: "1"})


def _add_connection_drops(app: Any) -> Callable[..., Awaitable[None]]:
    # An ASGI application cannot close a connection without a response. This one announces a body
    # that it never sends, so that the HTTP server closes the connection.
    async def handle_scope(scope: Any, receive: Any, send: Any) -> None:
        dropped = False

        async def send_or_drop(message: Any) -> None:
            nonlocal dropped
            names = [name for name, _ in message.get("headers", ())]
            if _DROP_CONNECTION_HEADER_BYTES in names:
                dropped = True
                headers = [(b"content-length", b"1")]
                await send({"type": "http.response.start", "status": 503, "headers": headers})
            elif not dropped:
                await send(message)

        await app(scope, receive, send_or_drop)

    return handle_scope


def main(address: str = "127.0.0.1", port: int = 7400) -> None:
    """Run the platform stand-in until SIGTERM."""
    app = build_app(PlatformServer(PlatformState()))
    run_until_stopped(lambda: serve_http(app, address, port))


if __name__ == "__main__":
    typer.run(main)

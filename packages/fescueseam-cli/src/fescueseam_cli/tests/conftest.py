import itertools
import json
import os
import random
from collections.abc import Callable
from pathlib import Path

import httpx
import pytest
from attrs import define, field
from typer.testing import CliRunner, Result

from fescueseam.conf.accepted import CONFIGURATION_KEY
from fescueseam_cli.environment import Environment
from fescueseam_cli.main import app

STORE_URL = "http://store.test"
EXAMPLES_FOLDER = Path(__file__).parents[5] / "examples"


@define
class FakeStore:
    """Fake of the platform's object API and of the processes' status pages, with faults."""

    objects: dict[str, tuple[int, object]] = field(factory=dict)
    revision: int = 0
    before_put: list[Callable[["FakeStore"], None]] = field(factory=list)
    """Hooks that run once each, in order: one before each write and one after each watch read."""
    after_put: list[Callable[["FakeStore"], None]] = field(factory=list)
    """Hooks that are all called once, after the next write."""
    lose_replies: int = 0
    """Number of next writes that take effect but get no reply."""
    lose_requests: int = 0
    """Number of next writes that take no effect and get no reply."""
    stale_reads: int = 0
    """Number of next reads that return the objects as they were before the last write."""
    failure_mode: str = ""
    """How every call fails: "refused", "slow" (timeout) or "down" (503); empty for no failure."""
    failing_calls: int = 0
    """Number of next calls that get a 503 reply."""
    max_value_bytes: int = 1_000_000
    previous_objects: dict[str, tuple[int, object]] = field(factory=dict)
    calls: list[str] = field(factory=list)
    process_statuses: dict[str, object] = field(factory=dict)
    """Status of each process by its address:port; None makes the call time out."""

    def write(self, key: str, value: object) -> int:
        self.previous_objects = dict(self.objects)
        self.revision += 1
        self.objects[key] = (self.revision, value)
        return self.revision

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        if request.url.host != "store.test":
            return self._answer_status(request)
        self.calls.append(f"{request.method} {request.url.path}")
        if self.failure_mode == "refused":
            raise httpx.ConnectError("connection refused")
        if self.failure_mode == "slow":
            raise httpx.ReadTimeout("timed out")
        if self.failure_mode or self.failing_calls:
            self.failing_calls = max(0, self.failing_calls - 1)
            return httpx.Response(503, json={"error": "away"})
        if request.url.path == "/watch":
            return self._answer_watch(request)
        if request.method == "PUT":
            return self._answer_put(request)
        return self._answer_read(request)

    def _answer_put(self, request: httpx.Request) -> httpx.Response:
        if self.before_put:
            self.before_put.pop(0)(self)
        if len(request.content) > self.max_value_bytes:
            return httpx.Response(413, json={"limit": self.max_value_bytes})
        if self.lose_requests:
            self.lose_requests -= 1
            raise httpx.ReadError("connection reset")
        key = request.url.path.removeprefix("/objects/")
        current = self.objects.get(key, (0, None))[0]
        if int(request.headers["If-Match"].strip('"')) != current:
            return httpx.Response(412, json={"key": key, "version": current})
        version = self.write(key, json.loads(request.content))
        while self.after_put:
            self.after_put.pop(0)(self)
        if self.lose_replies:
            self.lose_replies -= 1
            raise httpx.RemoteProtocolError("server disconnected")
        return httpx.Response(200, json={"key": key, "version": version})

    def _answer_read(self, request: httpx.Request) -> httpx.Response:
        objects = self.objects
        if self.stale_reads and self.previous_objects:
            self.stale_reads -= 1
            objects = self.previous_objects
        key = request.url.path.removeprefix("/objects/")
        if key != request.url.path:
            if key not in objects:
                return httpx.Response(404, json={"key": key})
            return httpx.Response(200, json=encode_object(key, objects[key]))
        prefix = request.url.params["prefix"]
        matching = [
            encode_object(key, item) for key, item in objects.items() if key.startswith(prefix)
        ]
        return httpx.Response(200, json={"revision": self.revision, "objects": matching})

    def _answer_watch(self, request: httpx.Request) -> httpx.Response:
        after = int(request.url.params["after"])
        prefix = request.url.params["prefix"]
        matching = [
            encode_object(key, item)
            for key, item in self.objects.items()
            if key.startswith(prefix) and item[0] > after
        ]
        assert matching, "the watch would never end: no object is newer than its revision"
        body = {"revision": self.revision, "objects": matching, "deleted": []}
        if self.before_put:
            self.before_put.pop(0)(self)
        return httpx.Response(200, json=body)

    def _answer_status(self, request: httpx.Request) -> httpx.Response:
        http_address = f"{request.url.host}:{request.url.port}"
        if http_address not in self.process_statuses:
            raise httpx.ConnectError("connection refused")
        if self.process_statuses[http_address] is None:
            raise httpx.ReadTimeout("timed out")
        return httpx.Response(200, json=self.process_statuses[http_address])

    @property
    def accepted(self) -> dict:
        return self.objects[CONFIGURATION_KEY][1]


def encode_object(key: str, item: tuple[int, object]) -> dict:
    return {"key": key, "version": item[0], "value": item[1]}


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def sleeps() -> list[float]:
    return []


@pytest.fixture
def run_command(store: FakeStore, sleeps: list[float]) -> Callable[..., Result]:
    writer_numbers = itertools.count(1)

    async def sleep(seconds: float) -> None:
        sleeps.append(seconds)

    environment = Environment(
        transport=httpx.MockTransport(store.handle_request),
        rng=random.Random(int(os.environ.get("SEED", "1"))),
        sleep=sleep,
        make_writer_id=lambda: f"ana-{next(writer_numbers)}",
    )

    def invoke(*arguments: object, store_url: str = STORE_URL) -> Result:
        command_line = [str(argument) for argument in arguments]
        env = {"FESCUESEAM_STORE": store_url}
        return CliRunner().invoke(app, command_line, obj=environment, env=env)

    return invoke


@pytest.fixture
def deployment_folder() -> Path:
    return EXAMPLES_FOLDER / "lintang"

"""Send the requests of a demonstration and count their outcomes."""

import itertools
import math
from collections import Counter
from collections.abc import AsyncIterator

import trio
from attrs import define, field, frozen

from fescueseam.conf.models import FlowKind, Service, ServiceClass, Transport

from ..caller import Outcome, RequestResult, open_stream, send_request, send_udp_request
from ..caller_socket import CallerSocket
from ..http3_client import CallerError, Target

REQUEST_PAUSE_S = 0.25
UDP_RETRY_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 8.0
CHUNK_INTERVAL_S = 0.1
MAX_CHUNKS = 100_000
END_OF_STREAM = b"end\n"
"""Placeholder for a chunk at the end of the response, which no demonstration reaches."""
CHUNK_TIMEOUT_S = 5.0
"""Time without a chunk after which a stream counts as broken, in seconds."""


@frozen
class RequestRecord:
    """One request and its result."""

    service: str
    run_id: str
    result: RequestResult


@define
class Tally:
    """Outcomes of the requests of one step."""

    outcomes: Counter[tuple[str, Outcome]] = field(factory=Counter)
    wrong: list[RequestRecord] = field(factory=list)
    refused: list[RequestRecord] = field(factory=list)
    broken: list[RequestRecord] = field(factory=list)
    backends: Counter[str] = field(factory=Counter)
    slowest_s: float = 0.0

    def count(self, outcome: Outcome, service: str | None = None) -> int:
        """Return how many requests of one service, or of all, had an outcome."""
        return sum(
            number
            for (name, counted_outcome), number in self.outcomes.items()
            if counted_outcome is outcome and service in (None, name)
        )

    def add(self, record: RequestRecord, correct: bool) -> None:
        """Count one result; `correct` tells whether its answer has the expected content."""
        result = record.result
        self.outcomes[(record.service, result.outcome)] += 1
        if result.outcome is Outcome.ANSWERED:
            self.backends[result.backend] += 1
            self.slowest_s = max(self.slowest_s, result.elapsed_s)
            if not correct:
                self.wrong.append(record)
        elif result.outcome is Outcome.REFUSED:
            self.refused.append(record)
        else:
            self.broken.append(record)


class TrafficGenerator:
    """Sender of short requests to the classes of all services."""

    def __init__(self, sock: CallerSocket, services: tuple[Service, ...]) -> None:
        self._sock = sock
        self._services = services
        self._numbers = itertools.count(1)

    async def run(self, tally: Tally, stop: trio.Event) -> None:
        """Send requests, one at a time per class, until the stop event is set."""
        async with trio.open_nursery() as nursery:
            for service in self._services:
                for service_class in service.classes:
                    if should_send_requests(service_class):
                        nursery.start_soon(
                            self._send_repeatedly, service, service_class, tally, stop
                        )

    async def _send_repeatedly(
        self, service: Service, service_class: ServiceClass, tally: Tally, stop: trio.Event
    ) -> None:
        target = Target((service.address, service_class.port), service.name)
        while not stop.is_set():
            run_id = f"{service.name}-{service_class.name}-{next(self._numbers)}"
            result = await self._send_one(target, service_class, run_id)
            correct = is_correct(result, service.name, run_id)
            tally.add(RequestRecord(service.name, run_id, result), correct)
            with trio.move_on_after(REQUEST_PAUSE_S):
                await stop.wait()

    async def _send_one(
        self, target: Target, service_class: ServiceClass, run_id: str
    ) -> RequestResult:
        if service_class.transport is Transport.UDP:
            retry_interval_s = UDP_RETRY_INTERVAL_S if service_class.repeatable else math.inf
            return await send_udp_request(
                self._sock, target, run_id, REQUEST_TIMEOUT_S, retry_interval_s
            )
        if service_class.repeatable:
            return await send_request(
                self._sock, target, f"/echo?id={run_id}", timeout_s=REQUEST_TIMEOUT_S
            )
        return await send_request(
            self._sock, target, f"/record?id={run_id}", "POST", REQUEST_TIMEOUT_S
        )


class StreamMonitor:
    """Reader of one long stream that checks the order of its chunks."""

    def __init__(self, sock: CallerSocket, service: Service, service_class: ServiceClass) -> None:
        self._sock = sock
        self._service = service.name
        self._target = Target((service.address, service_class.port), service.name)
        self.opened = trio.Event()
        self.backend = ""
        self.chunks = 0
        self.longest_gap_s = 0.0
        self.fault = ""

    async def run(self) -> None:
        """Open the stream and read it until cancelled or broken."""
        path = f"/stream?interval_s={CHUNK_INTERVAL_S}&count={MAX_CHUNKS}"
        try:
            async with open_stream(self._sock, self._target, path) as stream:
                self.backend = stream.backend
                if stream.service != self._service:
                    self.fault = f"answered by another service: {stream.service}"
                self.opened.set()
                await self._read(stream.reader.read_chunks())
        except CallerError as exc:
            self.fault = str(exc)
        self.opened.set()

    async def _read(self, chunks: AsyncIterator[bytes]) -> None:
        pending = ""
        while not self.fault:
            started = trio.current_time()
            with trio.move_on_after(CHUNK_TIMEOUT_S) as scope:
                pending += (await anext(chunks, END_OF_STREAM)).decode()
            if scope.cancelled_caught:
                self.fault = f"no chunk received for {CHUNK_TIMEOUT_S} s"
            self.longest_gap_s = max(self.longest_gap_s, trio.current_time() - started)
            *lines, pending = pending.split("\n")
            for line in lines:
                self._check_chunk(line)

    def _check_chunk(self, line: str) -> None:
        if line != str(self.chunks):
            self.fault = f"received chunk {line!r}, expected {self.chunks}"
        self.chunks += 1


def should_send_requests(service_class: ServiceClass) -> bool:
    """Return whether requests are sent to a class; TCP classes are covered by tests only."""
    is_request = service_class.kind is FlowKind.REQUEST
    return is_request and service_class.transport is not Transport.TCP


def is_correct(result: RequestResult, service: str, run_id: str) -> bool:
    """Return whether an answer comes from its service and belongs to its own request."""
    return result.service == service and run_id in result.body.replace("=", " ").split(" ")

"""Send the traffic of a demonstration and keep count of what became of it."""

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
"""Stand in for a chunk at the end of the answer, which no demonstration reaches."""
CHUNK_TIMEOUT_S = 5.0
"""Take a stream for broken when no chunk came for this long, in seconds."""


@frozen
class RequestRecord:
    """Hold one request that was not answered as it should be."""

    service: str
    run_id: str
    result: RequestResult


@define
class Tally:
    """Count what became of the requests of one step."""

    outcomes: Counter[tuple[str, Outcome]] = field(factory=Counter)
    wrong: list[RequestRecord] = field(factory=list)
    refused: list[RequestRecord] = field(factory=list)
    broken: list[RequestRecord] = field(factory=list)
    backends: Counter[str] = field(factory=Counter)
    slowest_s: float = 0.0

    def count(self, outcome: Outcome, service: str | None = None) -> int:
        """Return how many requests had an outcome."""
        return sum(
            number
            for (name, seen), number in self.outcomes.items()
            if seen is outcome and service in (None, name)
        )

    def add(self, record: RequestRecord, correct: bool) -> None:
        """Count one result."""
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
    """Send short requests of every class that takes them."""

    def __init__(self, sock: CallerSocket, services: tuple[Service, ...]) -> None:
        self._sock = sock
        self._services = services
        self._numbers = itertools.count(1)

    async def run(self, tally: Tally, stop: trio.Event) -> None:
        """Send requests, one at a time in each class, until told to stop."""
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
    """Hold one long stream and check that every chunk comes in its turn."""

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
                    self.fault = f"answered by {stream.service}"
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
                self.fault = f"no chunk for {CHUNK_TIMEOUT_S} s"
            self.longest_gap_s = max(self.longest_gap_s, trio.current_time() - started)
            *lines, pending = pending.split("\n")
            for line in lines:
                self._check_chunk(line)

    def _check_chunk(self, line: str) -> None:
        if line != str(self.chunks):
            self.fault = f"chunk {line!r} came in place of {self.chunks}"
        self.chunks += 1


def should_send_requests(service_class: ServiceClass) -> bool:
    """Tell whether the demonstration sends requests of a class; TCP is shown by tests only."""
    is_request = service_class.kind is FlowKind.REQUEST
    return is_request and service_class.transport is not Transport.TCP


def is_correct(result: RequestResult, service: str, run_id: str) -> bool:
    """Tell whether an answer is the whole answer to its own request."""
    return result.service == service and run_id in result.body.replace("=", " ").split(" ")

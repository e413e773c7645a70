"""Serve the same work by one shared pool that knows every slot at once."""

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from .workload import Arrival


@frozen
class PoolOutcome:
    """Hold what a pool did."""

    offered: int
    refused: int
    imbalance: float


@define
class Server:
    """Hold the slots of one backend server."""

    number: int
    speed: float
    slots: int
    busy: int = 0
    busy_seconds: float = 0.0

    @property
    def mean_load(self) -> float:
        """Return the slot seconds used for each slot so far."""
        return self.busy_seconds / self.slots


ChooseServer = Callable[[list[Server]], Server]


def choose_fastest(free: list[Server]) -> Server:
    """Return the fastest free server, which refuses least."""
    return max(free, key=lambda server: server.speed)


def choose_least_used(free: list[Server]) -> Server:
    """Return the free server that has been used least."""
    return min(free, key=lambda server: server.mean_load)


@define
class Pool:
    """Run work on any free slot; what waits too long is refused."""

    servers: list[Server]
    wait_s: float
    choose: ChooseServer
    measured_from: float
    now: float = 0.0
    refused: int = 0
    offered: int = 0
    _ends: list[tuple[float, int, int]] = field(factory=list)
    _queue: deque[Arrival] = field(factory=deque)
    _numbers: int = 0

    def take(self, arrival: Arrival) -> None:
        """Start, keep or refuse one piece of work."""
        self._advance(arrival.time)
        self.now = arrival.time
        self.offered += arrival.time >= self.measured_from
        if not self._start(arrival):
            self._queue.append(arrival)

    def finish(self) -> None:
        """Run until nothing is left."""
        self._advance(float("inf"))

    def _advance(self, until: float) -> None:
        while self._ends and self._ends[0][0] <= until:
            self.now, _, number = heapq.heappop(self._ends)
            self.servers[number].busy -= 1
            self._serve_queue()
        self._drop_late(until)

    def _serve_queue(self) -> None:
        self._drop_late(self.now)
        while self._queue and self._start(self._queue[0]):
            self._queue.popleft()

    def _drop_late(self, now: float) -> None:
        while self._queue and self._queue[0].time + self.wait_s < now:
            late = self._queue.popleft()
            self.refused += late.time >= self.measured_from

    def _start(self, arrival: Arrival) -> bool:
        free = [server for server in self.servers if server.busy < server.slots]
        if not free:
            return False
        server = self.choose(free)
        time_s = arrival.size_s / server.speed
        server.busy += 1
        end = self.now + time_s
        server.busy_seconds += max(0.0, end - max(self.now, self.measured_from))
        self._numbers += 1
        heapq.heappush(self._ends, (end, self._numbers, server.number))
        return True


def run_pool(
    speeds: Iterable[float],
    slots: int,
    wait_s: float,
    arrivals: Iterable[Arrival],
    choose: ChooseServer,
    measured_from: float = 0.0,
) -> PoolOutcome:
    """Run the work through a shared pool."""
    servers = [Server(number, speed, slots) for number, speed in enumerate(speeds)]
    pool = Pool(servers, wait_s, choose, measured_from)
    for arrival in arrivals:
        pool.take(arrival)
    pool.finish()
    loads = [server.mean_load for server in servers]
    return PoolOutcome(pool.offered, pool.refused, max(loads) / (sum(loads) / len(loads)))

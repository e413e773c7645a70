"""Serve the same workload from a shared pool that always knows the state of every slot."""

import heapq
from collections import deque
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from .workload import Arrival


@frozen
class PoolResult:
    """Outcome of running a workload through a pool."""

    offered: int
    refused: int
    imbalance: float
    """Greatest slot time used per slot of a server, over the mean of all servers."""


@define
class PoolServer:
    """Slots of one backend server and their use."""

    index: int
    speed: float
    slots: int
    busy: int = 0
    busy_seconds: float = 0.0

    @property
    def busy_seconds_per_slot(self) -> float:
        """Return the mean time that a slot was busy so far, in seconds."""
        return self.busy_seconds / self.slots


ChooseServer = Callable[[list[PoolServer]], PoolServer]
"""Chooses among the servers that have a free slot."""


def choose_fastest(free: list[PoolServer]) -> PoolServer:
    """Return the fastest free server; this choice leads to the fewest refusals."""
    return max(free, key=lambda server: server.speed)


def choose_least_used(free: list[PoolServer]) -> PoolServer:
    """Return the free server whose slots were busy for the shortest time."""
    return min(free, key=lambda server: server.busy_seconds_per_slot)


@define
class Pool:
    """Shared pool that runs calls on any free slot and refuses those that wait too long."""

    servers: list[PoolServer]
    max_wait_s: float
    choose: ChooseServer
    measurement_start_s: float
    now: float = 0.0
    refused: int = 0
    offered: int = 0
    _completions: list[tuple[float, int, int]] = field(factory=list)
    _queue: deque[Arrival] = field(factory=deque)
    _started_count: int = 0

    def handle_arrival(self, arrival: Arrival) -> None:
        """Start a call, or queue it if no slot is free."""
        self._advance_to(arrival.time)
        self.now = arrival.time
        self.offered += arrival.time >= self.measurement_start_s
        if not self._try_start(arrival):
            self._queue.append(arrival)

    def run_to_completion(self) -> None:
        """Advance time until every call has ended or was refused."""
        self._advance_to(float("inf"))

    def _advance_to(self, until: float) -> None:
        while self._completions and self._completions[0][0] <= until:
            self.now, _, index = heapq.heappop(self._completions)
            self.servers[index].busy -= 1
            self._start_queued()
        self._refuse_expired(until)

    def _start_queued(self) -> None:
        self._refuse_expired(self.now)
        while self._queue and self._try_start(self._queue[0]):
            self._queue.popleft()

    def _refuse_expired(self, now: float) -> None:
        while self._queue and self._queue[0].time + self.max_wait_s < now:
            expired = self._queue.popleft()
            self.refused += expired.time >= self.measurement_start_s

    def _try_start(self, arrival: Arrival) -> bool:
        free = [server for server in self.servers if server.busy < server.slots]
        if not free:
            return False
        server = self.choose(free)
        run_time_s = arrival.service_time_s / server.speed
        server.busy += 1
        end = self.now + run_time_s
        server.busy_seconds += max(0.0, end - max(self.now, self.measurement_start_s))
        self._started_count += 1
        heapq.heappush(self._completions, (end, self._started_count, server.index))
        return True


def run_pool(
    speeds: Iterable[float],
    slots: int,
    max_wait_s: float,
    arrivals: Iterable[Arrival],
    choose: ChooseServer,
    measurement_start_s: float = 0.0,
) -> PoolResult:
    """Run a workload through a shared pool of servers with equal slot counts."""
    servers = [PoolServer(index, speed, slots) for index, speed in enumerate(speeds)]
    pool = Pool(servers, max_wait_s, choose, measurement_start_s)
    for arrival in arrivals:
        pool.handle_arrival(arrival)
    pool.run_to_completion()
    loads = [server.busy_seconds_per_slot for server in servers]
    return PoolResult(pool.offered, pool.refused, max(loads) / (sum(loads) / len(loads)))

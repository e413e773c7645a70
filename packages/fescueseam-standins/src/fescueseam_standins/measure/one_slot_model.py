"""Servers with one slot, balancers and the messages between them, in virtual time."""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from functools import partial

from attrs import define, field

from fescueseam.handshake.member import Availability, Identity, Load
from fescueseam.handshake.members import Fleet
from fescueseam.handshake.openings import OVERFLOW_REQUESTS_PER_SLOT
from fescueseam.handshake.rules import ActiveConfiguration
from fescueseam.overload.remote import RemotePreference

NEAR_HOP_S, FAR_HOP_S = 0.0003, 0.0008
"""One-way delays within a data centre and between two, in seconds."""
NEAR_REPORT_INTERVAL_S, FAR_REPORT_INTERVAL_S = 0.5, 2.0
"""Intervals of the reports to a balancer of the same and of another data centre, in seconds."""
RECENT_WEIGHT = 0.1
"""Weight of a new value in the moving averages that a server reports."""


@define(eq=False)
class ModelServer:
    """A backend server with one slot, and its agent."""

    identity: Identity
    speed: float
    queue: deque["Request"] = field(factory=deque)
    """The request at work and those behind it."""
    service_time_s: float = 0.0
    utilisation: float = 0.0
    announced_idle: deque["ModelServer"] = field(factory=deque)
    """Servers that announced themselves to this agent, the newest last."""


@define(eq=False)
class ModelBalancer:
    """A balancer and what it knows of the servers."""

    fleet: Fleet
    announced_idle: deque[ModelServer] = field(factory=deque)
    remote: RemotePreference | None = None
    """What it remembers of its flows to other data centres; None adds a constant delay to them."""


@define(eq=False)
class Request:
    """One request from its opening to its end."""

    balancer: ModelBalancer
    opened_at: float
    work_s: float
    placed_at: float | None = None
    started_at: float | None = None
    ended_at: float | None = None
    was_queued: bool = False
    is_remote: bool = False
    tried: set[str] = field(factory=set)
    rejecting: set[str] = field(factory=set)
    delays: dict[str, float] = field(factory=dict)
    """Expected delay at each server that rejected the request for want of a free slot, in seconds;
    negative once it was asked to queue the request."""


PlaceRequest = Callable[["Model", Request], None]
"""Sends the messages that place a request."""
AnnounceIdle = Callable[["Model", ModelServer], None]
"""Sends the messages of a server whose queue has become empty."""


@define(eq=False)
class Model:
    """Servers, balancers and the messages between them in virtual time."""

    rng: random.Random
    place: PlaceRequest
    announce_idle: AnnounceIdle
    servers: dict[str, ModelServer] = field(factory=dict)
    balancers: list[ModelBalancer] = field(factory=list)
    configuration: ActiveConfiguration = field(factory=ActiveConfiguration)
    now: float = 0.0
    messages: int = 0
    rejected: int = 0
    far_report_interval_s: float = FAR_REPORT_INTERVAL_S
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _order: "itertools.count[int]" = field(factory=itertools.count)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), callback))

    def send(self, one: Identity, other: Identity, callback: Callable[[], None]) -> None:
        """Count a message and call back when it arrives."""
        self.messages += 1
        is_near = one.data_centre == other.data_centre
        self.schedule(NEAR_HOP_S if is_near else FAR_HOP_S, callback)

    def run(self, until: float) -> None:
        """Handle every event up to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()

    def offer(
        self, request: Request, server: ModelServer, even_if_busy: bool, on_full: Callable[[], None]
    ) -> None:
        """Offer a request to a server; call `on_full` when its rejection arrives."""
        own = request.balancer.fleet.own

        def arrive() -> None:
            limit = OVERFLOW_REQUESTS_PER_SLOT if even_if_busy else 1
            if len(server.queue) >= limit:
                self.send(server.identity, own, on_full)
                return
            request.placed_at = self.now
            request.was_queued = bool(server.queue)
            request.is_remote = server.identity.data_centre != own.data_centre
            server.queue.append(request)
            if len(server.queue) == 1:
                self._start_work(server)

        self.send(own, server.identity, arrive)

    def _start_work(self, server: ModelServer) -> None:
        request = server.queue[0]
        request.started_at = self.now
        duration_s = request.work_s / server.speed
        server.service_time_s += RECENT_WEIGHT * (duration_s - server.service_time_s)
        self.schedule(duration_s, lambda: self._end_work(server))

    def _end_work(self, server: ModelServer) -> None:
        server.queue.popleft().ended_at = self.now
        if server.queue:
            self._start_work(server)
        else:
            self.announce_idle(self, server)

    def report(self, server: ModelServer, balancer: ModelBalancer, sequence: int) -> None:
        """Send a report of a server to a balancer now and at every interval."""
        is_near = server.identity.data_centre == balancer.fleet.own.data_centre
        busy = len(server.queue)
        server.utilisation += RECENT_WEIGHT * (min(1, busy) - server.utilisation)
        load = Load(Availability.READY, busy, 0, 1, server.utilisation, server.service_time_s)
        balancer.fleet.record_report(server.identity, load, sequence, self.now)
        interval_s = NEAR_REPORT_INTERVAL_S if is_near else self.far_report_interval_s
        self.schedule(interval_s, partial(self.report, server, balancer, sequence + 1))

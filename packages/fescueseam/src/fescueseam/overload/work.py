"""Learned work of the requests of each route at one backend server."""

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Mapping

from attrs import define, field

from fescueseam.handshake.flows import Flow
from fescueseam.handshake.member import RouteWork
from fescueseam.handshake.segments import FlowId, ServiceAddress
from fescueseam.overload.placement import is_long
from fescueseam.overload.speeds import RecentSlowness

ROUTES_LIMIT = 32
"""Largest number of routes whose work is kept; the one served least recently is dropped."""
PENDING_LIMIT = 1024
"""Largest number of pending requests whose start is kept. A backend server queues fewer."""
DEPARTURES_LIMIT = 256
"""Number of ends of requests that are kept to tell when a queued request got its slot."""
WORK_RETENTION_S = 60.0
"""Time without a request after which the work of a route is dropped, in seconds."""
MIN_SAMPLES = 4
"""Number of requests from which the work of a route counts as learned."""
SAMPLE_WEIGHT = 0.1
"""Smallest weight of a new service time in the moving averages."""
SLOW_SAMPLE_WEIGHT = 0.01
"""Weight of a service time while the backend server is slower than before, so that its usual work
stays known."""
CLIP_DEVIATIONS = 4.0
"""Number of mean deviations from the mean at which a service time is clipped."""
MIN_CLIP_SHARE = 0.5
"""Smallest distance from the mean at which a service time is clipped, relative to the mean."""
UPPER_DEVIATIONS = 0.5
"""Number of mean deviations above the mean from which a service time counts as slow, so that
routes of uneven work raise no false alarm."""
USE_TIME_CONSTANT_S = 10.0
"""Time constant of the share of time for which a flow has a request at work, in seconds."""
REPORT_INTERVAL_S = 2.0
"""Interval at which the learned work is reported to one balancer, in seconds."""
MIN_REPORT_INTERVAL_S = 1.0
"""Shortest interval at which changed means are reported, in seconds."""
USE_INTERVAL_S = 0.25
"""Shortest interval at which the open flows are counted by route, in seconds."""
CHANGE_SHARE = 0.2
"""Change of a mean or of a number of flows that is reported at once, relative to its value."""


@define
class _PendingRequest:
    arrived_at: float
    starts_after: int
    """Number of ended requests, in all, after which a slot is free for it."""


@define
class _Route:
    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0
    used_at: float = 0.0
    work_s: float = 0.0
    """Time at work of the route's requests; decays."""
    flow_time_s: float = 0.0
    """Time for which the route's flows were open; decays."""
    flows: int = 0
    requests_per_flow: float = 1.0

    @property
    def upper_s(self) -> float:
        """Return the service time with which recent ones are compared."""
        return self.mean_s + UPPER_DEVIATIONS * self.deviation_s

    def record(self, service_time_s: float, weight: float, now: float) -> None:
        """Record a service time; a single odd one is clipped."""
        self.used_at = now
        self.work_s += service_time_s
        if self.samples >= MIN_SAMPLES:
            distance_s = max(CLIP_DEVIATIONS * self.deviation_s, MIN_CLIP_SHARE * self.mean_s)
            service_time_s = min(service_time_s, self.mean_s + distance_s)
        weight = max(weight, 1.0 / (self.samples + 1))
        self.samples += 1
        difference_s = service_time_s - self.mean_s
        if self.samples > 1:
            self.deviation_s += weight * (abs(difference_s) - self.deviation_s)
        self.mean_s += weight * difference_s

    def update_use(self, flows: int, elapsed_s: float) -> None:
        """Record that some flows were open for a time."""
        decay = math.exp(-elapsed_s / USE_TIME_CONSTANT_S)
        self.flows = flows
        self.work_s *= decay
        self.flow_time_s = self.flow_time_s * decay + flows * elapsed_s

    def build(self, address: ServiceAddress) -> RouteWork:
        """Return what is reported of the route."""
        busy_share = min(1.0, self.work_s / self.flow_time_s) if self.flow_time_s else 0.0
        return RouteWork(
            address, self.mean_s, self.deviation_s, self.requests_per_flow, self.flows, busy_share
        )


@define
class LearnedWork:
    """Service times, told from waiting, and use of flows by route at one backend server."""

    slowness: RecentSlowness = field(factory=RecentSlowness)
    _routes: OrderedDict[ServiceAddress, _Route] = field(factory=OrderedDict)
    _pending: OrderedDict[FlowId, _PendingRequest] = field(factory=OrderedDict)
    _ended_at: deque[float] = field(factory=lambda: deque(maxlen=DEPARTURES_LIMIT))
    _arrivals: int = 0
    _departures: int = 0
    _updated_at: float | None = None
    _collected: tuple[RouteWork, ...] = ()
    _reported: tuple[RouteWork, ...] = ()
    """What was collected when it last changed much."""
    _changed_at: float = -math.inf

    def record_request(self, flow: FlowId, is_new: bool, busy: int, slots: int, now: float) -> None:
        """Record data of a request; `busy` is the number of pending requests with this one."""
        pending = self._pending.get(flow)
        if not is_new:
            if pending is not None:
                pending.arrived_at = now
            return
        self._arrivals += 1
        self._record_departures(busy, now)
        queued_before = max(0, busy - max(1, slots))
        self._pending[flow] = _PendingRequest(now, self._departures + queued_before)
        self._pending.move_to_end(flow)
        if len(self._pending) > PENDING_LIMIT:
            self._pending.popitem(last=False)

    def record_end(
        self, flow: FlowId, answered: bool, busy: int, is_usual: bool, now: float
    ) -> float | None:
        """Record the end of a request; return its service time, or None if it is not known.

        `busy` is the number of requests that are still pending. A request that was answered before
        its turn, as servers may do, tells no service time. Unusual ones are not learned from.
        """
        pending = self._pending.pop(flow, None)
        # A request gets the slot of one that ended before it.
        starts_at = None if pending is None else self._find_start(pending)
        self._record_departures(busy, now)
        if not answered and is_usual:
            self.slowness.record_failure(now)
        if starts_at is None or not answered or not is_usual:
            return None
        service_time_s = now - starts_at
        self._record_service_time(flow[2:], service_time_s, now)
        return service_time_s

    def reset_pending(self) -> None:
        """Forget the pending requests, because the backend server has restarted."""
        self._pending.clear()
        self.slowness.reset()

    def compute_slowness(self, is_pending: Callable[[FlowId], bool], now: float) -> float:
        """Return the recent service times relative to the usual ones, requests at work included."""
        longest = 0.0
        for flow, pending in list(self._pending.items()):
            if not is_pending(flow):
                del self._pending[flow]
                continue
            starts_at = self._find_start(pending)
            route = self._routes.get(flow[2:])
            if starts_at is not None and route is not None and route.samples >= MIN_SAMPLES:
                longest = max(longest, (now - starts_at) / route.upper_s)
        return self.slowness.compute(longest, now)

    def _update_use(self, flows: Mapping[FlowId, Flow], now: float) -> None:
        """Record the open flows of each route and the requests that they carry."""
        elapsed_s = 0.0 if self._updated_at is None else max(0.0, now - self._updated_at)
        self._updated_at = now
        open_flows: dict[ServiceAddress, int] = {}
        used_flows: dict[ServiceAddress, int] = {}
        requests: dict[ServiceAddress, int] = {}
        for flow, entry in flows.items():
            address = flow[2:]
            if entry.answered and not entry.ended:
                open_flows[address] = open_flows.get(address, 0) + 1
            if entry.requests:
                used_flows[address] = used_flows.get(address, 0) + 1
                requests[address] = requests.get(address, 0) + entry.requests
        for address, route in list(self._routes.items()):
            if now - route.used_at >= WORK_RETENTION_S:
                del self._routes[address]
                continue
            route.update_use(open_flows.get(address, 0), elapsed_s)
            if address in used_flows:
                route.requests_per_flow = requests[address] / used_flows[address]

    def list_learned(self) -> tuple[RouteWork, ...]:
        """Return the work of the routes that were served lately."""
        return tuple(
            route.build(address)
            for address, route in self._routes.items()
            if route.samples >= MIN_SAMPLES
        )

    def collect_report(self, flows: Mapping[FlowId, Flow], now: float) -> tuple[RouteWork, ...]:
        """Return the learned work for the reports of now."""
        if self._updated_at is None or now - self._updated_at >= USE_INTERVAL_S:
            self._update_use(flows, now)
            self._collected = self.list_learned()
            before = {item.address: item for item in self._reported}
            # Means of uneven work change often; new long flows soon count no more as sent.
            may_tell_means = now - self._changed_at >= MIN_REPORT_INTERVAL_S
            if any(
                _has_other_long_flows(item, before.get(item.address))
                or (may_tell_means and _has_other_mean(item, before.get(item.address)))
                for item in self._collected
            ):
                self._reported = self._collected
                self._changed_at = now
        return self._collected

    def is_due(self, sent_at: float, now: float) -> bool:
        """Return whether a balancer that was told the work at a time is to be told now."""
        return now - sent_at >= REPORT_INTERVAL_S or sent_at < self._changed_at

    def _record_departures(self, busy: int, now: float) -> None:
        ended = self._arrivals - busy - self._departures
        if ended > 0:
            self._ended_at.extend([now] * min(ended, DEPARTURES_LIMIT))
            self._departures += ended

    def _find_start(self, pending: _PendingRequest) -> float | None:
        if pending.starts_after > self._departures:
            return None
        index = pending.starts_after - 1 - (self._departures - len(self._ended_at))
        freed_at = self._ended_at[index] if 0 <= index < len(self._ended_at) else -math.inf
        return max(pending.arrived_at, freed_at)

    def _record_service_time(
        self, address: ServiceAddress, service_time_s: float, now: float
    ) -> None:
        route = self._routes.get(address)
        if route is None:
            if len(self._routes) >= ROUTES_LIMIT:
                self._routes.popitem(last=False)
            route = self._routes[address] = _Route()
        self._routes.move_to_end(address)
        if route.samples >= MIN_SAMPLES and route.mean_s > 0:
            self.slowness.record(service_time_s / route.upper_s, now)
        weight = SLOW_SAMPLE_WEIGHT if self.slowness.is_slow else SAMPLE_WEIGHT
        route.record(service_time_s, weight, now)


def _has_other_mean(one: RouteWork, other: RouteWork | None) -> bool:
    return other is None or abs(one.mean_s - other.mean_s) > CHANGE_SHARE * other.mean_s


def _has_other_long_flows(one: RouteWork, other: RouteWork | None) -> bool:
    flows = 0 if other is None else other.flows
    return is_long(one) and abs(one.flows - flows) > 1 + CHANGE_SHARE * flows

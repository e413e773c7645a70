"""When a server of another data centre is worth the way.

Load pattern: demand that moves between data centres while reports from the others are late, so that
many balancers see the same free server at the same time.
"""

import math

from attrs import define, field, frozen

from fescueseam.overload.duties import hash_name

MEAN_BYTES_WEIGHT = 0.01
"""Weight of a new flow in the mean of what the flows of this balancer carry."""
LEAST_CARRIED, MOST_CARRIED = 0.5, 4.0
"""Bounds of the factor on the penalty for what a flow carries, relative to that mean."""
INITIAL_WINDOW_BYTES = 14_600
"""Bytes that a server sends in the first round trip of an answer; the window doubles with each."""
HANDSHAKE_ROUND_TRIPS = 2
"""Round trips of a flow with one small answer."""
ROUND_TRIP_GROWTH = 0.02
"""Weight of a round trip that is longer than the shortest known one, so that a queue at the agent
does not count as distance."""
HOLD_S = 1.0
"""Time without a flow to another data centre after which it counts as given up, in seconds."""
NEAR_TARGET_SHARE = 0.8
"""Share of the latency target up to which a mean expected delay nearby is good enough; the rest is
left for requests that take longer than the mean."""
RETURN_FACTOR = 0.75
"""Factor on that share while flows go to another data centre already, so that the choice does not
change with every small difference."""
NEAR_EQUAL_SHARE = 0.5
"""Share of the service time within which two remote servers count as equal."""
RANKS_LIMIT = 4096
"""Largest number of servers whose ranks are kept; more are computed again."""
SENT_RETENTION_S = 10.0
"""Time for which flows sent to a server are remembered, in seconds: several service times."""


@frozen
class RemoteChange:
    """Flows of a service begin to go to another data centre, or cease to."""

    service: str
    is_remote: bool
    near_s: float
    """Least expected delay in the own data centre, in seconds; infinite without a server."""
    remote_s: float | None = None
    """Least expected delay in another data centre, with the cost of the way, in seconds."""


def count_round_trips(flow_bytes: float) -> int:
    """Return the number of round trips of a flow whose answers have some bytes."""
    windows = max(0.0, flow_bytes) / INITIAL_WINDOW_BYTES
    return HANDSHAKE_ROUND_TRIPS + int(math.log2(windows + 1))


def compute_way_cost(
    penalty_s: float, flow_bytes: float, mean_bytes: float, extra_round_trip_s: float
) -> float:
    """Return the wait nearby that is accepted for a flow to save it the way, in seconds.

    It is the penalty for a flow that carries the mean, and where nothing is learned.
    """
    carried = 1.0
    if flow_bytes > 0 and mean_bytes > 0:
        carried = min(MOST_CARRIED, max(LEAST_CARRIED, flow_bytes / mean_bytes))
    return max(penalty_s * carried, count_round_trips(flow_bytes) * extra_round_trip_s)


@define(eq=False)
class RemotePreference:
    """What one balancer remembers of its flows to other data centres."""

    own_name: str
    own_data_centre: str
    senders: dict[str, int] = field(factory=dict)
    """Number of balancers, with this one, that may send to each data centre from another one."""
    changes: list[RemoteChange] = field(factory=list)
    """Changes that were not taken yet."""
    remote_flows: int = 0
    """Number of flows that were placed in another data centre."""
    _sent: dict[str, tuple[float, float]] = field(factory=dict)
    """Flows at work that this balancer sent to each remote server, and when that was computed."""
    _round_trips: dict[str, float] = field(factory=dict)
    """Shortest round trip to each data centre lately, in seconds."""
    _remote_since: dict[str, float] = field(factory=dict)
    """Services whose flows go to another data centre, and when the last one did."""
    _ranks: dict[str, bytes] = field(factory=dict)
    _mean_bytes: float = 0.0
    """Mean bytes of a flow, over the flows of all services; 0 before any is known."""

    def is_good_enough(self, service: str, near_s: float, target_s: float) -> bool:
        """Return whether an expected delay nearby leaves callers within their target."""
        limit_s = NEAR_TARGET_SHARE * target_s
        return near_s <= (limit_s * RETURN_FACTOR if service in self._remote_since else limit_s)

    def record_round_trip(self, data_centre: str, duration_s: float) -> None:
        """Record how long an agent took to answer an offer."""
        known = self._round_trips.get(data_centre, duration_s)
        growth = 1.0 if duration_s < known else ROUND_TRIP_GROWTH
        self._round_trips[data_centre] = known + (duration_s - known) * growth

    def compute_cost(self, data_centre: str, penalty_s: float, flow_bytes: float) -> float:
        """Return the cost of the way to a data centre for a flow, in seconds."""
        own_s = self._round_trips.get(self.own_data_centre)
        far_s = self._round_trips.get(data_centre)
        extra_s = max(0.0, far_s - own_s) if own_s is not None and far_s is not None else 0.0
        return compute_way_cost(penalty_s, flow_bytes, self._mean_bytes, extra_s)

    def estimate_sent(
        self, name: str, data_centre: str, service_time_s: float, now: float
    ) -> float:
        """Return how many flows of all balancers are at work at a server since its report.

        The others see the same reports, so they are taken to send as much as this one. It thereby
        takes its own share of the room only.
        """
        known = self._sent.get(name)
        if known is None:
            return 0.0
        sent = known[0] * math.exp((known[1] - now) / service_time_s)
        return sent * max(1, self.senders.get(data_centre, 1))

    def record_sent(self, name: str, service_time_s: float, now: float) -> None:
        """Record a flow to a remote server."""
        self.remote_flows += 1
        value, at = self._sent.get(name, (0.0, now))
        self._sent[name] = (value * math.exp((at - now) / service_time_s) + 1, now)

    def choose_remote(self, delays: list[tuple[float, str]], service_time_s: float) -> str:
        """Return the remote server to prefer; each balancer ranks near-equal ones differently."""
        best_s = min(delays)[0]
        limit_s = best_s + NEAR_EQUAL_SHARE * service_time_s
        return min((name for delay_s, name in delays if delay_s <= limit_s), key=self._rank)

    def record_near(self, service: str, near_s: float, flow_bytes: float, now: float) -> None:
        """Record that a flow stays in the own data centre."""
        self._record_flow_bytes(flow_bytes)
        if now - self._remote_since.get(service, now) >= HOLD_S:
            del self._remote_since[service]
            self.changes.append(RemoteChange(service, False, near_s))

    def record_remote(
        self, service: str, near_s: float, remote_s: float, flow_bytes: float, now: float
    ) -> None:
        """Record that a flow goes to another data centre."""
        self._record_flow_bytes(flow_bytes)
        if service not in self._remote_since:
            self.changes.append(RemoteChange(service, True, near_s, remote_s))
        self._remote_since[service] = now

    def take_changes(self) -> list[RemoteChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def expire(self, now: float) -> None:
        """Forget what was sent to servers long ago."""
        for name, (_, at) in list(self._sent.items()):
            if now - at >= SENT_RETENTION_S:
                del self._sent[name]
        if len(self._ranks) > RANKS_LIMIT:
            self._ranks.clear()

    def _record_flow_bytes(self, flow_bytes: float) -> None:
        if flow_bytes > 0:
            known = self._mean_bytes or flow_bytes
            self._mean_bytes = known + (flow_bytes - known) * MEAN_BYTES_WEIGHT

    def _rank(self, name: str) -> bytes:
        rank = self._ranks.get(name)
        if rank is None:
            rank = self._ranks[name] = hash_name(f"{self.own_name}\0{name}")
        return rank

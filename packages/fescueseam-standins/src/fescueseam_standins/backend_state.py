"""Track the load, the limits and the counts of a backend server stand-in."""

from collections import Counter, deque

from attrs import asdict, define, field, frozen

from .platform_state import JsonValue

MAX_LOAD_SNAPSHOTS = 4096
"""Largest number of load snapshots kept for delayed load reports."""


@frozen
class BackendSettings:
    """Identity, limits and simulated faults of one backend server."""

    service: str
    name: str
    slots: int = 2
    connections: int = 2000
    cold_slots: int = 1
    cold_connections: int = 100
    warm_up_successes: int = 8
    """Number of answered requests that raise the slot limit by one during warm-up."""
    warm_up_s: float = 30.0
    """Time in which the limit on streams rises to its full value, in seconds."""
    service_time_s: float = 0.02
    fall_over_s: float = 2.0
    """Time without any answer after an overload in a cold start, in seconds."""
    load_lag_s: float = 0.0
    """Age of the load that a load report shows, in seconds."""
    load_busy_factor: float = 1.0
    """Factor by which a load report multiplies the number of busy slots."""


@frozen
class LoadSnapshot:
    """Load at one point in time."""

    taken_at: float
    busy: int
    open_connections: int
    completed: int


@define
class BackendCounts:
    """Counts that show whether the guarantees given to a backend server are kept."""

    received: int = 0
    """Number of datagrams received on the ports for flows."""
    encapsulated: int = 0
    """Number of encapsulated TCP packets, which the stand-in does not answer."""
    overloads: int = 0
    shed: int = 0
    opened: int = 0
    """Number of requests and streams that were opened."""
    opened_while_draining: int = 0
    restarts: int = 0


@define
class BackendState:
    """Load of a backend server, with lower limits during a cold start."""

    cfg: BackendSettings
    incarnation: int
    started: float
    busy: int = 0
    open_connections: int = 0
    completed: int = 0
    """Number of request flows answered since the start."""
    draining: bool = False
    counts: BackendCounts = field(factory=BackendCounts)
    runs: Counter[str] = field(factory=Counter)
    """Number of runs by id; a restart keeps it, as it is evidence for checks, not server state."""
    _unresponsive_until: float = 0.0
    _snapshots: deque[LoadSnapshot] = field(factory=lambda: deque(maxlen=MAX_LOAD_SNAPSHOTS))

    def open_request(self, now: float) -> None:
        """Count a request that takes a slot; an excess during a cold start is an overload."""
        self._count_opening()
        self.busy += 1
        cold = self.compute_slot_limit() < self.cfg.slots
        if cold and self.busy > self.compute_slot_limit():
            self._record_overload(now)
        self._record_snapshot(now)

    def close_request(self, now: float, completed: bool) -> None:
        """Count the end of a request; `completed` marks the first answer of its flow."""
        self.busy = max(0, self.busy - 1)
        self.completed += int(completed)
        self._record_snapshot(now)

    def open_stream(self, now: float) -> None:
        """Count a stream's connection; an excess during a cold start is an overload."""
        self._count_opening()
        self.open_connections += 1
        cold = now - self.started < self.cfg.warm_up_s
        if cold and self.open_connections > self.compute_connection_limit(now):
            self._record_overload(now)
        self._record_snapshot(now)

    def close_stream(self, now: float) -> None:
        """Count the end of a stream's connection."""
        self.open_connections = max(0, self.open_connections - 1)
        self._record_snapshot(now)

    def compute_slot_limit(self) -> int:
        """Return the current limit on concurrent requests, which rises during warm-up."""
        earned_slots = self.completed // self.cfg.warm_up_successes
        return min(self.cfg.slots, self.cfg.cold_slots + earned_slots)

    def compute_connection_limit(self, now: float) -> int:
        """Return the current limit on concurrent streams, which rises during warm-up."""
        share = min(1.0, (now - self.started) / self.cfg.warm_up_s)
        added_connections = int((self.cfg.connections - self.cfg.cold_connections) * share)
        return self.cfg.cold_connections + max(0, added_connections)

    def is_over_capacity(self) -> bool:
        """Return whether more requests are open than there are slots.

        A warm server then sheds the newest request. A cold one is overloaded before.
        """
        return self.busy > self.cfg.slots

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the server answers nothing after an overload."""
        return now < self._unresponsive_until

    def restart(self, now: float, incarnation: int) -> None:
        """Return to a cold start; keep only the counts and the recorded runs."""
        self.incarnation = incarnation
        self.started = now
        self.busy = self.open_connections = self.completed = 0
        self.draining = False
        self._unresponsive_until = 0.0
        self._snapshots.clear()
        self.counts.restarts += 1

    def record_run(self, run_id: str) -> int:
        """Count one run of an id; return how often it has run."""
        self.runs[run_id] += 1
        return self.runs[run_id]

    def describe_load(self, now: float) -> dict[str, JsonValue]:
        """Return the load report, delayed and distorted as the settings say."""
        snapshot = self._find_snapshot(now - self.cfg.load_lag_s)
        return {
            "incarnation": self.incarnation,
            "uptime_s": now - self.started,
            "slots": self.cfg.slots,
            "connections": self.cfg.connections,
            "busy": round(snapshot.busy * self.cfg.load_busy_factor),
            "open_connections": snapshot.open_connections,
            "completed": snapshot.completed,
            "draining": self.draining,
        }

    def describe_counts(self) -> dict[str, JsonValue]:
        """Return the counts and the number of runs of each id."""
        counts: dict[str, JsonValue] = asdict(self.counts)
        return {"counts": counts, "runs": dict(self.runs)}

    def _count_opening(self) -> None:
        self.counts.opened += 1
        self.counts.opened_while_draining += int(self.draining)

    def _record_overload(self, now: float) -> None:
        self.counts.overloads += 1
        self._unresponsive_until = now + self.cfg.fall_over_s

    def _record_snapshot(self, now: float) -> None:
        if self.cfg.load_lag_s > 0:
            self._snapshots.append(self._make_snapshot(now))

    def _make_snapshot(self, now: float) -> LoadSnapshot:
        return LoadSnapshot(now, self.busy, self.open_connections, self.completed)

    def _find_snapshot(self, time: float) -> LoadSnapshot:
        if self.cfg.load_lag_s <= 0:
            return self._make_snapshot(time)
        while len(self._snapshots) > 1 and self._snapshots[1].taken_at <= time:
            self._snapshots.popleft()
        if self._snapshots and self._snapshots[0].taken_at <= time:
            return self._snapshots[0]
        return LoadSnapshot(time, 0, 0, 0)

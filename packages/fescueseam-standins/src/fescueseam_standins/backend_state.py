"""Keep what a backend server bears, serves and reports."""

from collections import Counter, deque

from attrs import asdict, define, field, frozen

from .platform_state import JsonValue

MAX_SNAPSHOTS = 4096
"""Bound the load history that a lagging report is taken from."""


@frozen
class BackendSettings:
    """Hold the identity and the limits of one backend server."""

    service: str
    name: str
    slots: int = 2
    connections: int = 2000
    cold_slots: int = 1
    cold_connections: int = 100
    warm_up_successes: int = 8
    """Count the answered requests after which one further slot is borne."""
    warm_up_s: float = 30.0
    """Bear the full number of streams after this time, in seconds."""
    service_time_s: float = 0.02
    fall_over_s: float = 2.0
    """Answer nothing for this long after an overload in a cold start, in seconds."""
    load_lag_s: float = 0.0
    """Report the load as it was this long ago, in seconds."""
    load_busy_factor: float = 1.0
    """Report this many times the true number of busy slots."""


@frozen
class Snapshot:
    """Hold the load at one time."""

    taken: float
    busy: int
    open_connections: int
    completed: int


@define
class BackendCounts:
    """Count what proves or disproves the promises made to a backend server."""

    received: int = 0
    """Count datagrams of flows."""
    encapsulated: int = 0
    """Count encapsulated TCP packets, which the stand-in does not answer."""
    overloads: int = 0
    shed: int = 0
    opened: int = 0
    opened_while_draining: int = 0
    restarts: int = 0


@define
class BackendState:
    """Count work against the limits of a backend server that may be in a cold start."""

    cfg: BackendSettings
    incarnation: int
    started: float
    busy: int = 0
    open_connections: int = 0
    completed: int = 0
    """Count the flows of requests that were answered since the start."""
    draining: bool = False
    counts: BackendCounts = field(factory=BackendCounts)
    runs: Counter[str] = field(factory=Counter)
    """Count runs by id; kept over a restart, because it is the proof and not the server's own."""
    _fallen_until: float = 0.0
    _history: deque[Snapshot] = field(factory=lambda: deque(maxlen=MAX_SNAPSHOTS))

    def open_request(self, now: float) -> None:
        """Count a request that takes a slot; too many in a cold start make the server fall over."""
        self._note_opening()
        self.busy += 1
        cold = self.count_borne_slots() < self.cfg.slots
        if cold and self.busy > self.count_borne_slots():
            self._fall_over(now)
        self._take_snapshot(now)

    def close_request(self, now: float, completed: bool) -> None:
        """Count the end of a request, and of its flow where this was the flow's first answer."""
        self.busy = max(0, self.busy - 1)
        self.completed += int(completed)
        self._take_snapshot(now)

    def open_stream(self, now: float) -> None:
        """Count a connection that a stream takes."""
        self._note_opening()
        self.open_connections += 1
        cold = now - self.started < self.cfg.warm_up_s
        if cold and self.open_connections > self.count_borne_connections(now):
            self._fall_over(now)
        self._take_snapshot(now)

    def close_stream(self, now: float) -> None:
        """Count the end of a stream's connection."""
        self.open_connections = max(0, self.open_connections - 1)
        self._take_snapshot(now)

    def count_borne_slots(self) -> int:
        """Return how many requests the server bears at one time."""
        earned = self.completed // self.cfg.warm_up_successes
        return min(self.cfg.slots, self.cfg.cold_slots + earned)

    def count_borne_connections(self, now: float) -> int:
        """Return how many streams the server bears at one time."""
        share = min(1.0, (now - self.started) / self.cfg.warm_up_s)
        grown = int((self.cfg.connections - self.cfg.cold_connections) * share)
        return self.cfg.cold_connections + max(0, grown)

    def is_overfull(self) -> bool:
        """Tell whether a warm server has more requests than slots and sheds the newest."""
        return self.busy > self.cfg.slots

    def is_fallen(self, now: float) -> bool:
        """Tell whether the server answers nothing."""
        return now < self._fallen_until

    def restart(self, now: float, incarnation: int) -> None:
        """Return to a cold start with nothing left but the proof."""
        self.incarnation = incarnation
        self.started = now
        self.busy = self.open_connections = self.completed = 0
        self.draining = False
        self._fallen_until = 0.0
        self._history.clear()
        self.counts.restarts += 1

    def note_run(self, run_id: str) -> int:
        """Count one run of an id; return how often it has run."""
        self.runs[run_id] += 1
        return self.runs[run_id]

    def describe_load(self, now: float) -> dict[str, JsonValue]:
        """Return the load report, late and misleading as the settings say."""
        seen = self._find_snapshot(now - self.cfg.load_lag_s)
        return {
            "incarnation": self.incarnation,
            "uptime_s": now - self.started,
            "slots": self.cfg.slots,
            "connections": self.cfg.connections,
            "busy": round(seen.busy * self.cfg.load_busy_factor),
            "open_connections": seen.open_connections,
            "completed": seen.completed,
            "draining": self.draining,
        }

    def describe_counts(self) -> dict[str, JsonValue]:
        """Return the counts and the runs of each id."""
        counts: dict[str, JsonValue] = asdict(self.counts)
        return {"counts": counts, "runs": dict(self.runs)}

    def _note_opening(self) -> None:
        self.counts.opened += 1
        self.counts.opened_while_draining += int(self.draining)

    def _fall_over(self, now: float) -> None:
        self.counts.overloads += 1
        self._fallen_until = now + self.cfg.fall_over_s

    def _take_snapshot(self, now: float) -> None:
        if self.cfg.load_lag_s > 0:
            self._history.append(self._snapshot(now))

    def _snapshot(self, now: float) -> Snapshot:
        return Snapshot(now, self.busy, self.open_connections, self.completed)

    def _find_snapshot(self, time: float) -> Snapshot:
        if self.cfg.load_lag_s <= 0:
            return self._snapshot(time)
        while len(self._history) > 1 and self._history[1].taken <= time:
            self._history.popleft()
        if self._history and self._history[0].taken <= time:
            return self._history[0]
        return Snapshot(time, 0, 0, 0)

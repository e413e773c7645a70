"""Simulate a backend server: its capacity, its flows, its answers and its load reports."""

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

from attrs import define, field, frozen

from fescueseam.admission.gate import LoadReport
from fescueseam.conf.models import AdmissionRules, FlowKind, ServiceClass, Transport
from fescueseam.flows.keys import FlowKey

from .timeline import Timeline

OVERLOAD_OUTAGE_S = 2.0
"""Time during which a backend server answers nothing after an overload, in seconds.

Excess requests overload a server only during a cold start; a warm server queues them.
"""


class AnswerKind(Enum):
    """Kind of answer that a backend server sends on a flow."""

    ACCEPTED = "accepted"
    """The flow is open."""
    ECHO = "echo"
    """A packet of an open flow was received."""
    COMPLETE = "whole"
    """The request has run, and its answer is complete."""
    RESET = "reset"
    """The flow is unknown to the backend server."""


@frozen
class Answer:
    """Answer of a backend server to a call."""

    kind: AnswerKind
    call_id: int
    server: str


Reply = Callable[[Answer], None]


@define(eq=False)
class OpenFlow:
    """Flow that is open at a backend server."""

    call_id: int
    service_class: ServiceClass
    size_s: float
    reply: Reply
    running: bool = False

    @property
    def has_single_answer(self) -> bool:
        """Return whether the complete answer is the only one, as for a request over plain UDP."""
        is_udp = self.service_class.transport is Transport.UDP
        return is_udp and self.service_class.kind is FlowKind.REQUEST


@frozen
class LoadSample:
    """Load of a backend server at one point in time."""

    taken_at: float
    busy: int
    connections: int


@frozen
class Misreport:
    """Errors that the load endpoint adds to its reports: a lag, and factors on the counts."""

    lag_s: float = 0.0
    busy_factor: float = 1.0
    connections_factor: float = 1.0


@define(eq=False)
class Backend:
    """Simulated backend server with slots, streams, a cold start, draining and load reports."""

    name: str
    service: str
    rules: AdmissionRules
    timeline: Timeline
    speed: float = 1.0
    misreport: Misreport = Misreport()
    incarnation: int = 1
    started_at: float = 0.0
    alive: bool = True
    draining: bool = False
    completed: int = 0
    """Number of requests completed since the last start; it determines how many slots are warm."""
    runs_by_call: Counter[int] = field(factory=Counter)
    """Number of runs of each call. It survives a restart, because the checks rely on it."""
    counts: Counter[str] = field(factory=Counter)
    openings: list[tuple[float, int]] = field(factory=list)
    """Time and call id of each opened flow."""
    last_packet_at: float = -1.0
    busy: int = 0
    """Number of slots in use."""
    _flows: dict[FlowKey, OpenFlow] = field(factory=dict)
    _queue: deque[FlowKey] = field(factory=deque)
    _open_streams: int = 0
    _unavailable_until: float = -1.0
    _load_samples: deque[LoadSample] = field(factory=deque)
    _busy_seconds: float = 0.0
    _sampled_at: float = 0.0

    def receive(
        self,
        flow: FlowKey,
        service_class: ServiceClass,
        call_id: int,
        size_s: float,
        is_opening: bool,
        reply: Reply,
    ) -> None:
        """Handle a packet that the agent delivered."""
        now = self.timeline.now
        self.last_packet_at = now
        self.counts["packets"] += 1
        if not self.alive or now < self._unavailable_until:
            self.counts["unheard"] += 1
            return
        open_flow = self._flows.get(flow)
        if open_flow is not None and open_flow.call_id == call_id:
            open_flow.reply = reply
            if not open_flow.has_single_answer:
                kind = AnswerKind.ACCEPTED if is_opening else AnswerKind.ECHO
                reply(Answer(kind, call_id, self.name))
        elif is_opening:
            self._open(flow, OpenFlow(call_id, service_class, size_s, reply))
        else:
            self.counts["unknown"] += 1
            reply(Answer(AnswerKind.RESET, call_id, self.name))

    def close(self, flow: FlowKey) -> None:
        """Close a flow that its caller ended."""
        open_flow = self._flows.pop(flow, None)
        if open_flow is None:
            return
        if open_flow.service_class.kind is FlowKind.STREAM:
            self._open_streams -= 1
        elif open_flow.running:
            self._free_slot()
        self._record_sample()

    def has_flow(self, flow: FlowKey) -> bool:
        """Return whether a flow is open at this backend server."""
        return flow in self._flows

    def restart(self) -> None:
        """Restart cold without notifying any process; all flows are lost."""
        self._record_sample()
        self.incarnation += 1
        self.started_at = self.timeline.now
        self.alive = True
        self.draining = False
        self._drop_flows()
        self._unavailable_until = -1.0
        self.counts["restarts"] += 1

    def kill(self) -> None:
        """Stop the backend server; all flows are lost and nothing is answered."""
        self._record_sample()
        self.alive = False
        self._drop_flows()

    def skip_warm_up(self) -> None:
        """Put the backend server into the state after a completed warm-up."""
        self.completed = self.rules.slots * self.rules.warm_up_successes
        self.started_at = self.timeline.now - self.rules.warm_up_s

    def report(self, requested_at: float) -> LoadReport | None:
        """Return a load report with the configured errors, or None if the server is down."""
        now = self.timeline.now
        if not self.alive:
            return None
        sample = self._find_sample(now - self.misreport.lag_s)
        return LoadReport(
            self.incarnation,
            round(sample.busy * self.misreport.busy_factor),
            round(sample.connections * self.misreport.connections_factor),
            requested_at,
            now - self.started_at,
            self.draining,
        )

    def get_request_capacity(self) -> int:
        """Return how many concurrent requests the backend server can handle now."""
        warmed_up_slots = self.completed // self.rules.warm_up_successes
        return min(self.rules.slots, self.rules.cold_slots + warmed_up_slots)

    def get_stream_capacity(self) -> int:
        """Return how many open streams the backend server can handle now."""
        rules = self.rules
        warm_up_progress = min(1.0, (self.timeline.now - self.started_at) / rules.warm_up_s)
        cold_capacity = min(rules.cold_connections, rules.connections)
        return cold_capacity + int((rules.connections - cold_capacity) * warm_up_progress)

    def compute_busy_seconds(self) -> float:
        """Return the integral of the slots in use over time, in slot seconds."""
        self._record_sample()
        return self._busy_seconds

    def _open(self, flow: FlowKey, open_flow: OpenFlow) -> None:
        self._flows.pop(flow, None)
        self._flows[flow] = open_flow
        self.counts["opened"] += 1
        self.openings.append((self.timeline.now, open_flow.call_id))
        if not open_flow.has_single_answer:
            open_flow.reply(Answer(AnswerKind.ACCEPTED, open_flow.call_id, self.name))
        if open_flow.service_class.kind is FlowKind.STREAM:
            self._open_stream(open_flow)
        else:
            self._open_request(flow, open_flow)

    def _open_stream(self, open_flow: OpenFlow) -> None:
        self.runs_by_call[open_flow.call_id] += 1
        self._open_streams += 1
        self._record_sample()
        if self._open_streams > self.get_stream_capacity():
            self._restart_after_overload()

    def _open_request(self, flow: FlowKey, open_flow: OpenFlow) -> None:
        capacity = self.get_request_capacity()
        if self.busy + len(self._queue) >= capacity and capacity < self.rules.slots:
            self.runs_by_call[open_flow.call_id] += 1
            self._restart_after_overload()
        elif self.busy >= self.rules.slots:
            self.counts["queued"] += 1
            self._queue.append(flow)
        else:
            self._start_request(flow, open_flow)

    def _start_request(self, flow: FlowKey, open_flow: OpenFlow) -> None:
        self._record_sample()
        self.runs_by_call[open_flow.call_id] += 1
        self.busy += 1
        open_flow.running = True
        incarnation = self.incarnation
        self.timeline.call_later(
            open_flow.size_s / self.speed, lambda: self._complete(flow, open_flow, incarnation)
        )

    def _complete(self, flow: FlowKey, open_flow: OpenFlow, incarnation: int) -> None:
        if incarnation != self.incarnation or self._flows.get(flow) is not open_flow:
            return
        del self._flows[flow]
        self.completed += 1
        self._free_slot()
        self._record_sample()
        open_flow.reply(Answer(AnswerKind.COMPLETE, open_flow.call_id, self.name))

    def _free_slot(self) -> None:
        self._record_sample()
        self.busy -= 1
        while self._queue and self.busy < self.rules.slots:
            flow = self._queue.popleft()
            open_flow = self._flows.get(flow)
            if open_flow is not None and not open_flow.running:
                self._start_request(flow, open_flow)

    def _restart_after_overload(self) -> None:
        self.restart()
        self.counts["overloads"] += 1
        self._unavailable_until = self.timeline.now + OVERLOAD_OUTAGE_S

    def _drop_flows(self) -> None:
        self._flows.clear()
        self._queue.clear()
        self.busy = self._open_streams = self.completed = 0
        self._load_samples.clear()

    def _record_sample(self) -> None:
        now = self.timeline.now
        self._busy_seconds += self.busy * (now - self._sampled_at)
        self._sampled_at = now
        if self.misreport.lag_s > 0:
            self._load_samples.append(LoadSample(now, self.busy, len(self._flows)))

    def _find_sample(self, time: float) -> LoadSample:
        if self.misreport.lag_s <= 0:
            return LoadSample(time, self.busy, len(self._flows))
        while len(self._load_samples) > 1 and self._load_samples[1].taken_at <= time:
            self._load_samples.popleft()
        if self._load_samples and self._load_samples[0].taken_at <= time:
            return self._load_samples[0]
        return LoadSample(time, 0, 0)

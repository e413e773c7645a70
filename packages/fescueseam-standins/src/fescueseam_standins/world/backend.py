"""Model one backend server: what it bears, what it runs and what it reports."""

from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

from attrs import define, field, frozen

from fescueseam.admission.gate import LoadReport
from fescueseam.conf.models import AdmissionRules, FlowKind, ServiceClass, Transport
from fescueseam.flows.keys import FlowKey

from .timeline import Timeline

FALL_OVER_S = 2.0
"""Answer nothing for this long after an overload in a cold start, in seconds."""


class AnswerKind(Enum):
    """Tell what a backend server says on a flow."""

    ACCEPTED = "accepted"
    """The flow is open."""
    ECHO = "echo"
    """A packet of an open stream has come."""
    WHOLE = "whole"
    """The request has run; this completes its answer."""
    RESET = "reset"
    """No such flow is known here."""


@frozen
class Answer:
    """Hold one answer to a call."""

    kind: AnswerKind
    call_id: int
    server: str


Reply = Callable[[Answer], None]


@define(eq=False)
class Work:
    """Hold one open flow of a backend server."""

    call_id: int
    service_class: ServiceClass
    size_s: float
    reply: Reply
    running: bool = False

    @property
    def answers_once(self) -> bool:
        """Tell whether the only answer is the whole one, as for a plain datagram service."""
        plain = self.service_class.transport is Transport.UDP
        return plain and self.service_class.kind is FlowKind.REQUEST


@frozen
class LoadSample:
    """Hold the load at one time."""

    taken: float
    busy: int
    connections: int


@frozen
class Misreport:
    """Say how the load endpoint misleads."""

    lag_s: float = 0.0
    busy_factor: float = 1.0
    connections_factor: float = 1.0


@define(eq=False)
class Backend:
    """Run requests in slots, hold streams, start cold, drain and report."""

    name: str
    service: str
    rules: AdmissionRules
    timeline: Timeline
    speed: float = 1.0
    misreport: Misreport = Misreport()
    incarnation: int = 1
    started: float = 0.0
    alive: bool = True
    draining: bool = False
    completed: int = 0
    runs: Counter[int] = field(factory=Counter)
    """Count runs by call; kept over a restart, because it is the proof."""
    counts: Counter[str] = field(factory=Counter)
    opened_at: list[tuple[float, int]] = field(factory=list)
    """List when each flow opened, and for which call."""
    last_packet: float = -1.0
    busy: int = 0
    _flows: dict[FlowKey, Work] = field(factory=dict)
    _queue: deque[FlowKey] = field(factory=deque)
    _streams: int = 0
    _fallen_until: float = -1.0
    _history: deque[LoadSample] = field(factory=deque)
    _busy_seconds: float = 0.0
    _sampled: float = 0.0

    def receive(
        self,
        flow: FlowKey,
        service_class: ServiceClass,
        call_id: int,
        size_s: float,
        opening: bool,
        reply: Reply,
    ) -> None:
        """Take one packet that the agent delivered."""
        now = self.timeline.now
        self.last_packet = now
        self.counts["packets"] += 1
        if not self.alive or now < self._fallen_until:
            self.counts["unheard"] += 1
            return
        work = self._flows.get(flow)
        if work is not None and work.call_id == call_id:
            work.reply = reply
            if not work.answers_once:
                kind = AnswerKind.ACCEPTED if opening else AnswerKind.ECHO
                reply(Answer(kind, call_id, self.name))
        elif opening:
            self._open(flow, Work(call_id, service_class, size_s, reply))
        else:
            self.counts["unknown"] += 1
            reply(Answer(AnswerKind.RESET, call_id, self.name))

    def close(self, flow: FlowKey) -> None:
        """Close a flow that its caller has ended."""
        work = self._flows.pop(flow, None)
        if work is None:
            return
        if work.service_class.kind is FlowKind.STREAM:
            self._streams -= 1
        elif work.running:
            self._free_slot()
        self._sample()

    def holds(self, flow: FlowKey) -> bool:
        """Tell whether a flow is open here."""
        return flow in self._flows

    def restart(self) -> None:
        """Return to a cold start without a word to anybody; every flow is gone."""
        self._sample()
        self.incarnation += 1
        self.started = self.timeline.now
        self.alive = True
        self.draining = False
        self._clear()
        self._fallen_until = -1.0
        self.counts["restarts"] += 1

    def kill(self) -> None:
        """Lose everything and answer nothing."""
        self._sample()
        self.alive = False
        self._clear()

    def warm_up(self) -> None:
        """Take it that the cold start lies long back."""
        self.completed = self.rules.slots * self.rules.warm_up_successes
        self.started = self.timeline.now - self.rules.warm_up_s

    def report(self, requested: float) -> LoadReport | None:
        """Answer the load endpoint, late and misleading as the settings say."""
        now = self.timeline.now
        if not self.alive:
            return None
        sample = self._find_sample(now - self.misreport.lag_s)
        return LoadReport(
            self.incarnation,
            round(sample.busy * self.misreport.busy_factor),
            round(sample.connections * self.misreport.connections_factor),
            requested,
            now - self.started,
            self.draining,
        )

    def count_borne_slots(self) -> int:
        """Return how many requests the server bears at one time."""
        earned = self.completed // self.rules.warm_up_successes
        return min(self.rules.slots, self.rules.cold_slots + earned)

    def count_borne_streams(self) -> int:
        """Return how many streams the server bears at one time."""
        rules = self.rules
        share = min(1.0, (self.timeline.now - self.started) / rules.warm_up_s)
        cold = min(rules.cold_connections, rules.connections)
        return cold + int((rules.connections - cold) * share)

    def measure_busy_seconds(self) -> float:
        """Return the sum of slots in use over time."""
        self._sample()
        return self._busy_seconds

    def _open(self, flow: FlowKey, work: Work) -> None:
        self._flows.pop(flow, None)
        self._flows[flow] = work
        self.counts["opened"] += 1
        self.opened_at.append((self.timeline.now, work.call_id))
        if not work.answers_once:
            work.reply(Answer(AnswerKind.ACCEPTED, work.call_id, self.name))
        if work.service_class.kind is FlowKind.STREAM:
            self._open_stream(work)
        else:
            self._open_request(flow, work)

    def _open_stream(self, work: Work) -> None:
        self.runs[work.call_id] += 1
        self._streams += 1
        self._sample()
        if self._streams > self.count_borne_streams():
            self._fall_over()

    def _open_request(self, flow: FlowKey, work: Work) -> None:
        borne = self.count_borne_slots()
        if self.busy + len(self._queue) >= borne and borne < self.rules.slots:
            self.runs[work.call_id] += 1
            self._fall_over()
        elif self.busy >= self.rules.slots:
            self.counts["queued"] += 1
            self._queue.append(flow)
        else:
            self._run(flow, work)

    def _run(self, flow: FlowKey, work: Work) -> None:
        self._sample()
        self.runs[work.call_id] += 1
        self.busy += 1
        work.running = True
        incarnation = self.incarnation
        self.timeline.after(
            work.size_s / self.speed, lambda: self._complete(flow, work, incarnation)
        )

    def _complete(self, flow: FlowKey, work: Work, incarnation: int) -> None:
        if incarnation != self.incarnation or self._flows.get(flow) is not work:
            return
        del self._flows[flow]
        self.completed += 1
        self._free_slot()
        self._sample()
        work.reply(Answer(AnswerKind.WHOLE, work.call_id, self.name))

    def _free_slot(self) -> None:
        self._sample()
        self.busy -= 1
        while self._queue and self.busy < self.rules.slots:
            flow = self._queue.popleft()
            work = self._flows.get(flow)
            if work is not None and not work.running:
                self._run(flow, work)

    def _fall_over(self) -> None:
        self.restart()
        self.counts["overloads"] += 1
        self._fallen_until = self.timeline.now + FALL_OVER_S

    def _clear(self) -> None:
        self._flows.clear()
        self._queue.clear()
        self.busy = self._streams = self.completed = 0
        self._history.clear()

    def _sample(self) -> None:
        now = self.timeline.now
        self._busy_seconds += self.busy * (now - self._sampled)
        self._sampled = now
        if self.misreport.lag_s > 0:
            self._history.append(LoadSample(now, self.busy, len(self._flows)))

    def _find_sample(self, time: float) -> LoadSample:
        if self.misreport.lag_s <= 0:
            return LoadSample(time, self.busy, len(self._flows))
        while len(self._history) > 1 and self._history[1].taken <= time:
            self._history.popleft()
        if self._history and self._history[0].taken <= time:
            return self._history[0]
        return LoadSample(time, 0, 0)

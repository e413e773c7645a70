"""Run one core on one instance: its buffer, its ticks, its local sockets."""

from collections import Counter, deque
from typing import TYPE_CHECKING

from attrs import define, field

from fescueseam.effects import CloseFlow, Deliver, Drop, Effects, Observe, Probe, Refuse, Send
from fescueseam.flows.keys import FlowKey
from fescueseam.messages.types import Message
from fescueseam.routing.table import Member
from fescueseam.routing.view import View

from .backend import Answer, AnswerKind, Backend
from .calls import Outcome
from .control import Control
from .cores import EntryCore, HomeCore
from .life import Life
from .network import Place
from .payloads import CLOSING_NUMBER, read_stamp
from .timeline import Action

if TYPE_CHECKING:
    from .world import World

BUFFER_LIMIT = 4096
"""Keep this many datagrams for a frozen process; later ones are lost."""
PROBE_DELAY_S = 0.0005
"""Reach the load endpoint, or return from it, in this time."""
SOCKET_QUARANTINE_S = 10.0
"""Keep a closed local socket from reuse for this long, so that late answers die."""
ANSWER_REPEAT_S = 0.3
ANSWER_REPEATS = 60


@define(eq=False)
class Host:
    """Hold what every process has: a place, a view and a buffer."""

    place: Place
    view: View
    world: "World"
    life: Life = Life.RUNNING
    drops: Counter[str] = field(factory=Counter)
    heard: float = 0.0
    """Tell when a message of another process was last taken in."""
    control: Control | None = None
    _buffer: deque[Action] = field(factory=deque)

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self.place.name

    def receive(self, action: Action) -> None:
        """Handle a datagram now, after the wake, or never."""
        if self.life is Life.RUNNING:
            action()
        elif self.life is Life.FROZEN and len(self._buffer) < BUFFER_LIMIT:
            self._buffer.append(action)

    def freeze(self) -> None:
        """Stop the process where it stands; its buffer goes on filling."""
        if self.life is Life.RUNNING:
            self.life = Life.FROZEN

    def wake(self) -> None:
        """Let the process go on with what its buffer holds."""
        if self.life is not Life.FROZEN:
            return
        self.life = Life.RUNNING
        while self._buffer:
            self._buffer.popleft()()

    def kill(self) -> None:
        """End the process."""
        self.life = Life.DEAD
        self._buffer.clear()

    def run_tick(self) -> bool:
        """Advance the core's timers; return whether the process still lives."""
        if self.life is Life.RUNNING:
            self.follow_lease()
            if self.control is not None:
                self.control.tick(self.world.timeline.now)
            self.tick()
        return self.life is not Life.DEAD

    def take_message(self, message: Message) -> None:
        """Take a message of another process."""
        now = self.world.timeline.now
        self.heard = now
        self.follow_lease()
        if self.control is None or not self.control.take_message(message, now):
            self.apply(self.handle_message(message, now))

    def handle_message(self, message: Message, now: float) -> Effects:
        """Return what the core makes of a message."""
        raise NotImplementedError

    def follow_lease(self) -> None:
        """Tell the view whether the lease of this process still runs."""
        if self.control is not None:
            self.view.has_lease = self.control.is_leased(self.world.timeline.now)

    def follow_configuration(self) -> None:
        """Follow a configuration that has come into force here."""

    def tick(self) -> None:
        """Advance the core's timers."""

    def apply(self, effects: Effects) -> None:
        """Do what the core asks for."""
        for effect in effects:
            if isinstance(effect, Send):
                self.world.carry_message(self.place, effect)
            elif isinstance(effect, Drop):
                self.drops[effect.kind.value] += 1
            elif isinstance(effect, Refuse):
                self.world.refuse(self.place, effect)
            elif isinstance(effect, Observe):
                self.world.observe(effect)
            else:
                self.apply_local(effect)

    def apply_local(self, effect: Deliver | CloseFlow | Probe) -> None:
        """Do what only an agent can do."""


@define(eq=False)
class EntryHost(Host):
    """Run a balancer on an entry instance."""

    core: EntryCore = field(kw_only=True)
    leaving: bool = False
    """Tell that the fabric sends no more packets here."""

    def take_packet(self, raw: bytes) -> None:
        """Take a caller's packet from the fabric."""
        self.apply(self.core.handle_packet(raw, self.world.timeline.now))

    def handle_message(self, message: Message, now: float) -> Effects:
        """Return what the core makes of a message."""
        return self.core.handle_message(message, now)

    def tick(self) -> None:
        """Advance the core's timers."""
        self.apply(self.core.tick(self.world.timeline.now))


@define(eq=False)
class LocalSocket:
    """Hold which flow a local port serves, and until when it must rest."""

    flow: FlowKey | None = None
    rests_until: float = -1.0


@define(eq=False)
class AgentHost(Host):
    """Run an agent beside its backend server."""

    member: Member = field(kw_only=True)
    core: HomeCore = field(kw_only=True)
    backend: Backend = field(kw_only=True)
    quarantine_s: float = SOCKET_QUARANTINE_S
    stray_answers: int = 0
    delivered: Counter[FlowKey] = field(factory=Counter)
    _resting: deque[LocalSocket] = field(factory=deque)
    _by_flow: dict[FlowKey, LocalSocket] = field(factory=dict)

    def handle_message(self, message: Message, now: float) -> Effects:
        """Return what the core makes of a message."""
        return self.core.handle_message(message, now)

    def tick(self) -> None:
        """Advance the core's timers."""
        self.apply(self.core.tick(self.world.timeline.now))

    def follow_configuration(self) -> None:
        """Follow the drain rules of a configuration that has come into force here."""
        self.core.update_draining(self.backend.draining)

    def apply_local(self, effect: Deliver | CloseFlow | Probe) -> None:
        """Deliver, close or probe."""
        if isinstance(effect, Deliver):
            self._deliver(effect)
        elif isinstance(effect, CloseFlow):
            self._close_socket(effect.flow)
        else:
            self.probe()

    def probe(self) -> None:
        """Ask the backend server's load endpoint."""
        requested = self.world.timeline.now
        self.world.timeline.after(PROBE_DELAY_S, lambda: self._answer_probe(requested))

    def count_flows(self) -> int:
        """Return how many flows have a local socket."""
        return len(self._by_flow)

    def end_flow(self, flow: FlowKey, success: bool) -> None:
        """Tell the core that a flow has ended."""
        self.apply(self.core.handle_closed(flow, success, self.world.timeline.now))

    def _answer_probe(self, requested: float) -> None:
        report = self.backend.report(requested)

        def take() -> None:
            now = self.world.timeline.now
            if report is None:
                self.apply(self.core.handle_backend_lost(now))
            else:
                self.apply(self.core.handle_report(report, now))

        self.world.timeline.after(PROBE_DELAY_S, lambda: self.receive(take))

    def _deliver(self, effect: Deliver) -> None:
        stamp = read_stamp(effect.packet)
        socket = self._find_socket(effect.flow)
        self.world.note_delivery(self, effect, stamp)
        if stamp.number == CLOSING_NUMBER:
            self.backend.close(effect.flow)
            if self.world.ends_seen:
                self.end_flow(effect.flow, True)
            return
        call = self.world.calls[stamp.call_id]
        self.backend.receive(
            effect.flow,
            effect.service_class,
            stamp.call_id,
            call.size_s,
            stamp.number == 0,
            lambda answer: self._take_answer(socket, answer),
        )

    def _take_answer(self, socket: LocalSocket, answer: Answer) -> None:
        self.receive(lambda: self._pass_answer(socket, answer))

    def _pass_answer(self, socket: LocalSocket, answer: Answer) -> None:
        flow = socket.flow
        if flow is None:
            self.stray_answers += 1
            return
        self.core.handle_answer(flow, self.world.timeline.now)
        self._carry_answer(flow, answer, 0)
        ended = answer.kind in (AnswerKind.WHOLE, AnswerKind.RESET)
        if ended and self.world.ends_seen:
            self.end_flow(flow, answer.kind is AnswerKind.WHOLE)

    def _carry_answer(self, flow: FlowKey, answer: Answer, repeats: int) -> None:
        self.world.carry_answer(self.place, flow, answer)
        if answer.kind is not AnswerKind.WHOLE or repeats >= ANSWER_REPEATS:
            return

        def repeat() -> None:
            # The transport of the backend server repeats what its caller has not acknowledged.
            if self.world.calls[answer.call_id].outcome is Outcome.OPEN and self.backend.alive:
                self.receive(lambda: self._carry_answer(flow, answer, repeats + 1))

        self.world.timeline.after(ANSWER_REPEAT_S, repeat)

    def _find_socket(self, flow: FlowKey) -> LocalSocket:
        socket = self._by_flow.get(flow)
        if socket is not None:
            return socket
        if self._resting and self._resting[0].rests_until <= self.world.timeline.now:
            socket = self._resting.popleft()
        else:
            socket = LocalSocket()
        socket.flow = flow
        self._by_flow[flow] = socket
        return socket

    def _close_socket(self, flow: FlowKey) -> None:
        socket = self._by_flow.pop(flow, None)
        if socket is None:
            return
        socket.flow = None
        socket.rests_until = self.world.timeline.now + self.quarantine_s
        self._resting.append(socket)

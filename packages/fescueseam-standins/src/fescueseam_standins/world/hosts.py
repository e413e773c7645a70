"""Simulate the processes that run a core, with receive buffers, ticks and local sockets."""

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
from .control import ControlPlane
from .cores import AgentCore, BalancerCore
from .network import Location
from .payloads import CLOSING_PACKET_NUMBER, read_packet_id
from .process_state import ProcessState
from .timeline import Callback

if TYPE_CHECKING:
    from .world import World

BUFFERED_DATAGRAMS_LIMIT = 4096
"""Largest number of datagrams buffered for a frozen process; further ones are lost."""
PROBE_ONE_WAY_DELAY_S = 0.0005
"""Delay of a probe to the load endpoint, and of its reply, in seconds."""
SOCKET_QUARANTINE_S = 10.0
"""Time before a closed local socket is reused, so that late answers are dropped, in seconds."""
ANSWER_RETRANSMIT_INTERVAL_S = 0.3
"""Interval between retransmissions of a complete answer, in seconds."""
ANSWER_RETRANSMITS_LIMIT = 60


@define(eq=False)
class Host:
    """Simulated process with a location, a view and a receive buffer."""

    location: Location
    view: View
    world: "World"
    state: ProcessState = ProcessState.RUNNING
    drops: Counter[str] = field(factory=Counter)
    last_heard_at: float = 0.0
    """Time at which the process last handled a message from another one."""
    control_plane: ControlPlane | None = None
    _buffer: deque[Callback] = field(factory=deque)

    @property
    def name(self) -> str:
        """Return the name of the process."""
        return self.location.name

    def receive(self, callback: Callback) -> None:
        """Handle a datagram now, buffer it while the process is frozen, or drop it."""
        if self.state is ProcessState.RUNNING:
            callback()
        elif self.state is ProcessState.FROZEN and len(self._buffer) < BUFFERED_DATAGRAMS_LIMIT:
            self._buffer.append(callback)

    def freeze(self) -> None:
        """Pause the process; datagrams that arrive are buffered."""
        if self.state is ProcessState.RUNNING:
            self.state = ProcessState.FROZEN

    def resume(self) -> None:
        """Resume a paused process and handle the buffered datagrams."""
        if self.state is not ProcessState.FROZEN:
            return
        self.state = ProcessState.RUNNING
        while self._buffer:
            self._buffer.popleft()()

    def kill(self) -> None:
        """End the process."""
        self.state = ProcessState.DEAD
        self._buffer.clear()

    def run_tick(self) -> bool:
        """Run the due timers and return whether the process is not dead."""
        if self.state is ProcessState.RUNNING:
            self.update_lease()
            if self.control_plane is not None:
                self.control_plane.tick(self.world.timeline.now)
            self.tick()
        return self.state is not ProcessState.DEAD

    def receive_message(self, message: Message) -> None:
        """Handle a message from another process."""
        now = self.world.timeline.now
        self.last_heard_at = now
        self.update_lease()
        if self.control_plane is None or not self.control_plane.handle_message(message, now):
            self.apply_effects(self.handle_message(message, now))

    def handle_message(self, message: Message, now: float) -> Effects:
        """Pass a message to the core and return its effects."""
        raise NotImplementedError

    def update_lease(self) -> None:
        """Update in the view whether this process has a valid lease."""
        if self.control_plane is not None:
            self.view.has_lease = self.control_plane.has_valid_lease(self.world.timeline.now)

    def handle_configuration_change(self) -> None:
        """React to a new configuration of this process."""

    def tick(self) -> None:
        """Run the core's timers that are due."""

    def apply_effects(self, effects: Effects) -> None:
        """Carry out the effects that the core returned."""
        for effect in effects:
            if isinstance(effect, Send):
                self.world.send_message(self.location, effect)
            elif isinstance(effect, Drop):
                self.drops[effect.kind.value] += 1
            elif isinstance(effect, Refuse):
                self.world.send_refusal(self.location, effect)
            elif isinstance(effect, Observe):
                self.world.record_observation(effect)
            else:
                self.apply_local_effect(effect)

    def apply_local_effect(self, effect: Deliver | CloseFlow | Probe) -> None:
        """Carry out an effect that only agents return."""


@define(eq=False)
class BalancerHost(Host):
    """Simulated balancer process."""

    core: BalancerCore = field(kw_only=True)
    is_withdrawn: bool = False
    """Whether the fabric no longer sends packets to this balancer."""

    def receive_packet(self, raw: bytes) -> None:
        """Handle a caller's packet from the fabric."""
        self.apply_effects(self.core.handle_packet(raw, self.world.timeline.now))

    def handle_message(self, message: Message, now: float) -> Effects:
        """Pass a message to the core and return its effects."""
        return self.core.handle_message(message, now)

    def tick(self) -> None:
        """Run the core's timers that are due."""
        self.apply_effects(self.core.tick(self.world.timeline.now))


@define(eq=False)
class LocalSocket:
    """Local socket of an agent: its flow, or the end of its quarantine."""

    flow: FlowKey | None = None
    quarantined_until: float = -1.0


@define(eq=False)
class AgentHost(Host):
    """Simulated agent process beside its backend server."""

    member: Member = field(kw_only=True)
    core: AgentCore = field(kw_only=True)
    backend: Backend = field(kw_only=True)
    socket_quarantine_s: float = SOCKET_QUARANTINE_S
    unmatched_answers: int = 0
    """Number of answers that arrived at a closed local socket and were dropped."""
    deliveries: Counter[FlowKey] = field(factory=Counter)
    _quarantined_sockets: deque[LocalSocket] = field(factory=deque)
    _sockets_by_flow: dict[FlowKey, LocalSocket] = field(factory=dict)

    def handle_message(self, message: Message, now: float) -> Effects:
        """Pass a message to the core and return its effects."""
        return self.core.handle_message(message, now)

    def tick(self) -> None:
        """Run the core's timers that are due."""
        self.apply_effects(self.core.tick(self.world.timeline.now))

    def handle_configuration_change(self) -> None:
        """Apply the drain rules of a new configuration."""
        self.core.update_draining(self.backend.draining)

    def apply_local_effect(self, effect: Deliver | CloseFlow | Probe) -> None:
        """Deliver a packet, close a socket or probe the backend server."""
        if isinstance(effect, Deliver):
            self._deliver(effect)
        elif isinstance(effect, CloseFlow):
            self._close_socket(effect.flow)
        else:
            self.probe()

    def probe(self) -> None:
        """Probe the load endpoint of the backend server."""
        requested_at = self.world.timeline.now
        self.world.timeline.call_later(
            PROBE_ONE_WAY_DELAY_S, lambda: self._complete_probe(requested_at)
        )

    def count_flows(self) -> int:
        """Return the number of flows that have a local socket."""
        return len(self._sockets_by_flow)

    def report_flow_end(self, flow: FlowKey, success: bool) -> None:
        """Report the end of a flow to the core."""
        self.apply_effects(self.core.handle_flow_closed(flow, success, self.world.timeline.now))

    def _complete_probe(self, requested_at: float) -> None:
        report = self.backend.report(requested_at)

        def handle() -> None:
            now = self.world.timeline.now
            if report is None:
                self.apply_effects(self.core.handle_backend_lost(now))
            else:
                self.apply_effects(self.core.handle_report(report, now))

        self.world.timeline.call_later(PROBE_ONE_WAY_DELAY_S, lambda: self.receive(handle))

    def _deliver(self, effect: Deliver) -> None:
        packet_id = read_packet_id(effect.packet)
        socket = self._acquire_socket(effect.flow)
        self.world.record_delivery(self, effect, packet_id)
        if packet_id.packet_number == CLOSING_PACKET_NUMBER:
            self.backend.close(effect.flow)
            if self.world.reports_flow_ends:
                self.report_flow_end(effect.flow, True)
            return
        call = self.world.calls[packet_id.call_id]
        self.backend.receive(
            effect.flow,
            effect.service_class,
            packet_id.call_id,
            call.size_s,
            packet_id.packet_number == 0,
            lambda answer: self._receive_answer(socket, answer),
        )

    def _receive_answer(self, socket: LocalSocket, answer: Answer) -> None:
        self.receive(lambda: self._forward_answer(socket, answer))

    def _forward_answer(self, socket: LocalSocket, answer: Answer) -> None:
        flow = socket.flow
        if flow is None:
            self.unmatched_answers += 1
            return
        self.core.handle_backend_packet(flow, self.world.timeline.now)
        self._send_answer(flow, answer, 0)
        has_ended = answer.kind in (AnswerKind.COMPLETE, AnswerKind.RESET)
        if has_ended and self.world.reports_flow_ends:
            self.report_flow_end(flow, answer.kind is AnswerKind.COMPLETE)

    def _send_answer(self, flow: FlowKey, answer: Answer, retransmits: int) -> None:
        self.world.send_answer(self.location, flow, answer)
        if answer.kind is not AnswerKind.COMPLETE or retransmits >= ANSWER_RETRANSMITS_LIMIT:
            return

        def retransmit() -> None:
            # The transport of a backend server retransmits until the caller acknowledges.
            if self.world.calls[answer.call_id].outcome is Outcome.OPEN and self.backend.alive:
                self.receive(lambda: self._send_answer(flow, answer, retransmits + 1))

        self.world.timeline.call_later(ANSWER_RETRANSMIT_INTERVAL_S, retransmit)

    def _acquire_socket(self, flow: FlowKey) -> LocalSocket:
        socket = self._sockets_by_flow.get(flow)
        if socket is not None:
            return socket
        if (
            self._quarantined_sockets
            and self._quarantined_sockets[0].quarantined_until <= self.world.timeline.now
        ):
            socket = self._quarantined_sockets.popleft()
        else:
            socket = LocalSocket()
        socket.flow = flow
        self._sockets_by_flow[flow] = socket
        return socket

    def _close_socket(self, flow: FlowKey) -> None:
        socket = self._sockets_by_flow.pop(flow, None)
        if socket is None:
            return
        socket.flow = None
        socket.quarantined_until = self.world.timeline.now + self.socket_quarantine_s
        self._quarantined_sockets.append(socket)

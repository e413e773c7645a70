"""Simulate callers that open calls, send packets and record the answers."""

import ipaddress
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from fescueseam.conf.models import Service, ServiceClass, Transport
from fescueseam.flows.keys import FlowKey

from .backend import Answer, AnswerKind
from .calls import Call, Outcome
from .payloads import CLOSING_PACKET_NUMBER, PacketPhase, build_packet, make_flow_key

if TYPE_CHECKING:
    from .world import World

OPENING_RETRY_DELAY_S = 0.3
"""Delay before the first retry of an unanswered opening, in seconds; it doubles each time."""
STREAM_SILENCE_TIMEOUT_S = 12.0
"""Time without an answer to a packet after which a stream counts as broken, in seconds."""
ANSWER_TIMEOUT_S = 30.0
"""Longest wait for a complete answer once a request is open, in seconds.

The size of the request is added to it.
"""
STREAM_RETRY_INTERVAL_S = 0.5
"""Interval between retries of a stream packet that was not echoed, in seconds."""
FIRST_CALLER_ADDRESS = int(ipaddress.ip_address("100.64.0.1"))
FIRST_CALLER_PORT = 1024
PORTS_PER_ADDRESS = 60000


@frozen
class CallerBehaviour:
    """Behaviour that all callers share."""

    retransmits: bool = True
    packet_interval_s: float = 2.0
    """Interval between packets on an open stream, in seconds."""


@define(eq=False)
class Callers:
    """All simulated callers, with their calls by flow."""

    world: "World"
    behaviour: CallerBehaviour = CallerBehaviour()
    calls_by_flow: dict[FlowKey, Call] = field(factory=dict)
    _last_call_id: int = 0

    def open_call(
        self,
        service: Service,
        service_class: ServiceClass,
        size_s: float,
        flow: FlowKey | None = None,
    ) -> Call:
        """Open a call from an unused port, or reuse the port of the given flow."""
        self._last_call_id += 1
        call_id = self._last_call_id
        if flow is None:
            source = (FIRST_CALLER_ADDRESS + call_id // PORTS_PER_ADDRESS).to_bytes(4, "big")
            address = ipaddress.ip_address(service.address).packed
            flow = make_flow_key(
                source, FIRST_CALLER_PORT + call_id % PORTS_PER_ADDRESS, address, service_class
            )
        now = self.world.timeline.now
        call = Call(call_id, service.name, service_class, flow, size_s, now)
        self.world.calls[call_id] = call
        self.calls_by_flow[flow] = call
        self._send_opening(call, OPENING_RETRY_DELAY_S)
        self.world.timeline.call_later(
            service_class.opening_deadline_s, lambda: self._expire_opening(call)
        )
        return call

    def handle_answer(self, flow: FlowKey, answer: Answer) -> None:
        """Handle an answer that arrived at a caller's port."""
        call = self.calls_by_flow.get(flow)
        if call is None:
            return
        now = self.world.timeline.now
        if answer.call_id != call.call_id:
            # The transport recognises a late answer to an earlier call from the same port, so
            # it does not count as misdirected.
            answers_earlier_call = self.world.calls[answer.call_id].flow == flow
            call.misdirected_answers += int(not answers_earlier_call)
            return
        if answer.server not in call.answering_servers:
            call.answering_servers.append(answer.server)
        if answer.kind is AnswerKind.RESET:
            self._handle_reset(call, now)
            return
        call.last_answer_at = now
        call.server = call.server or answer.server
        if call.accepted_at < 0:
            call.accepted_at = now
            self._schedule_flow_timers(call)
        if answer.kind is AnswerKind.COMPLETE:
            call.end(Outcome.ANSWERED, now)

    def handle_refusal(self, flow: FlowKey, call_id: int) -> None:
        """Handle a refusal that arrived at a caller's port."""
        call = self.calls_by_flow.get(flow)
        if call is None or call.call_id != call_id:
            return
        call.refusals += 1
        was_accepted = call.accepted_at >= 0
        call.end(Outcome.BROKEN if was_accepted else Outcome.REFUSED, self.world.timeline.now)

    def build_opening(self, call: Call) -> bytes:
        """Return the opening packet of a call, identical to the one that its caller sent."""
        transport = call.service_class.transport
        return build_packet(call.flow, transport, call.call_id, PacketPhase.OPENING)

    def _handle_reset(self, call: Call, now: float) -> None:
        call.end(Outcome.BROKEN if call.accepted_at >= 0 else Outcome.SILENT, now)

    def _send_opening(self, call: Call, retry_delay_s: float) -> None:
        if call.outcome is not Outcome.OPEN or call.accepted_at >= 0:
            return
        self._send(call, PacketPhase.OPENING, 0)
        if self.behaviour.retransmits:
            self.world.timeline.call_later(
                retry_delay_s, lambda: self._send_opening(call, retry_delay_s * 2)
            )

    def _expire_opening(self, call: Call) -> None:
        if call.accepted_at < 0:
            call.end(Outcome.SILENT, self.world.timeline.now)

    def _schedule_flow_timers(self, call: Call) -> None:
        timeline = self.world.timeline
        if not call.is_stream:
            timeline.call_later(call.size_s + ANSWER_TIMEOUT_S, lambda: self._expire_request(call))
            return
        timeline.call_later(call.size_s, lambda: self._end_stream(call))
        first_delay_s = self.world.rng.random() * self.behaviour.packet_interval_s
        timeline.call_later(first_delay_s, lambda: self._send_stream_packet(call))

    def _expire_request(self, call: Call) -> None:
        call.end(Outcome.BROKEN, self.world.timeline.now)

    def _end_stream(self, call: Call) -> None:
        if call.outcome is not Outcome.OPEN:
            return
        call.end(Outcome.ANSWERED, self.world.timeline.now)
        self._send(call, PacketPhase.CLOSING, CLOSING_PACKET_NUMBER)

    def _send_stream_packet(self, call: Call) -> None:
        if call.outcome is not Outcome.OPEN:
            return
        call.packets_sent += 1
        sent_at = self.world.timeline.now
        self._send(call, PacketPhase.LATER, call.packets_sent)
        self.world.timeline.call_later(
            STREAM_RETRY_INTERVAL_S, lambda: self._check_echo(call, sent_at)
        )
        interval_s = self.behaviour.packet_interval_s
        self.world.timeline.call_later(interval_s, lambda: self._send_stream_packet(call))

    def _check_echo(self, call: Call, sent_at: float) -> None:
        if call.outcome is not Outcome.OPEN or call.last_answer_at >= sent_at:
            return
        now = self.world.timeline.now
        if now - sent_at >= STREAM_SILENCE_TIMEOUT_S:
            call.end(Outcome.BROKEN, now)
            return
        self._send(call, PacketPhase.LATER, call.packets_sent)
        self.world.timeline.call_later(
            STREAM_RETRY_INTERVAL_S, lambda: self._check_echo(call, sent_at)
        )

    def _send(self, call: Call, phase: PacketPhase, number: int) -> None:
        if phase is PacketPhase.CLOSING and call.service_class.transport is not Transport.TCP:
            phase = PacketPhase.LATER
        raw = build_packet(call.flow, call.service_class.transport, call.call_id, phase, number)
        self.world.send_through_fabric(raw)

"""Deliver packets to the backend server of an agent, and its answers to the callers."""

import socket
from collections.abc import Callable

import trio
from attrs import define, field

from fescueseam.conf.models import BackendSettings, Transport
from fescueseam.effects import Deliver
from fescueseam.exceptions import PacketError
from fescueseam.flows.keys import FlowKey
from fescueseam.packets.ip import build_udp, encapsulate
from fescueseam_daemon.failure_barrier import FailureBarrier
from fescueseam_daemon.sockets import open_udp, receive_batch, send_datagram

PORT_RELEASE_DELAY_S = 10.0
"""Time that the port of a closed flow stays bound, in seconds.

Late answers to the flow may still arrive until then.
"""

AnswerCallback = Callable[[FlowKey], None]


@define(eq=False)
class _FlowSocket:
    sock: socket.socket
    scope: trio.CancelScope
    is_closed: bool = False


@define
class Delivery:
    """The sockets towards the backend server, one for each UDP flow, and towards the fabric."""

    address: str
    backend: BackendSettings
    fabric_address: str
    fabric_port: int
    on_answer: AnswerCallback
    barrier: FailureBarrier
    _flow_sockets: dict[FlowKey, _FlowSocket] = field(factory=dict)
    _tunnel_sock: socket.socket | None = None
    _nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Open the socket for encapsulated packets."""
        self._tunnel_sock = open_udp(self.address, 0)
        self._nursery = nursery

    def close(self) -> None:
        """Close all sockets."""
        for flow_socket in self._flow_sockets.values():
            flow_socket.sock.close()
        self._flow_sockets.clear()
        if self._tunnel_sock is not None:
            self._tunnel_sock.close()
            self._tunnel_sock = None

    def deliver(self, effect: Deliver) -> None:
        """Deliver a packet to the backend server."""
        if effect.service_class.transport is Transport.TCP:
            datagram = encapsulate(effect.packet.raw)
            self._send_encapsulated(datagram, self.backend.address, self.backend.decapsulation_port)
            return
        flow_socket = self._flow_sockets.get(effect.flow)
        if flow_socket is None:
            flow_socket = self._open_flow_socket(effect)
        try:
            flow_socket.sock.send(effect.packet.payload)
        except OSError:
            # The port of the backend server is closed; the probe of its load endpoint detects a
            # restart.
            return

    def send_to_caller(self, raw: bytes) -> None:
        """Send an IP packet to its caller through the fabric."""
        if raw:
            self._send_encapsulated(encapsulate(raw), self.fabric_address, self.fabric_port)

    def close_flow(self, flow: FlowKey) -> None:
        """Stop relaying the answers of a flow; its port is released after a delay."""
        flow_socket = self._flow_sockets.pop(flow, None)
        if flow_socket is None or self._nursery is None:
            return
        flow_socket.is_closed = True
        self._nursery.start_soon(self._release_after_delay, flow_socket)

    async def _release_after_delay(self, flow_socket: _FlowSocket) -> None:
        await trio.sleep(PORT_RELEASE_DELAY_S)
        flow_socket.scope.cancel()

    def _open_flow_socket(self, effect: Deliver) -> _FlowSocket:
        assert self._nursery is not None, "the delivery has not been started"
        sock = open_udp(self.address, 0)
        port = effect.flow.destination_port + self.backend.port_offset
        sock.connect((self.backend.address, port))
        flow_socket = _FlowSocket(sock, trio.CancelScope())
        self._flow_sockets[effect.flow] = flow_socket
        self._nursery.start_soon(self._relay_answers, effect.flow, flow_socket)
        return flow_socket

    async def _relay_answers(self, flow: FlowKey, flow_socket: _FlowSocket) -> None:
        with flow_socket.scope:
            while True:
                for payload in await receive_batch(flow_socket.sock):
                    if not flow_socket.is_closed:
                        self.barrier.run("answer", self._relay_answer, flow, payload)
        flow_socket.sock.close()

    def _relay_answer(self, flow: FlowKey, payload: bytes) -> None:
        self.on_answer(flow)
        try:
            raw = build_udp(
                flow.destination, flow.destination_port, flow.source, flow.source_port, payload
            )
        except PacketError:
            return
        self.send_to_caller(raw)

    def _send_encapsulated(self, datagram: bytes, address: str, port: int) -> None:
        if self._tunnel_sock is not None:
            send_datagram(self._tunnel_sock, datagram, address, port)

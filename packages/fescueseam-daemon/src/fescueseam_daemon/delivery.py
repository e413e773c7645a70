"""Deliver packets to the backend server beside an agent, and its answers to callers."""

import socket
from collections.abc import Callable

import trio
from attrs import define, field

from fescueseam.conf.models import BackendSettings, Transport
from fescueseam.effects import Deliver
from fescueseam.exceptions import PacketError
from fescueseam.flows.keys import FlowKey
from fescueseam.packets.ip import build_udp, encapsulate
from fescueseam_daemon.sockets import open_udp, receive_batch, send_datagram

QUARANTINE_S = 10.0
"""Keep the port of a closed flow bound for as long as a late answer may come, in seconds."""

AnswerHook = Callable[[FlowKey], None]


@define(eq=False)
class _LocalSocket:
    sock: socket.socket
    scope: trio.CancelScope
    closed: bool = False


@define
class Delivery:
    """Keep one connected local socket for each UDP flow."""

    address: str
    backend: BackendSettings
    fabric_address: str
    fabric_port: int
    on_answer: AnswerHook
    _locals: dict[FlowKey, _LocalSocket] = field(factory=dict)
    _outside: socket.socket | None = None
    _nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Open the socket towards the fabric."""
        self._outside = open_udp(self.address, 0)
        self._nursery = nursery

    def close(self) -> None:
        """Close every socket."""
        for local in self._locals.values():
            local.sock.close()
        self._locals.clear()
        if self._outside is not None:
            self._outside.close()
            self._outside = None

    def deliver(self, effect: Deliver) -> None:
        """Hand one packet to the backend server."""
        if effect.service_class.transport is Transport.TCP:
            datagram = encapsulate(effect.packet.raw)
            self._send_outside(datagram, self.backend.address, self.backend.decapsulation_port)
            return
        local = self._locals.get(effect.flow)
        if local is None:
            local = self._open_local(effect)
        try:
            local.sock.send(effect.packet.payload)
        except OSError:
            # The backend server's port is closed; its load endpoint tells when it has restarted.
            return

    def send_to_caller(self, raw: bytes) -> None:
        """Send an IP packet back through the fabric."""
        if raw:
            self._send_outside(encapsulate(raw), self.fabric_address, self.fabric_port)

    def close_flow(self, flow: FlowKey) -> None:
        """Stop passing answers of a flow; its port stays bound until late answers are dead."""
        local = self._locals.pop(flow, None)
        if local is None or self._nursery is None:
            return
        local.closed = True
        self._nursery.start_soon(self._quarantine, local)

    async def _quarantine(self, local: _LocalSocket) -> None:
        await trio.sleep(QUARANTINE_S)
        local.scope.cancel()

    def _open_local(self, effect: Deliver) -> _LocalSocket:
        assert self._nursery is not None, "the delivery is not started"
        sock = open_udp(self.address, 0)
        port = effect.flow.destination_port + self.backend.port_offset
        sock.connect((self.backend.address, port))
        local = _LocalSocket(sock, trio.CancelScope())
        self._locals[effect.flow] = local
        self._nursery.start_soon(self._pass_answers, effect.flow, local)
        return local

    async def _pass_answers(self, flow: FlowKey, local: _LocalSocket) -> None:
        with local.scope:
            while True:
                for payload in await receive_batch(local.sock):
                    if not local.closed:
                        self._answer(flow, payload)
        local.sock.close()

    def _answer(self, flow: FlowKey, payload: bytes) -> None:
        self.on_answer(flow)
        try:
            raw = build_udp(
                flow.destination, flow.destination_port, flow.source, flow.source_port, payload
            )
        except PacketError:
            return
        self.send_to_caller(raw)

    def _send_outside(self, datagram: bytes, address: str, port: int) -> None:
        if self._outside is not None:
            send_datagram(self._outside, datagram, address, port)

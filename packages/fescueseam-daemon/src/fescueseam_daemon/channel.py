"""Exchange authenticated messages with other processes over one UDP socket."""

import socket

from attrs import define, field

from fescueseam.exceptions import MessageError
from fescueseam.messages.codec import Keyring, decode_message, encode_message, encode_packet
from fescueseam.messages.replay import ReplayGuard
from fescueseam.messages.types import Message, NextHop
from fescueseam_daemon.metrics import Metrics
from fescueseam_daemon.sockets import open_udp, receive_batch, send_datagram


@define
class Channel:
    """A UDP channel that numbers and authenticates messages and rejects replayed ones."""

    address: str
    port: int
    keyring: Keyring
    metrics: Metrics
    _replay_guard: ReplayGuard = field(factory=ReplayGuard)
    _sequence: int = 0
    _sock: socket.socket | None = None

    def start(self) -> None:
        """Bind the socket."""
        self._sock = open_udp(self.address, self.port)

    def close(self) -> None:
        """Close the socket."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def send(self, address: str, port: int, message: Message) -> None:
        """Send a message.

        A message that cannot be encoded, such as one that is too large, is dropped and counted, and
        so is one that the kernel does not accept, for example because its buffer is full.
        """
        self._sequence += 1
        try:
            datagram = encode_message(message, self.keyring, self._sequence)
        except MessageError as exc:
            self.metrics.count_drop(exc.kind, message.service, message.class_name)
            return
        self._send_datagram(datagram, address, port, message)

    def send_packet(self, next_hop: NextHop, packet: bytes) -> None:
        """Send a packet to a next hop as a Carry message; cheaper to encode than by `send`."""
        self._sequence += 1
        try:
            datagram = encode_packet(next_hop, packet, self._sequence, self.keyring)
        except MessageError as exc:
            self.metrics.count_drop(exc.kind, next_hop.message.service, next_hop.message.class_name)
            return
        self._send_datagram(datagram, next_hop.address, next_hop.port, next_hop.message)

    def _send_datagram(self, datagram: bytes, address: str, port: int, message: Message) -> None:
        if self._sock is None:
            return
        if not send_datagram(self._sock, datagram, address, port):
            self.metrics.datagrams_not_sent.inc()
            return
        self.metrics.messages.labels("out", type(message.body).__name__).inc()
        self.metrics.message_bytes.labels("out").inc(len(datagram))

    async def receive(self) -> list[Message]:
        """Wait for messages and return them; drop and count the invalid ones."""
        assert self._sock is not None, "the channel has not been started"
        messages = []
        for datagram in await receive_batch(self._sock):
            self.metrics.message_bytes.labels("in").inc(len(datagram))
            try:
                message = decode_message(datagram, self.keyring)
                self._replay_guard.check(message.sender, message.incarnation, message.sequence)
            except MessageError as exc:
                self.metrics.count_drop(exc.kind)
                continue
            self.metrics.messages.labels("in", type(message.body).__name__).inc()
            messages.append(message)
        return messages

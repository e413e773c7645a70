"""Send and receive UDP datagrams with trio."""

import socket
from typing import TypeAlias

import trio

Endpoint: TypeAlias = tuple[str, int]

RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65535


class DatagramSocket:
    """Bound UDP socket that drops a datagram instead of blocking in send."""

    def __init__(self, address: str, port: int) -> None:
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._sock.bind((address, port))
        self._trio_sock = trio.socket.from_stdlib_socket(self._sock)
        self.endpoint: Endpoint = self._sock.getsockname()
        self.dropped = 0

    def send(self, datagram: bytes, peer: Endpoint) -> None:
        """Send a datagram, or count it as dropped if the send fails."""
        try:
            self._sock.sendto(datagram, peer)
        except OSError:
            self.dropped += 1

    async def receive(self) -> tuple[bytes, Endpoint]:
        """Wait for a datagram; return it with its sender."""
        return await self._trio_sock.recvfrom(MAX_DATAGRAM_BYTES)

    def close(self) -> None:
        """Close the socket."""
        self._trio_sock.close()


def parse_endpoint(text: str) -> Endpoint:
    """Split "address:port" into its parts."""
    address, _, port = text.rpartition(":")
    return address.strip("[]"), int(port)

"""Send and receive the datagrams of one process."""

import socket
from collections.abc import Callable

import trio

from fescueseam_daemon.sockets import BATCH_DATAGRAMS, open_udp

MAX_DATAGRAM_BYTES = 65_535


class UdpSocket:
    """Own one UDP socket."""

    def __init__(self, address: str, port: int) -> None:
        """Keep the address; nothing is bound before `start`."""
        self._address = address
        self._port = port
        self._sock: socket.socket | None = None
        self.unsent_datagrams = 0
        """Count the datagrams that the kernel did not take."""

    def start(self) -> None:
        """Bind the socket; raise SettingsError if it cannot be bound."""
        self._sock = open_udp(self._address, self._port)

    def close(self) -> None:
        """Close the socket."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def send(self, data: bytes, address: str, port: int) -> None:
        """Send a datagram; one that the kernel does not take is counted and lost."""
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, (address, port))
        except OSError:
            self.unsent_datagrams += 1

    async def receive(self, handle: Callable[[bytes, str], None]) -> None:
        """Hand over each datagram with its sender's address, until cancelled."""
        assert self._sock is not None, "the link is not started"
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            for _ in range(BATCH_DATAGRAMS):
                try:
                    data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    # An earlier datagram met a closed port.
                    self.unsent_datagrams += 1
                    continue
                handle(data, sender[0])

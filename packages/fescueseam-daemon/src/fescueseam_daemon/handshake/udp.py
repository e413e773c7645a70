"""Non-blocking UDP sockets of a process."""

import socket
from collections.abc import Callable

import trio

from fescueseam_daemon.sockets import BATCH_DATAGRAMS, open_udp

MAX_DATAGRAM_BYTES = 65_535


class UdpSocket:
    """A UDP socket bound to one address."""

    def __init__(self, address: str, port: int) -> None:
        """Store the address; `start` binds the socket."""
        self._address = address
        self._port = port
        self._sock: socket.socket | None = None
        self.unsent_datagrams = 0
        """Number of datagrams that the kernel did not accept or reported as undeliverable."""

    def start(self) -> None:
        """Bind the socket; raise SettingsError if it cannot be bound."""
        self._sock = open_udp(self._address, self._port)

    def close(self) -> None:
        """Close the socket."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def has_unread_data(self) -> bool:
        """Return whether a datagram waits to be read."""
        if self._sock is None:
            return False
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # The kernel reports an undeliverable datagram; reading goes on.
            return True
        return True

    def send(self, data: bytes, address: str, port: int) -> None:
        """Send a datagram; count and drop one that the kernel does not accept."""
        if self._sock is None:
            return
        try:
            self._sock.sendto(data, (address, port))
        except OSError:
            self.unsent_datagrams += 1

    async def receive(self, handle: Callable[[bytes, str], None]) -> None:
        """Call `handle` with each datagram and its sender's address, until cancelled."""
        assert self._sock is not None, "start() has not been called"
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            for _ in range(BATCH_DATAGRAMS):
                try:
                    data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError:
                    # The kernel reports that an earlier datagram was sent to a closed port.
                    self.unsent_datagrams += 1
                    continue
                handle(data, sender[0])

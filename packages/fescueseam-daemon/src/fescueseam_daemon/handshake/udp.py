"""Non-blocking UDP sockets of a process."""

import errno
import socket
from collections.abc import Callable

import trio

from fescueseam_daemon.sockets import BATCH_DATAGRAMS, open_udp

MAX_DATAGRAM_BYTES = 65_535
FULL_QUEUE_ERRORS = (errno.EAGAIN, errno.ENOBUFS)
SINGLE_READS = 3
"""Number of waits after which one datagram is read, once a batch held no more than one. A second
read would nearly always find nothing then, and costs as much as the first."""


class UdpSocket:
    """A UDP socket bound to one address."""

    def __init__(self, address: str, port: int) -> None:
        """Store the address; `start` binds the socket."""
        self._address = address
        self._port = port
        self._sock: socket.socket | None = None
        self.unsent_datagrams = 0
        """Number of datagrams that the kernel did not accept or reported as undeliverable."""
        self.refused_datagrams = 0
        """Number of datagrams that the kernel did not accept: its queue to the link is full."""
        self.sent_bytes = 0

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
            self.sent_bytes += len(data)
        except OSError as exc:
            self.unsent_datagrams += 1
            if exc.errno in FULL_QUEUE_ERRORS:
                self.refused_datagrams += 1

    async def receive(self, handle: Callable[[bytes, str], None]) -> None:
        """Call `handle` with each datagram and its sender's address, until cancelled."""
        assert self._sock is not None, "start() has not been called"
        single_reads_left = 0
        while True:
            await trio.lowlevel.wait_readable(self._sock)
            if single_reads_left:
                single_reads_left -= 1
                self._read(handle)
                continue
            received = 0
            while received < BATCH_DATAGRAMS and self._read(handle):
                received += 1
            if received <= 1:
                single_reads_left = SINGLE_READS

    def _read(self, handle: Callable[[bytes, str], None]) -> bool:
        """Handle one datagram; return whether there was one, or an error in its place."""
        assert self._sock is not None, "start() has not been called"
        try:
            data, sender = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            # The kernel reports that an earlier datagram was sent to a closed port.
            self.unsent_datagrams += 1
            return True
        handle(data, sender[0])
        return True

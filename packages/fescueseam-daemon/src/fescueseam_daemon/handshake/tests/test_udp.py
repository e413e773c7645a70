"""Reads of a UDP socket: few system calls for single datagrams, whole batches in a burst."""

import socket
from collections.abc import Iterator
from typing import Any

import pytest
import trio

from fescueseam_daemon.handshake.tests.conftest import ADDRESS
from fescueseam_daemon.handshake.udp import SINGLE_READS, UdpSocket
from fescueseam_daemon.sockets import BATCH_DATAGRAMS

PORT = 7731
DATAGRAMS = 40


class CountingSocket:
    """A socket that counts its reads."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock
        self.reads = 0

    def recvfrom(self, size: int) -> Any:
        self.reads += 1
        return self._sock.recvfrom(size)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


@pytest.fixture
def receiver() -> Iterator[UdpSocket]:
    """Return a bound socket whose reads are counted."""
    sock = UdpSocket(ADDRESS, PORT)
    sock.start()
    sock._sock = CountingSocket(sock._sock)  # type: ignore[assignment,arg-type]
    yield sock
    sock.close()


async def receive_all(receiver: UdpSocket, batches: list[int]) -> tuple[list[bytes], int]:
    """Send batches of datagrams, each after the one before was read; return them and the reads."""
    received: list[bytes] = []
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    with trio.fail_after(10), sender:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(receiver.receive, lambda data, _: received.append(data))
            sent = 0
            for size in batches:
                for _ in range(size):
                    sender.sendto(b"%d" % sent, (ADDRESS, PORT))
                    sent += 1
                while len(received) < sent:
                    await trio.sleep(0.001)
            nursery.cancel_scope.cancel()
    return received, receiver._sock.reads  # type: ignore[union-attr]


def test_single_datagrams_take_few_more_reads_than_there_are(receiver: UdpSocket) -> None:
    received, reads = trio.run(receive_all, receiver, [1] * DATAGRAMS)
    assert received == [b"%d" % number for number in range(DATAGRAMS)]
    assert reads <= DATAGRAMS + DATAGRAMS / (SINGLE_READS + 1) + 1


def test_burst_is_read_in_batches(receiver: UdpSocket) -> None:
    burst = 2 * BATCH_DATAGRAMS
    batches = [1] * (SINGLE_READS + 1) + [burst, burst]
    received, reads = trio.run(receive_all, receiver, batches)
    assert len(received) == SINGLE_READS + 1 + 2 * burst
    assert reads <= len(received) + 8

"""Open, read and write non-blocking UDP sockets."""

import ipaddress
import socket

import trio

from fescueseam.exceptions import SettingsError

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
"""Requested size of the receive and send buffers of a socket."""
BATCH_DATAGRAMS = 64
"""Largest number of datagrams received in one batch."""
MAX_DATAGRAM_BYTES = 65535


def open_udp(address: str, port: int) -> socket.socket:
    """Return a non-blocking UDP socket bound to the address and port."""
    family = socket.AF_INET6 if ipaddress.ip_address(address).version == 6 else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    try:
        sock.bind((address, port))
    except OSError as exc:
        sock.close()
        raise SettingsError(f"cannot bind UDP {address}:{port}: {exc.strerror}") from exc
    return sock


async def receive_batch(sock: socket.socket) -> list[bytes]:
    """Wait until datagrams arrive; return those in the buffer, up to the batch limit."""
    await trio.lowlevel.wait_readable(sock)
    batch: list[bytes] = []
    while len(batch) < BATCH_DATAGRAMS:
        try:
            batch.append(sock.recv(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            break
        except ConnectionRefusedError:
            # An earlier send reached a closed port; the datagrams in the buffer are still valid.
            continue
    return batch


def send_datagram(sock: socket.socket, datagram: bytes, address: str, port: int) -> bool:
    """Send a datagram; return whether the kernel accepted it."""
    try:
        sock.sendto(datagram, (address, port))
    except OSError:
        return False
    return True

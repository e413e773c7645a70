"""Open the UDP sockets of a daemon."""

import ipaddress
import socket

import trio

from fescueseam.exceptions import SettingsError

SOCKET_BUFFER_BYTES = 4 * 1024 * 1024
BATCH_DATAGRAMS = 64
MAX_DATAGRAM_BYTES = 65535


def open_udp(address: str, port: int) -> socket.socket:
    """Return a non-blocking UDP socket bound to an IP address and port."""
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
    """Wait for datagrams and return those that are there, up to a bound."""
    await trio.lowlevel.wait_readable(sock)
    batch: list[bytes] = []
    while len(batch) < BATCH_DATAGRAMS:
        try:
            batch.append(sock.recv(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            break
        except ConnectionRefusedError:
            # An earlier datagram met a closed port; the datagrams that wait are still good.
            continue
    return batch


def send_datagram(sock: socket.socket, datagram: bytes, address: str, port: int) -> bool:
    """Send a datagram; return whether the kernel took it."""
    try:
        sock.sendto(datagram, (address, port))
    except OSError:
        return False
    return True

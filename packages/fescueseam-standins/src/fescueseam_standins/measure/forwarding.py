"""Time the balancer's whole path per packet beside a bare UDP relay."""

import ipaddress
import socket
import statistics
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager

from attrs import frozen

from fescueseam.conf.models import Configuration, DataCentre, KeySettings, Service, ServiceClass
from fescueseam.messages.codec import build_keyring, encode_packet
from fescueseam.messages.types import NextHop
from fescueseam.packets.ip import build_udp
from fescueseam.routing.balancer import Balancer
from fescueseam.routing.table import Member, Table

ROUNDS = 60
BATCH_PACKETS = 200
FLOWS = 500
"""Spread the packets over this many flows."""
SMALL_BYTES = 64
LARGE_BYTES = 1200
BUFFER_BYTES = 4 * 1024 * 1024
DATAGRAM_BYTES = 65535
MEMBERS = 7
SERVICE_ADDRESS = "10.40.0.10"
SERVICE_PORT = 443

Handle = Callable[[bytes], bytes]
"""Turn a received datagram into the one to send."""


@frozen
class Timing:
    """Hold the time per packet of both loops in seconds, medians over all rounds."""

    relay_s: float
    balancer_s: float

    @property
    def ratio(self) -> float:
        """Return the balancer's time over the relay's."""
        return self.balancer_s / self.relay_s


def measure_forwarding(payload_bytes: int, seed: int, rounds: int = ROUNDS) -> Timing:
    """Time batches through a relay and through the balancer in turn."""
    packets = [build_packet(number, payload_bytes, seed) for number in range(FLOWS)]
    balance = make_balancer_path()
    relayed: list[float] = []
    balanced: list[float] = []
    with ExitStack() as stack:
        source, middle, sink = (stack.enter_context(open_socket()) for _ in range(3))
        for number in range(rounds + 1):
            first = number * BATCH_PACKETS
            batch = [packets[(first + step) % FLOWS] for step in range(BATCH_PACKETS)]
            relay_s = time_batch(source, middle, sink, batch, lambda datagram: datagram)
            balancer_s = time_batch(source, middle, sink, batch, balance)
            if number:  # the first round fills caches
                relayed.append(relay_s)
                balanced.append(balancer_s)
    return Timing(statistics.median(relayed), statistics.median(balanced))


def time_batch(
    source: socket.socket,
    middle: socket.socket,
    sink: socket.socket,
    batch: list[bytes],
    handle: Handle,
) -> float:
    """Return the time per packet that the loop takes for a batch that waits in its socket."""
    address = middle.getsockname()
    for datagram in batch:
        source.sendto(datagram, address)
    target = sink.getsockname()
    began = time.perf_counter()
    handled = forward_waiting(middle, target, handle)
    elapsed = time.perf_counter() - began
    drain(sink)
    if handled != len(batch):
        raise RuntimeError(f"{handled} of {len(batch)} packets arrived")
    return elapsed / handled


def forward_waiting(middle: socket.socket, target: tuple[str, int], handle: Handle) -> int:
    """Forward everything that waits; this is the one loop that both sides share."""
    handled = 0
    while True:
        try:
            datagram = middle.recv(DATAGRAM_BYTES)
        except BlockingIOError:
            return handled
        middle.sendto(handle(datagram), target)
        handled += 1


def make_balancer_path() -> Handle:
    """Return the balancer's path from a fabric datagram to a sealed one."""
    balancer = make_balancer()
    keyring = build_keyring((KeySettings(1, "measure"),))
    sequence = 0

    def handle(datagram: bytes) -> bytes:
        nonlocal sequence
        next_hop = balancer.find_next_hop(datagram)
        if not isinstance(next_hop, NextHop):
            raise TypeError(f"{next_hop} is not a next hop")
        sequence += 1
        return encode_packet(next_hop, datagram, sequence, keyring)

    return handle


def make_balancer() -> Balancer:
    """Return a balancer of a service with seven members."""
    service = Service("bitacora", SERVICE_ADDRESS, (ServiceClass("repairs", SERVICE_PORT),))
    centre = DataCentre("esclusa-uno", "valle-central")
    members = tuple(
        Member(f"bitacora-{number}", centre.name, f"10.60.0.{number + 1}", 7000, number + 1)
        for number in range(MEMBERS)
    )
    balancer = Balancer("entry-1", 1)
    balancer.view.set_configuration(Configuration(1, (service,), (centre,)))
    balancer.view.set_table(Table(service.name, 1, members, seed=7))
    return balancer


def build_packet(number: int, payload_bytes: int, seed: int) -> bytes:
    """Build one packet of a numbered flow."""
    source = (int(ipaddress.ip_address("100.64.0.1")) + number).to_bytes(4, "big")
    target = ipaddress.ip_address(SERVICE_ADDRESS).packed
    port = 1024 + (seed * 7919 + number) % 60000
    return build_udp(source, port, target, SERVICE_PORT, bytes(payload_bytes))


def drain(sink: socket.socket) -> None:
    """Take everything out of a socket."""
    while True:
        try:
            sink.recv(DATAGRAM_BYTES)
        except BlockingIOError:
            return


@contextmanager
def open_socket() -> Iterator[socket.socket]:
    """Open a non-blocking UDP socket on the loopback interface."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        yield sock

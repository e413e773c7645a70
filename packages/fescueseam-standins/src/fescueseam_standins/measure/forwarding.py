"""Time the balancer's packet path against a bare UDP relay."""

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

DEFAULT_ROUNDS = 60
BATCH_PACKETS = 200
FLOW_COUNT = 500
"""Number of flows that the packets belong to."""
SMALL_PAYLOAD_BYTES = 64
LARGE_PAYLOAD_BYTES = 1200
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
MAX_DATAGRAM_BYTES = 65535
MEMBER_COUNT = 7
SERVICE_ADDRESS = "10.40.0.10"
SERVICE_PORT = 443

ConvertDatagram = Callable[[bytes], bytes]
"""Turns a received datagram into the one to send."""


@frozen
class ForwardingTimes:
    """Median times per packet of the relay and of the balancer, in seconds."""

    relay_s: float
    balancer_s: float

    @property
    def ratio(self) -> float:
        """Return the balancer's time divided by the relay's."""
        return self.balancer_s / self.relay_s


def measure_forwarding(
    payload_bytes: int, seed: int, rounds: int = DEFAULT_ROUNDS
) -> ForwardingTimes:
    """Time batches through the relay and the balancer alternately."""
    packets = [build_packet(number, payload_bytes, seed) for number in range(FLOW_COUNT)]
    forward_as_balancer = make_balancer_forwarder()
    relay_times_s: list[float] = []
    balancer_times_s: list[float] = []
    with ExitStack() as stack:
        sender, forwarder, receiver = (stack.enter_context(open_socket()) for _ in range(3))
        for round_number in range(rounds + 1):
            first = round_number * BATCH_PACKETS
            batch = [packets[(first + step) % FLOW_COUNT] for step in range(BATCH_PACKETS)]
            relay_s = time_forwarding(sender, forwarder, receiver, batch, lambda datagram: datagram)
            balancer_s = time_forwarding(sender, forwarder, receiver, batch, forward_as_balancer)
            if round_number:  # the first round only warms the caches
                relay_times_s.append(relay_s)
                balancer_times_s.append(balancer_s)
    return ForwardingTimes(statistics.median(relay_times_s), statistics.median(balancer_times_s))


def time_forwarding(
    sender: socket.socket,
    forwarder: socket.socket,
    receiver: socket.socket,
    batch: list[bytes],
    convert: ConvertDatagram,
) -> float:
    """Return the seconds per packet to forward a batch that is already in the socket buffer."""
    address = forwarder.getsockname()
    for datagram in batch:
        sender.sendto(datagram, address)
    destination = receiver.getsockname()
    started = time.perf_counter()
    forwarded = forward_pending(forwarder, destination, convert)
    elapsed = time.perf_counter() - started
    drain_socket(receiver)
    if forwarded != len(batch):
        raise RuntimeError(f"only {forwarded} of {len(batch)} packets reached the forwarder")
    return elapsed / forwarded


def forward_pending(
    forwarder: socket.socket, destination: tuple[str, int], convert: ConvertDatagram
) -> int:
    """Forward every pending datagram; the relay and the balancer share this loop."""
    forwarded = 0
    while True:
        try:
            datagram = forwarder.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return forwarded
        forwarder.sendto(convert(datagram), destination)
        forwarded += 1


def make_balancer_forwarder() -> ConvertDatagram:
    """Return a function that routes a datagram and encodes it for its next hop."""
    balancer = make_balancer()
    keyring = build_keyring((KeySettings(1, "measure"),))
    sequence = 0

    def convert(datagram: bytes) -> bytes:
        nonlocal sequence
        next_hop = balancer.find_next_hop(datagram)
        if not isinstance(next_hop, NextHop):
            raise TypeError(f"balancer returned {next_hop} instead of a next hop")
        sequence += 1
        return encode_packet(next_hop, datagram, sequence, keyring)

    return convert


def make_balancer() -> Balancer:
    """Return a balancer that knows one service and its members."""
    service = Service("bitacora", SERVICE_ADDRESS, (ServiceClass("repairs", SERVICE_PORT),))
    data_centre = DataCentre("esclusa-uno", "valle-central")
    members = tuple(
        Member(f"bitacora-{number}", data_centre.name, f"10.60.0.{number + 1}", 7000, number + 1)
        for number in range(MEMBER_COUNT)
    )
    balancer = Balancer("entry-1", 1)
    balancer.view.set_configuration(Configuration(1, (service,), (data_centre,)))
    balancer.view.set_table(Table(service.name, 1, members, seed=7))
    return balancer


def build_packet(number: int, payload_bytes: int, seed: int) -> bytes:
    """Build a UDP packet of the flow with a given number."""
    source = (int(ipaddress.ip_address("100.64.0.1")) + number).to_bytes(4, "big")
    destination = ipaddress.ip_address(SERVICE_ADDRESS).packed
    port = 1024 + (seed * 7919 + number) % 60000
    return build_udp(source, port, destination, SERVICE_PORT, bytes(payload_bytes))


def drain_socket(sock: socket.socket) -> None:
    """Discard every pending datagram of a socket."""
    while True:
        try:
            sock.recv(MAX_DATAGRAM_BYTES)
        except BlockingIOError:
            return


@contextmanager
def open_socket() -> Iterator[socket.socket]:
    """Open a non-blocking UDP socket on the loopback interface."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        yield sock

"""Send a caller's packets to the fabric and dispatch the replies to their flows."""

import ipaddress
import random
from collections.abc import Callable

import dpkt
import trio
from attrs import frozen

from fescueseam.exceptions import PacketError
from fescueseam.packets.ip import build_udp, decapsulate, encapsulate, parse_packet

from .datagrams import DatagramSocket, Endpoint

FIRST_INNER_PORT = 20_000
LAST_INNER_PORT = 60_000
_ICMP_PROTOCOLS = (dpkt.ip.IP_PROTO_ICMP, dpkt.ip.IP_PROTO_ICMP6)


@frozen
class CallerSettings:
    """Addresses and ports of a caller."""

    fabric: Endpoint
    bind_address: str = "127.0.0.3"
    """Local address of the UDP socket to the fabric."""
    inner_address: str = "10.9.0.1"
    """Source address of inner packets."""
    first_port: int | None = None
    """First inner source port; random if None."""


@frozen
class Flow:
    """One flow of a caller."""

    send: Callable[[bytes], None]
    close: Callable[[], None]
    port: int


@frozen
class FlowHooks:
    """Callbacks for packets that arrive for a flow."""

    on_payload: Callable[[bytes], None]
    on_prohibited: Callable[[], None]
    """Called when an ICMP message reports that the network refused a packet of the flow."""


class CallerSocket:
    """UDP socket to the fabric that the flows of a caller share."""

    def __init__(self, cfg: CallerSettings) -> None:
        self.cfg = cfg
        self.malformed = 0
        self._address = ipaddress.ip_address(cfg.inner_address).packed
        self._flows: dict[int, FlowHooks] = {}
        self._next_port = cfg.first_port or random.randrange(FIRST_INNER_PORT, LAST_INNER_PORT)

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the socket and start receiving."""
        self._sock = DatagramSocket(self.cfg.bind_address, 0)
        nursery.start_soon(self._receive)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def open_flow(self, destination: Endpoint, hooks: FlowHooks) -> Flow:
        """Open a flow on an inner port that no other open flow uses."""
        port = self._allocate_port()
        self._flows[port] = hooks
        address = ipaddress.ip_address(destination[0]).packed

        def send(payload: bytes) -> None:
            raw = build_udp(self._address, port, address, destination[1], payload)
            self._sock.send(encapsulate(raw), self.cfg.fabric)

        def close() -> None:
            self._flows.pop(port, None)

        return Flow(send, close, port)

    def _allocate_port(self) -> int:
        if len(self._flows) >= LAST_INNER_PORT - FIRST_INNER_PORT:
            raise OSError("every inner port is in use")
        while True:
            port = self._next_port
            self._next_port = port + 1 if port < LAST_INNER_PORT else FIRST_INNER_PORT
            if port not in self._flows:
                return port

    async def _receive(self) -> None:
        while True:
            datagram, _ = await self._sock.receive()
            self._handle_datagram(datagram)

    def _handle_datagram(self, datagram: bytes) -> None:
        try:
            packet = parse_packet(decapsulate(datagram))
        except PacketError:
            self._handle_prohibition(datagram)
            return
        hooks = self._flows.get(packet.flow.destination_port)
        if hooks is not None and packet.flow.destination == self._address:
            hooks.on_payload(packet.payload)

    def _handle_prohibition(self, datagram: bytes) -> None:
        port = parse_prohibited_port(datagram)
        if port is None:
            self.malformed += 1
            return
        hooks = self._flows.get(port)
        if hooks is not None:
            hooks.on_prohibited()


def parse_prohibited_port(datagram: bytes) -> int | None:
    """Return the source port of the packet quoted in an ICMP message, None for other datagrams."""
    try:
        outer = dpkt.ip.IP(datagram) if datagram[0] >> 4 == 4 else dpkt.ip6.IP6(datagram)
        if outer.p not in _ICMP_PROTOCOLS:
            return None
        quoted_packet = outer.data.data.data
        return int(quoted_packet.data.sport)
    except (AttributeError, IndexError, dpkt.UnpackError):
        return None

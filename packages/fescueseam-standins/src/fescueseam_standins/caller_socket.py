"""Send a caller's packets to the fabric and hand the answers to their flows."""

import ipaddress
import random
from collections.abc import Callable

import dpkt
import trio
from attrs import frozen

from fescueseam.exceptions import PacketError
from fescueseam.packets.ip import build_udp, decapsulate, encapsulate, parse_packet

from .datagrams import DatagramSocket, Endpoint

FIRST_PORT = 20_000
LAST_PORT = 60_000
_ICMP_PROTOCOLS = (dpkt.ip.IP_PROTO_ICMP, dpkt.ip.IP_PROTO_ICMP6)


@frozen
class CallerSettings:
    """Hold a caller's addresses."""

    fabric: Endpoint
    bind_address: str = "127.0.0.3"
    """Bind the UDP socket towards the fabric to this address."""
    inner_address: str = "10.9.0.1"
    """Send inner packets from this address."""
    first_port: int | None = None
    """Use inner ports from this one on; a random one where not given."""


@frozen
class Flow:
    """Hold one flow of a caller."""

    send: Callable[[bytes], None]
    close: Callable[[], None]
    port: int


@frozen
class FlowHooks:
    """Tell the owner what arrives for a flow."""

    on_payload: Callable[[bytes], None]
    on_prohibited: Callable[[], None]
    """Take note that the network refused the flow's packet."""


class CallerSocket:
    """Hold one socket towards the fabric and the flows that share it."""

    def __init__(self, cfg: CallerSettings) -> None:
        self.cfg = cfg
        self.malformed = 0
        self._address = ipaddress.ip_address(cfg.inner_address).packed
        self._flows: dict[int, FlowHooks] = {}
        self._next_port = cfg.first_port or random.randrange(FIRST_PORT, LAST_PORT)

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the socket and begin to receive."""
        self._sock = DatagramSocket(self.cfg.bind_address, 0)
        nursery.start_soon(self._receive)

    def close(self) -> None:
        """Close the socket."""
        self._sock.close()

    def open_flow(self, destination: Endpoint, hooks: FlowHooks) -> Flow:
        """Open a flow with an inner port that no open flow has."""
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
        if len(self._flows) >= LAST_PORT - FIRST_PORT:
            raise OSError("every inner port is in use")
        while True:
            port = self._next_port
            self._next_port = port + 1 if port < LAST_PORT else FIRST_PORT
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
    """Return the source port of the packet that an ICMP message quotes."""
    try:
        outer = dpkt.ip.IP(datagram) if datagram[0] >> 4 == 4 else dpkt.ip6.IP6(datagram)
        if outer.p not in _ICMP_PROTOCOLS:
            return None
        quoted_packet = outer.data.data.data
        return int(quoted_packet.data.sport)
    except (AttributeError, IndexError, dpkt.UnpackError):
        return None

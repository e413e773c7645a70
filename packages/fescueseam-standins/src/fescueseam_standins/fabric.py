"""Run a stand-in for the fabric: spray callers' packets over balancers and return replies."""

import ipaddress
import random
from collections import OrderedDict
from typing import Annotated

import dpkt
import trio
import typer
from attrs import define, frozen
from quart import Response, request
from quart_trio import QuartTrio

from fescueseam.exceptions import PacketError
from fescueseam.packets.ip import decapsulate, parse_packet

from .datagrams import DatagramSocket, Endpoint, parse_endpoint
from .platform import make_json_response
from .platform_state import JsonValue
from .running import run_until_stopped, serve_http

MAX_REMEMBERED_CALLERS = 200_000
"""Largest number of inner endpoints whose callers are remembered."""
MAX_DELAYED_PACKETS = 10_000
"""Largest number of packets that are delayed at one time."""


@frozen
class FabricSettings:
    """Addresses of the fabric and the packet faults that it simulates."""

    address: str
    port: int = 6081
    """UDP port for packets from callers."""
    return_port: int = 6080
    """UDP port for packets to callers."""
    duplicate_rate: float = 0.0
    reorder_rate: float = 0.0
    reorder_delay_s: float = 0.005
    """Delay of a reordered packet, in seconds."""
    seed: int = 1


@define
class FabricCounts:
    """Packet counts of the fabric."""

    forwarded: int = 0
    duplicated: int = 0
    reordered: int = 0
    returned: int = 0
    malformed: int = 0
    without_balancer: int = 0
    without_caller: int = 0


class Fabric:
    """Forwarder between callers and balancers that does not track flows."""

    def __init__(self, cfg: FabricSettings, balancers: list[Endpoint]) -> None:
        self.cfg = cfg
        self.balancers = balancers
        self.counts = FabricCounts()
        self._random = random.Random(cfg.seed)
        self._callers: OrderedDict[tuple[bytes, int], Endpoint] = OrderedDict()
        self._delayed_packets = 0

    async def start(self, nursery: trio.Nursery) -> None:
        """Open both ports and start forwarding."""
        self.caller_sock = DatagramSocket(self.cfg.address, self.cfg.port)
        self.return_sock = DatagramSocket(self.cfg.address, self.cfg.return_port)
        self._nursery = nursery
        nursery.start_soon(self._forward_caller_packets)
        nursery.start_soon(self._forward_return_packets)

    def close(self) -> None:
        """Close both ports."""
        self.caller_sock.close()
        self.return_sock.close()

    async def _forward_caller_packets(self) -> None:
        while True:
            datagram, caller = await self.caller_sock.receive()
            try:
                packet = parse_packet(decapsulate(datagram))
            except PacketError:
                self.counts.malformed += 1
                continue
            self._record_caller(packet.flow.source, packet.flow.source_port, caller)
            self._spray(datagram)

    def _record_caller(self, address: bytes, port: int, caller: Endpoint) -> None:
        # Packets without ports (ICMP) are returned to the last caller that used the address.
        for key in ((address, port), (address, 0)):
            self._callers[key] = caller
            self._callers.move_to_end(key)
        while len(self._callers) > MAX_REMEMBERED_CALLERS:
            self._callers.popitem(last=False)

    def _spray(self, datagram: bytes) -> None:
        if not self.balancers:
            self.counts.without_balancer += 1
            return
        if self._random.random() < self.cfg.duplicate_rate:
            self.counts.duplicated += 1
            self._forward(datagram)
        if (
            self._random.random() < self.cfg.reorder_rate
            and self._delayed_packets < MAX_DELAYED_PACKETS
        ):
            self.counts.reordered += 1
            self._delayed_packets += 1
            self._nursery.start_soon(self._forward_delayed, datagram)
            return
        self._forward(datagram)

    def _forward(self, datagram: bytes) -> None:
        if self.balancers:
            self.counts.forwarded += 1
            self.caller_sock.send(datagram, self._random.choice(self.balancers))

    async def _forward_delayed(self, datagram: bytes) -> None:
        await trio.sleep(self.cfg.reorder_delay_s)
        self._delayed_packets -= 1
        self._forward(datagram)

    async def _forward_return_packets(self) -> None:
        while True:
            datagram, _ = await self.return_sock.receive()
            try:
                address, port = parse_destination(decapsulate(datagram))
            except PacketError:
                self.counts.malformed += 1
                continue
            caller = self._callers.get((address, port))
            if caller is None:
                self.counts.without_caller += 1
                continue
            self.counts.returned += 1
            self.caller_sock.send(datagram, caller)


def parse_destination(raw: bytes) -> tuple[bytes, int]:
    """Return the inner destination of a packet to a caller; port 0 for protocols without ports."""
    try:
        flow = parse_packet(raw).flow
    except PacketError:
        return parse_destination_address(raw), 0
    return flow.destination, flow.destination_port


def parse_destination_address(raw: bytes) -> bytes:
    """Return the destination address of an IP packet of any protocol."""
    try:
        outer = dpkt.ip.IP(raw) if raw[0] >> 4 == 4 else dpkt.ip6.IP6(raw)
    except dpkt.UnpackError as exc:
        raise PacketError(str(exc)) from exc
    return bytes(outer.dst)


def build_app(fabric: Fabric) -> QuartTrio:
    """Return the ASGI application of the control endpoint."""
    app = QuartTrio(__name__)

    def describe_fabric() -> dict[str, JsonValue]:
        return {
            "balancers": [f"{address}:{port}" for address, port in fabric.balancers],
            "counts": {name: getattr(fabric.counts, name) for name in _COUNT_NAMES},
        }

    async def show_balancers() -> Response:
        return make_json_response(200, describe_fabric())

    async def replace_balancers() -> Response:
        body = await request.get_json(force=True)
        try:
            fabric.balancers = [_parse_ip_endpoint(text) for text in body["balancers"]]
        except (KeyError, TypeError, ValueError) as exc:
            return make_json_response(400, {"error": repr(exc)})
        return make_json_response(200, describe_fabric())

    app.add_url_rule("/balancers", "show", show_balancers, methods=["GET"])
    app.add_url_rule("/balancers", "replace", replace_balancers, methods=["POST"])
    return app


_COUNT_NAMES = (
    "forwarded",
    "duplicated",
    "reordered",
    "returned",
    "malformed",
    "without_balancer",
    "without_caller",
)


def _parse_ip_endpoint(text: str) -> Endpoint:
    address, port = parse_endpoint(text)
    ipaddress.ip_address(address)
    return address, port


def main(
    address: str = "127.0.0.2",
    port: int = 6081,
    return_port: int = 6080,
    control_port: int = 7001,
    balancer: Annotated[
        list[str] | None,
        typer.Option(help="address:port of a balancer; may be given several times"),
    ] = None,
    duplicate_rate: float = 0.0,
    reorder_rate: float = 0.0,
    reorder_delay_s: float = 0.005,
    seed: int = 1,
) -> None:
    """Run the fabric stand-in until SIGTERM."""
    cfg = FabricSettings(
        address, port, return_port, duplicate_rate, reorder_rate, reorder_delay_s, seed
    )
    fabric = Fabric(cfg, [_parse_ip_endpoint(text) for text in balancer or ()])

    async def serve() -> None:
        async with trio.open_nursery() as nursery:
            await fabric.start(nursery)
            await serve_http(build_app(fabric), address, control_port)

    run_until_stopped(serve)


if __name__ == "__main__":
    typer.run(main)

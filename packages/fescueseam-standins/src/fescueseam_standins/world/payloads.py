"""Build callers' packets that carry the id of a call."""

import struct
from enum import Enum

import dpkt
from attrs import frozen

from fescueseam.conf.models import ServiceClass, Transport
from fescueseam.flows.keys import PROTOCOL_TCP, PROTOCOL_UDP, FlowKey
from fescueseam.packets.ip import (
    QUIC_VERSION_1,
    Packet,
    build_ipv4_header,
    build_udp,
)

_PACKET_ID = struct.Struct(">QI")
_TCP_HEADER = struct.Struct(dpkt.tcp.TCP.__hdr_fmt__)
_TCP_OFFSET = 5 << 12
_TCP_WINDOW = 65535


CLOSING_PACKET_NUMBER = 2**32 - 1
"""Number the packet by which a caller ends a flow."""


@frozen
class PacketId:
    """Name the call that a packet belongs to, and the packet's number in it."""

    call_id: int
    packet_number: int


class PacketPhase(Enum):
    """Tell where in its flow a packet stands."""

    OPENING = "opening"
    LATER = "later"
    CLOSING = "closing"


_QUIC_HEADERS = {
    PacketPhase.OPENING: b"\xc0" + QUIC_VERSION_1,
    PacketPhase.LATER: b"\x40" + bytes(4),
    PacketPhase.CLOSING: b"\x40" + bytes(4),
}
_TCP_FLAGS = {
    PacketPhase.OPENING: dpkt.tcp.TH_SYN,
    PacketPhase.LATER: dpkt.tcp.TH_ACK,
    PacketPhase.CLOSING: dpkt.tcp.TH_RST,
}


def make_flow_key(source: bytes, port: int, address: bytes, service_class: ServiceClass) -> FlowKey:
    """Return the key of a flow from a caller's address and port to a class of a service."""
    tcp = service_class.transport is Transport.TCP
    protocol = PROTOCOL_TCP if tcp else PROTOCOL_UDP
    return FlowKey(protocol, source, port, address, service_class.port)


def build_packet(
    flow: FlowKey, transport: Transport, call_id: int, phase: PacketPhase, number: int = 0
) -> bytes:
    """Build a packet of a flow with a call's id and the packet's number in it."""
    payload = _PACKET_ID.pack(call_id, number)
    if transport is Transport.TCP:
        return _build_tcp(flow, payload, _TCP_FLAGS[phase])
    if transport is Transport.QUIC:
        payload = _QUIC_HEADERS[phase] + payload
    return build_udp(
        flow.source, flow.source_port, flow.destination, flow.destination_port, payload
    )


def read_packet_id(packet: Packet) -> PacketId:
    """Return the call's id and the packet's number in a packet."""
    call_id, number = _PACKET_ID.unpack(packet.payload[-_PACKET_ID.size :])
    return PacketId(call_id, number)


def _build_tcp(flow: FlowKey, payload: bytes, flags: int) -> bytes:
    segment = _TCP_HEADER.pack(
        flow.source_port, flow.destination_port, 0, 0, _TCP_OFFSET | flags, _TCP_WINDOW, 0, 0
    )
    length = len(segment) + len(payload)
    header = build_ipv4_header(flow.source, flow.destination, PROTOCOL_TCP, length)
    return header + segment + payload

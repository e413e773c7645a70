"""Parse and build the IP packets that the fabric carries in UDP datagrams."""

import struct
from enum import Enum

import dpkt
from attrs import frozen

from fescueseam.conf.models import Transport
from fescueseam.exceptions import ErrorKind, PacketError
from fescueseam.flows.keys import PROTOCOL_TCP, PROTOCOL_UDP, FlowKey

# Parsing with dpkt's packet classes takes several times as long as all other work of the balancer
# on a packet, so only their header formats are used here.
_IPV4 = struct.Struct(dpkt.ip.IP.__hdr_fmt__)
_IPV6 = struct.Struct(dpkt.ip6.IP6.__hdr_fmt__)
_TCP = struct.Struct(dpkt.tcp.TCP.__hdr_fmt__)
_UDP = struct.Struct(dpkt.udp.UDP.__hdr_fmt__)
_IPV4_PSEUDO_HEADER = struct.Struct(">4s4sxBH")
_IPV6_PSEUDO_HEADER = struct.Struct(">16s16sIxxxB")

_IPV4_UDP_FIELDS = struct.Struct(">2xHxxHxB14xH")
"""Total length, fragment field, protocol and UDP length of UDP in IPv4 without options.

Nearly all packets have this form.
"""
_IPV4_FIRST_BYTE = 0x45
"""Version 4 and a header of five words, which has no options."""
_PROTOCOL_SLICE = slice(9, 10)
_ADDRESSES_SLICE = slice(12, 20)
_PORTS_SLICE = slice(20, 24)
_KEY_DESTINATION_PORT_SLICE = slice(3, 5)
_KEY_ADDRESSES_OFFSET = 5
"""Start of the two addresses in a packed flow key; the destination is the second half."""

IPV4_ADDRESS_BYTES = 4
PORT_BYTES = 2
MAX_PACKET_BYTES = 65535
HOP_LIMIT = 64
_CHECKSUM_MODULUS = 0xFFFF
_FRAGMENT_MASK = dpkt.ip.IP_MF | dpkt.ip.IP_OFFMASK
_TCP_FLAGS_MASK = 0xFF

_QUIC_LONG_HEADER = 0x80
_QUIC_TYPE_MASK = 0x30
_QUIC_HEADER_BYTES = 5
QUIC_VERSION_1 = b"\x00\x00\x00\x01"
QUIC_VERSION_2 = b"\x6b\x33\x43\xcf"
_QUIC_VERSION_NEGOTIATION = b"\x00\x00\x00\x00"
_QUIC_INITIAL_TYPES = {QUIC_VERSION_1: 0x00, QUIC_VERSION_2: 0x10}
QUIC_MIN_INITIAL_BYTES = 1200
"""Smallest datagram that may open a QUIC connection."""


class FlowPhase(Enum):
    """Phase of a flow that a packet belongs to."""

    OPENING = "opening"
    ESTABLISHED = "established"
    UNKNOWN = "unmarked"
    """The packets of the transport do not show their phase."""
    CLOSING = "closing"


@frozen
class Packet:
    """One parsed packet of a caller."""

    flow: FlowKey
    raw: bytes
    """The whole inner IP packet."""
    protocol: int
    payload: bytes
    tcp_flags: int = 0


def decapsulate(datagram: bytes) -> bytes:
    """Return the inner packet of a GUE variant 1 datagram, which has no header of its own."""
    return _require_ip_version(datagram)


def encapsulate(raw: bytes) -> bytes:
    """Return the GUE variant 1 datagram that carries an inner packet."""
    return _require_ip_version(raw)


def parse_packet(raw: bytes) -> Packet:
    """Parse an IPv4 or IPv6 packet that carries TCP or UDP."""
    version = raw[0] >> 4 if raw else 0
    if version == 4:
        protocol, source, destination, offset = _parse_ipv4(raw)
    elif version == 6:
        protocol, source, destination, offset = _parse_ipv6(raw)
    else:
        raise PacketError("packet is neither IPv4 nor IPv6")
    if protocol == PROTOCOL_UDP:
        return _parse_udp(raw, source, destination, offset)
    if protocol == PROTOCOL_TCP:
        return _parse_tcp(raw, source, destination, offset)
    raise PacketError(
        f"transport protocol {protocol} is not supported", ErrorKind.UNSUPPORTED_PACKET
    )


def read_flow_key(raw: bytes) -> bytes:
    """Return the packed flow key of a packet; accept the same packets as parse_packet."""
    size = len(raw)
    if size >= _IPV4_UDP_FIELDS.size and raw[0] == _IPV4_FIRST_BYTE:
        total_length, fragment, protocol, udp_length = _IPV4_UDP_FIELDS.unpack_from(raw)
        has_valid_lengths = total_length == size and _UDP.size <= udp_length <= size - _IPV4.size
        if has_valid_lengths and protocol == PROTOCOL_UDP and not fragment & _FRAGMENT_MASK:
            return raw[_PROTOCOL_SLICE] + raw[_PORTS_SLICE] + raw[_ADDRESSES_SLICE]
    return parse_packet(raw).flow.pack()


def read_destination_endpoint(key: bytes) -> bytes:
    """Return the port and address of the destination in a packed flow key."""
    return key[_KEY_DESTINATION_PORT_SLICE] + key[(len(key) + _KEY_ADDRESSES_OFFSET) >> 1 :]


def split_endpoint(endpoint: bytes) -> tuple[bytes, int]:
    """Return the address and the port of an endpoint."""
    return endpoint[PORT_BYTES:], int.from_bytes(endpoint[:PORT_BYTES], "big")


def find_flow_phase(packet: Packet, transport: Transport) -> FlowPhase:
    """Return the phase of its flow that a packet belongs to."""
    if transport is Transport.QUIC:
        return (
            FlowPhase.OPENING
            if _can_open_quic_connection(packet.payload)
            else FlowPhase.ESTABLISHED
        )
    if transport is Transport.UDP:
        return FlowPhase.UNKNOWN
    flags = packet.tcp_flags
    if flags & dpkt.tcp.TH_RST:
        return FlowPhase.CLOSING
    if flags & (dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK) == dpkt.tcp.TH_SYN:
        return FlowPhase.OPENING
    return FlowPhase.ESTABLISHED


def build_udp(
    source: bytes, source_port: int, destination: bytes, destination_port: int, payload: bytes
) -> bytes:
    """Build an IP packet with one UDP datagram, lengths and checksums included."""
    length = _UDP.size + len(payload)
    header_bytes = _IPV4.size if len(source) == IPV4_ADDRESS_BYTES else 0
    if length + header_bytes > MAX_PACKET_BYTES:
        raise PacketError(
            f"payload of {len(payload)} bytes is too large for one IP packet",
            ErrorKind.OVERSIZE_DATAGRAM,
        )
    if header_bytes:
        pseudo = _IPV4_PSEUDO_HEADER.pack(source, destination, PROTOCOL_UDP, length)
        header = build_ipv4_header(source, destination, PROTOCOL_UDP, length)
    else:
        pseudo = _IPV6_PSEUDO_HEADER.pack(source, destination, length, PROTOCOL_UDP)
        header = _IPV6.pack(6 << 28, length, PROTOCOL_UDP, HOP_LIMIT, source, destination)
    without_checksum = _UDP.pack(source_port, destination_port, length, 0)
    checksum = compute_checksum(pseudo + without_checksum + payload)
    return header + _UDP.pack(source_port, destination_port, length, checksum) + payload


def build_ipv4_header(source: bytes, destination: bytes, protocol: int, length: int) -> bytes:
    """Build an IPv4 header without options for a payload of a given length."""
    total_length = _IPV4.size + length
    fields = (0x45, 0, total_length, 0, dpkt.ip.IP_DF, HOP_LIMIT, protocol)
    without_checksum = _IPV4.pack(*fields, 0, source, destination)
    return _IPV4.pack(*fields, compute_checksum(without_checksum), source, destination)


def compute_checksum(data: bytes) -> int:
    """Return the Internet checksum (RFC 1071), with 0xFFFF in place of zero."""
    # The ones' complement sum of 16-bit words is the remainder of division by 65,535. One division
    # of a long integer is many times faster than dpkt's loop. UDP reads zero as "no checksum".
    number = int.from_bytes(data, "big") << ((len(data) & 1) << 3)
    return _CHECKSUM_MODULUS - number % _CHECKSUM_MODULUS


def _require_ip_version(raw: bytes) -> bytes:
    if not raw or raw[0] >> 4 not in (4, 6):
        raise PacketError("packet is neither IPv4 nor IPv6")
    return raw


def _parse_ipv4(raw: bytes) -> tuple[int, bytes, bytes, int]:
    if len(raw) < _IPV4.size:
        raise PacketError("packet is shorter than the IPv4 header")
    first, _, total_length, _, fragment, _, protocol, _, source, destination = _IPV4.unpack_from(
        raw
    )
    offset = (first & 0xF) << 2
    if offset < _IPV4.size or total_length != len(raw) or offset > total_length:
        raise PacketError("IPv4 header length or total length does not match the packet")
    if fragment & _FRAGMENT_MASK:
        raise PacketError("IPv4 fragments are not supported", ErrorKind.UNSUPPORTED_PACKET)
    return protocol, source, destination, offset


def _parse_ipv6(raw: bytes) -> tuple[int, bytes, bytes, int]:
    if len(raw) < _IPV6.size:
        raise PacketError("packet is shorter than the IPv6 header")
    _, length, protocol, _, source, destination = _IPV6.unpack_from(raw)
    if _IPV6.size + length != len(raw):
        raise PacketError("IPv6 payload length does not match the packet")
    return protocol, source, destination, _IPV6.size


def _parse_udp(raw: bytes, source: bytes, destination: bytes, offset: int) -> Packet:
    if len(raw) < offset + _UDP.size:
        raise PacketError("packet is shorter than the UDP header")
    source_port, destination_port, length, _ = _UDP.unpack_from(raw, offset)
    end = offset + length
    if length < _UDP.size or end > len(raw):
        raise PacketError("UDP length does not match the packet")
    flow = FlowKey(PROTOCOL_UDP, source, source_port, destination, destination_port)
    return Packet(flow, raw, PROTOCOL_UDP, raw[offset + _UDP.size : end])


def _parse_tcp(raw: bytes, source: bytes, destination: bytes, offset: int) -> Packet:
    if len(raw) < offset + _TCP.size:
        raise PacketError("packet is shorter than the TCP header")
    source_port, destination_port, _, _, offset_and_flags, _, _, _ = _TCP.unpack_from(raw, offset)
    start = offset + ((offset_and_flags >> 12) << 2)
    if start < offset + _TCP.size or start > len(raw):
        raise PacketError("TCP header length does not match the packet")
    flow = FlowKey(PROTOCOL_TCP, source, source_port, destination, destination_port)
    return Packet(flow, raw, PROTOCOL_TCP, raw[start:], offset_and_flags & _TCP_FLAGS_MASK)


def _can_open_quic_connection(payload: bytes) -> bool:
    if len(payload) < _QUIC_HEADER_BYTES or not payload[0] & _QUIC_LONG_HEADER:
        return False
    version = payload[1:_QUIC_HEADER_BYTES]
    initial_type = _QUIC_INITIAL_TYPES.get(version)
    if initial_type is not None:
        return payload[0] & _QUIC_TYPE_MASK == initial_type
    # A server replies to an unknown version, with the versions that it supports, only if the
    # datagram is large enough to open a connection (RFC 9000, 5.2.2).
    return version != _QUIC_VERSION_NEGOTIATION and len(payload) >= QUIC_MIN_INITIAL_BYTES

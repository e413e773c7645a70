"""Build refusals in the protocol that the caller speaks."""

import struct

import dpkt
from aioquic.buffer import Buffer
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicFrameType,
    QuicHeader,
    QuicPacketType,
    QuicProtocolVersion,
    pull_quic_header,
)
from aioquic.quic.packet_builder import QuicPacketBuilder

from fescueseam.conf.models import Transport
from fescueseam.flows.keys import PROTOCOL_TCP

from .ip import (
    HOP_LIMIT,
    IPV4_ADDRESS_BYTES,
    QUIC_MIN_INITIAL_BYTES,
    Packet,
    build_udp,
)

MAX_ICMP_QUOTE_BYTES = 548
"""Longest quote that keeps an ICMP message within 576 bytes (RFC 1812, 4.3.2.3)."""
MAX_ICMP6_QUOTE_BYTES = 1232
"""Longest quote that keeps an ICMPv6 message within 1,280 bytes (RFC 4443, 2.4)."""
ICMP6_PROHIBITED_CODE = 1
_SEQUENCE_MASK = 0xFFFFFFFF
_CLOSE_FRAME_CAPACITY_BYTES = 16
_TCP_SEQUENCES = struct.Struct(">II")
_TCP_SEQUENCES_OFFSET = 4
_TCP_SEQUENCE_FLAGS = dpkt.tcp.TH_SYN | dpkt.tcp.TH_FIN


def build_refusal(packet: Packet, transport: Transport) -> bytes:
    """Return the IP packet that refuses a caller's packet; empty if none may be sent."""
    if transport is Transport.TCP:
        return _build_tcp_reset(packet) if packet.protocol == PROTOCOL_TCP else b""
    if transport is Transport.QUIC:
        payload = build_quic_refusal(packet.payload)
        return _build_udp_reply(packet, payload) if payload else b""
    return _build_icmp_prohibited(packet)


def build_quic_refusal(datagram: bytes) -> bytes:
    """Return the refusal of a QUIC Initial packet (RFC 9000, 5.2.2); empty for other packets."""
    header = _parse_quic_initial(datagram)
    if header is None or header.version is None:
        return b""
    crypto = CryptoPair()
    crypto.setup_initial(cid=header.destination_cid, is_client=False, version=header.version)
    builder = QuicPacketBuilder(
        # The server needs no connection ID of its own, because the connection ends here, so it
        # reuses the one that the caller chose.
        host_cid=header.destination_cid,
        peer_cid=header.source_cid,
        version=header.version,
        is_client=False,
        max_datagram_size=QUIC_MIN_INITIAL_BYTES,
    )
    builder.start_packet(QuicPacketType.INITIAL, crypto)
    frame = builder.start_frame(QuicFrameType.TRANSPORT_CLOSE, capacity=_CLOSE_FRAME_CAPACITY_BYTES)
    frame.push_uint_var(QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(QuicFrameType.PADDING)
    frame.push_uint_var(0)
    datagrams, _ = builder.flush()
    return bytes(datagrams[0])


def _parse_quic_initial(datagram: bytes) -> QuicHeader | None:
    # A smaller datagram cannot open a connection, and replies to it could be misused for
    # amplification attacks.
    if len(datagram) < QUIC_MIN_INITIAL_BYTES or not datagram[0] & 0x80:
        return None
    try:
        header = pull_quic_header(Buffer(data=datagram))
    except ValueError:
        return None
    supported_versions = (QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2)
    if header.version not in supported_versions or header.packet_type is not QuicPacketType.INITIAL:
        return None
    return header


def _build_udp_reply(packet: Packet, payload: bytes) -> bytes:
    flow = packet.flow
    return build_udp(
        flow.destination, flow.destination_port, flow.source, flow.source_port, payload
    )


def _build_tcp_reset(packet: Packet) -> bytes:
    flags = packet.tcp_flags
    if flags & dpkt.tcp.TH_RST:
        return b""
    offset = _find_transport_offset(packet)
    sequence, acknowledgement = _TCP_SEQUENCES.unpack_from(
        packet.raw, offset + _TCP_SEQUENCES_OFFSET
    )
    reset = dpkt.tcp.TCP(sport=packet.flow.destination_port, dport=packet.flow.source_port, win=0)
    if flags & dpkt.tcp.TH_ACK:
        reset.seq = acknowledgement
        reset.flags = dpkt.tcp.TH_RST
    else:
        sequence_length = len(packet.payload) + (flags & _TCP_SEQUENCE_FLAGS).bit_count()
        reset.seq = 0
        reset.ack = (sequence + sequence_length) & _SEQUENCE_MASK
        reset.flags = dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    return _wrap_in_ip(packet, dpkt.ip.IP_PROTO_TCP, reset)


def _find_transport_offset(packet: Packet) -> int:
    if len(packet.flow.source) == IPV4_ADDRESS_BYTES:
        return (packet.raw[0] & 0xF) << 2
    return int(dpkt.ip6.IP6.__hdr_len__)


def _build_icmp_prohibited(packet: Packet) -> bytes:
    if len(packet.flow.source) == IPV4_ADDRESS_BYTES:
        message = dpkt.icmp.ICMP(
            type=dpkt.icmp.ICMP_UNREACH,
            code=dpkt.icmp.ICMP_UNREACH_FILTER_PROHIB,
            data=bytes(4) + packet.raw[:MAX_ICMP_QUOTE_BYTES],
        )
        return _wrap_in_ip(packet, dpkt.ip.IP_PROTO_ICMP, message)
    message = dpkt.icmp6.ICMP6(
        type=dpkt.icmp6.ICMP6_DST_UNREACH,
        code=ICMP6_PROHIBITED_CODE,
        data=bytes(4) + packet.raw[:MAX_ICMP6_QUOTE_BYTES],
    )
    return _wrap_in_ip(packet, dpkt.ip.IP_PROTO_ICMP6, message)


def _wrap_in_ip(packet: Packet, protocol: int, message: dpkt.Packet) -> bytes:
    flow = packet.flow
    if len(flow.source) == IPV4_ADDRESS_BYTES:
        ipv4 = dpkt.ip.IP(src=flow.destination, dst=flow.source, p=protocol, ttl=HOP_LIMIT)
        ipv4.data = message
        ipv4.len = len(ipv4)
        return bytes(ipv4)
    ipv6 = dpkt.ip6.IP6(
        src=flow.destination, dst=flow.source, nxt=protocol, hlim=HOP_LIMIT, plen=len(message)
    )
    ipv6.data = message
    return bytes(ipv6)

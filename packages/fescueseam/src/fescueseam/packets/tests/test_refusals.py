import socket

import dpkt
import pytest
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.packet import QuicErrorCode, QuicProtocolVersion
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueseam.conf.models import Transport
from fescueseam.packets.ip import build_udp, parse_packet
from fescueseam.packets.refusals import build_quic_refusal, build_refusal

SOURCE = socket.inet_pton(socket.AF_INET, "10.9.0.7")
SERVICE = socket.inet_pton(socket.AF_INET, "10.1.0.1")
SOURCE6 = socket.inet_pton(socket.AF_INET6, "fd00::7")
SERVICE6 = socket.inet_pton(socket.AF_INET6, "fd00::1")
ADDRESS_PAIRS = pytest.mark.parametrize(
    "pair", [(SOURCE, SERVICE), (SOURCE6, SERVICE6)], ids=["v4", "v6"]
)


def start_client(version: QuicProtocolVersion) -> tuple[QuicConnection, bytes]:
    cfg = QuicConfiguration(is_client=True, alpn_protocols=["h3"], server_name="bitacora")
    cfg.original_version = version
    client = QuicConnection(configuration=cfg)
    client.connect(("10.1.0.1", 443), now=0.0)
    return client, client.datagrams_to_send(now=0.0)[0][0]


@ADDRESS_PAIRS
@pytest.mark.parametrize("version", [QuicProtocolVersion.VERSION_1, QuicProtocolVersion.VERSION_2])
def test_quic_client_accepts_the_refusal(
    pair: tuple[bytes, bytes], version: QuicProtocolVersion
) -> None:
    client, datagram = start_client(version)
    packet = parse_packet(build_udp(pair[0], 4000, pair[1], 443, datagram))
    refusal = parse_packet(build_refusal(packet, Transport.QUIC))
    assert (refusal.flow.source, refusal.flow.destination) == (pair[1], pair[0])
    assert (refusal.flow.source_port, refusal.flow.destination_port) == (443, 4000)
    assert len(refusal.payload) < len(datagram)
    client.receive_datagram(refusal.payload, ("10.1.0.1", 443), now=0.1)
    client.handle_timer(now=client.get_timer())
    events = list(iter(client.next_event, None))
    closed = [event for event in events if isinstance(event, ConnectionTerminated)]
    assert [event.error_code for event in closed] == [QuicErrorCode.CONNECTION_REFUSED]


def test_quic_packets_other_than_supported_initials_get_no_reply() -> None:
    _, datagram = start_client(QuicProtocolVersion.VERSION_1)
    unknown = datagram[:1] + b"\x1a\x2a\x3a\x4a" + datagram[5:]
    handshake = bytes((datagram[0] | 0x20,)) + datagram[1:]
    short = bytes((0x40,)) + datagram[1:]
    for payload in (unknown, handshake, short, datagram[:1199], b""):
        packet = parse_packet(build_udp(SOURCE, 4000, SERVICE, 443, payload))
        assert build_refusal(packet, Transport.QUIC) == b""


def build_segment(pair: tuple[bytes, bytes], flags: int, data: bytes = b"") -> bytes:
    segment = dpkt.tcp.TCP(sport=4000, dport=443, seq=2**32 - 1, ack=77, flags=flags, data=data)
    if len(pair[0]) == 4:
        packet = dpkt.ip.IP(src=pair[0], dst=pair[1], p=6, data=segment)
        packet.len = len(packet)
        return bytes(packet)
    return bytes(dpkt.ip6.IP6(src=pair[0], dst=pair[1], nxt=6, plen=len(segment), data=segment))


def read_segment(raw: bytes) -> dpkt.tcp.TCP:
    return (dpkt.ip.IP(raw) if raw[0] >> 4 == 4 else dpkt.ip6.IP6(raw)).tcp


@ADDRESS_PAIRS
def test_reset_of_a_syn_acknowledges_it(pair: tuple[bytes, bytes]) -> None:
    packet = parse_packet(build_segment(pair, dpkt.tcp.TH_SYN))
    raw = build_refusal(packet, Transport.TCP)
    reply = parse_packet(raw)
    reset = read_segment(raw)
    assert reset.flags == dpkt.tcp.TH_RST | dpkt.tcp.TH_ACK
    assert (reset.seq, reset.ack) == (0, 0)
    assert (reply.flow.source, reply.flow.destination) == (pair[1], pair[0])
    assert (reset.sport, reset.dport) == (443, 4000)
    assert reset.sum != 0


def test_reset_of_another_segment_starts_at_its_acknowledgement() -> None:
    packet = parse_packet(build_segment((SOURCE, SERVICE), dpkt.tcp.TH_ACK, b"data"))
    reset = read_segment(build_refusal(packet, Transport.TCP))
    assert (reset.flags, reset.seq) == (dpkt.tcp.TH_RST, 77)


def test_reset_gets_no_reply() -> None:
    packet = parse_packet(build_segment((SOURCE, SERVICE), dpkt.tcp.TH_RST))
    assert build_refusal(packet, Transport.TCP) == b""


@ADDRESS_PAIRS
def test_udp_refusal_is_an_icmp_message_that_quotes_the_packet(pair: tuple[bytes, bytes]) -> None:
    raw = build_udp(pair[0], 4000, pair[1], 443, b"q" * 2000)
    refusal = build_refusal(parse_packet(raw), Transport.UDP)
    if len(pair[0]) == 4:
        message = dpkt.ip.IP(refusal)
        icmp = message.icmp
        assert (icmp.type, icmp.code) == (3, 13)
        assert len(refusal) == 576
        assert dpkt.dpkt.in_cksum(bytes(icmp)) == 0
        quoted = refusal[28:]
    else:
        message = dpkt.ip6.IP6(refusal)
        assert (message.icmp6.type, message.icmp6.code) == (1, 1)
        assert message.icmp6.sum != 0
        assert len(refusal) == 1280
        quoted = refusal[48:]
    assert message.src == pair[1]
    assert message.dst == pair[0]
    assert raw.startswith(quoted)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(head=st.binary(max_size=60))
def test_quic_refusal_never_raises(head: bytes) -> None:
    assert isinstance(build_quic_refusal(head + bytes(1200)), bytes)

import socket

import dpkt
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueseam.conf.models import Transport
from fescueseam.exceptions import ErrorKind, PacketError
from fescueseam.flows.keys import PROTOCOL_TCP, PROTOCOL_UDP
from fescueseam.packets.ip import (
    FlowPhase,
    Packet,
    build_udp,
    decapsulate,
    encapsulate,
    find_flow_phase,
    parse_packet,
)

SOURCE = socket.inet_pton(socket.AF_INET, "10.9.0.7")
SERVICE = socket.inet_pton(socket.AF_INET, "10.1.0.1")
SOURCE6 = socket.inet_pton(socket.AF_INET6, "fd00::7")
SERVICE6 = socket.inet_pton(socket.AF_INET6, "fd00::1")
ADDRESS_PAIRS = pytest.mark.parametrize(
    "pair", [(SOURCE, SERVICE), (SOURCE6, SERVICE6)], ids=["v4", "v6"]
)


def build_tcp(flags: int, data: bytes = b"") -> bytes:
    segment = dpkt.tcp.TCP(sport=4000, dport=443, seq=100, flags=flags, data=data)
    packet = dpkt.ip.IP(src=SOURCE, dst=SERVICE, p=PROTOCOL_TCP, data=segment)
    packet.len = len(packet)
    return bytes(packet)


def build_quic(first: int, version: bytes, size: int = 1200) -> bytes:
    payload = bytes((first,)) + version + bytes(size - 5)
    return build_udp(SOURCE, 4000, SERVICE, 443, payload)


@ADDRESS_PAIRS
@pytest.mark.parametrize("payload", [b"", b"x", b"even", b"\xff\xff" * 700])
def test_built_udp_packets_parse_and_have_valid_checksums(
    pair: tuple[bytes, bytes], payload: bytes
) -> None:
    raw = build_udp(pair[0], 4000, pair[1], 443, payload)
    packet = parse_packet(raw)
    assert (packet.flow.source, packet.flow.destination) == pair
    assert (packet.flow.source_port, packet.flow.destination_port) == (4000, 443)
    assert packet.payload == payload
    assert packet.raw == raw
    parsed = dpkt.ip.IP(raw) if len(pair[0]) == 4 else dpkt.ip6.IP6(raw)
    original_udp_sum = parsed.udp.sum
    parsed.udp.sum = 0
    if len(pair[0]) == 4:
        header = parsed.sum
        parsed.sum = 0
    recomputed = bytes(parsed)
    assert parsed.udp.sum == original_udp_sum
    assert recomputed == raw
    assert len(pair[0]) == 16 or parsed.sum == header


def test_checksum_zero_is_sent_as_all_ones() -> None:
    sums = set()
    for word in range(0x10000):
        raw = build_udp(SOURCE, 1, SERVICE, 2, word.to_bytes(2, "big"))
        sums.add(raw[26:28])
        if raw[26:28] == b"\xff\xff":
            break
    assert b"\xff\xff" in sums
    assert b"\x00\x00" not in sums


@pytest.mark.parametrize(
    ("flags", "phase"),
    [
        (dpkt.tcp.TH_SYN, FlowPhase.OPENING),
        (dpkt.tcp.TH_SYN | dpkt.tcp.TH_ACK, FlowPhase.ESTABLISHED),
        (dpkt.tcp.TH_ACK, FlowPhase.ESTABLISHED),
        (dpkt.tcp.TH_FIN | dpkt.tcp.TH_ACK, FlowPhase.ESTABLISHED),
        (dpkt.tcp.TH_RST, FlowPhase.CLOSING),
        (dpkt.tcp.TH_RST | dpkt.tcp.TH_SYN, FlowPhase.CLOSING),
    ],
)
def test_tcp_phase_follows_the_flags(flags: int, phase: FlowPhase) -> None:
    packet = parse_packet(build_tcp(flags, b"data"))
    assert packet.protocol == PROTOCOL_TCP
    assert packet.payload == b"data"
    assert find_flow_phase(packet, Transport.TCP) is phase


@pytest.mark.parametrize(
    ("raw", "phase"),
    [
        (build_quic(0xC0, b"\0\0\0\1"), FlowPhase.OPENING),
        (build_quic(0xD0, b"\0\0\0\1"), FlowPhase.ESTABLISHED),
        (build_quic(0xE0, b"\0\0\0\1"), FlowPhase.ESTABLISHED),
        (build_quic(0xD0, b"\x6b\x33\x43\xcf"), FlowPhase.OPENING),
        (build_quic(0xC0, b"\x6b\x33\x43\xcf"), FlowPhase.ESTABLISHED),
        (build_quic(0xC0, b"\x1a\x2a\x3a\x4a"), FlowPhase.OPENING),
        (build_quic(0xC0, b"\x1a\x2a\x3a\x4a", 60), FlowPhase.ESTABLISHED),
        (build_quic(0xC0, b"\0\0\0\0"), FlowPhase.ESTABLISHED),
        (build_quic(0x40, b"\0\0\0\1"), FlowPhase.ESTABLISHED),
        (build_udp(SOURCE, 1, SERVICE, 2, b""), FlowPhase.ESTABLISHED),
    ],
)
def test_quic_phase_follows_the_header(raw: bytes, phase: FlowPhase) -> None:
    assert find_flow_phase(parse_packet(raw), Transport.QUIC) is phase


def test_udp_phase_is_unknown() -> None:
    packet = parse_packet(build_udp(SOURCE, 1, SERVICE, 2, b"\xc0\0\0\0\1"))
    assert find_flow_phase(packet, Transport.UDP) is FlowPhase.UNKNOWN


def replace_byte(raw: bytes, offset: int, value: int) -> bytes:
    return raw[:offset] + bytes((value,)) + raw[offset + 1 :]


VALID_UDP = build_udp(SOURCE, 1, SERVICE, 2, b"payload")


@pytest.mark.parametrize(
    ("raw", "kind"),
    [
        (b"", ErrorKind.MALFORMED_PACKET),
        (b"\x45", ErrorKind.MALFORMED_PACKET),
        (b"\x60" + bytes(20), ErrorKind.MALFORMED_PACKET),
        (b"\x50" + bytes(60), ErrorKind.MALFORMED_PACKET),
        (VALID_UDP[:-1], ErrorKind.MALFORMED_PACKET),
        (VALID_UDP + b"x", ErrorKind.MALFORMED_PACKET),
        (replace_byte(VALID_UDP, 0, 0x44), ErrorKind.MALFORMED_PACKET),
        (replace_byte(VALID_UDP, 0, 0x4F), ErrorKind.MALFORMED_PACKET),
        (replace_byte(VALID_UDP, 25, 7), ErrorKind.MALFORMED_PACKET),
        (replace_byte(VALID_UDP, 25, 99), ErrorKind.MALFORMED_PACKET),
        (replace_byte(build_tcp(2), 32, 0x40), ErrorKind.MALFORMED_PACKET),
        (replace_byte(build_tcp(2), 32, 0xF0), ErrorKind.MALFORMED_PACKET),
        (replace_byte(VALID_UDP, 6, 0x20), ErrorKind.UNSUPPORTED_PACKET),
        (replace_byte(VALID_UDP, 7, 0x01), ErrorKind.UNSUPPORTED_PACKET),
        (replace_byte(VALID_UDP, 9, 1), ErrorKind.UNSUPPORTED_PACKET),
        (
            replace_byte(build_udp(SOURCE6, 1, SERVICE6, 2, b"x"), 6, 44),
            ErrorKind.UNSUPPORTED_PACKET,
        ),
    ],
)
def test_unusable_packets_raise_the_error_of_their_kind(raw: bytes, kind: ErrorKind) -> None:
    with pytest.raises(PacketError) as caught:
        parse_packet(raw)
    assert caught.value.kind is kind


def test_oversize_payload_raises_a_packet_error() -> None:
    with pytest.raises(PacketError) as caught:
        build_udp(SOURCE, 1, SERVICE, 2, bytes(65508))
    assert caught.value.kind is ErrorKind.OVERSIZE_DATAGRAM


def test_encapsulation_checks_only_the_ip_version() -> None:
    assert decapsulate(encapsulate(VALID_UDP)) == VALID_UDP
    for function in (decapsulate, encapsulate):
        for raw in (b"", b"\x10rest"):
            with pytest.raises(PacketError):
                function(raw)


VALID_PACKETS = st.sampled_from(
    [
        VALID_UDP,
        build_udp(SOURCE6, 1, SERVICE6, 2, b"payload"),
        build_tcp(2),
        build_quic(0xC0, b"\0" * 4),
    ]
)


@st.composite
def corrupted_packets(draw: st.DrawFn) -> bytes:
    raw = bytearray(draw(VALID_PACKETS))
    for _ in range(draw(st.integers(0, 4))):
        raw[draw(st.integers(0, min(len(raw) - 1, 60)))] = draw(st.integers(0, 255))
    return bytes(raw[: draw(st.integers(0, len(raw)))])


def parse_or_get_error_kind(raw: bytes) -> Packet | ErrorKind:
    try:
        return parse_packet(raw)
    except PacketError as exc:
        return exc.kind


@seed(1)
@settings(max_examples=400, deadline=None, database=None)
@given(raw=st.one_of(st.binary(max_size=120), corrupted_packets()))
def test_parsing_random_bytes_raises_only_packet_errors(raw: bytes) -> None:
    packet = parse_or_get_error_kind(raw)
    if isinstance(packet, ErrorKind):
        assert packet in (ErrorKind.MALFORMED_PACKET, ErrorKind.UNSUPPORTED_PACKET)
        return
    assert packet.protocol in (PROTOCOL_TCP, PROTOCOL_UDP)
    for transport in Transport:
        assert find_flow_phase(packet, transport) in FlowPhase

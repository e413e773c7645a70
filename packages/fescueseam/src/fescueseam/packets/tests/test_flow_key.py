import os

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueseam.exceptions import PacketError
from fescueseam.packets.ip import (
    build_ipv4_header,
    build_udp,
    parse_packet,
    read_destination_endpoint,
    read_flow_key,
    split_endpoint,
)

SEED = int(os.environ.get("SEED", "1"))
IPV4_PAIR = (b"\x0a\x09\x00\x07", b"\x0a\x01\x00\x01")
IPV6_PAIR = (b"\x20\x01" + bytes(13) + b"\x07", b"\x20\x01" + bytes(13) + b"\x01")
TCP_SEGMENT = b"\x0f\xa0\x01\xbb" + bytes(8) + b"\x50\x02" + bytes(6) + b"data"
SAMPLES = [
    build_udp(IPV4_PAIR[0], 4000, IPV4_PAIR[1], 443, b"payload"),
    build_udp(IPV6_PAIR[0], 4000, IPV6_PAIR[1], 443, b"payload"),
    build_ipv4_header(*IPV4_PAIR, 6, len(TCP_SEGMENT)) + TCP_SEGMENT,
]


def read_or_get_error_kind(read):
    try:
        return read()
    except PacketError as exc:
        return exc.kind


@pytest.mark.parametrize("raw", SAMPLES, ids=["udp4", "udp6", "tcp4"])
def test_flow_key_equals_the_key_of_the_parsed_flow(raw: bytes) -> None:
    flow = parse_packet(raw).flow
    key = read_flow_key(raw)
    assert key == flow.pack()
    assert split_endpoint(read_destination_endpoint(key)) == (
        flow.destination,
        flow.destination_port,
    )


@seed(SEED)
@settings(max_examples=600, deadline=None)
@given(
    sample=st.sampled_from(SAMPLES),
    changes=st.lists(st.tuples(st.integers(0, 60), st.integers(0, 255)), max_size=3),
    length=st.integers(0, 80),
)
def test_flow_key_is_read_if_and_only_if_the_packet_parses(sample, changes, length) -> None:
    corrupted = bytearray(sample[:length] if length < 60 else sample)
    for offset, value in changes:
        if offset < len(corrupted):
            corrupted[offset] = value
    raw = bytes(corrupted)
    parsed = read_or_get_error_kind(lambda: parse_packet(raw).flow.pack())
    assert read_or_get_error_kind(lambda: read_flow_key(raw)) == parsed

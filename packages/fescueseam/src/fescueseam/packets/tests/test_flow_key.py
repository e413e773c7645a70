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
V4 = (b"\x0a\x09\x00\x07", b"\x0a\x01\x00\x01")
V6 = (b"\x20\x01" + bytes(13) + b"\x07", b"\x20\x01" + bytes(13) + b"\x01")
SEGMENT = b"\x0f\xa0\x01\xbb" + bytes(8) + b"\x50\x02" + bytes(6) + b"data"
SAMPLES = [
    build_udp(V4[0], 4000, V4[1], 443, b"payload"),
    build_udp(V6[0], 4000, V6[1], 443, b"payload"),
    build_ipv4_header(*V4, 6, len(SEGMENT)) + SEGMENT,
]


def find_outcome(read):
    try:
        return read()
    except PacketError as exc:
        return exc.kind


@pytest.mark.parametrize("raw", SAMPLES, ids=["udp4", "udp6", "tcp4"])
def test_flow_key_equals_the_parsed_flow(raw: bytes) -> None:
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
def test_flow_key_is_read_exactly_when_the_packet_parses(sample, changes, length) -> None:
    spoilt = bytearray(sample[:length] if length < 60 else sample)
    for place, value in changes:
        if place < len(spoilt):
            spoilt[place] = value
    raw = bytes(spoilt)
    parsed = find_outcome(lambda: parse_packet(raw).flow.pack())
    assert find_outcome(lambda: read_flow_key(raw)) == parsed

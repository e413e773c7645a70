"""Encoding and decoding of notices, also of invalid data."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueseam.exceptions import MessageError
from fescueseam.handshake.codec import decode_notice, encode_notice
from fescueseam.handshake.member import (
    Availability,
    HeldFlows,
    Identity,
    Load,
    Role,
    RouteWork,
)
from fescueseam.handshake.notices import (
    Holding,
    HomeHandover,
    Locate,
    LocateBatch,
    Located,
    LocatedBatch,
    Notice,
    Report,
)
from fescueseam.handshake.rules import Outage

FLOW = (0x64400007, 40001, 0xC6120001, 443)
OTHER_FLOW = (0x64400008, 40002, 0xC6120001, 443)
IDENTITY = Identity("agent-1", Role.AGENT, 0x0A010010, "a", "alerts", 77)
HELD = HeldFlows(frozenset({(0xC6120001, 443), (0xFFFFFFFF, 65_535)}), True)
WORK = (RouteWork((0xC6120001, 443), 0.015625, 0.0078125, 3.0),)
LOAD = Load(
    Availability.READY,
    2,
    30,
    5,
    0.5,
    0.25,
    True,
    False,
    0.125,
    HELD,
    WORK,
    1.5,
    2048.0,
    0.5,
    True,
    True,
)
REPORT = Report(
    IDENTITY,
    LOAD,
    9,
    Outage(12, frozenset({"a", "b"}), 3, frozenset({"b"})),
    (("alerts", 4.0),),
    (IDENTITY,),
    True,
    True,
    outage_held_s=2.5,
    member_count=61,
)
NOTICES = [
    Notice("agent-1", 77, 3, body)
    for body in (
        REPORT,
        Locate(FLOW, "alerts"),
        Located(FLOW, Holding.HALF_OPEN),
        LocateBatch((FLOW, OTHER_FLOW), "alerts"),
        HomeHandover((Located(FLOW, Holding.UNSURE, "agent-1"),)),
        LocatedBatch((Located(FLOW, Holding.YES), Located(OTHER_FLOW, Holding.UNSURE, "agent-2"))),
    )
]


@pytest.mark.parametrize("notice", NOTICES)
def test_decoded_notice_equals_encoded_notice(notice: Notice) -> None:
    assert decode_notice(encode_notice(notice)) == notice


@given(st.binary(max_size=400))
def test_random_data_raises_only_message_error(data: bytes) -> None:
    try:
        decode_notice(data)
    except MessageError:
        return


@given(st.sampled_from(NOTICES), st.integers(0, 200), st.integers(0, 255))
def test_corrupted_notice_raises_only_message_error(
    notice: Notice, position: int, value: int
) -> None:
    data = bytearray(encode_notice(notice))
    data[position % len(data)] = value
    try:
        decode_notice(bytes(data))
    except MessageError:
        return

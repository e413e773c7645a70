"""Tests of the JSON format of the configuration."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueseam.exceptions import MessageError
from fescueseam.handshake.rules import Route, RouteShare, Rules, ServiceRules
from fescueseam.overload.needs import RouteNeeds
from fescueseam_daemon.handshake.rules_codec import decode_rules, encode_rules

RULES = Rules(
    7,
    (
        Route("r", 0xC6120001, 443, (RouteShare("alerts", 0.9), RouteShare("intake", 0.1))),
        Route("s", 0xC6120001, 444, (RouteShare("intake"),), RouteNeeds(0.25, 1.0, 1)),
    ),
    (ServiceRules("alerts", 4.5),),
    12.0,
)


def test_encoded_rules_decode_to_equal_rules() -> None:
    assert decode_rules(encode_rules(RULES)) == RULES


def test_rules_of_an_earlier_build_state_no_needs() -> None:
    value = json.loads(encode_rules(RULES))
    del value["needs"]
    assert [route.needs for route in decode_rules(json.dumps(value).encode()).routes] == [None] * 2


@given(st.binary(max_size=200))
def test_malformed_rules_raise_message_error(data: bytes) -> None:
    with pytest.raises(MessageError):
        decode_rules(data)

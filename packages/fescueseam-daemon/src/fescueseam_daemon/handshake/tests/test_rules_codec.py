"""The configuration as balancers hand it to each other."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueseam.exceptions import MessageError
from fescueseam.handshake.rules import Route, RouteShare, Rules, ServiceRules
from fescueseam_daemon.handshake.rules_codec import decode_rules, encode_rules

RULES = Rules(
    7,
    (Route("r", 0xC6120001, 443, (RouteShare("alerts", 0.9), RouteShare("intake", 0.1))),),
    (ServiceRules("alerts", 4.5),),
    12.0,
)


def test_rules_are_read_as_they_were_written() -> None:
    assert decode_rules(encode_rules(RULES)) == RULES


@given(st.binary(max_size=200))
def test_garbage_is_an_error_of_its_own(data: bytes) -> None:
    with pytest.raises(MessageError):
        decode_rules(data)

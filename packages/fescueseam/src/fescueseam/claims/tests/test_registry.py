import pytest

from fescueseam.claims.registry import (
    GRANT_LIFETIME_S,
    PACKET_LIFETIME_S,
    ClaimRegistry,
    count_majority,
)
from fescueseam.flows.keys import PROTOCOL_UDP, FlowKey

FLOW = FlowKey(PROTOCOL_UDP, b"\x0a\x00\x00\x01", 4000, b"\x0a\x01\x00\x01", 443)
NOW = PACKET_LIFETIME_S


@pytest.fixture
def registry() -> ClaimRegistry:
    return ClaimRegistry(started=0.0)


def test_one_recorder_holds_a_flow_at_a_time(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    assert not registry.grant(FLOW, "second", 1, 1, NOW)
    assert registry.grant(FLOW, "first", 1, 1, NOW)


def test_earlier_incarnation_of_the_holder_is_another_recorder(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 2, 1, NOW)
    assert not registry.grant(FLOW, "first", 1, 1, NOW)


def test_late_release_of_an_earlier_claim_leaves_the_later_one(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    assert registry.grant(FLOW, "first", 1, 2, NOW)
    registry.release(FLOW, "first", 1, 1)
    assert not registry.grant(FLOW, "second", 1, 1, NOW)
    registry.release(FLOW, "first", 1, 2)
    assert registry.grant(FLOW, "second", 1, 1, NOW)


def test_late_ask_of_a_released_claim_is_not_granted_again(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    registry.release(FLOW, "first", 1, 1)
    assert not registry.grant(FLOW, "first", 1, 1, NOW)
    assert registry.grant(FLOW, "second", 1, 1, NOW)


def test_grant_outlives_every_copy_of_the_opening(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    assert not registry.grant(FLOW, "second", 1, 1, NOW + PACKET_LIFETIME_S)
    assert registry.grant(FLOW, "second", 1, 1, NOW + GRANT_LIFETIME_S)


def test_two_majorities_of_a_row_meet() -> None:
    for members in range(1, 20):
        assert 2 * count_majority(members) > members

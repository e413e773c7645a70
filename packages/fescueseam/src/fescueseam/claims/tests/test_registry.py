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


def test_flow_is_granted_to_one_recorder_at_a_time(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    assert not registry.grant(FLOW, "second", 1, 1, NOW)
    assert registry.grant(FLOW, "first", 1, 1, NOW)


def test_earlier_incarnation_of_the_holder_is_not_granted(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 2, 1, NOW)
    assert not registry.grant(FLOW, "first", 1, 1, NOW)


def test_delayed_release_of_an_earlier_claim_keeps_the_later_grant(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    assert registry.grant(FLOW, "first", 1, 2, NOW)
    registry.release(FLOW, "first", 1, 1)
    assert not registry.grant(FLOW, "second", 1, 1, NOW)
    registry.release(FLOW, "first", 1, 2)
    assert registry.grant(FLOW, "second", 1, 1, NOW)


def test_delayed_request_of_a_released_claim_is_not_granted(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    registry.release(FLOW, "first", 1, 1)
    assert not registry.grant(FLOW, "first", 1, 1, NOW)
    assert registry.grant(FLOW, "second", 1, 1, NOW)


def test_grant_expires_after_every_copy_of_the_opening(registry: ClaimRegistry) -> None:
    assert registry.grant(FLOW, "first", 1, 1, NOW)
    assert not registry.grant(FLOW, "second", 1, 1, NOW + PACKET_LIFETIME_S)
    assert registry.grant(FLOW, "second", 1, 1, NOW + GRANT_LIFETIME_S)


def test_any_two_majorities_overlap() -> None:
    for members in range(1, 20):
        assert 2 * count_majority(members) > members

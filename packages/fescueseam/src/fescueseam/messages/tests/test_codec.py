import os
import random

import pytest

from fescueseam.conf.models import KeySettings
from fescueseam.exceptions import ErrorKind, MessageError
from fescueseam.flows.keys import PROTOCOL_UDP, FlowKey
from fescueseam.messages import types
from fescueseam.messages.authentication import DATAGRAM_HEADER_BYTES, build_frame, sign_datagram
from fescueseam.messages.codec import (
    MAX_DATAGRAM_BYTES,
    Keyring,
    build_keyring,
    decode_message,
    encode_message,
)
from fescueseam.messages.replay import REPLAY_WINDOW_MESSAGES, ReplayGuard

FLOW = FlowKey(PROTOCOL_UDP, b"\x0a\x00\x00\x01", 4000, b"\x0a\x01\x00\x01", 443)
LOAD = types.Load(1, 2, 3, 4, 0.5)
BODIES: list[types.Body] = [
    types.Carry(b"packet", True),
    types.Place(7, b"packet"),
    types.Placed(7, FLOW, LOAD),
    types.Full(7, FLOW, LOAD, True),
    types.NotHere(FLOW, b"packet"),
    types.Ask(FLOW, 3),
    types.AskAnswer(FLOW, True, True, 3, True),
    types.Release(FLOW, 3),
    types.Free(LOAD),
    types.Announce("agent", "solo", "jawa-tengah", "127.0.0.1", 1, 2, 3, True, 4, False, LOAD),
    types.AnnounceAnswer((types.Peer("a", "agent", "solo", "jawa-tengah", "127.0.0.1", 1, 2),), 9),
    types.GossipDigest((1, 2, 3), True),
    types.GossipValues((types.Value("k", 1, "w", b"data", 0, 2, True),), True),
    types.GossipKeys(3, (types.KeyVersion(1, 2), types.KeyVersion(3, 4)), True),
]


@pytest.fixture
def keyring() -> Keyring:
    return build_keyring((KeySettings(1, "one"),))


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_decoding_restores_every_message_body(body: types.Body, keyring: Keyring) -> None:
    message = types.Message("a", 5, body, 6, "b", "katalog", "listing", 7, 8)
    assert decode_message(encode_message(message, keyring), keyring) == message


def test_rotated_key_is_accepted_only_while_listed(keyring: Keyring) -> None:
    rotated = build_keyring((KeySettings(2, "two"), KeySettings(1, "one")))
    datagram = encode_message(types.Message("a", 1, types.Release(FLOW)), keyring)
    assert decode_message(datagram, rotated).sender == "a"
    with pytest.raises(MessageError) as caught:
        decode_message(datagram, build_keyring((KeySettings(2, "two"),)))
    assert caught.value.kind is ErrorKind.BAD_AUTHENTICATION


def test_changed_byte_is_rejected_or_leaves_the_body_unchanged(keyring: Keyring) -> None:
    rng = random.Random(int(os.environ.get("SEED", "1")))
    datagram = encode_message(types.Message("a", 1, types.Carry(b"x" * 40)), keyring)
    for _ in range(2000):
        corrupted = bytearray(datagram)
        corrupted[rng.randrange(len(corrupted))] ^= rng.randrange(1, 256)
        try:
            message = decode_message(bytes(corrupted), keyring)
        except MessageError:
            continue
        assert message.body == types.Carry(
            b"x" * 40
        ), "a changed byte was accepted and altered the body"


def test_random_bytes_raise_a_message_error(keyring: Keyring) -> None:
    rng = random.Random(int(os.environ.get("SEED", "1")))
    for size in range(400):
        with pytest.raises(MessageError):
            decode_message(rng.randbytes(size), keyring)


def test_oversize_datagram_is_rejected_by_sender_and_receiver(keyring: Keyring) -> None:
    body = types.Carry(b"x" * MAX_DATAGRAM_BYTES)
    with pytest.raises(MessageError) as caught:
        encode_message(types.Message("a", 1, body), keyring)
    assert caught.value.kind is ErrorKind.OVERSIZE_DATAGRAM
    with pytest.raises(MessageError) as caught:
        decode_message(b"x" * (MAX_DATAGRAM_BYTES + 1), keyring)
    assert caught.value.kind is ErrorKind.OVERSIZE_DATAGRAM


def test_replays_and_earlier_incarnations_are_rejected() -> None:
    guard = ReplayGuard()
    for sequence in (1, 3, 2):
        guard.check("a", 1, sequence)
    for incarnation, sequence in ((1, 2), (1, 3), (0, 9)):
        with pytest.raises(MessageError):
            guard.check("a", incarnation, sequence)
    guard.check("a", 1, 3 + REPLAY_WINDOW_MESSAGES)
    with pytest.raises(MessageError):
        guard.check("a", 1, 3)
    guard.check("a", 2, 1)


@pytest.mark.parametrize(
    "body", [types.GossipDigest((1, 2)), types.Release(FLOW, 1)], ids=["packed", "plain"]
)
def test_malformed_message_with_a_valid_tag_raises_only_message_errors(
    body: types.Body, keyring: Keyring
) -> None:
    rng = random.Random(int(os.environ.get("SEED", "1")))
    datagram = encode_message(types.Message("a", 5, body, 6, "b", "katalog"), keyring)
    signed_message = datagram[DATAGRAM_HEADER_BYTES:]
    for _ in range(2000):
        corrupted = bytearray(signed_message)
        corrupted[rng.randrange(len(corrupted))] ^= 1 << rng.randrange(8)
        truncated = bytes(corrupted[: rng.randrange(1, len(corrupted) + 1)])
        try:
            decode_message(sign_datagram(build_frame(truncated, keyring), b"", 6, keyring), keyring)
        except MessageError:
            continue

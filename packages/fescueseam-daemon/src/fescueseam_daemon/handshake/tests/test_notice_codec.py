"""Signed notices, and the rotation of their keys while processes run."""

import time
import timeit

import pytest

from fescueseam.conf.models import KeySettings
from fescueseam.exceptions import ErrorKind, MessageError
from fescueseam.handshake.member import Identity, Role
from fescueseam.handshake.notices import Locate
from fescueseam_daemon.handshake.notice_codec import NoticeCodec

OLD, NEW = KeySettings(1, "o" * 32), KeySettings(2, "n" * 32)
SENDER = Identity("balancer-1", Role.BALANCER, 1, "a", "", 7)
RECEIVER = Identity("agent-1", Role.AGENT, 2, "a", "alerts", 8)
FLOW = (1, 2, 3, 4)
COST_BOUND_S = 0.0001


def build_codec(own: Identity, *keys: KeySettings) -> NoticeCodec:
    codec = NoticeCodec(own)
    codec.set_keys(keys)
    return codec


def get_rejection(codec: NoticeCodec, datagram: bytes) -> ErrorKind | None:
    try:
        codec.decode(datagram)
    except MessageError as exc:
        return exc.kind
    return None


@pytest.mark.parametrize("keys", [(), (OLD,), (NEW, OLD)])
def test_notice_arrives_as_it_was_sent_and_once(keys: tuple[KeySettings, ...]) -> None:
    sender, receiver = build_codec(SENDER, *keys), build_codec(RECEIVER, *keys)
    datagram = sender.encode(Locate(FLOW, "alerts"))
    notice = receiver.decode(datagram)
    assert (notice.sender, notice.body) == ("balancer-1", Locate(FLOW, "alerts"))
    assert get_rejection(receiver, datagram) is ErrorKind.REPLAYED_MESSAGE


def test_every_changed_byte_of_a_signed_notice_is_noticed() -> None:
    datagram = build_codec(SENDER, OLD).encode(Locate(FLOW, "alerts"))
    receiver = build_codec(RECEIVER, OLD)
    for index in range(len(datagram)):
        changed = datagram[:index] + bytes([datagram[index] ^ 1]) + datagram[index + 1 :]
        assert get_rejection(receiver, changed) is not None, index
    for length in range(len(datagram)):
        assert get_rejection(receiver, datagram[:length]) is not None, length
    assert get_rejection(receiver, datagram) is None


def test_unsigned_notice_is_rejected_where_keys_are_set() -> None:
    datagram = build_codec(SENDER).encode(Locate(FLOW, "alerts"))
    assert get_rejection(build_codec(RECEIVER, OLD), datagram) is not None


def test_keys_are_rotated_without_a_gap_and_the_old_one_is_withdrawn() -> None:
    sender, receiver = build_codec(SENDER, OLD), build_codec(RECEIVER, OLD)
    steps = [
        (receiver, (OLD, NEW)),
        (sender, (OLD, NEW)),
        (sender, (NEW, OLD)),
        (receiver, (NEW, OLD)),
        (sender, (NEW,)),
        (receiver, (NEW,)),
    ]
    for codec, keys in steps:
        codec.set_keys(keys)
        assert get_rejection(receiver, sender.encode(Locate(FLOW, "alerts"))) is None
    body = Locate(FLOW, "alerts")
    withdrawn = build_codec(Identity("balancer-2", Role.BALANCER, 3, "a", "", 9), OLD)
    assert get_rejection(receiver, withdrawn.encode(body)) is ErrorKind.BAD_AUTHENTICATION
    restarted = build_codec(RECEIVER, NEW)
    assert get_rejection(restarted, withdrawn.encode(body)) is ErrorKind.BAD_AUTHENTICATION


def test_signing_and_verifying_cost_little() -> None:
    costs = []
    for keys in ((), (OLD,)):
        sender, receiver = build_codec(SENDER, *keys), build_codec(RECEIVER, *keys)

        def exchange(sender: NoticeCodec = sender, receiver: NoticeCodec = receiver) -> None:
            receiver.decode(sender.encode(Locate(FLOW, "alerts")))

        # The least of several runs leaves out collections of other tests' garbage.
        runs = timeit.repeat(exchange, timer=time.process_time, repeat=5, number=200)
        costs.append(min(runs) / 200)
    assert costs[1] - costs[0] < COST_BOUND_S

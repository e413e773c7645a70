"""Encode and decode messages between processes as authenticated Cap'n Proto datagrams."""

from collections.abc import Callable, Hashable
from pathlib import Path
from typing import Any

import capnp

from fescueseam.exceptions import MessageError
from fescueseam.flows.keys import FlowKey
from fescueseam.messages import types
from fescueseam.messages.authentication import MAX_DATAGRAM_BYTES as MAX_DATAGRAM_BYTES
from fescueseam.messages.authentication import Keyring as Keyring
from fescueseam.messages.authentication import (
    VerifiedDatagram,
    build_frame,
    sign_datagram,
    verify_datagram,
)
from fescueseam.messages.authentication import build_keyring as build_keyring

ADDRESS_LENGTHS_BYTES = (4, 16)
TRAVERSAL_LIMIT_WORDS = 1 << 16
MAX_CACHED_FRAMES = 512
"""Largest number of cached frames. Building a frame is most of the cost of sending a Carry."""
UNPACKED_FIRST_BYTE = b"\0"
"""First byte of an unpacked message: its number of segments minus one, which is 0."""
_BODIES_WITH_PACKET = (types.Carry, types.Place)
_CONTROL_BODIES = (
    types.Announce,
    types.AnnounceAnswer,
    types.GossipDigest,
    types.GossipKeys,
    types.GossipValues,
)

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name("schema.capnp")))


def encode_message(message: types.Message, keyring: Keyring, sequence: int | None = None) -> bytes:
    """Return the signed datagram of a message; raise MessageError if it is too large.

    If given, the sequence replaces that of the message, which saves the caller a copy.
    """
    body = message.body
    packet = body.packet if isinstance(body, _BODIES_WITH_PACKET) else b""
    chosen_sequence = message.sequence if sequence is None else sequence
    if isinstance(body, types.Carry):
        return sign_datagram(
            _get_frame(message, body.homed, keyring), packet, chosen_sequence, keyring
        )
    return sign_datagram(_build_frame(message, keyring), packet, chosen_sequence, keyring)


def encode_packet(next_hop: types.NextHop, packet: bytes, sequence: int, keyring: Keyring) -> bytes:
    """Return the signed datagram that carries a packet to a next hop."""
    frame = keyring.cached_frames.get(next_hop)
    if frame is None:
        frame = _cache_frame(next_hop, next_hop.message, keyring)
    return sign_datagram(frame, packet, sequence, keyring)


def decode_message(datagram: bytes, keyring: Keyring) -> types.Message:
    """Return the message of a datagram; raise MessageError if it cannot be verified or decoded."""
    verified = verify_datagram(datagram, keyring)
    try:
        return _read_message(verified)
    except MessageError:
        raise
    except Exception as exc:  # pycapnp raises unrelated classes on malformed input
        raise MessageError(str(exc).partition("\n")[0]) from exc


def _get_frame(message: types.Message, homed: bool, keyring: Keyring) -> bytes:
    key = (
        message.target,
        message.class_name,
        message.service,
        message.epoch,
        message.config_version,
        message.sender,
        message.incarnation,
        homed,
    )
    frame = keyring.cached_frames.get(key)
    return _cache_frame(key, message, keyring) if frame is None else frame


def _cache_frame(key: Hashable, message: types.Message, keyring: Keyring) -> bytes:
    frame = keyring.cached_frames[key] = _build_frame(message, keyring)
    if len(keyring.cached_frames) > MAX_CACHED_FRAMES:
        keyring.cached_frames.popitem(last=False)
    return frame


def _build_frame(message: types.Message, keyring: Keyring) -> bytes:
    raw = _schema.Message.new_message(
        sender=message.sender,
        incarnation=message.incarnation,
        target=message.target,
        service=message.service,
        className=message.class_name,
        epoch=message.epoch,
        configVersion=message.config_version,
    )
    _WRITERS[type(message.body)](raw.body, message.body)
    # Control messages are packed to save bytes. Messages with packets are not, to save time.
    is_control = isinstance(message.body, _CONTROL_BODIES)
    return build_frame(raw.to_bytes_packed() if is_control else raw.to_bytes(), keyring)


def _read_message(verified: VerifiedDatagram) -> types.Message:
    if verified.message[:1] != UNPACKED_FIRST_BYTE:
        packed = _schema.Message.from_bytes_packed(
            verified.message, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
        return _build_message(packed, verified)
    with _schema.Message.from_bytes(
        verified.message, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
    ) as raw:
        return _build_message(raw, verified)


def _build_message(raw: Any, verified: VerifiedDatagram) -> types.Message:
    body_name = str(raw.body.which())
    return types.Message(
        sender=raw.sender,
        incarnation=raw.incarnation,
        sequence=verified.sequence,
        target=raw.target,
        service=raw.service,
        class_name=raw.className,
        epoch=raw.epoch,
        config_version=raw.configVersion,
        body=_READERS[body_name](getattr(raw.body, body_name), verified.packet),
    )


def _write_flow(raw: Any, flow: FlowKey) -> None:
    raw.protocol = flow.protocol
    raw.source = flow.source
    raw.sourcePort = flow.source_port
    raw.destination = flow.destination
    raw.destinationPort = flow.destination_port


def _read_flow(raw: Any) -> FlowKey:
    source = bytes(raw.source)
    destination = bytes(raw.destination)
    if len(source) not in ADDRESS_LENGTHS_BYTES or len(destination) != len(source):
        raise MessageError("flow addresses have unequal or invalid lengths")
    return FlowKey(raw.protocol, source, raw.sourcePort, destination, raw.destinationPort)


def _write_load(raw: Any, load: types.Load) -> None:
    raw.busy = load.busy
    raw.slots = load.slots
    raw.connections = load.connections
    raw.connectionBound = load.connection_bound
    raw.utilisation = load.utilisation


def _read_load(raw: Any) -> types.Load:
    return types.Load(raw.busy, raw.slots, raw.connections, raw.connectionBound, raw.utilisation)


def _write_carry(raw: Any, body: types.Carry) -> None:
    raw.init("carry").homed = body.homed


def _write_place(raw: Any, body: types.Place) -> None:
    place = raw.init("place")
    place.attempt = body.attempt
    place.ageSeconds = body.age_s


def _write_placement_result(result: Any, body: types.Placed | types.Full) -> None:
    result.attempt = body.attempt
    _write_flow(result.flow, body.flow)
    _write_load(result.load, body.load)


def _write_placed(raw: Any, body: types.Placed) -> None:
    _write_placement_result(raw.init("placed"), body)


def _write_full(raw: Any, body: types.Full) -> None:
    full = raw.init("full")
    _write_placement_result(full, body)
    full.known = body.known


def _write_not_here(raw: Any, body: types.NotHere) -> None:
    answer = raw.init("notHere")
    _write_flow(answer.flow, body.flow)
    answer.packet = body.packet


def _write_release(raw: Any, body: types.Release) -> None:
    release = raw.init("release")
    _write_flow(release.flow, body.flow)
    release.claim = body.claim


def _write_ask(raw: Any, body: types.Ask) -> None:
    ask = raw.init("ask")
    _write_flow(ask.flow, body.flow)
    ask.claim = body.claim


def _write_ask_answer(raw: Any, body: types.AskAnswer) -> None:
    answer = raw.init("askAnswer")
    _write_flow(answer.flow, body.flow)
    answer.holds = body.holds
    answer.granted = body.granted
    answer.claim = body.claim
    answer.barred = body.barred


def _write_free(raw: Any, body: types.Free) -> None:
    _write_load(raw.init("free"), body.load)


def _write_announce(raw: Any, body: types.Announce) -> None:
    announce = raw.init("announce")
    announce.role = body.role
    announce.dataCentre = body.data_centre
    announce.region = body.region
    announce.address = body.address
    announce.controlPort = body.control_port
    announce.metricsPort = body.metrics_port
    announce.heartbeat = body.heartbeat
    announce.draining = body.draining
    announce.openFlows = body.open_flows
    announce.healthy = body.healthy
    _write_load(announce.load, body.load)


def _read_announce(raw: Any) -> types.Announce:
    return types.Announce(
        role=raw.role,
        data_centre=raw.dataCentre,
        region=raw.region,
        address=raw.address,
        control_port=raw.controlPort,
        metrics_port=raw.metricsPort,
        heartbeat=raw.heartbeat,
        draining=raw.draining,
        open_flows=raw.openFlows,
        healthy=raw.healthy,
        load=_read_load(raw.load),
    )


def _write_announce_answer(raw: Any, body: types.AnnounceAnswer) -> None:
    answer = raw.init("announceAnswer")
    answer.heartbeat = body.heartbeat
    peers = answer.init("peers", len(body.peers))
    for raw_entry, peer in zip(peers, body.peers, strict=True):
        raw_entry.name = peer.name
        raw_entry.role = peer.role
        raw_entry.dataCentre = peer.data_centre
        raw_entry.region = peer.region
        raw_entry.address = peer.address
        raw_entry.controlPort = peer.control_port
        raw_entry.incarnation = peer.incarnation


def _read_announce_answer(raw: Any) -> types.AnnounceAnswer:
    return types.AnnounceAnswer(
        tuple(
            types.Peer(
                peer.name,
                peer.role,
                peer.dataCentre,
                peer.region,
                peer.address,
                peer.controlPort,
                peer.incarnation,
            )
            for peer in raw.peers
        ),
        raw.heartbeat,
    )


def _write_digest(raw: Any, body: types.GossipDigest) -> None:
    digest = raw.init("gossipDigest")
    digest.groups = list(body.groups)
    digest.reply = body.reply


def _write_values(raw: Any, body: types.GossipValues) -> None:
    raw_body = raw.init("gossipValues")
    raw_body.partial = body.partial
    for raw_entry, value in zip(
        raw_body.init("values", len(body.values)), body.values, strict=True
    ):
        raw_entry.key = value.key
        raw_entry.version = value.version
        raw_entry.writer = value.writer
        raw_entry.data = value.data
        raw_entry.page = value.page
        raw_entry.pages = value.pages
        raw_entry.deleted = value.deleted


def _read_values(raw: Any) -> types.GossipValues:
    values = tuple(
        types.Value(
            value.key,
            value.version,
            value.writer,
            bytes(value.data),
            value.page,
            value.pages,
            value.deleted,
        )
        for value in raw.values
    )
    return types.GossipValues(values, raw.partial)


def _write_keys(raw: Any, body: types.GossipKeys) -> None:
    raw_body = raw.init("gossipKeys")
    raw_body.group = body.group
    raw_body.reply = body.reply
    for raw_entry, entry in zip(
        raw_body.init("entries", len(body.entries)), body.entries, strict=True
    ):
        raw_entry.keyHash = entry.key_hash
        raw_entry.version = entry.version


def _read_keys(raw: Any) -> types.GossipKeys:
    entries = tuple(types.KeyVersion(entry.keyHash, entry.version) for entry in raw.entries)
    return types.GossipKeys(raw.group, entries, raw.reply)


_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    types.Carry: _write_carry,
    types.Place: _write_place,
    types.Placed: _write_placed,
    types.Full: _write_full,
    types.NotHere: _write_not_here,
    types.Ask: _write_ask,
    types.AskAnswer: _write_ask_answer,
    types.Release: _write_release,
    types.Free: _write_free,
    types.Announce: _write_announce,
    types.AnnounceAnswer: _write_announce_answer,
    types.GossipDigest: _write_digest,
    types.GossipValues: _write_values,
    types.GossipKeys: _write_keys,
}

_READERS: dict[str, Callable[[Any, bytes], types.Body]] = {
    "carry": lambda raw, packet: types.Carry(packet, raw.homed),
    "place": lambda raw, packet: types.Place(raw.attempt, packet, raw.ageSeconds),
    "placed": lambda raw, _: types.Placed(raw.attempt, _read_flow(raw.flow), _read_load(raw.load)),
    "full": lambda raw, _: types.Full(
        raw.attempt, _read_flow(raw.flow), _read_load(raw.load), raw.known
    ),
    "notHere": lambda raw, _: types.NotHere(_read_flow(raw.flow), bytes(raw.packet)),
    "ask": lambda raw, _: types.Ask(_read_flow(raw.flow), raw.claim),
    "askAnswer": lambda raw, _: types.AskAnswer(
        _read_flow(raw.flow), raw.holds, raw.granted, raw.claim, raw.barred
    ),
    "release": lambda raw, _: types.Release(_read_flow(raw.flow), raw.claim),
    "free": lambda raw, _: types.Free(_read_load(raw)),
    "announce": lambda raw, _: _read_announce(raw),
    "announceAnswer": lambda raw, _: _read_announce_answer(raw),
    "gossipDigest": lambda raw, _: types.GossipDigest(tuple(raw.groups), raw.reply),
    "gossipValues": lambda raw, _: _read_values(raw),
    "gossipKeys": lambda raw, _: _read_keys(raw),
}

"""Encode and decode messages between processes as sealed Cap'n Proto datagrams."""

import hashlib
import hmac
from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp
from attrs import frozen

from fescueseam.conf.models import KeySettings
from fescueseam.exceptions import ErrorKind, MessageError
from fescueseam.flows.keys import FlowKey
from fescueseam.messages import types

PROTOCOL_VERSION = 1
DATAGRAM_LIMIT_BYTES = 9000
TAG_BYTES = 16
ADDRESS_LENGTHS_BYTES = (4, 16)
TRAVERSAL_LIMIT_WORDS = 1 << 16

capnp.remove_import_hook()
_schema: Any = capnp.load(str(Path(__file__).with_name("schema.capnp")))


@frozen
class Keyring:
    """Hold the shared keys by number; the first one given signs."""

    signing_id: int
    secrets: dict[int, bytes]


def build_keyring(keys: tuple[KeySettings, ...]) -> Keyring:
    """Return the keyring of the settings; raise MessageError if there is no key."""
    if not keys:
        raise MessageError("no key is configured", ErrorKind.INVALID_SETTINGS)
    return Keyring(keys[0].key_id, {key.key_id: derive_key(key.secret) for key in keys})


def derive_key(secret: str) -> bytes:
    """Return the key bytes of a secret text."""
    return hashlib.blake2b(secret.encode(), digest_size=32, person=b"fescueseam").digest()


def compute_tag(key: bytes, body: bytes) -> bytes:
    """Return the authentication tag of a body."""
    return hashlib.blake2b(body, key=key, digest_size=TAG_BYTES).digest()


def encode_message(message: types.Message, keyring: Keyring) -> bytes:
    """Return the sealed datagram of a message; raise MessageError if it is too large."""
    raw = _schema.Message.new_message(
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
        target=message.target,
        service=message.service,
        className=message.class_name,
        epoch=message.epoch,
        configVersion=message.config_version,
    )
    _WRITERS[type(message.body)](raw.body, message.body)
    body = raw.to_bytes()
    sealed = _schema.Sealed.new_message(
        protocolVersion=PROTOCOL_VERSION,
        keyId=keyring.signing_id,
        tag=compute_tag(keyring.secrets[keyring.signing_id], body),
        body=body,
    ).to_bytes()
    if len(sealed) > DATAGRAM_LIMIT_BYTES:
        raise MessageError(f"{len(sealed)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    return bytes(sealed)


def decode_message(datagram: bytes, keyring: Keyring) -> types.Message:
    """Return the message of a datagram; raise MessageError on anything else."""
    if len(datagram) > DATAGRAM_LIMIT_BYTES:
        raise MessageError(f"{len(datagram)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    try:
        return _read_message(_open_sealed(datagram, keyring))
    except MessageError:
        raise
    except Exception as exc:  # the codec raises several unrelated classes on garbage
        raise MessageError(str(exc).partition("\n")[0]) from exc


def _open_sealed(datagram: bytes, keyring: Keyring) -> bytes:
    with _schema.Sealed.from_bytes(
        datagram, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
    ) as sealed:
        if sealed.protocolVersion != PROTOCOL_VERSION:
            raise MessageError(str(sealed.protocolVersion), ErrorKind.WRONG_PROTOCOL_VERSION)
        key = keyring.secrets.get(sealed.keyId)
        if key is None:
            raise MessageError(f"key {sealed.keyId}", ErrorKind.BAD_AUTHENTICATION)
        body = bytes(sealed.body)
        if not hmac.compare_digest(compute_tag(key, body), bytes(sealed.tag)):
            raise MessageError("tag", ErrorKind.BAD_AUTHENTICATION)
        return body


def _read_message(body: bytes) -> types.Message:
    with _schema.Message.from_bytes(body, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS) as raw:
        which = str(raw.body.which())
        return types.Message(
            sender=raw.sender,
            incarnation=raw.incarnation,
            sequence=raw.sequence,
            target=raw.target,
            service=raw.service,
            class_name=raw.className,
            epoch=raw.epoch,
            config_version=raw.configVersion,
            body=_READERS[which](getattr(raw.body, which)),
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
        raise MessageError("flow address length")
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
    carry = raw.init("carry")
    carry.packet = body.packet
    carry.homed = body.homed


def _write_place(raw: Any, body: types.Place) -> None:
    place = raw.init("place")
    place.attempt = body.attempt
    place.packet = body.packet


def _write_outcome(field_name: str) -> Callable[[Any, Any], None]:
    def write(raw: Any, body: types.Placed | types.Full) -> None:
        outcome = raw.init(field_name)
        outcome.attempt = body.attempt
        _write_flow(outcome.flow, body.flow)
        _write_load(outcome.load, body.load)

    return write


def _write_bare_flow(field_name: str) -> Callable[[Any, Any], None]:
    def write(raw: Any, body: types.NotHere | types.Release) -> None:
        _write_flow(raw.init(field_name), body.flow)

    return write


def _write_ask(raw: Any, body: types.Ask) -> None:
    ask = raw.init("ask")
    _write_flow(ask.flow, body.flow)
    ask.claim = body.claim


def _write_ask_answer(raw: Any, body: types.AskAnswer) -> None:
    answer = raw.init("askAnswer")
    _write_flow(answer.flow, body.flow)
    answer.holds = body.holds
    answer.granted = body.granted


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
    peers = raw.init("announceAnswer").init("peers", len(body.peers))
    for slot, peer in zip(peers, body.peers, strict=True):
        slot.name = peer.name
        slot.role = peer.role
        slot.dataCentre = peer.data_centre
        slot.region = peer.region
        slot.address = peer.address
        slot.controlPort = peer.control_port
        slot.incarnation = peer.incarnation


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
        )
    )


def _write_digest(raw: Any, body: types.GossipDigest) -> None:
    digest = raw.init("gossipDigest")
    digest.groups = list(body.groups)
    digest.reply = body.reply


def _write_values(raw: Any, body: types.GossipValues) -> None:
    message = raw.init("gossipValues")
    message.partial = body.partial
    for slot, value in zip(message.init("values", len(body.values)), body.values, strict=True):
        slot.key = value.key
        slot.version = value.version
        slot.writer = value.writer
        slot.data = value.data
        slot.page = value.page
        slot.pages = value.pages
        slot.deleted = value.deleted


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


_WRITERS: dict[type, Callable[[Any, Any], None]] = {
    types.Carry: _write_carry,
    types.Place: _write_place,
    types.Placed: _write_outcome("placed"),
    types.Full: _write_outcome("full"),
    types.NotHere: _write_bare_flow("notHere"),
    types.Ask: _write_ask,
    types.AskAnswer: _write_ask_answer,
    types.Release: _write_bare_flow("release"),
    types.Free: _write_free,
    types.Announce: _write_announce,
    types.AnnounceAnswer: _write_announce_answer,
    types.GossipDigest: _write_digest,
    types.GossipValues: _write_values,
}

_READERS: dict[str, Callable[[Any], types.Body]] = {
    "carry": lambda raw: types.Carry(bytes(raw.packet), raw.homed),
    "place": lambda raw: types.Place(raw.attempt, bytes(raw.packet)),
    "placed": lambda raw: types.Placed(raw.attempt, _read_flow(raw.flow), _read_load(raw.load)),
    "full": lambda raw: types.Full(raw.attempt, _read_flow(raw.flow), _read_load(raw.load)),
    "notHere": lambda raw: types.NotHere(_read_flow(raw)),
    "ask": lambda raw: types.Ask(_read_flow(raw.flow), raw.claim),
    "askAnswer": lambda raw: types.AskAnswer(_read_flow(raw.flow), raw.holds, raw.granted),
    "release": lambda raw: types.Release(_read_flow(raw)),
    "free": lambda raw: types.Free(_read_load(raw)),
    "announce": _read_announce,
    "announceAnswer": _read_announce_answer,
    "gossipDigest": lambda raw: types.GossipDigest(tuple(raw.groups), raw.reply),
    "gossipValues": _read_values,
}

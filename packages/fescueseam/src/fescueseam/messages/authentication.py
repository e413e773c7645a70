"""Seal datagrams with a shared key, and open them before anything in them is read."""

import hashlib
import hmac
import struct
from collections import OrderedDict
from collections.abc import Hashable
from typing import Any, Final

from attrs import field, frozen

from fescueseam.conf.models import KeySettings
from fescueseam.exceptions import ErrorKind, MessageError

PROTOCOL_VERSION = 1
DATAGRAM_LIMIT_BYTES = 9000
TAG_BYTES = 16
_SEQUENCE_BYTES = 8
_BYTE_ORDER: Final = "little"
_FIXED = struct.Struct("<IHH")
"""Hold key number, protocol version and the message's length, behind tag and sequence."""
_FIXED_AT = TAG_BYTES + _SEQUENCE_BYTES
SEAL_BYTES = _FIXED_AT + _FIXED.size
_SIGNED_LIMIT_BYTES = DATAGRAM_LIMIT_BYTES - TAG_BYTES


@frozen
class Keyring:
    """Hold the shared keys by number; the first one given signs."""

    signing_id: int
    secrets: dict[int, bytes]
    _states: dict[int, Any] = field(init=False, eq=False, repr=False)
    """Hold the hash of each key before any data, because taking a key in costs a block."""
    envelopes: OrderedDict[Hashable, bytes] = field(
        factory=OrderedDict, init=False, eq=False, repr=False
    )
    """Keep the encoded parts that many datagrams signed by this ring share."""
    _signing: Any = field(init=False, eq=False, repr=False)

    @_states.default
    def _key_states(self) -> dict[int, Any]:
        return {
            key_id: hashlib.blake2b(key=key, digest_size=TAG_BYTES)
            for key_id, key in self.secrets.items()
        }

    @_signing.default
    def _find_signing(self) -> Any:
        return self._states[self.signing_id]

    def sign(self, signed: bytes) -> bytes:
        """Return the authentication tag by the key that signs."""
        state = self._signing.copy()
        state.update(signed)
        tag: bytes = state.digest()
        return tag

    def is_signed(self, key_id: int, tag: bytes, signed: bytes) -> bool:
        """Tell whether a tag was made with a key of this ring."""
        known = self._states.get(key_id)
        if known is None:
            return False
        state = known.copy()
        state.update(signed)
        return hmac.compare_digest(state.digest(), tag)


@frozen
class Opened:
    """Hold what an authentic datagram carries."""

    sequence: int
    message: bytes = field(repr=False)
    packet: bytes = field(repr=False)


def build_keyring(keys: tuple[KeySettings, ...]) -> Keyring:
    """Return the keyring of the settings; raise MessageError if there is no key."""
    if not keys:
        raise MessageError("no key is configured", ErrorKind.INVALID_SETTINGS)
    return Keyring(keys[0].key_id, {key.key_id: derive_key(key.secret) for key in keys})


def derive_key(secret: str) -> bytes:
    """Return the key bytes of a secret text."""
    return hashlib.blake2b(secret.encode(), digest_size=32, person=b"fescueseam").digest()


def build_envelope(message: bytes, keyring: Keyring) -> bytes:
    """Return a message with the fixed part of its seal, which many datagrams may share."""
    if len(message) > DATAGRAM_LIMIT_BYTES:
        raise MessageError(f"{len(message)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    return _FIXED.pack(keyring.signing_id, PROTOCOL_VERSION, len(message)) + message


def seal(envelope: bytes, packet: bytes, sequence: int, keyring: Keyring) -> bytes:
    """Return the datagram; raise MessageError if it is too large."""
    signed = sequence.to_bytes(_SEQUENCE_BYTES, _BYTE_ORDER) + envelope + packet
    if len(signed) > _SIGNED_LIMIT_BYTES:
        raise MessageError(f"{len(signed)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    return keyring.sign(signed) + signed


def open_datagram(datagram: bytes, keyring: Keyring) -> Opened:
    """Return what a datagram carries; raise MessageError if it is not authentic."""
    if len(datagram) > DATAGRAM_LIMIT_BYTES:
        raise MessageError(f"{len(datagram)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    if len(datagram) < SEAL_BYTES:
        raise MessageError(f"{len(datagram)} bytes")
    key_id, version, size = _FIXED.unpack_from(datagram, _FIXED_AT)
    if version != PROTOCOL_VERSION:
        raise MessageError(str(version), ErrorKind.WRONG_PROTOCOL_VERSION)
    if not keyring.is_signed(key_id, datagram[:TAG_BYTES], datagram[TAG_BYTES:]):
        raise MessageError(f"key {key_id}", ErrorKind.BAD_AUTHENTICATION)
    sequence = int.from_bytes(datagram[TAG_BYTES:_FIXED_AT], _BYTE_ORDER)
    end = SEAL_BYTES + size
    return Opened(sequence, datagram[SEAL_BYTES:end], datagram[end:])

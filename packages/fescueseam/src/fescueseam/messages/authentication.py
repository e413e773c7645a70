"""Sign datagrams with a shared key, and verify them before their content is parsed."""

import hashlib
import hmac
import struct
from collections import OrderedDict
from collections.abc import Hashable
from typing import TYPE_CHECKING, Any, Final

from attrs import field, frozen

from fescueseam.exceptions import ErrorKind, MessageError

if TYPE_CHECKING:
    from fescueseam.conf.models import KeySettings

PROTOCOL_VERSION = 1
MAX_DATAGRAM_BYTES = 9000
TAG_BYTES = 16
_SEQUENCE_BYTES = 8
_BYTE_ORDER: Final = "little"
_FRAME_HEADER = struct.Struct("<IHH")
"""Key number, protocol version and message length; follows the tag and the sequence number."""
_FRAME_HEADER_OFFSET = TAG_BYTES + _SEQUENCE_BYTES
DATAGRAM_HEADER_BYTES = _FRAME_HEADER_OFFSET + _FRAME_HEADER.size
_MAX_SIGNED_BYTES = MAX_DATAGRAM_BYTES - TAG_BYTES


@frozen
class Keyring:
    """Shared keys by number, one of which signs."""

    signing_key_id: int
    keys_by_id: dict[int, bytes]
    _hash_states: dict[int, Any] = field(init=False, eq=False, repr=False)
    """Hash state of each key before any data; copying it avoids hashing the key again."""
    cached_frames: OrderedDict[Hashable, bytes] = field(
        factory=OrderedDict, init=False, eq=False, repr=False
    )
    """Encoded frames that many datagrams signed by this keyring share."""
    _signing_state: Any = field(init=False, eq=False, repr=False)

    @_hash_states.default
    def _build_hash_states(self) -> dict[int, Any]:
        return {
            key_id: hashlib.blake2b(key=key, digest_size=TAG_BYTES)
            for key_id, key in self.keys_by_id.items()
        }

    @_signing_state.default
    def _get_signing_state(self) -> Any:
        return self._hash_states[self.signing_key_id]

    def sign(self, data: bytes) -> bytes:
        """Return the authentication tag of the data under the signing key."""
        state = self._signing_state.copy()
        state.update(data)
        tag: bytes = state.digest()
        return tag

    def is_valid_tag(self, key_id: int, tag: bytes, data: bytes) -> bool:
        """Return whether a tag was made with a key of this keyring."""
        key_state = self._hash_states.get(key_id)
        if key_state is None:
            return False
        state = key_state.copy()
        state.update(data)
        return hmac.compare_digest(state.digest(), tag)


@frozen
class VerifiedDatagram:
    """Content of a datagram whose authentication tag is valid."""

    sequence: int
    message: bytes = field(repr=False)
    packet: bytes = field(repr=False)


def build_keyring(keys: "tuple[KeySettings, ...]") -> Keyring:
    """Return a keyring whose first key signs; raise MessageError if the settings have no key."""
    if not keys:
        raise MessageError("no key is configured", ErrorKind.INVALID_SETTINGS)
    return Keyring(keys[0].key_id, {key.key_id: derive_key(key.secret) for key in keys})


def derive_key(secret: str) -> bytes:
    """Return the key derived from a secret text."""
    return hashlib.blake2b(secret.encode(), digest_size=32, person=b"fescueseam").digest()


def build_frame(message: bytes, keyring: Keyring) -> bytes:
    """Return a message with its frame header; many datagrams may share the result."""
    if len(message) > MAX_DATAGRAM_BYTES:
        raise MessageError(f"message too large: {len(message)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    return _FRAME_HEADER.pack(keyring.signing_key_id, PROTOCOL_VERSION, len(message)) + message


def sign_datagram(frame: bytes, packet: bytes, sequence: int, keyring: Keyring) -> bytes:
    """Return the signed datagram; raise MessageError if it is too large."""
    data = sequence.to_bytes(_SEQUENCE_BYTES, _BYTE_ORDER) + frame + packet
    if len(data) > _MAX_SIGNED_BYTES:
        raise MessageError(f"datagram too large: {len(data)} bytes", ErrorKind.OVERSIZE_DATAGRAM)
    return keyring.sign(data) + data


def verify_datagram(datagram: bytes, keyring: Keyring) -> VerifiedDatagram:
    """Return the content of a datagram; raise MessageError if it is not authentic."""
    if len(datagram) > MAX_DATAGRAM_BYTES:
        raise MessageError(
            f"datagram too large: {len(datagram)} bytes", ErrorKind.OVERSIZE_DATAGRAM
        )
    if len(datagram) < DATAGRAM_HEADER_BYTES:
        raise MessageError(f"datagram shorter than its header: {len(datagram)} bytes")
    key_id, version, message_length = _FRAME_HEADER.unpack_from(datagram, _FRAME_HEADER_OFFSET)
    if version != PROTOCOL_VERSION:
        raise MessageError(str(version), ErrorKind.WRONG_PROTOCOL_VERSION)
    if not keyring.is_valid_tag(key_id, datagram[:TAG_BYTES], datagram[TAG_BYTES:]):
        raise MessageError(
            f"no valid authentication tag for key {key_id}", ErrorKind.BAD_AUTHENTICATION
        )
    sequence = int.from_bytes(datagram[TAG_BYTES:_FRAME_HEADER_OFFSET], _BYTE_ORDER)
    end = DATAGRAM_HEADER_BYTES + message_length
    return VerifiedDatagram(sequence, datagram[DATAGRAM_HEADER_BYTES:end], datagram[end:])

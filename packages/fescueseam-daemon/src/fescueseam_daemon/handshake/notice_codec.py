"""Notices as datagrams: numbered, and signed if the settings have keys."""

from typing import TYPE_CHECKING

from attrs import define, field

from fescueseam.handshake.codec import decode_notice, encode_notice
from fescueseam.handshake.member import Identity
from fescueseam.handshake.notice_guard import NoticeGuard
from fescueseam.handshake.notices import Notice, NoticeBody

if TYPE_CHECKING:
    from fescueseam.conf.models import KeySettings
    from fescueseam.messages.authentication import Keyring


@define(eq=False)
class NoticeCodec:
    """Encodes the notices of a process, and decodes those that are authentic and new."""

    own: Identity
    _keyring: "Keyring | None" = None
    """Keys of the settings; without any, notices are neither signed nor verified."""
    _guard: NoticeGuard = field(factory=NoticeGuard)
    _sequence: int = 0
    _last_encoded: tuple[NoticeBody | None, bytes] = (None, b"")

    def set_keys(self, keys: "tuple[KeySettings, ...]") -> None:
        """Sign with the first key from now on, and accept notices signed with any of them."""
        self._last_encoded = (None, b"")
        if not keys:
            self._keyring = None
            return
        # Imported on first use to keep the start of a process without keys short.
        from fescueseam.messages.authentication import build_keyring

        self._keyring = build_keyring(keys)

    def encode(self, body: NoticeBody) -> bytes:
        """Return a datagram; a body that is sent to several members in a row is encoded once."""
        if self._last_encoded[0] is not body:
            self._sequence += 1
            notice = Notice(self.own.name, self.own.incarnation, self._sequence, body)
            self._last_encoded = (body, self._sign(encode_notice(notice)))
        return self._last_encoded[1]

    def decode(self, datagram: bytes) -> Notice:
        """Return the notice of a datagram; raise MessageError if it is not valid and new."""
        notice = decode_notice(self._verify(datagram))
        self._guard.check(notice.sender, notice.incarnation, notice.sequence)
        return notice

    def _sign(self, message: bytes) -> bytes:
        if self._keyring is None:
            return message
        from fescueseam.messages.authentication import build_frame, sign_datagram

        return sign_datagram(
            build_frame(message, self._keyring), b"", self._sequence, self._keyring
        )

    def _verify(self, datagram: bytes) -> bytes:
        if self._keyring is None:
            return datagram
        from fescueseam.messages.authentication import verify_datagram

        return verify_datagram(datagram, self._keyring).message

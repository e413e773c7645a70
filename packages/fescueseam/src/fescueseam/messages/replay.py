"""Reject messages that were received before."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.exceptions import ErrorKind, MessageError

REPLAY_WINDOW_MESSAGES = 1024
MAX_TRACKED_SENDERS = 8192


@define
class _SenderWindow:
    incarnation: int
    highest_sequence: int = 0
    seen_bitmap: int = 0


@define
class ReplayGuard:
    """Filter that accepts each sequence number of each sender's newest incarnation once."""

    _windows: OrderedDict[str, _SenderWindow] = field(factory=OrderedDict)

    def check(self, sender: str, incarnation: int, sequence: int) -> None:
        """Record the sequence number; raise MessageError if it is old or was received before."""
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            window = self._start_window(sender, incarnation)
        if incarnation < window.incarnation:
            raise MessageError("the sender has a newer incarnation", ErrorKind.REPLAYED_MESSAGE)
        self._record_sequence(window, sequence)

    def _start_window(self, sender: str, incarnation: int) -> _SenderWindow:
        window = _SenderWindow(incarnation)
        self._windows[sender] = window
        self._windows.move_to_end(sender)
        if len(self._windows) > MAX_TRACKED_SENDERS:
            self._windows.popitem(last=False)
        return window

    @staticmethod
    def _record_sequence(window: _SenderWindow, sequence: int) -> None:
        if sequence > window.highest_sequence:
            shift = sequence - window.highest_sequence
            mask = (1 << REPLAY_WINDOW_MESSAGES) - 1
            window.seen_bitmap = (
                ((window.seen_bitmap << shift) | 1) & mask if shift < REPLAY_WINDOW_MESSAGES else 1
            )
            window.highest_sequence = sequence
            return
        age = window.highest_sequence - sequence
        if age >= REPLAY_WINDOW_MESSAGES or window.seen_bitmap >> age & 1:
            raise MessageError(
                "sequence number was received before or is too old", ErrorKind.REPLAYED_MESSAGE
            )
        window.seen_bitmap |= 1 << age

"""Reject messages that were received before."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.exceptions import ErrorKind, MessageError

REPLAY_WINDOW_MESSAGES = 1024
MAX_TRACKED_SENDERS = 8192


@define
class SequenceWindow:
    """The sequence numbers of one sender that were received, newest first."""

    highest_sequence: int = 0
    seen_bitmap: int = 0

    def record(self, sequence: int) -> None:
        """Record a sequence number; raise MessageError if it is old or was received before."""
        if sequence > self.highest_sequence:
            shift = sequence - self.highest_sequence
            mask = (1 << REPLAY_WINDOW_MESSAGES) - 1
            self.seen_bitmap = (
                ((self.seen_bitmap << shift) | 1) & mask if shift < REPLAY_WINDOW_MESSAGES else 1
            )
            self.highest_sequence = sequence
            return
        age = self.highest_sequence - sequence
        if age >= REPLAY_WINDOW_MESSAGES or self.seen_bitmap >> age & 1:
            raise MessageError(
                "sequence number was received before or is too old", ErrorKind.REPLAYED_MESSAGE
            )
        self.seen_bitmap |= 1 << age


@define
class _SenderWindow:
    incarnation: int
    sequences: SequenceWindow = field(factory=SequenceWindow)


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
        window.sequences.record(sequence)

    def _start_window(self, sender: str, incarnation: int) -> _SenderWindow:
        window = _SenderWindow(incarnation)
        self._windows[sender] = window
        self._windows.move_to_end(sender)
        if len(self._windows) > MAX_TRACKED_SENDERS:
            self._windows.popitem(last=False)
        return window

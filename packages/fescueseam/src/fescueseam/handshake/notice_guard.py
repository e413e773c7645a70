"""Rejects notices that were received before, or that an earlier start of their sender sent."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.exceptions import ErrorKind, MessageError
from fescueseam.messages.replay import MAX_TRACKED_SENDERS, SequenceWindow

TRACKED_INCARNATIONS = 4
"""Number of incarnations of a sender whose sequence numbers are remembered."""
RANDOM_INCARNATION_BITS = 20


def build_incarnation(started_ms: int, random_bits: int) -> int:
    """Return the number of a start: later ones are greater unless the clock was set back."""
    return started_ms << RANDOM_INCARNATION_BITS | random_bits


@define
class _SenderState:
    incarnation: int
    windows: OrderedDict[int, SequenceWindow] = field(factory=OrderedDict)
    """Sequence numbers by incarnation, the one heard last at the end."""
    unconfirmed: tuple[int, int] | None = None
    """Incarnation and sequence number of the last notice of a start that looks earlier."""

    def record(self, incarnation: int, sequence: int) -> None:
        """Record a sequence number; raise MessageError if it was received before."""
        window = self.windows.get(incarnation)
        if window is None:
            window = self.windows[incarnation] = SequenceWindow()
        self.windows.move_to_end(incarnation)
        if len(self.windows) > TRACKED_INCARNATIONS:
            self.windows.popitem(last=False)
        window.record(sequence)

    def confirm(self, incarnation: int, sequence: int) -> bool:
        """Return whether a notice is of the current start or ends it."""
        if incarnation < self.incarnation:
            last, self.unconfirmed = self.unconfirmed, (incarnation, sequence)
            if last is None or last[0] != incarnation or sequence <= last[1]:
                return False
        self.incarnation = incarnation
        self.unconfirmed = None
        return True


@define
class NoticeGuard:
    """Filter that accepts each notice of the current start of each sender once."""

    _senders: OrderedDict[str, _SenderState] = field(factory=OrderedDict)

    def check(self, sender: str, incarnation: int, sequence: int) -> None:
        """Record a notice; raise MessageError if it is of an earlier start or a repetition.

        A start that looks earlier is accepted from its second notice on, as the clock of the sender
        may have been set back. A delayed notice usually comes alone.
        """
        state = self._senders.get(sender)
        if state is None:
            state = self._senders[sender] = _SenderState(incarnation)
            if len(self._senders) > MAX_TRACKED_SENDERS:
                self._senders.popitem(last=False)
        state.record(incarnation, sequence)
        if not state.confirm(incarnation, sequence):
            raise MessageError("an earlier start of the sender", ErrorKind.REPLAYED_MESSAGE)

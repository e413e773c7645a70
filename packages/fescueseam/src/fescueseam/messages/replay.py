"""Refuse messages that were seen before."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.exceptions import ErrorKind, MessageError

WINDOW_MESSAGES = 1024
SENDERS_LIMIT = 8192


@define
class _Window:
    incarnation: int
    highest: int = 0
    seen: int = 0


@define
class ReplayGuard:
    """Take each sequence number of each sender's newest incarnation once."""

    _windows: OrderedDict[str, _Window] = field(factory=OrderedDict)

    def check(self, sender: str, incarnation: int, sequence: int) -> None:
        """Record the number; raise MessageError if it is old or was seen before."""
        window = self._windows.get(sender)
        if window is None or incarnation > window.incarnation:
            window = self._open_window(sender, incarnation)
        if incarnation < window.incarnation:
            raise MessageError("earlier incarnation", ErrorKind.REPLAYED_MESSAGE)
        self._mark(window, sequence)

    def _open_window(self, sender: str, incarnation: int) -> _Window:
        window = _Window(incarnation)
        self._windows[sender] = window
        self._windows.move_to_end(sender)
        if len(self._windows) > SENDERS_LIMIT:
            self._windows.popitem(last=False)
        return window

    @staticmethod
    def _mark(window: _Window, sequence: int) -> None:
        if sequence > window.highest:
            shift = sequence - window.highest
            mask = (1 << WINDOW_MESSAGES) - 1
            window.seen = ((window.seen << shift) | 1) & mask if shift < WINDOW_MESSAGES else 1
            window.highest = sequence
            return
        age = window.highest - sequence
        if age >= WINDOW_MESSAGES or window.seen >> age & 1:
            raise MessageError("sequence seen before", ErrorKind.REPLAYED_MESSAGE)
        window.seen |= 1 << age

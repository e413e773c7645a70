"""Containment of unexpected exceptions, so that one packet or timeout cannot end a process."""

import traceback
from collections.abc import Callable

from fescueseam.handshake.effects import Effects, LogEvent

TRACEBACK_CHARACTERS_LIMIT = 2000
"""Largest number of characters of a traceback in one log line; its end names the fault."""


def contain(place: str, step: Callable[[], Effects], discard: Callable[[], object]) -> Effects:
    """Return the effects of a step; if it fails, discard its state and report the failure.

    The callers of a discarded flow retransmit, which finds the flow's home again. MemoryError is
    not contained, because no further step would succeed.
    """
    try:
        return step()
    except MemoryError:
        raise
    except Exception as exc:
        discard()
        return [build_failure_event(place, exc)]


def build_failure_event(place: str, exc: Exception) -> LogEvent:
    """Return the event for an unexpected exception, which is counted by place."""
    text = "".join(traceback.format_exception(exc))[-TRACEBACK_CHARACTERS_LIMIT:]
    return LogEvent("handler-failed", {"reason": place, "cause": repr(exc), "traceback": text})

"""Register checks and run all of them."""

from collections.abc import Callable, Iterable
from typing import TypeVar

from fescueseam.checks.faults import Fault

Settings = TypeVar("Settings")
Check = Callable[[Settings], Iterable[Fault]]

_CHECKS: dict[type, list[Check[object]]] = {}


def register_check(settings_type: type[Settings]) -> Callable[[Check[Settings]], Check[Settings]]:
    """Register a check for settings of one type."""

    def decorate(check: Check[Settings]) -> Check[Settings]:
        _CHECKS.setdefault(settings_type, []).append(check)  # type: ignore[arg-type]
        return check

    return decorate


def run_checks(settings: object) -> tuple[Fault, ...]:
    """Run every check registered for the settings' type and return all faults."""
    checks = _CHECKS.get(type(settings), [])
    return tuple(fault for check in checks for fault in check(settings))

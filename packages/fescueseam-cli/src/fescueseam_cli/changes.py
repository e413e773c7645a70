"""Change the accepted configuration by conditional update."""

import random
from collections.abc import Awaitable, Callable

from attrs import frozen

from fescueseam.checks.faults import Fault, has_errors
from fescueseam.checks.registry import run_checks
from fescueseam.conf.accepted import (
    CONFIGURATION_KEY,
    MAX_EARLIER_WRITERS,
    AcceptedConfiguration,
    build_next_version,
    decode_accepted,
    encode_accepted,
)
from fescueseam.conf.differences import Difference, find_common_paths, find_differences
from fescueseam.conf.loading import make_settings_error
from fescueseam.conf.models import Configuration
from fescueseam.exceptions import (
    ConfigurationConflictError,
    SettingsError,
    StoreConflictError,
    StoreError,
)
from fescueseam.retries.backoff import compute_backoff
from fescueseam.upkeep.store import Store
from fescueseam_daemon.store import OversizeValueError, ReplyLostError

MAX_ATTEMPTS = 5
"""Bound the writes of one change and the reads that resolve one lost reply."""

Change = Callable[[Configuration], Configuration]
Sleep = Callable[[float], Awaitable[None]]


@frozen
class Current:
    """Hold the accepted configuration with the version of its object."""

    object_version: int = 0
    accepted: AcceptedConfiguration | None = None

    @property
    def configuration(self) -> Configuration:
        """Return the configuration, an empty one before the first is accepted."""
        return self.accepted.configuration if self.accepted else Configuration()


@frozen
class ChangeResult:
    """Tell what a change did."""

    version: int
    differences: tuple[Difference, ...]
    faults: tuple[Fault, ...] = ()
    """List the warnings."""


async def read_current(store: Store) -> Current:
    """Read the accepted configuration."""
    stored = await store.get(CONFIGURATION_KEY)
    if stored is None:
        return Current()
    return Current(stored.version, decode_accepted(stored.value))


class ConfigurationChanger:
    """Write changes under one writer id for each and resolve lost replies."""

    def __init__(
        self,
        store: Store,
        rng: random.Random,
        sleep: Sleep,
        make_writer: Callable[[], str],
    ) -> None:
        """Keep the store and the sources of randomness, time and ids."""
        self._store = store
        self._rng = rng
        self._sleep = sleep
        self._make_writer = make_writer

    async def change(self, change: Change, expected_version: int | None = None) -> ChangeResult:
        """Write a change once; raise ConfigurationConflictError if another one came first."""
        for attempt in range(MAX_ATTEMPTS):
            current = await read_current(self._store)
            _require_version(current, expected_version)
            cfg = change(current.configuration)
            faults = run_checks(cfg)
            if has_errors(faults):
                raise make_settings_error(faults)
            differences = find_differences(current.configuration, cfg)
            if differences or current.accepted is None:
                successor = build_next_version(current.accepted, cfg, self._make_writer())
                await self._write(current, successor)
                return ChangeResult(successor.version, differences, faults)
            if await self._confirm(current):
                return ChangeResult(current.configuration.version, (), faults)
            await self._sleep(compute_backoff(attempt, self._rng))
        raise StoreError("the store's reads are out of date; nothing was written")

    async def _confirm(self, current: Current) -> bool:
        """Tell whether a read was up to date, by writing the same value on its condition.

        Only a conditional write is sure to meet the newest version; a read may be stale, and
        then "nothing to change" would be false.
        """
        assert current.accepted is not None
        value = encode_accepted(current.accepted)
        try:
            await self._store.put(CONFIGURATION_KEY, value, current.object_version)
        except (StoreConflictError, ReplyLostError):
            return False
        return True

    async def _write(self, current: Current, successor: AcceptedConfiguration) -> None:
        value = encode_accepted(successor)
        doubtful = False
        for attempt in range(MAX_ATTEMPTS):
            try:
                await self._store.put(CONFIGURATION_KEY, value, current.object_version)
                return
            except StoreConflictError:
                found = await self._resolve(current, successor, doubtful)
                if found is None:
                    return
                # The same version under a newer object version: somebody only confirmed it.
                current = found
                continue
            except ReplyLostError:
                doubtful = True
            except OversizeValueError as exc:
                raise SettingsError(f"{exc}; nothing was written") from exc
            except StoreError as exc:
                raise _describe_failure(exc, doubtful) from exc
            await self._sleep(compute_backoff(attempt, self._rng))
            if await self._is_written(current, successor):
                return
        raise StoreError(
            _DOUBTFUL if doubtful else "the object keeps changing; nothing was written"
        )

    async def _is_written(self, current: Current, successor: AcceptedConfiguration) -> bool:
        try:
            found = await read_current(self._store)
        except StoreError:
            return False
        # A read at the old version may be stale: the next conditional write tells.
        if found.object_version <= current.object_version or _is_same(current, found):
            return False
        _judge(current, successor, found, doubtful=True)
        return True

    async def _resolve(
        self, current: Current, successor: AcceptedConfiguration, doubtful: bool
    ) -> Current | None:
        for attempt in range(MAX_ATTEMPTS):
            try:
                found = await read_current(self._store)
            except StoreError as exc:
                if attempt == MAX_ATTEMPTS - 1:
                    raise _describe_failure(exc, doubtful) from exc
            else:
                if found.object_version > current.object_version:
                    if _is_same(current, found):
                        return found
                    _judge(current, successor, found, doubtful)
                    return None
            await self._sleep(compute_backoff(attempt, self._rng))
        if doubtful:
            raise StoreError(_DOUBTFUL)
        raise ConfigurationConflictError(
            "another operator changed the configuration first; the store's reads are still at "
            f"version {current.configuration.version}, so the other change cannot be shown; "
            "nothing was written"
        )


_DOUBTFUL = (
    "the store did not confirm the change, which may have taken effect; "
    "run 'fescueseam diff' once it answers"
)


def _require_version(current: Current, expected: int | None) -> None:
    found = current.configuration.version
    if expected is not None and found != expected:
        raise ConfigurationConflictError(
            f"version {found} is in force, not version {expected}; nothing was written"
        )


def _is_same(current: Current, found: Current) -> bool:
    return found.accepted is not None and found.accepted == current.accepted


def _describe_failure(exc: StoreError, doubtful: bool) -> StoreError:
    return StoreError(f"{exc}; {_DOUBTFUL}" if doubtful else f"{exc}; nothing was written")


def _judge(
    current: Current, successor: AcceptedConfiguration, found: Current, doubtful: bool
) -> None:
    """Return if the change was written, else raise what became of it."""
    other = found.accepted
    if other is not None and successor.writer in (other.writer, *other.earlier_writers):
        return
    passed = found.configuration.version - current.configuration.version
    if doubtful and passed > MAX_EARLIER_WRITERS:
        raise StoreError(_DOUBTFUL)
    raise ConfigurationConflictError(_describe_conflict(current, successor, found))


def _describe_conflict(current: Current, successor: AcceptedConfiguration, found: Current) -> str:
    base = current.configuration
    yours = find_differences(base, successor.configuration)
    theirs = find_differences(base, found.configuration)
    common = find_common_paths(yours, theirs)
    writer = found.accepted.writer if found.accepted else "nobody"
    lines = [
        f"version {found.configuration.version} by {writer} came first; nothing was written",
        f"your change to version {base.version}:",
        *_indent(yours),
        f"the other change, from version {base.version} to {found.configuration.version}:",
        *_indent(theirs),
        "both change: " + ", ".join(common) if common else "no value is changed by both",
        "look at the other change, then run the command again to add yours",
    ]
    return "\n".join(lines)


def _indent(differences: tuple[Difference, ...]) -> list[str]:
    return [f"  {difference}" for difference in differences] or ["  (nothing)"]

"""Change the accepted configuration with conditional writes."""

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
"""Largest number of attempts to get an up-to-date read, to write or to resolve a conflict."""

ChangeFunction = Callable[[Configuration], Configuration]
Sleep = Callable[[float], Awaitable[None]]


@frozen
class ConfigurationSnapshot:
    """The accepted configuration as read, with the version of its object in the store."""

    object_version: int = 0
    accepted: AcceptedConfiguration | None = None

    @property
    def configuration(self) -> Configuration:
        """Return the configuration, or an empty one if none has been accepted yet."""
        return self.accepted.configuration if self.accepted else Configuration()


@frozen
class ChangeResult:
    """Version after a change, with its differences and the warnings of its checks."""

    version: int
    differences: tuple[Difference, ...]
    faults: tuple[Fault, ...] = ()


async def read_snapshot(store: Store) -> ConfigurationSnapshot:
    """Read the accepted configuration from the store; the read may be stale."""
    stored = await store.get(CONFIGURATION_KEY)
    if stored is None:
        return ConfigurationSnapshot()
    return ConfigurationSnapshot(stored.version, decode_accepted(stored.value))


class ConfigurationUpdater:
    """Writes changes of the configuration.

    Each change has a writer id of its own. If the reply to a write is lost, the id shows whether
    the write took effect.
    """

    def __init__(
        self,
        store: Store,
        rng: random.Random,
        sleep: Sleep,
        make_writer_id: Callable[[], str],
    ) -> None:
        """Initialise the updater; ``rng`` and ``sleep`` are for the delays between retries."""
        self._store = store
        self._rng = rng
        self._sleep = sleep
        self._make_writer_id = make_writer_id

    async def update(
        self, change: ChangeFunction, expected_version: int | None = None
    ) -> ChangeResult:
        """Write a change once; raise ConfigurationConflictError if another was accepted first."""
        for attempt in range(MAX_ATTEMPTS):
            snapshot = await read_snapshot(self._store)
            _require_version(snapshot, expected_version)
            cfg = change(snapshot.configuration)
            faults = run_checks(cfg)
            if has_errors(faults):
                raise make_settings_error(faults)
            differences = find_differences(snapshot.configuration, cfg)
            if differences or snapshot.accepted is None:
                successor = build_next_version(snapshot.accepted, cfg, self._make_writer_id())
                await self._write_version(snapshot, successor)
                return ChangeResult(successor.version, differences, faults)
            if await self._confirm_up_to_date(snapshot):
                return ChangeResult(snapshot.configuration.version, (), faults)
            await self._sleep(compute_backoff(attempt, self._rng))
        raise StoreError("reads from the store are out of date; nothing was written")

    async def _confirm_up_to_date(self, snapshot: ConfigurationSnapshot) -> bool:
        """Return whether a read was up to date, checked by a conditional write of the same value.

        A read may be stale, so that "nothing to change" would be wrong. A conditional write is
        always compared with the newest version.
        """
        assert snapshot.accepted is not None
        value = encode_accepted(snapshot.accepted)
        try:
            await self._store.put(CONFIGURATION_KEY, value, snapshot.object_version)
        except (StoreConflictError, ReplyLostError):
            return False
        return True

    async def _write_version(
        self, snapshot: ConfigurationSnapshot, successor: AcceptedConfiguration
    ) -> None:
        value = encode_accepted(successor)
        outcome_unknown = False
        for attempt in range(MAX_ATTEMPTS):
            try:
                await self._store.put(CONFIGURATION_KEY, value, snapshot.object_version)
                return
            except StoreConflictError:
                found = await self._resolve_conflict(snapshot, successor, outcome_unknown)
                if found is None:
                    return
                # Another command confirmed the same configuration by rewriting it, so only the
                # object version is newer.
                snapshot = found
                continue
            except ReplyLostError:
                outcome_unknown = True
            except OversizeValueError as exc:
                raise SettingsError(f"{exc}; nothing was written") from exc
            except StoreError as exc:
                raise _describe_failure(exc, outcome_unknown) from exc
            await self._sleep(compute_backoff(attempt, self._rng))
            if await self._is_written(snapshot, successor):
                return
        raise StoreError(
            _OUTCOME_UNKNOWN
            if outcome_unknown
            else "the configuration object kept changing between retries; nothing was written"
        )

    async def _is_written(
        self, snapshot: ConfigurationSnapshot, successor: AcceptedConfiguration
    ) -> bool:
        """Return whether a read shows the change; raise an error if it shows another one."""
        try:
            found = await read_snapshot(self._store)
        except StoreError:
            return False
        # An unchanged read may be stale; the next conditional write shows whether it is.
        if found.object_version <= snapshot.object_version or _has_same_content(snapshot, found):
            return False
        _require_written(snapshot, successor, found, outcome_unknown=True)
        return True

    async def _resolve_conflict(
        self,
        snapshot: ConfigurationSnapshot,
        successor: AcceptedConfiguration,
        outcome_unknown: bool,
    ) -> ConfigurationSnapshot | None:
        """Find out why a conditional write failed.

        Return None if an earlier attempt wrote the change, or the new snapshot if only the object
        version is newer. Raise an error if another change was accepted or nothing can be read.
        """
        for attempt in range(MAX_ATTEMPTS):
            try:
                found = await read_snapshot(self._store)
            except StoreError as exc:
                if attempt == MAX_ATTEMPTS - 1:
                    raise _describe_failure(exc, outcome_unknown) from exc
            else:
                if found.object_version > snapshot.object_version:
                    if _has_same_content(snapshot, found):
                        return found
                    _require_written(snapshot, successor, found, outcome_unknown)
                    return None
            await self._sleep(compute_backoff(attempt, self._rng))
        if outcome_unknown:
            raise StoreError(_OUTCOME_UNKNOWN)
        raise ConfigurationConflictError(
            "another operator changed the configuration first; reads from the store still return "
            f"version {snapshot.configuration.version}, so the other change cannot be shown; "
            "nothing was written"
        )


_OUTCOME_UNKNOWN = (
    "the store did not confirm the change, which may have taken effect; "
    "run 'fescueseam diff' once the store is available"
)


def _require_version(snapshot: ConfigurationSnapshot, expected: int | None) -> None:
    found = snapshot.configuration.version
    if expected is not None and found != expected:
        raise ConfigurationConflictError(
            f"version {found} is in force, not version {expected}; nothing was written"
        )


def _has_same_content(snapshot: ConfigurationSnapshot, found: ConfigurationSnapshot) -> bool:
    return found.accepted is not None and found.accepted == snapshot.accepted


def _describe_failure(exc: StoreError, outcome_unknown: bool) -> StoreError:
    return StoreError(
        f"{exc}; {_OUTCOME_UNKNOWN}" if outcome_unknown else f"{exc}; nothing was written"
    )


def _require_written(
    snapshot: ConfigurationSnapshot,
    successor: AcceptedConfiguration,
    found: ConfigurationSnapshot,
    outcome_unknown: bool,
) -> None:
    """Raise ConfigurationConflictError if another change was accepted instead.

    Raise StoreError if the outcome of the write is unknown and so many versions followed that
    the writer id of the change may no longer be listed.
    """
    other = found.accepted
    if other is not None and successor.writer in (other.writer, *other.earlier_writers):
        return
    versions_since = found.configuration.version - snapshot.configuration.version
    if outcome_unknown and versions_since > MAX_EARLIER_WRITERS:
        raise StoreError(_OUTCOME_UNKNOWN)
    raise ConfigurationConflictError(_describe_conflict(snapshot, successor, found))


def _describe_conflict(
    snapshot: ConfigurationSnapshot, successor: AcceptedConfiguration, found: ConfigurationSnapshot
) -> str:
    base = snapshot.configuration
    own_differences = find_differences(base, successor.configuration)
    other_differences = find_differences(base, found.configuration)
    common_paths = find_common_paths(own_differences, other_differences)
    writer = found.accepted.writer if found.accepted else "nobody"
    lines = [
        f"version {found.configuration.version} by {writer} came first; nothing was written",
        f"your change to version {base.version}:",
        *_indent_differences(own_differences),
        f"the other change, from version {base.version} to {found.configuration.version}:",
        *_indent_differences(other_differences),
        (
            "changed by both: " + ", ".join(common_paths)
            if common_paths
            else "no value is changed by both"
        ),
        "review the other change, then run the command again to apply yours",
    ]
    return "\n".join(lines)


def _indent_differences(differences: tuple[Difference, ...]) -> list[str]:
    return [f"  {difference}" for difference in differences] or ["  (nothing)"]

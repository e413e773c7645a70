"""Store the objects, the fault switches and the call counts of the platform's object API."""

import copy
from typing import TypeAlias

from attrs import asdict, define, field, frozen

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"

MAX_VALUE_BYTES = 1_000_000
"""Largest size of one value, in bytes of its JSON text."""
MISSING_VERSION = 0
"""Version that stands for an object that does not exist."""


class PlatformError(Exception):
    """Base class of the errors of the object API."""


class OutageError(PlatformError):
    """The call was not carried out because the platform is unavailable."""


class LostReplyError(PlatformError):
    """The write took effect, but its reply is lost."""


class VersionConflictError(PlatformError):
    """The object does not have the version that a conditional update expects."""

    def __init__(self, version: int) -> None:
        """Store the current version of the object."""
        super().__init__(f"the object is at version {version}")
        self.version = version


@frozen
class StoredObject:
    """One version of one object."""

    key: str
    version: int
    value: JsonValue


@frozen
class Changes:
    """Changes under a prefix after a revision."""

    revision: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...]
    era: int = 0


@define
class Faults:
    """Fault switches."""

    outage: bool = False
    """Whether every call gets status 503."""
    drop_connections: bool = False
    """Whether the connection of every call is closed without a response."""
    delay_s: float = 0.0
    """Delay before every response, in seconds."""
    lose_replies: int = 0
    """Number of upcoming writes that take effect but get no response."""
    stale_reads: bool = False
    """Whether reads return the version before the current one."""


@define
class CallCounts:
    """Number of calls by kind; a watch counts once, however long it waits."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


@define
class _ObjectRecord:
    current: StoredObject | None = None
    previous: StoredObject | None = None
    revision: int = 0


@define
class PlatformState:
    """Versioned objects with conditional updates; every change gets a new revision."""

    revision: int = 0
    era: int = 0
    """Number of times that the objects came back from an older copy."""
    faults: Faults = field(factory=Faults)
    calls: CallCounts = field(factory=CallCounts)
    _records: dict[str, _ObjectRecord] = field(factory=dict)
    _copy: tuple[int, dict[str, _ObjectRecord]] = field(factory=lambda: (0, {}))
    """Revision and objects to come back to."""

    def make_copy(self) -> None:
        """Keep a copy of the objects to come back to."""
        self._copy = self.revision, copy.deepcopy(self._records)

    def come_back(self) -> None:
        """Continue from the copy in the next era."""
        revision, records = self._copy
        self.revision, self._records = revision, copy.deepcopy(records)
        self.era += 1

    def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        self.calls.reads += 1
        self._check_outage()
        record = self._records.get(key)
        return self._get_visible(record) if record else None

    def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return every object whose key begins with a prefix."""
        self.calls.reads += 1
        self._check_outage()
        visible = (
            self._get_visible(record)
            for key, record in sorted(self._records.items())
            if _has_prefix(key, prefix)
        )
        return tuple(stored for stored in visible if stored is not None)

    def write(self, key: str, expected: int, value: JsonValue) -> int:
        """Replace an object if it has the expected version; return the new version."""
        self._begin_write(key, expected)
        self._store_object(key, value)
        self._end_write()
        return self.revision

    def delete(self, key: str, expected: int) -> int:
        """Delete an object if it has the expected version; return the current revision."""
        self._begin_write(key, expected)
        if expected != MISSING_VERSION:
            self.revision += 1
            record = self._records[key]
            record.previous, record.current, record.revision = record.current, None, self.revision
        self._end_write()
        return self.revision

    def begin_watch(self) -> None:
        """Count one watch; raise OutageError during an outage."""
        self.calls.watches += 1
        self._check_outage()

    def find_changes(self, prefix: str, after: int) -> Changes:
        """Return what changed under a prefix after a revision."""
        changed = [
            (key, record)
            for key, record in sorted(self._records.items())
            if _has_prefix(key, prefix) and record.revision > after
        ]
        return Changes(
            self.revision,
            tuple(record.current for _, record in changed if record.current is not None),
            tuple(key for key, record in changed if record.current is None),
            self.era,
        )

    def _get_visible(self, record: _ObjectRecord) -> StoredObject | None:
        return record.previous if self.faults.stale_reads else record.current

    def _check_outage(self) -> None:
        if self.faults.outage or self.faults.drop_connections:
            raise OutageError("the platform is unavailable")

    def _begin_write(self, key: str, expected: int) -> None:
        self.calls.writes += 1
        self._check_outage()
        record = self._records.get(key)
        version = record.current.version if record and record.current else MISSING_VERSION
        if version != expected:
            raise VersionConflictError(version)

    def _store_object(self, key: str, value: JsonValue) -> None:
        self.revision += 1
        record = self._records.setdefault(key, _ObjectRecord())
        record.previous = record.current
        record.current = StoredObject(key, self.revision, value)
        record.revision = self.revision

    def _end_write(self) -> None:
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            raise LostReplyError("the write took effect, but its reply is lost")


def encode_item(item: StoredObject | Faults | CallCounts) -> dict[str, JsonValue]:
    """Return an item as a JSON object."""
    return asdict(item)


def _has_prefix(key: str, prefix: str) -> bool:
    return key.startswith(prefix)

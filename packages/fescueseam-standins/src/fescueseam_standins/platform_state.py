"""Keep the state of the platform's object API, its faults and its count of calls."""

from typing import TypeAlias

from attrs import asdict, define, field, frozen

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | dict[str, JsonValue] | None"

MAX_VALUE_BYTES = 1_000_000
"""Bound the size of one value, in bytes of its JSON text."""
MISSING_VERSION = 0
"""Stand for the version of an object that does not exist."""


class PlatformError(Exception):
    """Base the failures of the object API."""


class OutageError(PlatformError):
    """Report a call that was not carried out because the platform is away."""


class LostReplyError(PlatformError):
    """Report a write that took effect while its reply was lost."""


class VersionConflictError(PlatformError):
    """Report a conditional update that met another version."""

    def __init__(self, version: int) -> None:
        """Keep the version that the object has."""
        super().__init__(f"the object is at version {version}")
        self.version = version


@frozen
class StoredObject:
    """Hold one version of one object."""

    key: str
    version: int
    value: JsonValue


@frozen
class Changes:
    """Hold what changed under a prefix after some revision."""

    revision: int
    objects: tuple[StoredObject, ...]
    deleted: tuple[str, ...]


@define
class Faults:
    """Hold the fault switches."""

    outage: bool = False
    """Answer 503 to every call."""
    drop_connections: bool = False
    """Close the connection of every call without an answer."""
    delay_s: float = 0.0
    """Wait this long before every answer, in seconds."""
    lose_replies: int = 0
    """Carry out this many further writes without an answer."""
    stale_reads: bool = False
    """Answer reads with the version before the last."""


@define
class CallCounts:
    """Count calls by sort; a waiting watch is one call."""

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
    """Hold versioned objects behind conditional updates; every change has its own revision."""

    revision: int = 0
    faults: Faults = field(factory=Faults)
    calls: CallCounts = field(factory=CallCounts)
    _records: dict[str, _ObjectRecord] = field(factory=dict)

    def read(self, key: str) -> StoredObject | None:
        """Return an object, or nothing where it does not exist."""
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
        """Replace an object that has the expected version; return the new version."""
        self._begin_write(key, expected)
        self._store_object(key, value)
        self._end_write()
        return self.revision

    def delete(self, key: str, expected: int) -> int:
        """Delete an object that has the expected version; return the revision."""
        self._begin_write(key, expected)
        if expected != MISSING_VERSION:
            self.revision += 1
            record = self._records[key]
            record.previous, record.current, record.revision = record.current, None, self.revision
        self._end_write()
        return self.revision

    def begin_watch(self) -> None:
        """Count one watch, however long it then waits."""
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
        )

    def _get_visible(self, record: _ObjectRecord) -> StoredObject | None:
        return record.previous if self.faults.stale_reads else record.current

    def _check_outage(self) -> None:
        if self.faults.outage or self.faults.drop_connections:
            raise OutageError("the platform is away")

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
            raise LostReplyError("the write took effect")


def encode_item(item: StoredObject | Faults | CallCounts) -> dict[str, JsonValue]:
    """Return an item as a JSON object."""
    return asdict(item)


def _has_prefix(key: str, prefix: str) -> bool:
    return key.startswith(prefix)

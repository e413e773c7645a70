"""In-memory store of versioned objects, for clusters on virtual time."""

import json
from typing import Any

from attrs import define, field

from fescueseam.exceptions import StoreConflictError, StoreError
from fescueseam.upkeep.store import StoreChanges, StoredObject


@define
class InMemoryStore:
    """Store that counts its calls and fails on demand."""

    is_down: bool = False
    lose_replies: int = 0
    """Number of upcoming writes that take effect but whose reply is lost."""
    reads: int = 0
    writes: int = 0
    watches: int = 0
    revision: int = 0
    _objects: dict[str, StoredObject] = field(factory=dict)

    @property
    def calls(self) -> int:
        """Return the number of calls."""
        return self.reads + self.writes + self.watches

    def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if the store does not have it."""
        self.reads += 1
        self._require_available()
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys start with a prefix."""
        self.reads += 1
        self._require_available()
        return tuple(item for key, item in self._objects.items() if key.startswith(prefix))

    def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if its version is the expected one; return the new version."""
        self.writes += 1
        self._require_available()
        existing = self._objects.get(key)
        if (existing.version if existing is not None else 0) != expected_version:
            raise StoreConflictError(key)
        self.revision += 1
        self._objects[key] = StoredObject(key, self.revision, json.loads(json.dumps(value)))
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise StoreError("reply to the write was lost")
        return self.revision

    def find_changes(self, after_revision: int) -> StoreChanges:
        """Return the changes after a revision; a watch without changes is not counted as a call."""
        self._require_available()
        changed = tuple(item for item in self._objects.values() if item.version > after_revision)
        if changed:
            self.watches += 1
        return StoreChanges(self.revision, changed)

    def _require_available(self) -> None:
        if self.is_down:
            raise StoreError("store is down")

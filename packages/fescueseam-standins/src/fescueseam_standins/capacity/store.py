"""Hold objects with versions and watches in memory, on virtual time."""

import json
from typing import Any

from attrs import define, field

from fescueseam.exceptions import StoreConflictError, StoreError
from fescueseam.upkeep.store import StoreChanges, StoredObject


@define
class InMemoryStore:
    """Keep objects, count the calls and fail on demand."""

    is_down: bool = False
    lose_replies: int = 0
    reads: int = 0
    writes: int = 0
    watches: int = 0
    revision: int = 0
    _objects: dict[str, StoredObject] = field(factory=dict)

    @property
    def calls(self) -> int:
        """Return how many calls were made."""
        return self.reads + self.writes + self.watches

    def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""
        self.reads += 1
        self._require_available()
        return self._objects.get(key)

    def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose key starts with a prefix."""
        self.reads += 1
        self._require_available()
        return tuple(item for key, item in self._objects.items() if key.startswith(prefix))

    def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write if the version is the expected one; return the new version."""
        self.writes += 1
        self._require_available()
        existing = self._objects.get(key)
        if (existing.version if existing is not None else 0) != expected_version:
            raise StoreConflictError(key)
        self.revision += 1
        self._objects[key] = StoredObject(key, self.revision, json.loads(json.dumps(value)))
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise StoreError("the reply was lost")
        return self.revision

    def find_changes(self, after_revision: int) -> StoreChanges:
        """Return what changed after a revision; a watch that finds something counts."""
        self._require_available()
        changed = tuple(item for item in self._objects.values() if item.version > after_revision)
        if changed:
            self.watches += 1
        return StoreChanges(self.revision, changed)

    def _require_available(self) -> None:
        if self.is_down:
            raise StoreError("the store is down")

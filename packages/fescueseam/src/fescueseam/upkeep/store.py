"""Define the interface of the store, which persists configuration and tables."""

from typing import Any, Protocol

from attrs import frozen


@frozen
class StoredObject:
    """An object in the store and its version."""

    key: str
    version: int
    value: Any


@frozen
class StoreChanges:
    """The changes that a watch returned, up to a revision of one era of the store."""

    revision: int
    objects: tuple[StoredObject, ...] = ()
    deleted: tuple[str, ...] = ()
    era: int = 0
    """Number that rises each time the store comes back from an older copy."""


class Store(Protocol):
    """A versioned object store; failed calls raise StoreError."""

    async def get(self, key: str) -> StoredObject | None:
        """Return the object with the key, or None."""

    async def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose keys start with the prefix."""

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write an object if it has the expected version; return its new version.

        The expected version is 0 for an object that does not exist yet. Raise
        StoreConflictError if the object has another version.
        """

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        """Wait for changes after a revision, until the timeout at most."""

"""Define the store that holds what must last, as its callers see it."""

from typing import Any, Protocol

from attrs import frozen


@frozen
class StoredObject:
    """Hold one object of the store with its version."""

    key: str
    version: int
    value: Any


@frozen
class StoreChanges:
    """Hold what a watch saw up to a revision."""

    revision: int
    objects: tuple[StoredObject, ...] = ()
    deleted: tuple[str, ...] = ()


class Store(Protocol):
    """Read, watch and conditionally write objects; failures raise StoreError."""

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if there is none."""

    async def list_objects(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects whose key starts with a prefix."""

    async def put(self, key: str, value: Any, expected_version: int) -> int:
        """Write if the version is the expected one, 0 for no object; return the new version.

        Raise StoreConflictError if it is another one.
        """

    async def watch(self, prefix: str, after: int, timeout_s: float) -> StoreChanges:
        """Wait for changes after a revision, for a bounded time."""

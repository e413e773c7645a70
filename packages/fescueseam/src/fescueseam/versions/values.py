"""Hold versioned values, the highest version of each key winning."""

from collections.abc import Callable, Iterable, Iterator

import xxhash
from attrs import field, frozen

GROUP_COUNT = 128
"""Count the key groups that a digest summarises."""
CONFIG_GROUP_COUNT = 64
"""Count the leading groups, which hold nothing but configuration."""
CONFIG_PREFIX = "config/"
ENTRIES_LIMIT = 32768
"""Bound the live keys of a map; a new key beyond the bound is turned down and counted."""
TOMBSTONES_LIMIT = 4096
"""Bound remembered deletions; the lowest version is forgotten first."""


@frozen
class VersionedValue:
    """Hold one value of one key at one version."""

    key: str
    version: int
    value: bytes = field(repr=False)
    writer: str = ""
    deleted: bool = False


def compute_group(key: str) -> int:
    """Return the group of a key; configuration has groups of its own."""
    digest = xxhash.xxh3_64_intdigest(key.encode())
    if key.startswith(CONFIG_PREFIX):
        return digest % CONFIG_GROUP_COUNT
    return CONFIG_GROUP_COUNT + digest % (GROUP_COUNT - CONFIG_GROUP_COUNT)


def hash_value(value: VersionedValue) -> int:
    """Return the hash of a key's content, which is 0 for a deleted key.

    The version takes no part: a process that read the whole configuration at once holds
    the same content under a higher version, and nothing needs to travel for that.
    """
    if value.deleted:
        return 0
    return xxhash.xxh3_64_intdigest(value.value, xxhash.xxh3_64_intdigest(value.key.encode()))


class VersionedMap:
    """Keep the highest version of each key, whatever order they come in."""

    def __init__(
        self, entries_limit: int = ENTRIES_LIMIT, tombstones_limit: int = TOMBSTONES_LIMIT
    ) -> None:
        """Start empty with the given bounds."""
        self.turned_down = 0
        self._entries_limit = entries_limit
        self._tombstones_limit = tombstones_limit
        self._live: dict[str, VersionedValue] = {}
        self._tombstones: dict[str, VersionedValue] = {}
        self._groups: list[dict[str, VersionedValue]] = [{} for _ in range(GROUP_COUNT)]
        self._hashes = [0] * GROUP_COUNT

    def __len__(self) -> int:
        return len(self._live)

    def __iter__(self) -> Iterator[VersionedValue]:
        return iter(tuple(self._live.values()))

    def get(self, key: str) -> VersionedValue | None:
        """Return the live value of a key."""
        return self._live.get(key)

    def get_version(self, key: str) -> int:
        """Return the version of a key, deleted ones included; 0 if unknown."""
        known = self._live.get(key) or self._tombstones.get(key)
        return known.version if known else 0

    def put(self, value: VersionedValue) -> bool:
        """Take a value if it is newer than the known one; tell whether it was taken."""
        if value.version <= self.get_version(value.key):
            return False
        is_new_key = value.key not in self._live
        if is_new_key and not value.deleted and len(self._live) >= self._entries_limit:
            self.turned_down += 1
            return False
        self._remove(value.key)
        if value.deleted:
            self._tombstones[value.key] = value
            self._evict_oldest_tombstone()
        else:
            self._live[value.key] = value
        group = compute_group(value.key)
        self._groups[group][value.key] = value
        self._hashes[group] ^= hash_value(value)
        return True

    def select(self, prefix: str) -> list[VersionedValue]:
        """Return the live values whose key starts with the prefix, in order of keys."""
        found = (value for key, value in self._live.items() if key.startswith(prefix))
        return sorted(found, key=lambda value: value.key)

    def select_newer(self, prefix: str, version: int) -> list[VersionedValue]:
        """Return the values of a prefix above a version, deletions included, oldest first."""
        every: Iterable[VersionedValue] = (*self._live.values(), *self._tombstones.values())
        found = [
            value for value in every if value.version > version and value.key.startswith(prefix)
        ]
        return sorted(found, key=lambda value: (value.version, value.key))

    def list_group(self, group: int) -> list[VersionedValue]:
        """Return the values of a group, deletions included, in order of keys."""
        return sorted(self._groups[group].values(), key=lambda value: value.key)

    def get_group_hashes(self) -> tuple[int, ...]:
        """Return one content hash for each group."""
        return tuple(self._hashes)

    def forget_unwanted(self, is_wanted: Callable[[str], bool]) -> None:
        """Forget every key that is not wanted, without a deletion that would travel."""
        for key in [key for key in self._live if not is_wanted(key)]:
            self._remove(key)

    def _remove(self, key: str) -> None:
        group = compute_group(key)
        known = self._live.pop(key, None)
        if known is not None:
            self._hashes[group] ^= hash_value(known)
        self._tombstones.pop(key, None)
        self._groups[group].pop(key, None)

    def _evict_oldest_tombstone(self) -> None:
        if len(self._tombstones) <= self._tombstones_limit:
            return
        oldest = min(self._tombstones.values(), key=lambda value: (value.version, value.key))
        self._remove(oldest.key)

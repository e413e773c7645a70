"""Store versioned values; the highest version of each key wins."""

from collections.abc import Iterable, Iterator

import xxhash
from attrs import field, frozen

GROUP_COUNT = 128
"""Number of groups into which a digest divides the keys."""
CONFIG_GROUP_COUNT = 64
"""Number of leading groups, which hold only configuration."""
CONFIG_PREFIX = "config/"
ENTRIES_LIMIT = 32768
"""Largest number of live keys in a map; further keys are rejected and counted."""
TOMBSTONES_LIMIT = 4096
"""Largest number of tombstones in a map; the one with the lowest version is evicted first."""


@frozen
class VersionedValue:
    """The value of a key at one version, or its deletion."""

    key: str
    version: int
    value: bytes = field(repr=False)
    writer: str = ""
    deleted: bool = False


def compute_group(key: str) -> int:
    """Return the group of a key; configuration has separate groups."""
    digest = xxhash.xxh3_64_intdigest(key.encode())
    if key.startswith(CONFIG_PREFIX):
        return digest % CONFIG_GROUP_COUNT
    return CONFIG_GROUP_COUNT + digest % (GROUP_COUNT - CONFIG_GROUP_COUNT)


def hash_value(value: VersionedValue) -> int:
    """Return the hash of a key and its content; 0 for a deleted key.

    The version is not hashed: a process that read the whole configuration at once has the same
    content at a higher version, and nothing has to be sent to it.
    """
    if value.deleted:
        return 0
    return xxhash.xxh3_64_intdigest(value.value, xxhash.xxh3_64_intdigest(value.key.encode()))


class VersionedMap:
    """A map that keeps the highest version of each key, in whatever order versions arrive."""

    def __init__(
        self, entries_limit: int = ENTRIES_LIMIT, tombstones_limit: int = TOMBSTONES_LIMIT
    ) -> None:
        """Initialise an empty map with the given limits."""
        self.turned_down = 0
        """Values of new keys that were rejected because the limit is reached."""
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
        """Return the live value of a key, or None."""
        return self._live.get(key)

    def get_version(self, key: str) -> int:
        """Return the version of a live or deleted key; 0 if the key is unknown."""
        known = self._live.get(key) or self._tombstones.get(key)
        return known.version if known else 0

    def put(self, value: VersionedValue) -> bool:
        """Store a value if it is newer than the known one; return whether it was stored."""
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
        """Return the live values whose keys start with the prefix, sorted by key."""
        found = (value for key, value in self._live.items() if key.startswith(prefix))
        return sorted(found, key=lambda value: value.key)

    def select_newer(self, prefix: str, version: int) -> list[VersionedValue]:
        """Return values and tombstones of a prefix above a version, lowest version first."""
        all_values: Iterable[VersionedValue] = (*self._live.values(), *self._tombstones.values())
        found = [
            value
            for value in all_values
            if value.version > version and value.key.startswith(prefix)
        ]
        return sorted(found, key=lambda value: (value.version, value.key))

    def list_group(self, group: int) -> list[VersionedValue]:
        """Return the values and tombstones of a group, sorted by key."""
        return sorted(self._groups[group].values(), key=lambda value: value.key)

    def get_group_hashes(self) -> tuple[int, ...]:
        """Return the content hash of each group."""
        return tuple(self._hashes)

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

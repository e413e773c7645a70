"""Choose the keepers of a key by rendezvous hashing."""

from collections.abc import Iterable

import xxhash


def choose_keepers(key: str, members: Iterable[str], count: int) -> list[str]:
    """Return the members that rank highest for a key, in order of rank."""
    seed = xxhash.xxh3_64_intdigest(key.encode())
    ranked = sorted(
        set(members),
        key=lambda name: (xxhash.xxh3_64_intdigest(name.encode(), seed), name),
        reverse=True,
    )
    return ranked[:count]

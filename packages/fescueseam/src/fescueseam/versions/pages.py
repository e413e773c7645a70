"""Cut values into pages that fit a datagram, and put pages together again."""

from collections.abc import Iterable

from attrs import define, field

from fescueseam.messages.types import GossipValues, Value
from fescueseam.versions.values import VersionedValue

PAYLOAD_LIMIT_BYTES = 1200
"""Bound the values of one datagram, keys and fixed parts counted."""
VALUE_OVERHEAD_BYTES = 64
"""Count this much for the fixed parts of one value."""
PAGE_BYTES = 900
INCOMPLETE_VALUES_LIMIT = 64
"""Bound the values that wait for pages; the oldest is given up first."""


def pack_values(values: Iterable[VersionedValue]) -> list[GossipValues]:
    """Return messages that carry the values, each within the payload limit."""
    messages: list[GossipValues] = []
    batch: list[Value] = []
    size = 0
    for page in (page for value in values for page in _split_value(value)):
        cost = len(page.data) + len(page.key) + len(page.writer) + VALUE_OVERHEAD_BYTES
        if batch and size + cost > PAYLOAD_LIMIT_BYTES:
            messages.append(GossipValues(tuple(batch)))
            batch, size = [], 0
        batch.append(page)
        size += cost
    if batch:
        messages.append(GossipValues(tuple(batch)))
    return messages


def _split_value(value: VersionedValue) -> list[Value]:
    pages = max(1, -(-len(value.value) // PAGE_BYTES))
    return [
        Value(
            value.key,
            value.version,
            value.writer,
            value.value[page * PAGE_BYTES : (page + 1) * PAGE_BYTES],
            page,
            pages,
            value.deleted,
        )
        for page in range(pages)
    ]


@define
class _IncompleteValue:
    version: int
    pages: int
    parts: dict[int, bytes] = field(factory=dict)


class PageAssembler:
    """Collect the pages of values; a newer version of a key replaces an older one."""

    def __init__(self, limit: int = INCOMPLETE_VALUES_LIMIT) -> None:
        """Start empty with the given bound."""
        self._limit = limit
        self._incomplete: dict[str, _IncompleteValue] = {}

    def add(self, page: Value) -> VersionedValue | None:
        """Return the value once its last page is there."""
        if page.pages <= 1:
            return _build_value(page, page.data)
        known = self._incomplete.get(page.key)
        if known is not None and known.version > page.version:
            return None
        if known is None or known.version < page.version or known.pages != page.pages:
            known = _IncompleteValue(page.version, page.pages)
            self._incomplete.pop(page.key, None)
            self._incomplete[page.key] = known
            self._evict_oldest()
        known.parts[page.page] = page.data
        if any(number not in known.parts for number in range(known.pages)):
            return None
        del self._incomplete[page.key]
        return _build_value(page, b"".join(known.parts[number] for number in range(known.pages)))

    def _evict_oldest(self) -> None:
        while len(self._incomplete) > self._limit:
            del self._incomplete[next(iter(self._incomplete))]


def _build_value(page: Value, data: bytes) -> VersionedValue:
    return VersionedValue(page.key, page.version, data, page.writer, page.deleted)

"""Split values into pages that fit into a datagram, and reassemble them."""

from collections.abc import Iterable

from attrs import define, field

from fescueseam.messages.types import GossipValues, Value
from fescueseam.versions.values import VersionedValue

PAYLOAD_LIMIT_BYTES = 1200
"""Largest size of the values in one datagram, with keys, writers and overhead."""
VALUE_OVERHEAD_BYTES = 64
"""Estimated size of the fixed-size fields of one value."""
PAGE_BYTES = 900
"""Largest size of the data in one page."""
INCOMPLETE_VALUES_LIMIT = 64
"""Largest number of values with missing pages; the oldest is discarded first."""


def pack_values(values: Iterable[VersionedValue]) -> list[GossipValues]:
    """Pack the values into messages within the payload limit."""
    messages: list[GossipValues] = []
    batch: list[Value] = []
    size = 0
    for page in (page for value in values for page in _split_value(value)):
        page_size = len(page.data) + len(page.key) + len(page.writer) + VALUE_OVERHEAD_BYTES
        if batch and size + page_size > PAYLOAD_LIMIT_BYTES:
            messages.append(GossipValues(tuple(batch)))
            batch, size = [], 0
        batch.append(page)
        size += page_size
    if batch:
        messages.append(GossipValues(tuple(batch)))
    return messages


def _split_value(value: VersionedValue) -> list[Value]:
    page_count = max(1, -(-len(value.value) // PAGE_BYTES))
    return [
        Value(
            value.key,
            value.version,
            value.writer,
            value.value[page * PAGE_BYTES : (page + 1) * PAGE_BYTES],
            page,
            page_count,
            value.deleted,
        )
        for page in range(page_count)
    ]


@define
class _IncompleteValue:
    version: int
    page_count: int
    parts: dict[int, bytes] = field(factory=dict)


class PageAssembler:
    """A buffer that reassembles values; pages of a newer version replace those of an older one."""

    def __init__(self, limit: int = INCOMPLETE_VALUES_LIMIT) -> None:
        """Initialise an empty buffer for the given number of incomplete values."""
        self._limit = limit
        self._incomplete: dict[str, _IncompleteValue] = {}

    def add(self, page: Value) -> VersionedValue | None:
        """Add a page and return the value if it is complete."""
        if page.pages <= 1:
            return _build_value(page, page.data)
        known = self._incomplete.get(page.key)
        if known is not None and known.version > page.version:
            return None
        if known is None or known.version < page.version or known.page_count != page.pages:
            known = _IncompleteValue(page.version, page.pages)
            self._incomplete.pop(page.key, None)
            self._incomplete[page.key] = known
            self._evict_oldest()
        known.parts[page.page] = page.data
        if any(number not in known.parts for number in range(known.page_count)):
            return None
        del self._incomplete[page.key]
        return _build_value(
            page, b"".join(known.parts[number] for number in range(known.page_count))
        )

    def _evict_oldest(self) -> None:
        while len(self._incomplete) > self._limit:
            del self._incomplete[next(iter(self._incomplete))]


def _build_value(page: Value, data: bytes) -> VersionedValue:
    return VersionedValue(page.key, page.version, data, page.writer, page.deleted)

"""Split the configuration into versioned entries, and join entries into a configuration."""

from collections.abc import Iterable
from typing import Any

import cattrs.preconf.json
from attrs import frozen
from cattrs.errors import BaseValidationError

from fescueseam.conf.models import (
    Configuration,
    DataCentre,
    EndpointRule,
    Service,
    SiteAdmission,
)
from fescueseam.versions.values import (
    CONFIG_GROUP_COUNT,
    CONFIG_PREFIX,
    VersionedMap,
    VersionedValue,
    hash_value,
)

HEAD_KEY = "config/head"
"""Key of the entry that describes the whole configuration."""
_TYPES_BY_KIND: dict[str, type] = {
    "service": Service,
    "data-centre": DataCentre,
    "endpoint": EndpointRule,
    "site": SiteAdmission,
}
_converter = cattrs.preconf.json.make_converter(omit_if_default=True)


@frozen
class ConfigurationHead:
    """The version of a configuration and the digest of its entries."""

    version: int
    digest: int


def split_configuration(cfg: Configuration, writer: str) -> list[VersionedValue]:
    """Return the entries of a configuration, with its head last."""
    items = [
        *((f"service/{item.name}", item) for item in cfg.services),
        *((f"data-centre/{item.name}", item) for item in cfg.data_centres),
        *((f"endpoint/{item.name}", item) for item in cfg.endpoints),
        *((f"site/{item.data_centre}/{item.service}", item) for item in cfg.sites),
    ]
    entries = [
        VersionedValue(f"{CONFIG_PREFIX}{name}", cfg.version, _encode_item(item), writer)
        for name, item in items
    ]
    head = ConfigurationHead(cfg.version, _compute_digest(entries))
    encoded_head = _converter.dumps(head, ConfigurationHead).encode()
    return [*entries, VersionedValue(HEAD_KEY, cfg.version, encoded_head, writer)]


def join_configuration(entries: Iterable[VersionedValue]) -> Configuration | None:
    """Return the configuration that the entries form, or None if they are incomplete."""
    entries_by_key = {entry.key: entry for entry in entries if not entry.deleted}
    head_entry = entries_by_key.pop(HEAD_KEY, None)
    if head_entry is None:
        return None
    head: ConfigurationHead = _converter.loads(head_entry.value, ConfigurationHead)
    if _compute_digest(entries_by_key.values()) != head.digest:
        return None
    return _build_configuration(
        head.version, {key: _decode_item(entry) for key, entry in entries_by_key.items()}
    )


def apply_configuration(
    values: VersionedMap, cfg: Configuration, writer: str
) -> list[VersionedValue]:
    """Store a whole configuration in the map and return the entries that changed.

    An entry with unchanged content keeps its version. A configuration older than the stored
    head is ignored.
    """
    if cfg.version < values.get_version(HEAD_KEY):
        return []
    entries = split_configuration(cfg, writer)
    new_keys = {entry.key for entry in entries}
    removed = [
        VersionedValue(known.key, cfg.version, b"", writer, deleted=True)
        for known in values.select(CONFIG_PREFIX)
        if known.key not in new_keys
    ]
    changed = [entry for entry in (*removed, *entries) if _is_changed(values, entry)]
    return [entry for entry in changed if values.put(entry)]


class ConfigurationView:
    """The latest complete configuration of a map, decoded incrementally."""

    def __init__(self, values: VersionedMap) -> None:
        """Initialise the view with an empty configuration."""
        self.in_force = Configuration()
        self.decode_failures = 0
        """Failed attempts to decode a version; the previous configuration stays in force."""
        self._values = values
        self._decoded: dict[str, tuple[bytes, Any]] = {}

    def refresh(self) -> bool:
        """Switch to the head's version if all its entries are present; return whether it did."""
        try:
            return self._refresh()
        except (BaseValidationError, ValueError, TypeError, LookupError):
            self.decode_failures += 1
            return False

    def _refresh(self) -> bool:
        if self._values.get_version(HEAD_KEY) <= self.in_force.version:
            return False
        head_entry = self._values.get(HEAD_KEY)
        if head_entry is None:
            return False
        head: ConfigurationHead = _converter.loads(head_entry.value, ConfigurationHead)
        if self._compute_map_digest(head_entry) != head.digest:
            return False
        entries = [entry for entry in self._values.select(CONFIG_PREFIX) if entry.key != HEAD_KEY]
        self._decoded = {entry.key: (entry.value, self._decode(entry)) for entry in entries}
        items = {key: item for key, (_, item) in self._decoded.items()}
        self.in_force = _build_configuration(head.version, items)
        return True

    def _decode(self, entry: VersionedValue) -> Any:
        known = self._decoded.get(entry.key)
        if known is not None and known[0] == entry.value:
            return known[1]
        return _decode_item(entry)

    def _compute_map_digest(self, head_entry: VersionedValue) -> int:
        digest = hash_value(head_entry)
        for group in self._values.get_group_hashes()[:CONFIG_GROUP_COUNT]:
            digest ^= group
        return digest


def _build_configuration(version: int, items: dict[str, Any]) -> Configuration:
    items_by_kind: dict[str, list[Any]] = {kind: [] for kind in _TYPES_BY_KIND}
    for key in sorted(items):
        items_by_kind[_get_kind(key)].append(items[key])
    return Configuration(
        version=version,
        services=tuple(items_by_kind["service"]),
        data_centres=tuple(items_by_kind["data-centre"]),
        endpoints=tuple(items_by_kind["endpoint"]),
        sites=tuple(items_by_kind["site"]),
    )


def _is_changed(values: VersionedMap, entry: VersionedValue) -> bool:
    known = values.get(entry.key)
    return known is None or known.value != entry.value or entry.deleted


def _compute_digest(entries: Iterable[VersionedValue]) -> int:
    # XOR lets a map update the digest incrementally, in any order of entries.
    digest = 0
    for entry in entries:
        digest ^= hash_value(entry)
    return digest


def _get_kind(key: str) -> str:
    return key.removeprefix(CONFIG_PREFIX).partition("/")[0]


def _decode_item(entry: VersionedValue) -> Any:
    return _converter.loads(entry.value, _TYPES_BY_KIND[_get_kind(entry.key)])


def _encode_item(item: Any) -> bytes:
    return _converter.dumps(item, type(item), sort_keys=True).encode()

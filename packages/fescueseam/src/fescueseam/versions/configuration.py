"""Split the configuration into small versioned entries and join them again."""

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
_TYPES_BY_KIND: dict[str, type] = {
    "service": Service,
    "data-centre": DataCentre,
    "endpoint": EndpointRule,
    "site": SiteAdmission,
}
_converter = cattrs.preconf.json.make_converter(omit_if_default=True)


@frozen
class ConfigurationHead:
    """Name a version and the digest of the entries that make it up."""

    version: int
    digest: int


def split_configuration(cfg: Configuration, writer: str) -> list[VersionedValue]:
    """Return the entries of a configuration, its head last."""
    named = [
        *((f"service/{item.name}", item) for item in cfg.services),
        *((f"data-centre/{item.name}", item) for item in cfg.data_centres),
        *((f"endpoint/{item.name}", item) for item in cfg.endpoints),
        *((f"site/{item.data_centre}/{item.service}", item) for item in cfg.sites),
    ]
    entries = [
        VersionedValue(f"{CONFIG_PREFIX}{name}", cfg.version, _encode_item(item), writer)
        for name, item in named
    ]
    head = ConfigurationHead(cfg.version, _compute_digest(entries))
    dumped = _converter.dumps(head, ConfigurationHead).encode()
    return [*entries, VersionedValue(HEAD_KEY, cfg.version, dumped, writer)]


def join_configuration(entries: Iterable[VersionedValue]) -> Configuration | None:
    """Return the configuration that the entries make up, or None while one is missing."""
    found = {entry.key: entry for entry in entries if not entry.deleted}
    head_entry = found.pop(HEAD_KEY, None)
    if head_entry is None:
        return None
    head: ConfigurationHead = _converter.loads(head_entry.value, ConfigurationHead)
    if _compute_digest(found.values()) != head.digest:
        return None
    return _build_configuration(
        head.version, {key: _decode_item(entry) for key, entry in found.items()}
    )


def apply_configuration(
    values: VersionedMap, cfg: Configuration, writer: str
) -> list[VersionedValue]:
    """Put a whole configuration into the map and return only the entries that changed.

    An entry with the same content keeps the version under which it last changed. An older
    configuration than the head's changes nothing.
    """
    if cfg.version < values.get_version(HEAD_KEY):
        return []
    entries = split_configuration(cfg, writer)
    wanted = {entry.key for entry in entries}
    removed = [
        VersionedValue(known.key, cfg.version, b"", writer, deleted=True)
        for known in values.select(CONFIG_PREFIX)
        if known.key not in wanted
    ]
    changed = [entry for entry in (*removed, *entries) if _is_changed(values, entry)]
    return [entry for entry in changed if values.put(entry)]


class ConfigurationView:
    """Keep the last complete configuration of a map and decode only what changed."""

    def __init__(self, values: VersionedMap) -> None:
        """Start with nothing in force."""
        self.in_force = Configuration()
        self.decode_failures = 0
        """Count versions that could not be read; the former one stays in force."""
        self._values = values
        self._decoded: dict[str, tuple[bytes, Any]] = {}

    def refresh(self) -> bool:
        """Put the head's version in force once all its entries are there; tell whether."""
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
    kinds: dict[str, list[Any]] = {kind: [] for kind in _TYPES_BY_KIND}
    for key in sorted(items):
        kinds[_get_kind(key)].append(items[key])
    return Configuration(
        version=version,
        services=tuple(kinds["service"]),
        data_centres=tuple(kinds["data-centre"]),
        endpoints=tuple(kinds["endpoint"]),
        sites=tuple(kinds["site"]),
    )


def _is_changed(values: VersionedMap, entry: VersionedValue) -> bool:
    known = values.get(entry.key)
    return known is None or known.value != entry.value or entry.deleted


def _compute_digest(entries: Iterable[VersionedValue]) -> int:
    # Exclusive or, so that a map can keep the digest current entry by entry.
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

"""Compare two configurations."""

from enum import StrEnum

from attrs import frozen

from fescueseam.conf.documents import JsonObject, JsonValue, iterate_leaves
from fescueseam.conf.loading import encode_configuration
from fescueseam.conf.models import Configuration

NAME_SUFFIX = ".name"


class DifferenceKind(StrEnum):
    """Kind of change of a value or of a named item."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@frozen
class Difference:
    """One value, or one whole named item, that differs between two configurations."""

    kind: DifferenceKind
    path: str
    before: JsonValue = None
    after: JsonValue = None

    def __str__(self) -> str:
        if self.kind is DifferenceKind.CHANGED:
            return f"{self.path}: {render_value(self.before)} -> {render_value(self.after)}"
        value = self.before if self.kind is DifferenceKind.REMOVED else self.after
        value_text = "" if value is None else f" ({render_value(value)})"
        return f"{self.path} {self.kind}{value_text}"


def render_value(value: JsonValue) -> str:
    """Return a single value as text for operators."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "nothing" if value in (None, [], {}) else str(value)


def find_differences(before: Configuration, after: Configuration) -> tuple[Difference, ...]:
    """Return the differences between two configurations, except for their versions."""
    old = dict(iterate_leaves(_build_comparable(before)))
    new = dict(iterate_leaves(_build_comparable(after)))
    added = _find_items_only_in(new, old)
    removed = _find_items_only_in(old, new)
    item_prefixes = tuple(f"{path}." for path in (*added, *removed))
    differences = [
        Difference(DifferenceKind.ADDED, path, after=new[path + SUMMARY_SUFFIX]) for path in added
    ]
    differences += [
        Difference(DifferenceKind.REMOVED, path, before=old[path + SUMMARY_SUFFIX])
        for path in removed
    ]
    for path in sorted(old.keys() | new.keys()):
        if (
            old.get(path) == new.get(path)
            or path.startswith(item_prefixes)
            or path.endswith(SUMMARY_SUFFIX)
        ):
            continue
        # An empty list is a leaf, but a list with items is not: its items are reported instead.
        if old.get(path) in (None, []) and new.get(path) in (None, []):
            continue
        differences.append(Difference(DifferenceKind.CHANGED, path, old.get(path), new.get(path)))
    return tuple(sorted(differences, key=lambda difference: difference.path))


def find_common_paths(
    first: tuple[Difference, ...], second: tuple[Difference, ...]
) -> tuple[str, ...]:
    """Return the paths that both changes touch; if one contains the other, the inner one."""
    common = {
        max(one.path, other.path, key=len)
        for one in first
        for other in second
        if _is_same_or_inside(one.path, other.path) or _is_same_or_inside(other.path, one.path)
    }
    return tuple(sorted(common))


SUMMARY_SUFFIX = ".(summary)"
"""Suffix of the path of an item's one-line summary."""


def _build_comparable(cfg: Configuration) -> JsonObject:
    encoded = encode_configuration(cfg)
    del encoded["version"]
    for items in encoded.values():
        assert isinstance(items, list)
        for item in items:
            assert isinstance(item, dict)
            _add_name_and_summary(item)
    return encoded


def _add_name_and_summary(item: JsonObject) -> None:
    if "name" not in item:
        item["name"] = f"{item.pop('data_centre')}/{item.pop('service')}"
    classes = item.get("classes")
    if isinstance(classes, list):
        for service_class in classes:
            assert isinstance(service_class, dict)
            _add_name_and_summary(service_class)
    item[SUMMARY_SUFFIX[1:]] = _summarise(item)


def _summarise(item: JsonObject) -> str | None:
    for key in ("address", "port", "state", "drain"):
        if key in item:
            return f"{key} {render_value(item[key])}"
    return None


def _find_items_only_in(
    leaves: dict[str, JsonValue], other_leaves: dict[str, JsonValue]
) -> tuple[str, ...]:
    items = {
        path.removesuffix(NAME_SUFFIX)
        for path in leaves
        if path.endswith(NAME_SUFFIX) and path not in other_leaves
    }
    return tuple(item for item in sorted(items) if not _is_inside_another(item, items))


def _is_inside_another(item: str, items: set[str]) -> bool:
    return any(item.startswith(f"{outer}.") for outer in items)


def _is_same_or_inside(outer: str, inner: str) -> bool:
    return inner == outer or inner.startswith((f"{outer}.", f"{outer}["))

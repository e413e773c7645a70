"""Parse JSON settings files, merge overlays and record which file each value came from."""

import json
from collections.abc import Iterator, Sequence
from typing import TypeAlias

from attrs import define, field, frozen

from fescueseam.checks.faults import Fault, FaultId

JsonValue: TypeAlias = "bool | int | float | str | list[JsonValue] | JsonObject | None"
JsonObject: TypeAlias = "dict[str, JsonValue]"

NAME_KEY = "name"
"""Key that identifies an item of a list, so that an overlay can change the item."""
REMOVE_KEY = "remove"
"""Key that an overlay sets to true to remove a named item."""
SCHEMA_KEY = "$schema"
"""Key by which editors find the JSON Schema; it is ignored here."""


@frozen
class SettingsFile:
    """Name and content of one settings file."""

    name: str
    text: str | bytes


@define
class Document:
    """Merged settings, with the file that each value came from and the faults found so far."""

    value: JsonObject = field(factory=dict)
    origins: dict[str, str] = field(factory=dict)
    faults: list[Fault] = field(factory=list)

    def find_source_file(self, path: str) -> str:
        """Return the file that set the value at a path or, if none did, its nearest parent."""
        while path and path not in self.origins:
            path = path[: max(path.rfind("."), path.rfind("["), 0)]
        return self.origins.get(path, "")


def load_document(files: Sequence[SettingsFile]) -> Document:
    """Merge files in order, the base first."""
    document = Document()
    for file in files:
        overlay = parse_file(file, document.faults)
        document.origins.setdefault("", file.name)
        _merge_object(document, document.value, overlay, "", file.name)
    return document


def parse_file(file: SettingsFile, faults: list[Fault]) -> JsonObject:
    """Parse one file and add its faults to the list; return as much of it as can be used.

    Of a repeated key, the last value is used. An unusable file yields an empty object.
    """

    def add_fault(message: str, hint: str = "") -> None:
        faults.append(Fault(FaultId.BAD_JSON, "", message, hint, file.name))

    def collect_pairs(pairs: list[tuple[str, JsonValue]]) -> JsonObject:
        value = dict(pairs)
        for key in sorted(key for key in value if sum(key == name for name, _ in pairs) > 1):
            add_fault(f"the key {key!r} is used twice in one object", "keep one of them")
        return value

    def reject_constant(name: str) -> JsonValue:
        raise ValueError(f"{name} is not valid in JSON")

    try:
        text = file.text.decode() if isinstance(file.text, bytes) else file.text
        value = json.loads(text, object_pairs_hook=collect_pairs, parse_constant=reject_constant)
    except json.JSONDecodeError as exc:
        add_fault(f"line {exc.lineno}, column {exc.colno}: {exc.msg}")
    except UnicodeDecodeError as exc:
        add_fault(f"byte {exc.start} is not UTF-8")
    except RecursionError:
        add_fault("the file is nested too deeply")
    except ValueError as exc:
        add_fault(str(exc))
    else:
        if isinstance(value, dict):
            value.pop(SCHEMA_KEY, None)
            return value
        add_fault("the file does not contain a JSON object", "write { ... }")
    return {}


def is_named_list(value: JsonValue) -> bool:
    """Return whether a value is a list whose elements all have names."""
    return isinstance(value, list) and all(
        isinstance(item, dict) and isinstance(item.get(NAME_KEY), str) for item in value
    )


def join_key(path: str, key: str) -> str:
    """Return the path of a key in the object at a path."""
    return f"{path}.{key}" if path else key


def iterate_leaves(value: JsonValue, path: str = "") -> Iterator[tuple[str, JsonValue]]:
    """Yield the path and value of every leaf."""
    if isinstance(value, dict) and value:
        for key, item in value.items():
            yield from iterate_leaves(item, join_key(path, key))
    elif isinstance(value, list) and value and isinstance(value[0], dict):
        for index, item in enumerate(value):
            name = item.get(NAME_KEY, index) if isinstance(item, dict) else index
            yield from iterate_leaves(item, f"{path}[{name}]")
    else:
        yield path, value


def _merge_object(
    document: Document, base: JsonObject, overlay: JsonObject, path: str, file: str
) -> None:
    for key, value in overlay.items():
        _merge_key(document, base, key, value, join_key(path, key), file)


def _merge_key(
    document: Document, base: JsonObject, key: str, value: JsonValue, path: str, file: str
) -> None:
    current = base.get(key)
    if value is None:
        base.pop(key, None)
        _delete_origins(document, path)
    elif isinstance(value, dict):
        if not isinstance(current, dict):
            current = base[key] = {}
            _delete_origins(document, path)
        document.origins.setdefault(path, file)
        _merge_object(document, current, value, path, file)
    elif isinstance(value, list) and value and is_named_list(value):
        if not isinstance(current, list) or not is_named_list(current):
            current = base[key] = []
            _delete_origins(document, path)
        document.origins.setdefault(path, file)
        _merge_named_list(document, current, value, path, file)
    elif key not in base or value != current or type(value) is not type(current):
        base[key] = value
        _delete_origins(document, path)
        document.origins[path] = file


def _merge_named_list(
    document: Document, base: list[JsonValue], overlay: list[JsonValue], path: str, file: str
) -> None:
    by_name = {str(item[NAME_KEY]): item for item in base if isinstance(item, dict)}
    seen_names: set[str] = set()
    for item in overlay:
        assert isinstance(item, dict)
        name = str(item[NAME_KEY])
        item_path = f"{path}[{name}]"
        if name in seen_names:
            message = f"the name {name!r} is used twice in one list"
            document.faults.append(Fault(FaultId.DUPLICATE_NAME, item_path, message, "", file))
            continue
        seen_names.add(name)
        if item.get(REMOVE_KEY) is True:
            _remove_named_item(document, base, by_name, item_path, name, file)
            continue
        if name not in by_name:
            by_name[name] = {}
            base.append(by_name[name])
        document.origins.setdefault(item_path, file)
        _merge_object(document, by_name[name], item, item_path, file)


def _remove_named_item(
    document: Document,
    base: list[JsonValue],
    by_name: dict[str, JsonObject],
    path: str,
    name: str,
    file: str,
) -> None:
    removed = by_name.pop(name, None)
    if removed is None:
        message = f"there is no item {name!r} to remove"
        document.faults.append(Fault(FaultId.NOTHING_TO_REMOVE, path, message, "", file))
        return
    base[:] = [item for item in base if item is not removed]
    _delete_origins(document, path)


def _delete_origins(document: Document, path: str) -> None:
    for origin_path in list(document.origins):
        if origin_path == path or origin_path.startswith((f"{path}.", f"{path}[")):
            del document.origins[origin_path]

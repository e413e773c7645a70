"""Convert JSON values to the attrs classes of the settings and back."""

import difflib
import types
from collections.abc import Callable
from enum import StrEnum
from functools import cache
from typing import Any, TypeVar, Union, get_args, get_origin

import attrs
import cattrs
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
)

from fescueseam.checks.faults import Fault, FaultId
from fescueseam.conf.documents import NAME_KEY, Document, JsonObject, JsonValue, join_key

Settings = TypeVar("Settings")
PathStep = str | int

MAX_STRUCTURE_ATTEMPTS = 3
"""Largest number of attempts to convert a document; faulty values are replaced after each."""

PRIMITIVES: dict[type, tuple[str, tuple[type, ...]]] = {
    bool: ("true or false", (bool,)),
    int: ("a whole number", (int,)),
    float: ("a number", (int, float)),
    str: ("a string", (str,)),
}
"""Description of each plain type in error messages, with the JSON types that it accepts."""

SECRET_KEY = "secret"
"""Key whose value must never be shown."""

PLACEHOLDER_STRING = "unnamed"
"""Replacement for a missing or faulty string."""


def make_converter(*, strict: bool) -> cattrs.Converter:
    """Return a converter that rejects values of a wrong JSON type and, if strict, unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=strict)
    for kind, (type_text, json_types) in PRIMITIVES.items():
        converter.register_structure_hook(kind, _make_type_hook(type_text, *json_types))
    converter.register_structure_hook(StrEnum, _structure_enum)
    converter.register_structure_hook_factory(_is_tuple, _make_tuple_hook_factory(converter))
    converter.register_structure_hook_factory(attrs.has, _make_class_hook_factory(converter))
    return converter


@cache
def _get_strict_converter() -> cattrs.Converter:
    return make_converter(strict=True)


def structure_document(document: Document, settings_type: type[Settings]) -> Settings | None:
    """Convert a document to a settings class and add the faults that are found to the document.

    Faulty values are replaced by placeholders or defaults. Return None if faults still remain
    after the last attempt.
    """
    converter = _get_strict_converter()
    value = _copy_document(document.value)
    for _ in range(MAX_STRUCTURE_ATTEMPTS):
        try:
            return converter.structure(value, settings_type)
        except ClassValidationError as exc:
            for fault, steps, replacement in _collect_faults(exc, value, (), settings_type):
                file = document.find_source_file(fault.path)
                document.faults.append(attrs.evolve(fault, file=file))
                _replace_value(value, steps, replacement)
    return None


class _Removed:
    """Marker in place of a value that is to be removed."""


_FaultRepair = tuple[Fault, tuple[PathStep, ...], Any]
"""A fault, the path of the faulty value and the replacement for that value."""


def _make_type_hook(type_text: str, *json_types: type) -> Callable[[Any, Any], Any]:
    def structure(value: Any, _: Any) -> Any:
        if isinstance(value, bool) and bool not in json_types:
            raise TypeError(f"{value!r} is not {type_text}")
        if not isinstance(value, json_types):
            raise TypeError(f"{value!r} is not {type_text}")
        result: Any = value
        return float(result) if float in json_types else result

    return structure


def _is_enum(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, StrEnum)


def _structure_enum(value: Any, kind: type[StrEnum]) -> StrEnum:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return kind(value)


def _is_tuple(kind: Any) -> bool:
    return get_origin(kind) is tuple


def _make_tuple_hook_factory(converter: cattrs.Converter) -> Callable[[Any], Any]:
    def make_hook(kind: Any) -> Callable[[Any, Any], Any]:
        structure_list = converter.get_structure_hook(list[get_args(kind)[0]])  # type: ignore[misc]

        def structure(value: Any, _: Any) -> Any:
            if not isinstance(value, list):
                raise TypeError(f"{value!r} is not a list")
            return tuple(structure_list(value, list))

        return structure

    return make_hook


def _make_class_hook_factory(converter: cattrs.Converter) -> Callable[[Any], Any]:
    def make_hook(kind: Any) -> Callable[[Any, Any], Any]:
        structure_object = cattrs.gen.make_dict_structure_fn(
            kind, converter, _cattrs_forbid_extra_keys=converter.forbid_extra_keys
        )

        def structure(value: Any, _: Any) -> Any:
            if not isinstance(value, dict):
                raise TypeError(f"{value!r} is not an object")
            return structure_object(value, kind)

        return structure

    return make_hook


def _collect_faults(
    exc: BaseException, root: JsonValue, steps: tuple[PathStep, ...], kind: Any
) -> list[_FaultRepair]:
    if isinstance(exc, ClassValidationError):
        return _collect_class_faults(exc, root, steps)
    if isinstance(exc, IterableValidationError):
        repairs: list[_FaultRepair] = []
        for inner, note in exc.group_exceptions()[0]:
            repairs += _collect_faults(inner, root, (*steps, note.index), note.type)
        return repairs
    path = render_path(root, steps)
    if isinstance(exc, KeyError):
        fault = Fault(FaultId.MISSING_KEY, path, "the setting is required")
    elif _is_enum(kind) and isinstance(exc, ValueError):
        choices = [str(choice) for choice in kind]
        value_text = repr(_get_value(root, steps))
        fault = Fault(
            FaultId.UNKNOWN_CHOICE,
            path,
            f"{value_text} is not a choice",
            "one of " + ", ".join(choices),
        )
    else:
        message = "the value has the wrong type" if SECRET_KEY in steps else str(exc)
        fault = Fault(FaultId.WRONG_TYPE, path, message)
    return [(fault, steps, _make_placeholder(kind))]


def _collect_class_faults(
    exc: ClassValidationError, root: JsonValue, steps: tuple[PathStep, ...]
) -> list[_FaultRepair]:
    repairs: list[_FaultRepair] = []
    known, unknown = exc.group_exceptions()
    for inner, note in known:
        field = attrs.fields_dict(attrs.resolve_types(exc.cl))[note.name]
        inner_repairs = _collect_faults(inner, root, (*steps, note.name), note.type)
        if field.default is not attrs.NOTHING:
            inner_repairs = [
                (fault, fault_steps, _Removed if fault_steps == (*steps, note.name) else value)
                for fault, fault_steps, value in inner_repairs
            ]
        repairs += inner_repairs
    for error in unknown:
        if isinstance(error, ForbiddenExtraKeysError):
            names = [field.name for field in attrs.fields(exc.cl)]
            for key in sorted(error.extra_fields):
                path = join_key(render_path(root, steps), key)
                hint = suggest_name(key, names)
                fault = Fault(FaultId.UNKNOWN_KEY, path, f"there is no setting {key!r}", hint)
                repairs.append((fault, (*steps, key), _Removed))
    return repairs


def suggest_name(name: str, known_names: list[str]) -> str:
    """Return a hint that names the closest known name, or all of them."""
    closest = difflib.get_close_matches(name, known_names, n=1, cutoff=0.5)
    return (
        f"did you mean {closest[0]!r}?" if closest else "one of " + ", ".join(sorted(known_names))
    )


def render_path(root: JsonValue, steps: tuple[PathStep, ...]) -> str:
    """Return the path of a value, with names instead of indices where items have names."""
    path = ""
    value = root
    for step in steps:
        value = _get_child(value, step)
        if isinstance(step, str):
            path = join_key(path, step)
            continue
        name = value.get(NAME_KEY) if isinstance(value, dict) else None
        path = f"{path}[{name if isinstance(name, str) and name else step}]"
    return path


def _get_child(value: JsonValue, step: PathStep) -> JsonValue:
    if isinstance(value, dict) and isinstance(step, str):
        return value.get(step)
    if isinstance(value, list) and isinstance(step, int) and step < len(value):
        return value[step]
    return None


def _get_value(value: JsonValue, steps: tuple[PathStep, ...]) -> JsonValue:
    for step in steps:
        value = _get_child(value, step)
    return value


def _replace_value(root: JsonValue, steps: tuple[PathStep, ...], replacement: Any) -> None:
    if not steps:
        return
    parent = _get_value(root, steps[:-1])
    last = steps[-1]
    if isinstance(parent, dict) and isinstance(last, str):
        if replacement is _Removed:
            parent.pop(last, None)
        else:
            parent[last] = replacement
    elif isinstance(parent, list) and isinstance(last, int):
        parent[last] = None if replacement is _Removed else replacement


def _make_placeholder(kind: Any) -> Any:
    """Return a value of the type, so that the checks of other settings can still run."""
    if get_origin(kind) in (Union, types.UnionType):
        return None
    if _is_enum(kind):
        return str(next(iter(kind)))
    if _is_tuple(kind):
        return []
    if attrs.has(kind):
        fields = attrs.fields(attrs.resolve_types(kind))
        required = [field for field in fields if field.default is attrs.NOTHING]
        return {field.name: _make_placeholder(field.type) for field in required}
    if kind is str:
        return PLACEHOLDER_STRING
    return kind() if kind in PRIMITIVES else _Removed


def _copy_document(value: JsonObject) -> JsonObject:
    def copy(item: JsonValue) -> JsonValue:
        if isinstance(item, dict):
            return {key: copy(inner) for key, inner in item.items()}
        return [copy(inner) for inner in item] if isinstance(item, list) else item

    return {key: copy(item) for key, item in value.items()}

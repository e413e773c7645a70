"""Generate the JSON Schemas of the settings from their attrs classes."""

import json
from enum import StrEnum
from typing import Any, get_args, get_origin

import attrs

from fescueseam.conf.documents import SCHEMA_KEY, JsonObject, JsonValue
from fescueseam.conf.loading import COMPUTED_KEYS
from fescueseam.conf.models import Configuration, ProcessSettings

DIALECT = "https://json-schema.org/draft/2020-12/schema"
PRIMITIVES = {bool: "boolean", int: "integer", float: "number", str: "string"}


def generate_schema(settings_type: type, title: str) -> JsonObject:
    """Return the JSON Schema of one settings class.

    Overlays do not match it, because they leave out required keys.
    """
    definitions: dict[str, JsonValue] = {}
    root = _describe_class(settings_type, definitions)
    properties = root["properties"]
    assert isinstance(properties, dict)
    for key in COMPUTED_KEYS:
        properties.pop(key, None)
    properties[SCHEMA_KEY] = {"type": "string"}
    return {"$schema": DIALECT, "title": title, **root, "$defs": definitions}


def render_configuration_schema() -> str:
    """Return the schema of the operators' base file as JSON text."""
    return _render(generate_schema(Configuration, "fescueseam configuration"))


def render_process_schema() -> str:
    """Return the schema of a process's merged settings as JSON text."""
    return _render(generate_schema(ProcessSettings, "fescueseam process settings"))


def _render(schema: JsonObject) -> str:
    return json.dumps(schema, indent=2, sort_keys=True) + "\n"


def _describe_class(settings_type: type, definitions: dict[str, JsonValue]) -> JsonObject:
    fields = attrs.fields(attrs.resolve_types(settings_type))
    properties: dict[str, JsonValue] = {}
    for field in fields:
        properties[field.name] = _describe_type(field.type, definitions)
    required: list[JsonValue] = [field.name for field in fields if field.default is attrs.NOTHING]
    summary = (settings_type.__doc__ or "").strip().splitlines()[0]
    described: JsonObject = {
        "type": "object",
        "description": summary,
        "properties": properties,
        "additionalProperties": False,
    }
    if required:
        described["required"] = required
    return described


def _describe_type(kind: Any, definitions: dict[str, JsonValue]) -> JsonObject:
    if kind in PRIMITIVES:
        return {"type": PRIMITIVES[kind]}
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return {"enum": [str(choice) for choice in kind]}
    if get_origin(kind) is tuple:
        return {"type": "array", "items": _describe_type(get_args(kind)[0], definitions)}
    if attrs.has(kind):
        if kind.__name__ not in definitions:
            definitions[kind.__name__] = {}
            definitions[kind.__name__] = _describe_class(kind, definitions)
        return {"$ref": f"#/$defs/{kind.__name__}"}
    choices = [choice for choice in get_args(kind) if choice is not type(None)]
    described: list[JsonValue] = [_describe_type(choice, definitions) for choice in choices]
    return {"anyOf": [*described, {"type": "null"}]}

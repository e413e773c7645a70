"""Decoding of JSON of which some parts cannot be read.

A list of a store holds entries of many writers. One that is nested too deeply, or has a number with
too many digits, must not hide the others.
"""

import json
import re
from collections.abc import Iterator
from typing import Any

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)
_MEMBER = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:(.*)', re.DOTALL)
_UNREADABLE = object()


def decode_readable(data: bytes, levels: int) -> tuple[Any, int]:
    """Return a JSON value without its unreadable parts, and their number.

    Only arrays and objects in the first `levels` levels lose parts; what is below them is left out
    whole. Raise ValueError if nothing can be read.
    """
    unreadable: list[bytes] = []
    value = _decode(data.strip(), levels, unreadable)
    if value is _UNREADABLE:
        raise ValueError("the data are not JSON, or are nested too deeply")
    return value, len(unreadable)


def _decode(data: bytes, levels: int, unreadable: list[bytes]) -> Any:
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        is_opened = levels > 0 and (data[:1], data[-1:]) in ((b"[", b"]"), (b"{", b"}"))
    if not is_opened:
        unreadable.append(data)
        return _UNREADABLE
    if data[:1] == b"[":
        items = [_decode(item.strip(), levels - 1, unreadable) for item in _split(data)]
        return [item for item in items if item is not _UNREADABLE]
    members: dict[str, Any] = {}
    for item in _split(data):
        match = _MEMBER.fullmatch(item)
        name = _UNREADABLE if match is None else _decode(match[1], 0, unreadable)
        if match is None or not isinstance(name, str):
            unreadable.append(item)
            continue
        value = _decode(match[2].strip(), levels - 1, unreadable)
        if value is not _UNREADABLE:
            members[name] = value
    return members


def _split(data: bytes) -> Iterator[bytes]:
    """Yield the texts of the elements of an array, or of the members of an object."""
    depth, start = 0, 1
    for token in _TOKEN.finditer(data):
        kind = token[0][:1]
        if kind in b"[{":
            depth += len(token[0])
        elif kind in b"]}":
            depth -= len(token[0])
        elif kind == b"," and depth == 1:
            yield data[start : token.start()]
            start = token.end()
    last = data[start:-1]
    if last.strip():
        yield last

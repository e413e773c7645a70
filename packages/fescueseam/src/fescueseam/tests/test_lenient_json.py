"""JSON of which some parts cannot be read."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueseam.lenient_json import decode_readable

DEEP = b"[" * 100_000 + b"]" * 100_000
UNREADABLE_PARTS = [
    DEEP,
    b'{"x":' * 50_000 + b"1" + b"}" * 50_000,
    b"9" * 5000,
    b'"\xff\xfe"',
    b"nothing",
    b'{"x":[' + DEEP + b"]}",
]
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=20,
)


@given(JSON)
def test_readable_data_are_decoded_whole(value: Any) -> None:
    assert decode_readable(json.dumps(value).encode(), 3) == (value, 0)


@pytest.mark.parametrize("part", UNREADABLE_PARTS)
def test_unreadable_entry_does_not_hide_the_others(part: bytes) -> None:
    data = b'{"items": [{"name": "a, ]"}, {"name": "b", "spec": %b}, %b, 3], "rev": 7}'
    value, dropped = decode_readable(data % (part, part), 3)
    names = [item["name"] for item in value["items"] if isinstance(item, dict) and "name" in item]
    assert names == ["a, ]", "b"]
    assert value["rev"] == 7
    assert value["items"][-1] == 3
    assert dropped >= 2


@given(st.lists(JSON, min_size=1, max_size=5), st.data())
def test_entries_around_an_unreadable_one_are_kept(values: list[Any], data: Any) -> None:
    place = data.draw(st.integers(0, len(values)))
    parts = [json.dumps(item).encode() for item in values]
    text = b"[" + b" , ".join([*parts[:place], b"9" * 5000, *parts[place:]]) + b"]"
    assert decode_readable(text, 1) == (values, 1)


@pytest.mark.parametrize("data", [b"", b"[", b"]", b"nothing", b"9" * 5000, b'"x', b"}{"])
def test_data_without_a_readable_part_raise_value_error(data: bytes) -> None:
    with pytest.raises(ValueError, match="not JSON"):
        decode_readable(data, 4)


@given(st.binary(max_size=200))
def test_random_data_raise_only_value_error(data: bytes) -> None:
    try:
        decode_readable(data, 4)
    except ValueError:
        return


def test_part_below_the_opened_levels_is_left_out_whole() -> None:
    data = b'{"items": [{"name": "a", "spec": {"routes": [1, %b]}}]}' % DEEP
    assert decode_readable(data, 3) == ({"items": [{"name": "a"}]}, 1)

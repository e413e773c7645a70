import json
import os

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from fescueseam.checks.faults import has_errors
from fescueseam.conf.accepted import decode_accepted
from fescueseam.conf.documents import SettingsFile
from fescueseam.conf.loading import (
    decode_configuration,
    inspect_configuration,
    load_process_settings,
)
from fescueseam.exceptions import SettingsError

SEED = int(os.environ.get("SEED", "1"))
KEYS = (
    "services",
    "classes",
    "name",
    "address",
    "port",
    "admission",
    "slots",
    "data_centres",
    "state",
    "endpoints",
    "drain",
    "remove",
    "sites",
    "version",
    "keys",
    "secret",
    "role",
    "backend",
    "writer",
    "configuration",
    "",
)
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.sampled_from(("in", "out", "quic", "agent", "10.0.0.1", "a", "http://a"))
    | st.text(max_size=4)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(KEYS), inner, max_size=5),
    max_leaves=25,
)


@seed(SEED)
@settings(max_examples=300, deadline=None, database=None)
@given(base=VALUES, site=VALUES)
def test_random_json_files_give_settings_or_faults(base, site) -> None:
    files = [SettingsFile(name, json.dumps(value)) for name, value in (("b", base), ("s", site))]
    loaded = inspect_configuration(files[0], {"solo": files[1]})
    assert has_errors(loaded.faults) or loaded.configuration is not None
    with pytest.raises(SettingsError):
        load_process_settings(files[0], files[1:])


@seed(SEED)
@settings(max_examples=300, deadline=None, database=None)
@given(VALUES)
def test_decoding_random_values_raises_only_settings_errors(value) -> None:
    for decode in (decode_configuration, decode_accepted):
        try:
            decode(value)
        except SettingsError:
            continue


@seed(SEED)
@settings(max_examples=200, deadline=None, database=None)
@given(st.binary(max_size=40))
def test_random_bytes_give_faults(data: bytes) -> None:
    assert has_errors(inspect_configuration(data).faults)


BASE = {
    "data_centres": [{"name": "solo", "region": "jawa", "state": "in"}],
    "services": [
        {
            "name": "katalog",
            "address": "10.50.0.10",
            "classes": [{"name": "listings", "port": 443, "transport": "quic", "wait_s": 0.1}],
            "admission": {"slots": 2, "warm_up_s": 3.0},
        }
    ],
    "endpoints": [{"name": "katalog-1", "drain": True}],
}


def list_paths(value, path=()):
    yield path
    if not isinstance(value, dict | list):
        return
    for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
        yield from list_paths(inner, (*path, key))


def replace_value(value, path, replacement):
    if not path:
        return replacement
    copy = dict(value) if isinstance(value, dict) else list(value)
    copy[path[0]] = replace_value(value[path[0]], path[1:], replacement)
    return copy


PATHS = [path for path in list_paths(BASE) if path]


@seed(SEED)
@settings(max_examples=300, deadline=None, database=None)
@given(st.lists(st.tuples(st.sampled_from(PATHS), VALUES), min_size=1, max_size=3))
def test_valid_files_with_replaced_values_give_settings_or_faults(changes) -> None:
    base = BASE
    for path, replacement in changes:
        try:
            base = replace_value(base, path, replacement)
        except (KeyError, IndexError, TypeError, ValueError):
            continue
    faulty = SettingsFile("base.json", json.dumps(base))
    valid = SettingsFile("base.json", json.dumps(BASE))
    overlay = SettingsFile("solo.json", json.dumps(base))
    for loaded in (
        inspect_configuration(faulty, {"solo": valid}),
        inspect_configuration(valid, {"solo": overlay}),
    ):
        assert has_errors(loaded.faults) or loaded.configuration is not None

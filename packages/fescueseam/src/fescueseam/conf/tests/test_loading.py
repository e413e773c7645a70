import json
from pathlib import Path

import attrs
import jsonschema
import pytest

from fescueseam.checks.schema import render_configuration_schema, render_process_schema
from fescueseam.conf.accepted import (
    MAX_EARLIER_WRITERS,
    build_next_version,
    decode_accepted,
    encode_accepted,
)
from fescueseam.conf.documents import SettingsFile, load_document
from fescueseam.conf.loading import (
    decode_configuration,
    encode_configuration,
    find_admission_rules,
    inspect_configuration,
    load_configuration,
    load_process_settings,
)
from fescueseam.conf.models import Configuration, Role
from fescueseam.exceptions import SettingsError

EXAMPLES = Path(__file__).parents[6] / "examples"
DEPLOYMENTS = ("ribera-norte", "lintang")


def read_example_file(path: Path) -> SettingsFile:
    return SettingsFile(str(path.relative_to(EXAMPLES)), path.read_bytes())


def load_example(deployment: str) -> Configuration:
    sites = (EXAMPLES / deployment / "sites").glob("*.json")
    return load_configuration(
        read_example_file(EXAMPLES / deployment / "base.json"),
        {path.stem: read_example_file(path) for path in sites},
    )


def build_settings_file(name: str, value: object) -> SettingsFile:
    return SettingsFile(name, json.dumps(value))


@pytest.fixture
def base() -> dict:
    return {
        "data_centres": [
            {"name": "semarang", "region": "jawa"},
            {"name": "solo", "region": "jawa"},
        ],
        "services": [
            {
                "name": "katalog",
                "address": "10.50.0.10",
                "classes": [{"name": "listings", "port": 443, "kind": "stream"}],
            }
        ],
    }


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_example_configurations_are_valid(deployment: str) -> None:
    cfg = load_example(deployment)
    assert len(cfg.data_centres) == 3
    assert len(cfg.services) == 2
    assert cfg.sites
    decoded = decode_configuration(json.loads(json.dumps(encode_configuration(cfg))))
    assert decoded == cfg


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("role", list(Role))
def test_example_process_settings_are_valid(deployment: str, role: Role) -> None:
    folder = EXAMPLES / deployment / "processes"
    files = [read_example_file(folder / "base.json"), read_example_file(folder / f"{role}.json")]
    assert load_process_settings(files[0], files[1:]).role is role
    schema = json.loads(render_process_schema())
    jsonschema.validate(load_document(files).value, schema)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_examples_match_the_schema(deployment: str) -> None:
    schema = json.loads(render_configuration_schema())
    jsonschema.validate(json.loads((EXAMPLES / deployment / "base.json").read_text()), schema)


@pytest.mark.parametrize(
    ("name", "render"),
    [("configuration", render_configuration_schema), ("process", render_process_schema)],
)
def test_committed_schema_is_current(name: str, render) -> None:
    assert (EXAMPLES / f"{name}.schema.json").read_text() == render()


def test_site_overlay_changes_only_the_keys_it_sets(base: dict) -> None:
    site = {"services": [{"name": "katalog", "admission": {"slots": 4}}]}
    cfg = load_configuration(
        build_settings_file("base.json", base), {"solo": build_settings_file("solo.json", site)}
    )
    assert find_admission_rules(cfg, "katalog", "solo").slots == 4
    assert find_admission_rules(cfg, "katalog", "semarang").slots == 2
    assert find_admission_rules(cfg, "katalog", "solo").connections == 2000
    with pytest.raises(SettingsError, match="no service 'kat'"):
        find_admission_rules(cfg, "kat", "solo")


def test_site_overlay_must_not_change_settings_shared_by_all_sites(base: dict) -> None:
    site = {"data_centres": [], "services": [{"name": "katalog", "address": "10.0.0.9"}]}
    loaded = inspect_configuration(
        build_settings_file("base.json", base), {"solo": build_settings_file("solo.json", site)}
    )
    paths = {fault.path for fault in loaded.faults if fault.id == "fescueseam.E008"}
    assert paths == {"data_centres", "services[katalog].address"}


def test_site_overlay_sets_endpoints_and_ignores_unchanged_ones(base: dict) -> None:
    base["endpoints"] = [{"name": "katalog-1", "drain": False}]
    sites = {
        "semarang": build_settings_file(
            "semarang.json", {"endpoints": [{"name": "katalog-1", "drain": True}]}
        ),
        "solo": build_settings_file(
            "solo.json", {"endpoints": [{"name": "katalog-2", "drain": True}]}
        ),
    }
    cfg = load_configuration(build_settings_file("base.json", base), sites)
    assert {rule.name for rule in cfg.endpoints if rule.drain} == {"katalog-1", "katalog-2"}
    sites["solo"] = build_settings_file(
        "solo.json", {"endpoints": [{"name": "katalog-1", "drain": False}]}
    )
    assert load_configuration(build_settings_file("base.json", base), sites).endpoints[0].drain


def test_overlay_removes_items_by_name_and_keys_by_null(base: dict) -> None:
    base["services"].append({"name": "foto", "address": "10.50.0.20", "classes": []})
    base["services"][0]["admission"] = {"slots": 9}
    overlay = {
        "services": [{"name": "foto", "remove": True}, {"name": "katalog", "admission": None}]
    }
    document = load_document(
        [build_settings_file("base.json", base), build_settings_file("over.json", overlay)]
    )
    assert [service["name"] for service in document.value["services"]] == ["katalog"]
    assert "admission" not in document.value["services"][0]
    assert not document.faults
    again = load_document([build_settings_file("base.json", overlay)])
    assert [str(fault.id) for fault in again.faults] == ["fescueseam.E007"]


def test_source_file_of_each_value_is_known(base: dict) -> None:
    overlay = {"services": [{"name": "katalog", "admission": {"slots": 4}}]}
    document = load_document(
        [build_settings_file("base.json", base), build_settings_file("solo.json", overlay)]
    )
    assert document.find_source_file("services[katalog].admission.slots") == "solo.json"
    assert document.find_source_file("services[katalog].classes[listings].port") == "base.json"
    assert document.find_source_file("services[katalog].classes[listings].wait_s") == "base.json"


def test_all_configuration_faults_are_listed_at_once(base: dict, snapshot) -> None:
    base["data_centres"][1] = {"name": "Solo!", "region": "jawa", "state": "inn"}
    base["servces"] = []
    base["version"] = 7
    katalog = base["services"][0]
    katalog |= {
        "address": "10.50.0.300",
        "admision": {},
        "admission": {"slots": 2, "cold_slots": 3},
    }
    katalog["classes"] = [
        {"name": "listings", "port": 70000, "wait_s": 9, "transport": "quick"},
        {"name": "prices", "port": "443"},
        {"name": "orders", "port": 8443, "transport": "udp", "repeatable": False},
        {"name": "stalls", "port": 8443, "repeatable": "no", "idle_timeout_s": True},
        {"port": 9},
    ]
    base["services"].append({"name": "foto", "address": "10.50.0.10", "classes": {}})
    base["services"].append({"name": "arsip"})
    sites = {
        "slo": build_settings_file(
            "slo.json", {"services": [{"name": "katalog", "admission": {"slots": 0}}]}
        )
    }
    loaded = inspect_configuration(build_settings_file("base.json", base), sites)
    assert sorted(str(fault) for fault in loaded.faults) == snapshot
    with pytest.raises(SettingsError) as info:
        loaded.get_or_raise()
    assert info.value.faults == loaded.faults


def test_all_process_faults_are_listed_without_secrets(snapshot) -> None:
    settings = {
        "role": "agnt",
        "name": "agent 1",
        "data_centre": "solo",
        "address": "localhost",
        "control_port": 0,
        "metrics_port": 7412.5,
        "store_url": "ftp://127.0.0.1",
        "keys": [
            {"key_id": 1, "secret": "short-secret"},
            {"key_id": 1, "secret": "x" * 32},
            {"key_id": 2, "secret": 987654},
        ],
        "seeds": ["127.0.0.1", "127.0.0.1:99999", "localhost:1"],
        "log_format": "xml",
        "drain_timeout_s": -1,
    }
    with pytest.raises(SettingsError) as info:
        load_process_settings(json.dumps(settings), [])
    assert [str(fault) for fault in info.value.faults] == snapshot
    assert "short-secret" not in str(info.value)
    assert "987654" not in str(info.value)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{\n  "services": [,]\n}', "line 2, column 16"),
        (b'{"a": "\xff"}', "byte 7 is not UTF-8"),
        ("[]", "does not contain a JSON object"),
        ('{"version": NaN}', "NaN is not valid in JSON"),
        ('{"services": [], "services": []}', "is used twice"),
        ("[" * 100_000, "nested too deeply"),
        ('{"services": ' + "9" * 5000 + "}", "limit"),
    ],
)
def test_invalid_json_is_a_fault_with_its_position(text: str | bytes, expected: str) -> None:
    with pytest.raises(SettingsError) as info:
        load_configuration(text)
    assert any(expected in fault.message for fault in info.value.faults), info.value.faults


def test_decoding_ignores_unknown_keys_and_rejects_invalid_values(base: dict) -> None:
    cfg = load_configuration(build_settings_file("base.json", base))
    encoded = encode_configuration(cfg)
    encoded["later"] = 1
    assert decode_configuration(encoded) == cfg
    for invalid in (None, [], {"services": 1}, {"services": [{"name": 1}]}):
        with pytest.raises(SettingsError):
            decode_configuration(invalid)


def test_next_version_increases_by_one_and_keeps_earlier_writers(base: dict) -> None:
    cfg = load_configuration(build_settings_file("base.json", base))
    accepted = None
    for index in range(MAX_EARLIER_WRITERS + 3):
        accepted = build_next_version(accepted, cfg, f"writer-{index}")
        assert accepted.version == index + 1
    assert len(accepted.earlier_writers) == MAX_EARLIER_WRITERS
    assert accepted.earlier_writers[0] == f"writer-{MAX_EARLIER_WRITERS + 1}"
    assert decode_accepted(json.loads(json.dumps(encode_accepted(accepted)))) == accepted
    assert attrs.evolve(accepted.configuration, version=0) == cfg
    for invalid in (None, {}, {"version": "1", "writer": "a"}):
        with pytest.raises(SettingsError):
            decode_accepted(invalid)

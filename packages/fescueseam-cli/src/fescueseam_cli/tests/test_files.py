import json

import pytest

from fescueseam.conf.loading import load_configuration


def test_init_writes_a_valid_example_once(run, tmp_path) -> None:
    assert run("init", tmp_path / "new").exit_code == 0
    result = run("check", tmp_path / "new")
    assert (result.exit_code, result.output) == (0, "no faults\n")
    before = (tmp_path / "new" / "base.json").read_text()
    again = run("init", tmp_path / "new")
    assert again.exit_code == 2
    assert "left alone" in again.stderr
    assert (tmp_path / "new" / "base.json").read_text() == before


@pytest.fixture
def faulty(tmp_path):
    base = {
        "data_centres": [{"name": "solo", "region": "jawa-tengah"}],
        "services": [{"name": "katalog", "address": "nowhere", "clases": []}],
    }
    (tmp_path / "base.json").write_text(json.dumps(base))
    (tmp_path / "sites").mkdir()
    (tmp_path / "sites" / "solo.json").write_text('{"services": [\n}')
    return tmp_path


def test_check_lists_every_fault(run, faulty, snapshot) -> None:
    result = run("check", faulty)
    assert (result.exit_code, result.output) == (2, snapshot)
    result = run("check", faulty, "--output", "json")
    assert (result.exit_code, json.loads(result.output)) == (2, snapshot)


def test_faulty_files_are_never_applied(run, faulty, store) -> None:
    result = run("apply", faulty)
    assert result.exit_code == 2
    for fault in ("E001", "E002", "E011", "E020"):
        assert f"fescueseam.{fault}" in result.stderr
    assert not store.calls


def test_missing_folder_is_a_clear_error(run, tmp_path) -> None:
    result = run("check", tmp_path / "nothing")
    assert result.exit_code == 2
    assert "cannot be read" in result.stderr


def test_check_of_process_settings(run, folder) -> None:
    base = folder / "processes" / "base.json"
    for role in ("agent", "balancer"):
        result = run("check", "--process", base, "--process", folder / "processes" / f"{role}.json")
        assert (result.exit_code, result.output) == (0, "no faults\n")
    assert run("check", "--process", base).exit_code == 2
    assert run("check").exit_code == 2


def test_check_of_process_settings_against_a_deployment(run, folder, tmp_path, snapshot) -> None:
    files = [folder / "processes" / f"{name}.json" for name in ("base", "agent")]
    options = [word for path in files for word in ("--process", path)]
    assert run("check", folder, *options).output == "no faults\n"
    overlay = tmp_path / "overlay.json"
    overlay.write_text('{"data_centre": "sol", "service": "katalok"}')
    result = run("check", folder, *options, "--process", overlay, "--output", "json")
    faults = json.loads(result.output)["faults"]
    assert {fault.pop("file") for fault in faults} == {str(overlay)}
    assert (result.exit_code, faults) == (2, snapshot)
    overlay.write_text('{"region": "jawa"}')
    assert "is not in region" in run("check", folder, *options, "--process", overlay).output


def test_settings_show_names_the_file_of_each_value(run, folder, snapshot) -> None:
    assert run("settings", "show", folder, "--site", "magelang").output == snapshot
    plain = run("settings", "show", folder, "--site", "magelang", "--output", "json")
    values = {item["path"]: item for item in json.loads(plain.output)["values"]}
    assert values["services[foto-cocok].admission.slots"]["file"] == "sites/magelang.json"
    assert values["services[foto-cocok].admission.slots"]["value"] == 4
    result = run("settings", "show", folder, "--site", "magelan")
    assert result.exit_code == 2
    assert "did you mean 'magelang'?" in result.stderr


def test_every_command_has_help(run) -> None:
    commands = ("init", "check", "diff", "apply", "drain", "status", "explain", "watch")
    for command in (*((name,) for name in commands), ("data-centre", "out"), ("settings", "show")):
        result = run(*command, "--help")
        assert result.exit_code == 0
        assert "Usage" in result.output


def test_examples_need_no_folder_of_sites(tmp_path, run, folder) -> None:
    (tmp_path / "base.json").write_bytes((folder / "base.json").read_bytes())
    assert run("check", tmp_path).exit_code == 0
    assert load_configuration((tmp_path / "base.json").read_bytes()).sites == ()

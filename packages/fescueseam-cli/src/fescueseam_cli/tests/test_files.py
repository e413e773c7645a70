import json

import pytest

from fescueseam.conf.loading import load_configuration


def test_init_writes_a_valid_example_once(run_command, tmp_path) -> None:
    assert run_command("init", tmp_path / "new").exit_code == 0
    result = run_command("check", tmp_path / "new")
    assert (result.exit_code, result.output) == (0, "no faults\n")
    before = (tmp_path / "new" / "base.json").read_text()
    again = run_command("init", tmp_path / "new")
    assert again.exit_code == 2
    assert "already exist" in again.stderr
    assert (tmp_path / "new" / "base.json").read_text() == before


@pytest.fixture
def invalid_folder(tmp_path):
    base = {
        "data_centres": [{"name": "solo", "region": "jawa-tengah"}],
        "services": [{"name": "katalog", "address": "nowhere", "clases": []}],
    }
    (tmp_path / "base.json").write_text(json.dumps(base))
    (tmp_path / "sites").mkdir()
    (tmp_path / "sites" / "solo.json").write_text('{"services": [\n}')
    return tmp_path


def test_check_lists_every_fault(run_command, invalid_folder, snapshot) -> None:
    result = run_command("check", invalid_folder)
    assert (result.exit_code, result.output) == (2, snapshot)
    result = run_command("check", invalid_folder, "--output", "json")
    assert (result.exit_code, json.loads(result.output)) == (2, snapshot)


def test_invalid_files_are_not_applied(run_command, invalid_folder, store) -> None:
    result = run_command("apply", invalid_folder)
    assert result.exit_code == 2
    for fault in ("E001", "E002", "E011", "E020"):
        assert f"fescueseam.{fault}" in result.stderr
    assert not store.calls


def test_missing_folder_is_reported(run_command, tmp_path) -> None:
    result = run_command("check", tmp_path / "nothing")
    assert result.exit_code == 2
    assert "cannot be read" in result.stderr


def test_check_of_process_settings(run_command, deployment_folder) -> None:
    base = deployment_folder / "processes" / "base.json"
    for role in ("agent", "balancer"):
        result = run_command(
            "check",
            "--process",
            base,
            "--process",
            deployment_folder / "processes" / f"{role}.json",
        )
        assert (result.exit_code, result.output) == (0, "no faults\n")
    assert run_command("check", "--process", base).exit_code == 2
    assert run_command("check").exit_code == 2


def test_check_of_process_settings_against_a_deployment(
    run_command, deployment_folder, tmp_path, snapshot
) -> None:
    files = [deployment_folder / "processes" / f"{name}.json" for name in ("base", "agent")]
    options = [word for path in files for word in ("--process", path)]
    assert run_command("check", deployment_folder, *options).output == "no faults\n"
    overlay = tmp_path / "overlay.json"
    overlay.write_text('{"data_centre": "sol", "service": "katalok"}')
    result = run_command(
        "check", deployment_folder, *options, "--process", overlay, "--output", "json"
    )
    faults = json.loads(result.output)["faults"]
    assert {fault.pop("file") for fault in faults} == {str(overlay)}
    assert (result.exit_code, faults) == (2, snapshot)
    overlay.write_text('{"region": "jawa"}')
    assert (
        "is not in region"
        in run_command("check", deployment_folder, *options, "--process", overlay).output
    )


def test_settings_show_prints_the_file_of_each_value(
    run_command, deployment_folder, snapshot
) -> None:
    assert (
        run_command("settings", "show", deployment_folder, "--site", "magelang").output == snapshot
    )
    json_result = run_command(
        "settings", "show", deployment_folder, "--site", "magelang", "--output", "json"
    )
    values = {item["path"]: item for item in json.loads(json_result.output)["values"]}
    assert values["services[foto-cocok].admission.slots"]["file"] == "sites/magelang.json"
    assert values["services[foto-cocok].admission.slots"]["value"] == 4
    result = run_command("settings", "show", deployment_folder, "--site", "magelan")
    assert result.exit_code == 2
    assert "did you mean 'magelang'?" in result.stderr


def test_every_command_has_help(run_command) -> None:
    commands = ("init", "check", "diff", "apply", "drain", "status", "explain", "watch")
    for command in (*((name,) for name in commands), ("data-centre", "out"), ("settings", "show")):
        result = run_command(*command, "--help")
        assert result.exit_code == 0
        assert "Usage" in result.output


def test_sites_folder_is_optional(tmp_path, run_command, deployment_folder) -> None:
    (tmp_path / "base.json").write_bytes((deployment_folder / "base.json").read_bytes())
    assert run_command("check", tmp_path).exit_code == 0
    assert load_configuration((tmp_path / "base.json").read_bytes()).sites == ()

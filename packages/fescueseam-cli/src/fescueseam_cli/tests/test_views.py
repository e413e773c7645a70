import json

import pytest

from fescueseam.conf.accepted import CONFIGURATION_KEY
from fescueseam.routing.table import Member, MemberState, Table
from fescueseam.upkeep.codec import encode_table

from .test_changes import make_concurrent_state_change


def make_status(name: str, data_centre: str, version: int, **more) -> dict:
    return {
        "name": name,
        "role": "balancer" if name.startswith("balancer") else "agent",
        "data_centre": data_centre,
        "config_version": version,
        "tables": {"katalog": 4},
        **more,
    }


def make_record(name: str, data_centre: str, address: str) -> dict:
    return {
        "name": name,
        "role": "agent",
        "data_centre": data_centre,
        "address": address,
        "metrics_port": 7412,
        "incarnation": 3,
    }


@pytest.fixture
def store_with_processes(run_command, deployment_folder, store):
    run_command("apply", deployment_folder)
    run_command("data-centre", "out", "solo")
    store.process_statuses = {
        "10.0.0.1:7412": make_status("katalog-1", "semarang", 2),
        "10.0.0.2:7412": make_status("katalog-2", "solo", 1),
        "10.0.0.3:7412": None,
        "10.0.0.9:7412": make_status(
            "balancer-1",
            "semarang",
            2,
            peers=[
                make_record("katalog-1", "semarang", "10.0.0.1"),
                make_record("katalog-2", "solo", "10.0.0.2"),
            ],
        ),
    }
    records = [
        make_record("katalog-1", "semarang", "10.0.0.1"),
        make_record("katalog-2", "solo", "10.0.0.2"),
        make_record("katalog-3", "magelang", "10.0.0.3"),
        {"name": "incomplete record"},
    ]
    store.write("members/semarang", records)
    return store


def test_status_shows_lagging_processes(run_command, store_with_processes, snapshot) -> None:
    result = run_command("status")
    assert (result.exit_code, result.output) == (0, snapshot)
    output = json.loads(run_command("status", "--output", "json").output)
    assert output["version"] == 2
    assert output["sites"][2]["lagging"] == ["katalog-2"]


@pytest.mark.parametrize("failure_mode", ["refused", "slow", "down"])
def test_status_works_without_the_store(
    run_command, store_with_processes, failure_mode: str
) -> None:
    store_with_processes.failure_mode = failure_mode
    output = json.loads(run_command("status", "--peer", "10.0.0.9:7412", "--output", "json").output)
    states = {item["name"]: item["state"] for item in output["processes"]}
    assert states == {"balancer-1": "current", "katalog-1": "current", "katalog-2": "behind by 1"}
    assert output["store"] != "answers"
    result = run_command("status")
    assert result.exit_code == 4
    assert "no process answered" in result.stderr


def test_status_table_without_the_store(run_command, store_with_processes, snapshot) -> None:
    store_with_processes.failure_mode = "refused"
    assert run_command("status", "--peer", "10.0.0.9:7412").output == snapshot


def test_status_reports_unreadable_replies(run_command, store_with_processes) -> None:
    store_with_processes.process_statuses["10.0.0.1:7412"] = ["not a status"]
    store_with_processes.process_statuses["10.0.0.2:7412"] = {"name": "x"}
    result = run_command("status")
    assert result.exit_code == 0
    assert result.output.count("the answer cannot be parsed") == 2
    assert run_command("status", "--peer", "nowhere").exit_code == 2


@pytest.fixture
def katalog_table(store):
    members = (
        Member("katalog-1", "semarang", "10.0.0.1", 7411, 1),
        Member("katalog-2", "solo", "10.0.0.2", 7411, 1),
        Member("katalog-3", "magelang", "10.0.0.3", 7411, 1),
        Member("katalog-4", "magelang", "10.0.0.4", 7411, 1, MemberState.LEAVING),
    )
    table = Table("katalog", 7, members, buckets=64, seed=5)
    store.write("tables/katalog", encode_table(table))
    return table


def test_explain_shows_the_row_with_reasons(
    run_command, store_with_processes, katalog_table, snapshot
) -> None:
    run_command("drain", "katalog-3")
    flow = ("192.0.2.7:50001", "10.50.0.10:443")
    result = run_command("explain", *flow)
    assert (result.exit_code, result.output) == (0, snapshot)
    output = json.loads(run_command("explain", *flow, "--output", "json").output)
    assert output["service_class"] == "listings"
    parts = [step["part"] for step in output["steps"]]
    assert parts.count("recorder") == 1
    assert parts[-1] == "earlier owner"


def test_explain_rejects_flows_without_a_service_class_or_member(
    run_command, store_with_processes, katalog_table
) -> None:
    error_kinds = {
        ("192.0.2.7:5", "10.9.9.9:443"): "unknown-service",
        ("192.0.2.7:5", "10.50.0.10:444"): "unknown-class",
        ("192.0.2.7:5", "10.50.0.20:443"): "no-members",
    }
    for flow, kind in error_kinds.items():
        result = run_command("explain", *flow)
        assert (result.exit_code, kind in result.stderr) == (1, True), result.stderr
    assert run_command("explain", "here", "there").exit_code == 2


def test_watch_prints_each_version_once(run_command, store_with_processes, snapshot) -> None:
    store_with_processes.before_put.append(make_concurrent_state_change("budi-7", "semarang"))
    result = run_command("watch", "--count", 2)
    assert result.output == snapshot
    lines = run_command("watch", "--count", 1, "--output", "json").output.splitlines()
    assert json.loads(lines[0])["version"] == 3


def test_watch_reports_an_outage_once(run_command, store_with_processes, sleeps) -> None:
    store_with_processes.failing_calls = 4
    result = run_command("watch", "--count", 1)
    assert result.output.count("store away") == 1
    assert result.output.count("store back") == 1
    assert len(sleeps) == 4
    store_with_processes.objects.pop(CONFIGURATION_KEY)

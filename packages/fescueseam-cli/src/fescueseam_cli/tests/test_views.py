import json

import pytest

from fescueseam.conf.accepted import CONFIGURATION_KEY
from fescueseam.routing.table import Member, MemberState, Table
from fescueseam.upkeep.codec import encode_table

from .test_changes import take_out_as


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
def fleet(run, folder, store):
    run("apply", folder)
    run("data-centre", "out", "solo")
    store.statuses = {
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
        {"name": "half a record"},
    ]
    store.write("members/semarang", records)
    return store


def test_status_says_who_lags(run, fleet, snapshot) -> None:
    result = run("status")
    assert (result.exit_code, result.output) == (0, snapshot)
    plain = json.loads(run("status", "--output", "json").output)
    assert plain["version"] == 2
    assert plain["sites"][2]["lagging"] == ["katalog-2"]


@pytest.mark.parametrize("away", ["refused", "slow", "down"])
def test_status_works_without_the_store(run, fleet, away: str) -> None:
    fleet.away = away
    plain = json.loads(run("status", "--peer", "10.0.0.9:7412", "--output", "json").output)
    states = {item["name"]: item["state"] for item in plain["processes"]}
    assert states == {"balancer-1": "current", "katalog-1": "current", "katalog-2": "behind by 1"}
    assert plain["store"] != "answers"
    result = run("status")
    assert result.exit_code == 4
    assert "no process answered" in result.stderr


def test_status_table_during_an_outage(run, fleet, snapshot) -> None:
    fleet.away = "refused"
    assert run("status", "--peer", "10.0.0.9:7412").output == snapshot


def test_status_survives_nonsense(run, fleet) -> None:
    fleet.statuses["10.0.0.1:7412"] = ["nonsense"]
    fleet.statuses["10.0.0.2:7412"] = {"name": "x"}
    result = run("status")
    assert result.exit_code == 0
    assert result.output.count("the answer cannot be read") == 2
    assert run("status", "--peer", "nowhere").exit_code == 2


@pytest.fixture
def table(store):
    members = (
        Member("katalog-1", "semarang", "10.0.0.1", 7411, 1),
        Member("katalog-2", "solo", "10.0.0.2", 7411, 1),
        Member("katalog-3", "magelang", "10.0.0.3", 7411, 1),
        Member("katalog-4", "magelang", "10.0.0.4", 7411, 1, MemberState.LEAVING),
    )
    value = Table("katalog", 7, members, buckets=64, seed=5)
    store.write("tables/katalog", encode_table(value))
    return value


def test_explain_names_the_row_and_the_reasons(run, fleet, table, snapshot) -> None:
    run("drain", "katalog-3")
    flow = ("192.0.2.7:50001", "10.50.0.10:443")
    result = run("explain", *flow)
    assert (result.exit_code, result.output) == (0, snapshot)
    plain = json.loads(run("explain", *flow, "--output", "json").output)
    assert plain["service_class"] == "listings"
    parts = [step["part"] for step in plain["steps"]]
    assert parts.count("recorder") == 1
    assert parts[-1] == "earlier owner"


def test_explain_refuses_what_no_packet_could_reach(run, fleet, table) -> None:
    faults = {
        ("192.0.2.7:5", "10.9.9.9:443"): "unknown-service",
        ("192.0.2.7:5", "10.50.0.10:444"): "unknown-class",
        ("192.0.2.7:5", "10.50.0.20:443"): "no-members",
    }
    for flow, kind in faults.items():
        result = run("explain", *flow)
        assert (result.exit_code, kind in result.stderr) == (1, True), result.stderr
    assert run("explain", "here", "there").exit_code == 2


def test_watch_prints_each_version_once(run, fleet, snapshot) -> None:
    fleet.before_put.append(take_out_as("budi-7", "semarang"))
    result = run("watch", "--count", 2)
    assert result.output == snapshot
    lines = run("watch", "--count", 1, "--output", "json").output.splitlines()
    assert json.loads(lines[0])["version"] == 3


def test_watch_reports_an_outage_once(run, fleet, slept) -> None:
    fleet.down_calls = 4
    result = run("watch", "--count", 1)
    assert result.output.count("store away") == 1
    assert result.output.count("store back") == 1
    assert len(slept) == 4
    fleet.objects.pop(CONFIGURATION_KEY)

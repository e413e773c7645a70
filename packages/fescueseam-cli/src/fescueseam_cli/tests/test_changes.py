import json

import pytest
from attrs import evolve

from fescueseam.conf.accepted import (
    CONFIGURATION_KEY,
    MAX_EARLIER_WRITERS,
    build_next_version,
    decode_accepted,
    encode_accepted,
    set_data_centre_state,
    set_drain,
)
from fescueseam.conf.models import DataCentreState
from fescueseam.routing.table import Member, Table
from fescueseam.upkeep.codec import encode_table


def change_as(writer: str, change):
    """Return a step that lets another operator change the configuration."""

    def step(store) -> None:
        accepted = decode_accepted(store.accepted)
        successor = build_next_version(accepted, change(accepted.configuration), writer)
        store.write(CONFIGURATION_KEY, encode_accepted(successor))

    return step


def take_out_as(writer: str, name: str, state: DataCentreState = DataCentreState.OUT):
    return change_as(writer, lambda cfg: set_data_centre_state(cfg, name, state))


@pytest.fixture
def applied(run, folder, store):
    result = run("apply", folder)
    assert result.exit_code == 0, result.output
    store.calls.clear()
    return result


def test_apply_and_apply_again(run, folder, store, snapshot) -> None:
    assert run("apply", folder).output == snapshot
    assert store.accepted["version"] == 1
    assert store.accepted["writer"] == "ana-1"
    assert run("apply", folder).output == snapshot
    assert store.accepted["version"] == 1


def test_data_centre_and_drain_go_the_same_way(run, store, applied, snapshot) -> None:
    assert run("data-centre", "out", "solo").output == snapshot
    assert run("drain", "katalog-1", "--force").output == snapshot
    assert run("drain", "katalog-1", "--undo").output == snapshot
    assert run("data-centre", "in", "solo", "--output", "json").output == snapshot
    assert store.accepted["version"] == 5


def test_unknown_names_are_refused_with_a_hint(run, store, applied, snapshot) -> None:
    result = run("data-centre", "out", "sollo")
    assert (result.exit_code, result.stderr) == (2, snapshot)
    result = run("drain", "katalog-1")
    assert (result.exit_code, result.stderr) == (2, snapshot)
    members = (Member("katalog-1", "solo", "127.0.0.1", 7411, 1),)
    store.write("tables/katalog", encode_table(Table("katalog", 1, members)))
    assert run("drain", "katalog-1").exit_code == 0
    result = run("drain", "katalog-l")
    assert (result.exit_code, result.stderr) == (2, snapshot)


def test_apply_keeps_what_was_set_by_command(run, store, folder, applied, snapshot) -> None:
    run("data-centre", "out", "solo")
    run("drain", "katalog-1", "--force")
    assert run("diff", folder).output == snapshot
    assert run("apply", folder).output == snapshot
    states = {
        item["name"]: item["state"] for item in store.accepted["configuration"]["data_centres"]
    }
    assert states == {"semarang": "in", "solo": "out", "magelang": "in"}


def test_race_names_both_changes(run, store, applied, snapshot) -> None:
    store.before_put.append(take_out_as("budi-7", "semarang"))
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 3
    assert result.stderr == snapshot
    assert store.accepted["writer"] == "budi-7"
    assert store.accepted["version"] == 2


def test_race_on_one_value_says_so(run, store, applied) -> None:
    store.before_put.append(take_out_as("budi-7", "solo"))
    result = run("data-centre", "out", "solo", "--output", "json")
    error = json.loads(result.stderr)
    assert (result.exit_code, error["error"]) == (3, "configuration-conflict")
    assert "both change: data_centres[solo].state" in error["detail"]


def test_expected_version_guards_against_older_knowledge(run, store, folder, applied) -> None:
    run("data-centre", "out", "solo")
    result = run("apply", folder, "--expect-version", 1)
    assert result.exit_code == 3
    assert "version 2 is in force, not version 1" in result.stderr
    assert run("apply", folder, "--expect-version", 2).exit_code == 0


def test_lost_reply_is_resolved_by_the_writer(run, store, applied) -> None:
    store.lose_replies = 1
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2
    assert store.calls.count("PUT /objects/config") == 1


def test_lost_reply_of_the_first_version(run, store, folder) -> None:
    store.lose_replies = 1
    assert run("apply", folder).exit_code == 0
    assert store.accepted["version"] == 1


def test_lost_request_is_written_again_once(run, store, applied, slept) -> None:
    store.lose_requests = 2
    assert run("data-centre", "out", "solo").exit_code == 0
    assert store.accepted["version"] == 2
    assert store.calls.count("PUT /objects/config") == 3
    assert len(slept) == 2


def test_lost_reply_and_stale_reads(run, store, applied) -> None:
    store.lose_replies = 1

    def make_stale(fake) -> None:
        fake.stale_reads = 3

    store.before_put.append(make_stale)
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2


@pytest.mark.parametrize("later", [1, MAX_EARLIER_WRITERS])
def test_lost_reply_below_later_changes(run, store, applied, later: int) -> None:
    states = (DataCentreState.OUT, DataCentreState.IN)
    store.after_put = [
        take_out_as(f"budi-{index}", "semarang", states[index % 2]) for index in range(later)
    ]
    store.lose_replies = 1
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2 + later


def test_lost_request_and_a_race_is_a_conflict(run, store, applied) -> None:
    store.lose_requests = 1
    store.before_put.append(take_out_as("budi-7", "semarang"))
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 3
    assert "budi-7" in result.stderr
    assert store.accepted["version"] == 2


def test_stale_reads_after_a_conflict_are_not_taken_for_nothing(run, store, applied) -> None:
    def race(fake) -> None:
        take_out_as("budi-7", "semarang")(fake)
        fake.stale_reads = 1000

    store.before_put.append(race)
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 3
    assert "cannot be shown" in result.stderr


def test_store_that_never_confirms_is_reported_as_unknown(run, store, applied) -> None:
    def cut(fake) -> None:
        fake.away = "slow"

    store.before_put.append(cut)
    store.lose_replies = 1
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 4
    assert "may have taken effect" in result.stderr


@pytest.mark.parametrize("away", ["refused", "slow", "down"])
def test_store_away_is_a_clear_error(run, store, folder, away: str) -> None:
    store.away = away
    for command in (["apply", folder], ["diff", folder], ["drain", "katalog-1"]):
        result = run(*command)
        assert result.exit_code == 4
        assert "store-unavailable" in result.stderr
        assert "status --peer" in result.stderr
    assert len(store.calls) == 3


def test_store_is_named_by_a_url(run, folder, store) -> None:
    result = run("apply", folder, "--store", "127.0.0.1:7400")
    assert (result.exit_code, "is not an HTTP URL" in result.stderr) == (2, True)
    assert not store.calls


def test_value_beyond_the_stores_limit_is_refused(run, folder, store) -> None:
    store.limit_bytes = 100
    result = run("apply", folder)
    assert (result.exit_code, "limit" in result.stderr) == (2, True)
    assert not store.objects


def test_no_store_named(run, folder) -> None:
    result = run("apply", folder, store_url="")
    assert result.exit_code == 2
    assert "--store" in result.stderr


def test_faulty_change_is_never_written(run, store, applied) -> None:
    accepted = decode_accepted(store.accepted)
    broken = evolve(accepted.configuration, services=accepted.configuration.services * 2)
    store.write(CONFIGURATION_KEY, encode_accepted(evolve(accepted, configuration=broken)))
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 2
    assert "fescueseam.E006 services[2].name" in result.stderr
    assert "PUT /objects/config" not in store.calls


def test_drain_undo_of_nothing_changes_nothing(run, store, applied) -> None:
    result = run("drain", "katalog-1", "--undo")
    assert "nothing to change" in result.output
    assert store.accepted["version"] == 1
    assert set_drain(decode_accepted(store.accepted).configuration, "x", False).endpoints == ()


def test_stale_read_does_not_make_a_change_look_needless(run, store, applied) -> None:
    run("data-centre", "out", "solo")
    run("data-centre", "in", "solo")
    store.stale_reads = 2
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert "accepted version 4" in result.output
    store.stale_reads = 1000
    result = run("data-centre", "in", "solo")
    assert (result.exit_code, "out of date" in result.stderr) == (4, True)


def test_confirmation_of_the_same_version_is_no_conflict(run, store, applied) -> None:
    store.before_put.append(lambda fake: fake.write(CONFIGURATION_KEY, fake.accepted))
    result = run("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2


def test_lost_confirmation_is_repeated(run, store, folder, applied) -> None:
    store.lose_replies = 1
    result = run("apply", folder)
    assert (result.exit_code, store.accepted["version"]) == (0, 1)

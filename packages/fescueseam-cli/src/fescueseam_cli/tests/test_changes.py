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


def make_concurrent_change(writer: str, change):
    """Return a hook for the fake store that writes a change of another operator."""

    def apply_change(fake_store) -> None:
        accepted = decode_accepted(fake_store.accepted)
        successor = build_next_version(accepted, change(accepted.configuration), writer)
        fake_store.write(CONFIGURATION_KEY, encode_accepted(successor))

    return apply_change


def make_concurrent_state_change(
    writer: str, name: str, state: DataCentreState = DataCentreState.OUT
):
    return make_concurrent_change(writer, lambda cfg: set_data_centre_state(cfg, name, state))


@pytest.fixture
def applied_deployment(run_command, deployment_folder, store):
    result = run_command("apply", deployment_folder)
    assert result.exit_code == 0, result.output
    store.calls.clear()
    return result


def test_apply_twice_writes_one_version(run_command, deployment_folder, store, snapshot) -> None:
    assert run_command("apply", deployment_folder).output == snapshot
    assert store.accepted["version"] == 1
    assert store.accepted["writer"] == "ana-1"
    assert run_command("apply", deployment_folder).output == snapshot
    assert store.accepted["version"] == 1


def test_data_centre_and_drain_commands_write_new_versions(
    run_command, store, applied_deployment, snapshot
) -> None:
    assert run_command("data-centre", "out", "solo").output == snapshot
    assert run_command("drain", "katalog-1", "--force").output == snapshot
    assert run_command("drain", "katalog-1", "--undo").output == snapshot
    assert run_command("data-centre", "in", "solo", "--output", "json").output == snapshot
    assert store.accepted["version"] == 5


def test_unknown_names_are_rejected_with_a_hint(
    run_command, store, applied_deployment, snapshot
) -> None:
    result = run_command("data-centre", "out", "sollo")
    assert (result.exit_code, result.stderr) == (2, snapshot)
    result = run_command("drain", "katalog-1")
    assert (result.exit_code, result.stderr) == (2, snapshot)
    members = (Member("katalog-1", "solo", "127.0.0.1", 7411, 1),)
    store.write("tables/katalog", encode_table(Table("katalog", 1, members)))
    assert run_command("drain", "katalog-1").exit_code == 0
    result = run_command("drain", "katalog-l")
    assert (result.exit_code, result.stderr) == (2, snapshot)


def test_apply_preserves_operational_state(
    run_command, store, deployment_folder, applied_deployment, snapshot
) -> None:
    run_command("data-centre", "out", "solo")
    run_command("drain", "katalog-1", "--force")
    assert run_command("diff", deployment_folder).output == snapshot
    assert run_command("apply", deployment_folder).output == snapshot
    states = {
        item["name"]: item["state"] for item in store.accepted["configuration"]["data_centres"]
    }
    assert states == {"semarang": "in", "solo": "out", "magelang": "in"}


def test_conflict_error_shows_both_changes(
    run_command, store, applied_deployment, snapshot
) -> None:
    store.before_put.append(make_concurrent_state_change("budi-7", "semarang"))
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 3
    assert result.stderr == snapshot
    assert store.accepted["writer"] == "budi-7"
    assert store.accepted["version"] == 2


def test_conflict_error_names_values_changed_by_both(
    run_command, store, applied_deployment
) -> None:
    store.before_put.append(make_concurrent_state_change("budi-7", "solo"))
    result = run_command("data-centre", "out", "solo", "--output", "json")
    error = json.loads(result.stderr)
    assert (result.exit_code, error["error"]) == (3, "configuration-conflict")
    assert "changed by both: data_centres[solo].state" in error["detail"]


def test_apply_rejects_an_outdated_expected_version(
    run_command, store, deployment_folder, applied_deployment
) -> None:
    run_command("data-centre", "out", "solo")
    result = run_command("apply", deployment_folder, "--expect-version", 1)
    assert result.exit_code == 3
    assert "version 2 is in force, not version 1" in result.stderr
    assert run_command("apply", deployment_folder, "--expect-version", 2).exit_code == 0


def test_lost_reply_is_resolved_by_the_writer_id(run_command, store, applied_deployment) -> None:
    store.lose_replies = 1
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2
    assert store.calls.count("PUT /objects/config") == 1


def test_lost_reply_to_the_first_write_is_resolved(run_command, store, deployment_folder) -> None:
    store.lose_replies = 1
    assert run_command("apply", deployment_folder).exit_code == 0
    assert store.accepted["version"] == 1


def test_lost_request_is_retried(run_command, store, applied_deployment, sleeps) -> None:
    store.lose_requests = 2
    assert run_command("data-centre", "out", "solo").exit_code == 0
    assert store.accepted["version"] == 2
    assert store.calls.count("PUT /objects/config") == 3
    assert len(sleeps) == 2


def test_lost_reply_is_resolved_despite_stale_reads(run_command, store, applied_deployment) -> None:
    store.lose_replies = 1

    def serve_stale_reads(fake_store) -> None:
        fake_store.stale_reads = 3

    store.before_put.append(serve_stale_reads)
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2


@pytest.mark.parametrize("later_changes", [1, MAX_EARLIER_WRITERS])
def test_lost_reply_is_resolved_after_later_changes(
    run_command, store, applied_deployment, later_changes: int
) -> None:
    states = (DataCentreState.OUT, DataCentreState.IN)
    store.after_put = [
        make_concurrent_state_change(f"budi-{index}", "semarang", states[index % 2])
        for index in range(later_changes)
    ]
    store.lose_replies = 1
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2 + later_changes


def test_lost_request_and_concurrent_change_are_a_conflict(
    run_command, store, applied_deployment
) -> None:
    store.lose_requests = 1
    store.before_put.append(make_concurrent_state_change("budi-7", "semarang"))
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 3
    assert "budi-7" in result.stderr
    assert store.accepted["version"] == 2


def test_conflict_is_reported_despite_stale_reads(run_command, store, applied_deployment) -> None:
    def change_concurrently(fake_store) -> None:
        make_concurrent_state_change("budi-7", "semarang")(fake_store)
        fake_store.stale_reads = 1000

    store.before_put.append(change_concurrently)
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 3
    assert "cannot be shown" in result.stderr


def test_unconfirmed_write_is_reported_as_unknown(run_command, store, applied_deployment) -> None:
    def stop_replying(fake_store) -> None:
        fake_store.failure_mode = "slow"

    store.before_put.append(stop_replying)
    store.lose_replies = 1
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 4
    assert "may have taken effect" in result.stderr


@pytest.mark.parametrize("failure_mode", ["refused", "slow", "down"])
def test_unavailable_store_is_reported_with_a_hint(
    run_command, store, deployment_folder, failure_mode: str
) -> None:
    store.failure_mode = failure_mode
    for command in (
        ["apply", deployment_folder],
        ["diff", deployment_folder],
        ["drain", "katalog-1"],
    ):
        result = run_command(*command)
        assert result.exit_code == 4
        assert "store-unavailable" in result.stderr
        assert "status --peer" in result.stderr
    assert len(store.calls) == 3


def test_store_option_must_be_a_url(run_command, deployment_folder, store) -> None:
    result = run_command("apply", deployment_folder, "--store", "127.0.0.1:7400")
    assert (result.exit_code, "is not an HTTP URL" in result.stderr) == (2, True)
    assert not store.calls


def test_value_above_the_size_limit_is_rejected(run_command, deployment_folder, store) -> None:
    store.max_value_bytes = 100
    result = run_command("apply", deployment_folder)
    assert (result.exit_code, "limit" in result.stderr) == (2, True)
    assert not store.objects


def test_missing_store_url_is_rejected(run_command, deployment_folder) -> None:
    result = run_command("apply", deployment_folder, store_url="")
    assert result.exit_code == 2
    assert "--store" in result.stderr


def test_invalid_change_is_not_written(run_command, store, applied_deployment) -> None:
    accepted = decode_accepted(store.accepted)
    invalid = evolve(accepted.configuration, services=accepted.configuration.services * 2)
    store.write(CONFIGURATION_KEY, encode_accepted(evolve(accepted, configuration=invalid)))
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 2
    assert "fescueseam.E006 services[2].name" in result.stderr
    assert "PUT /objects/config" not in store.calls


def test_undo_without_a_drain_changes_nothing(run_command, store, applied_deployment) -> None:
    result = run_command("drain", "katalog-1", "--undo")
    assert "nothing to change" in result.output
    assert store.accepted["version"] == 1
    assert set_drain(decode_accepted(store.accepted).configuration, "x", False).endpoints == ()


def test_stale_read_is_not_reported_as_nothing_to_change(
    run_command, store, applied_deployment
) -> None:
    run_command("data-centre", "out", "solo")
    run_command("data-centre", "in", "solo")
    store.stale_reads = 2
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert "accepted version 4" in result.output
    store.stale_reads = 1000
    result = run_command("data-centre", "in", "solo")
    assert (result.exit_code, "out of date" in result.stderr) == (4, True)


def test_rewrite_of_the_same_version_is_no_conflict(run_command, store, applied_deployment) -> None:
    store.before_put.append(
        lambda fake_store: fake_store.write(CONFIGURATION_KEY, fake_store.accepted)
    )
    result = run_command("data-centre", "out", "solo")
    assert result.exit_code == 0, result.stderr
    assert store.accepted["version"] == 2


def test_lost_reply_to_an_unchanged_apply_is_retried(
    run_command, store, deployment_folder, applied_deployment
) -> None:
    store.lose_replies = 1
    result = run_command("apply", deployment_folder)
    assert (result.exit_code, store.accepted["version"]) == (0, 1)

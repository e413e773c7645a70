"""Test that the measurements run, print valid lines and compare with the targets."""

import json
import os

import pytest

from fescueseam_standins.measure import jobs, one_slot
from fescueseam_standins.measure.__main__ import list_jobs
from fescueseam_standins.measure.ideal_pool import choose_least_used, run_pool
from fescueseam_standins.measure.results import Measure, make_result, render_result
from fescueseam_standins.measure.variants import CONSISTENT_HASHING, FESCUESEAM
from fescueseam_standins.measure.workload import Arrival

SEED = int(os.environ.get("SEED", "1"))
KEYS = {"measure", "variant", "deployment", "seed", "value", "unit", "target", "met"}


@pytest.mark.parametrize(
    "kind",
    [
        jobs.FORWARDING,
        jobs.BALANCE,
        jobs.IDEAL_POOLS,
        jobs.BROKEN_FLOWS,
        jobs.DATA_CENTRE_OUT,
        jobs.AT_MOST_ONCE,
    ],
)
def test_quick_job_prints_valid_json_lines(kind):
    results = jobs.run_job(jobs.Job(kind, FESCUESEAM, "ribera-norte", SEED, jobs.QUICK))
    assert results
    for result in results:
        line = json.loads(render_result(result))
        assert set(line) == KEYS
        assert line["met"] is None or line["met"] == (line["value"] <= line["target"])


def test_changes_break_flows_of_hashing_but_not_of_fescueseam():
    broken = {}
    for variant in (FESCUESEAM, CONSISTENT_HASHING):
        job = jobs.Job(jobs.BROKEN_FLOWS, variant, "ribera-norte", SEED, jobs.QUICK)
        broken[variant] = jobs.run_job(job)[0].value
    assert broken[FESCUESEAM] == 0
    assert broken[CONSISTENT_HASHING] > 0


def test_one_slot_way_in_force_queues_fewer_requests_than_probing():
    queued = {
        way: jobs.run_job(jobs.Job(jobs.ONE_SLOT, way, one_slot.EVEN, SEED, jobs.QUICK))[0].value
        for way in one_slot.WAYS
    }
    assert queued[one_slot.EXPECTED_DELAY] < min(queued["two-probes"], queued["three-probes"])
    assert all(0 <= share < 1 for share in queued.values())


@pytest.mark.parametrize("way", one_slot.WAYS)
def test_one_slot_model_serves_every_request_at_low_load(way):
    outcome = one_slot.measure_one_slot(way, SEED, 1.0, load_share=0.2)
    assert outcome.rejected_share == 0
    assert outcome.messages_per_flow >= 1
    assert 0 < outcome.placement_p99_s <= outcome.wait_p99_s


def test_every_listed_job_has_a_run_function():
    assert {job.kind for job in list_jobs(SEED, jobs.QUICK)} <= set(jobs._RUN_FUNCTIONS)


def test_pool_refuses_only_arrivals_whose_wait_expires():
    arrivals = [Arrival(1.0, 1.0), Arrival(1.1, 1.0), Arrival(1.9, 1.0)]
    outcome = run_pool([1.0], 1, 0.5, arrivals, choose_least_used)
    assert (outcome.offered, outcome.refused) == (3, 1)


def test_missed_target_is_printed_as_not_met():
    line = render_result(make_result(Measure.IMBALANCE, FESCUESEAM, "x", SEED, 1.06, "ratio"))
    assert json.loads(line)["met"] is False

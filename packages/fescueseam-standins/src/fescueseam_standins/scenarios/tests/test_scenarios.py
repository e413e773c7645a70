"""Test that all scenarios keep the promises, meet their requirements and match the snapshots."""

import os
from pathlib import Path

import pytest

from fescueseam_standins.scenarios.parsing import load_scenario, parse_scenario
from fescueseam_standins.scenarios.running import run_scenario

SEED = int(os.environ.get("SEED", "1"))
SNAPSHOT_SEED = 1
SEED_COUNT = 10 if os.environ.get("SOAK") else 1
SCENARIO_FOLDER = Path(__file__).parent.parent / "library"
SCENARIO_PATHS = sorted(SCENARIO_FOLDER.glob("*.scenario"))


def get_scenario_name(path):
    return path.stem


@pytest.mark.parametrize("path", SCENARIO_PATHS, ids=get_scenario_name)
def test_promises_hold(path, snapshot):
    result = run_scenario(load_scenario(path), SEED)
    assert result.violations == ()
    assert result.unmet_requirements == ()
    if SEED == SNAPSHOT_SEED:
        assert result.outcomes == snapshot


@pytest.mark.parametrize("offset", range(1, SEED_COUNT + 1))
def test_promises_hold_with_other_seeds_soak(offset):
    paths = SCENARIO_PATHS if SEED_COUNT > 1 else [SCENARIO_FOLDER / "at-most-once.scenario"]
    violations_by_scenario = {}
    for path in paths:
        result = run_scenario(load_scenario(path), SEED + offset)
        if result.violations:
            violations_by_scenario[path.stem] = result.count_violations()
    assert violations_by_scenario == {}


def test_repeated_actions_alternate():
    scenario = parse_scenario("every 500ms from 1s to 2s: kill entry-1 then accept\n")
    assert [
        (scheduled.time, str(scheduled.action.verb)) for scheduled in scenario.scheduled_actions
    ] == [
        (1.0, "kill"),
        (1.5, "accept"),
        (2.0, "kill"),
    ]

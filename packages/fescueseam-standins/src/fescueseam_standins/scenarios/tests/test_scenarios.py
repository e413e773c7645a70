"""Run every scenario: every promise holds, every demand is met, the outcomes stand."""

import os
from pathlib import Path

import pytest

from fescueseam_standins.scenarios.parsing import load_scenario, parse_scenario
from fescueseam_standins.scenarios.running import run_scenario

SEED = int(os.environ.get("SEED", "1"))
SNAPSHOT_SEED = 1
SOAK_SEEDS = 10 if os.environ.get("SOAK") else 1
LIBRARY = Path(__file__).parent.parent / "library"
SCENARIOS = sorted(LIBRARY.glob("*.scenario"))


def identify(path):
    return path.stem


@pytest.mark.parametrize("path", SCENARIOS, ids=identify)
def test_promises_hold(path, snapshot):
    result = run_scenario(load_scenario(path), SEED)
    assert result.violations == ()
    assert result.unmet_requirements == ()
    if SEED == SNAPSHOT_SEED:
        assert result.outcomes == snapshot


@pytest.mark.parametrize("offset", range(1, SOAK_SEEDS + 1))
def test_promises_hold_with_other_seeds_soak(offset):
    paths = SCENARIOS if SOAK_SEEDS > 1 else [LIBRARY / "at-most-once.scenario"]
    broken = {}
    for path in paths:
        result = run_scenario(load_scenario(path), SEED + offset)
        if result.violations:
            broken[path.stem] = result.count_violations()
    assert broken == {}


def test_repeated_actions_take_turns():
    scenario = parse_scenario("every 500ms from 1s to 2s: kill entry-1 then accept\n")
    assert [(step.time, str(step.action.verb)) for step in scenario.scheduled_actions] == [
        (1.0, "kill"),
        (1.5, "accept"),
        (2.0, "kill"),
    ]

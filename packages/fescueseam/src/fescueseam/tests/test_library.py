import importlib
import inspect
import os
import runpy
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[5]
EXAMPLE = ROOT / "examples" / "embed" / "run_once.py"
PARTS = ("versions", "membership", "admission", "claims", "retries")
SEED = int(os.environ.get("SEED", "1"))


@pytest.mark.parametrize("part", PARTS)
def test_page_names_every_public_name_and_each_is_described(part: str) -> None:
    page = (ROOT / "docs" / "reference" / "library.md").read_text()
    module = importlib.import_module(f"fescueseam.{part}")
    for name in module.__all__:
        assert f"`{name}" in page, name
        item = getattr(module, name)
        assert item.__doc__, name
        for member, value in vars(item).items() if inspect.isclass(item) else ():
            if not member.startswith("_") and inspect.isfunction(value):
                assert value.__doc__, f"{name}.{member}"


@pytest.mark.parametrize("part", PARTS)
def test_part_loads_without_sockets(part: str) -> None:
    banned = ("trio", "httpx", "socket")
    code = f"import sys, fescueseam.{part}; assert not set({banned}) & set(sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], timeout=20).returncode == 0


def test_example_runs_no_job_twice_and_most_of_them_once() -> None:
    run_jobs = runpy.run_path(str(EXAMPLE))["run_jobs"]
    for seed in range(SEED, SEED + 20):
        outcome = run_jobs(seed)
        assert outcome.repeated == 0
        assert outcome.done > 0.9 * len(outcome.runs)
        first_tries = outcome.asked - outcome.retried
        assert outcome.retried <= 0.1 * first_tries + 2 * 3


def test_example_fails_without_claims(monkeypatch: pytest.MonkeyPatch) -> None:
    registry = importlib.import_module("fescueseam.claims.registry").ClaimRegistry
    monkeypatch.setattr(registry, "grant", lambda *arguments: True)
    assert runpy.run_path(str(EXAMPLE))["run_jobs"](SEED).repeated > 0

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
PUBLIC_MODULES = ("versions", "membership", "admission", "claims", "retries")
SEED = int(os.environ.get("SEED", "1"))


@pytest.mark.parametrize("module_name", PUBLIC_MODULES)
def test_reference_page_lists_every_public_name_and_each_has_a_doc_string(module_name: str) -> None:
    page = (ROOT / "docs" / "reference" / "library.md").read_text()
    module = importlib.import_module(f"fescueseam.{module_name}")
    for name in module.__all__:
        assert f"`{name}" in page, name
        public_object = getattr(module, name)
        assert public_object.__doc__, name
        for member, value in vars(public_object).items() if inspect.isclass(public_object) else ():
            if not member.startswith("_") and inspect.isfunction(value):
                assert value.__doc__, f"{name}.{member}"


@pytest.mark.parametrize("module_name", PUBLIC_MODULES)
def test_module_imports_no_network_library(module_name: str) -> None:
    forbidden = ("trio", "httpx", "socket")
    code = f"import sys, fescueseam.{module_name}; assert not set({forbidden}) & set(sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], timeout=20).returncode == 0


def test_example_runs_most_jobs_once_and_none_twice() -> None:
    run_jobs = runpy.run_path(str(EXAMPLE))["run_jobs"]
    for seed in range(SEED, SEED + 20):
        outcome = run_jobs(seed)
        assert outcome.repeated == 0
        assert outcome.completed > 0.9 * len(outcome.runs)
        first_tries = outcome.calls - outcome.retries
        assert outcome.retries <= 0.1 * first_tries + 2 * 3


def test_example_repeats_jobs_if_every_claim_is_granted(monkeypatch: pytest.MonkeyPatch) -> None:
    registry = importlib.import_module("fescueseam.claims.registry").ClaimRegistry
    monkeypatch.setattr(registry, "grant", lambda *arguments: True)
    assert runpy.run_path(str(EXAMPLE))["run_jobs"](SEED).repeated > 0

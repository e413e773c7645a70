"""Measure everything and print one JSON object a line."""

import multiprocessing
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import typer

from ..world.deployments import DEPLOYMENTS
from . import jobs
from .jobs import Job, Size
from .results import Result, render_result
from .variants import DEPLOYMENT_NAMES, FESCUESEAM, HASHING, TABLE, VARIANTS

WORKERS = 2


def list_jobs(seed: int, size: Size) -> list[Job]:
    """Return every job that may run beside others, the longest first."""
    found = []
    for deployment in reversed(DEPLOYMENT_NAMES):
        for variant in (jobs.HIDDEN_ENDS, *VARIANTS):
            found.append(Job(jobs.BALANCE, variant, deployment, seed, size))
        found.append(Job(jobs.IDEALS, jobs.IDEAL, deployment, seed, size))
    for deployment in DEPLOYMENTS:
        for variant in (FESCUESEAM, HASHING, TABLE):
            for kind in (jobs.CHANGES, jobs.ONCE, jobs.DEPARTURE):
                found.append(Job(kind, variant, deployment, seed, size))
    return found


def measure_all(seed: int, size: Size, workers: int) -> Iterator[Result]:
    """Yield every result; what is timed runs first and alone."""
    timed = Job(jobs.FORWARDING, FESCUESEAM, "", seed, size)
    yield from jobs.run_job(timed)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        for results in pool.map(jobs.run_job, list_jobs(seed, size)):
            yield from results


def main(seed: int = 1, quick: bool = False, full: bool = False, workers: int = WORKERS) -> None:
    """Print each measure of each variant as one JSON object a line."""
    size = jobs.FULL if full else jobs.QUICK if quick else jobs.NORMAL
    for result in measure_all(seed, size, workers):
        print(render_result(result), flush=True)


if __name__ == "__main__":
    typer.run(main)

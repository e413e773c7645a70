"""Run every measurement and print each result as one JSON object per line."""

import multiprocessing
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

import typer

from ..world.deployments import DEPLOYMENTS
from . import jobs, one_slot
from .jobs import Job, MeasurementSize
from .one_slot_demand import DEMANDS
from .results import Result, render_result
from .variants import CONNECTION_TABLE, CONSISTENT_HASHING, DEPLOYMENT_NAMES, FESCUESEAM, VARIANTS

DEFAULT_WORKERS = 2


def list_jobs(seed: int, size: MeasurementSize) -> list[Job]:
    """Return the jobs that may run in parallel, longest first."""
    job_list = []
    for deployment in reversed(DEPLOYMENT_NAMES):
        for variant in (jobs.FESCUESEAM_ENDS_HIDDEN, *VARIANTS):
            job_list.append(Job(jobs.BALANCE, variant, deployment, seed, size))
        job_list.append(Job(jobs.IDEAL_POOLS, jobs.IDEAL_POOL, deployment, seed, size))
    for deployment in DEPLOYMENTS:
        for variant in (FESCUESEAM, CONSISTENT_HASHING, CONNECTION_TABLE):
            for kind in (jobs.BROKEN_FLOWS, jobs.AT_MOST_ONCE, jobs.DATA_CENTRE_OUT):
                job_list.append(Job(kind, variant, deployment, seed, size))
    job_list += [
        Job(jobs.ONE_SLOT, way, demand, seed, size) for way in one_slot.WAYS for demand in DEMANDS
    ]
    return job_list


def measure_all(seed: int, size: MeasurementSize, workers: int) -> Iterator[Result]:
    """Yield every result; the forwarding job measures real time, so it runs first and alone."""
    forwarding_job = Job(jobs.FORWARDING, FESCUESEAM, "", seed, size)
    yield from jobs.run_job(forwarding_job)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as pool:
        for results in pool.map(jobs.run_job, list_jobs(seed, size)):
            yield from results


def main(
    seed: int = 1, quick: bool = False, full: bool = False, workers: int = DEFAULT_WORKERS
) -> None:
    """Print each measure of each variant as one JSON object per line."""
    size = jobs.FULL if full else jobs.QUICK if quick else jobs.NORMAL
    for result in measure_all(seed, size, workers):
        print(render_result(result), flush=True)


if __name__ == "__main__":
    typer.run(main)

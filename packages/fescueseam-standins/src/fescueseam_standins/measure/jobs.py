"""Turn each measurement into results; every job can run in a process of its own."""

from collections.abc import Callable

from attrs import frozen

from .at_most_once import measure_runs
from .balance import Balance, measure_balance, measure_ideal
from .broken_flows import measure_breaks
from .data_centre_out import measure_departure
from .forwarding import LARGE_BYTES, SMALL_BYTES, measure_forwarding
from .ideal_pool import PoolOutcome, choose_fastest, choose_least_used
from .results import Measure, Result, make_result
from .variants import FESCUESEAM

IDEAL = "ideal-pool"
IDEAL_FASTEST = "ideal-pool-fastest-first"
HIDDEN_ENDS = "fescueseam-ends-hidden"
"""Name the runs in which agents are not told the ends of flows."""
MICROSECONDS = 1e6


@frozen
class Size:
    """Hold how much is measured."""

    balance_s: float
    streams: int
    single_calls: int
    frequent_streams: int
    batches: int


QUICK = Size(20.0, 60, 60, 10, 3)
NORMAL = Size(300.0, 3000, 10_000, 150, 60)
FULL = Size(900.0, 50_000, 50_000, 150, 200)
"""Reach the 100,000 flows of the targets over both deployments; takes tens of minutes."""


@frozen
class Job:
    """Name one measurement."""

    kind: str
    variant: str
    deployment: str
    seed: int
    size: Size


def run_job(job: Job) -> list[Result]:
    """Run one measurement."""
    return _KINDS[job.kind](job)


def run_forwarding(job: Job) -> list[Result]:
    """Time the balancer beside a relay."""
    results = []
    for payload_bytes in (SMALL_BYTES, LARGE_BYTES):
        timing = measure_forwarding(payload_bytes, job.seed, job.size.batches)
        name = f"{payload_bytes}-byte packets"
        rate = 1 / timing.balancer_s
        results += [
            make_result(Measure.RELAY_RATIO, FESCUESEAM, name, job.seed, timing.ratio, "ratio"),
            make_result(Measure.PACKET_RATE, FESCUESEAM, name, job.seed, rate, "packets/s"),
            make_result(
                Measure.PACKET_RATE, "relay", name, job.seed, 1 / timing.relay_s, "packets/s"
            ),
        ]
    return results


def run_balance(job: Job) -> list[Result]:
    """Measure balance and refusals, and the ideal on the same work."""
    hidden = job.variant == HIDDEN_ENDS
    variant = FESCUESEAM if hidden else job.variant
    balances = measure_balance(variant, job.deployment, job.seed, job.size.balance_s, not hidden)
    ideal = measure_ideal(job.deployment, job.seed, job.size.balance_s)
    results = []
    for balance in balances:
        results += describe_balance(job, balance, ideal[balance.service])
    return results


def describe_balance(job: Job, balance: Balance, ideal: PoolOutcome) -> list[Result]:
    """Return the results of one service."""
    place = f"{job.deployment}/{balance.service}"

    def result(measure: Measure, value: float, unit: str) -> Result:
        return make_result(measure, job.variant, place, job.seed, value, unit)

    share = (balance.refused + balance.silent) / max(1, balance.offered)
    return [
        result(Measure.IMBALANCE, balance.imbalance, "greatest over mean"),
        result(Measure.REFUSED_SHARE, share, "share"),
        result(Measure.REFUSED, compare_refused(balance, ideal), "ratio"),
        result(Measure.REFUSED_FREE, balance.free_refused, f"of {balance.offered}"),
    ]


def compare_refused(balance: Balance, ideal: PoolOutcome) -> float:
    """Return the refused work over the ideal's; one stands in for an ideal that refused none."""
    return (balance.refused + balance.silent) / max(1, ideal.refused)


def run_ideal(job: Job) -> list[Result]:
    """Print what the ideal pools do with the same work."""
    results = []
    for name, choose in ((IDEAL, choose_least_used), (IDEAL_FASTEST, choose_fastest)):
        outcomes = measure_ideal(job.deployment, job.seed, job.size.balance_s, choose)
        for service, outcome in outcomes.items():
            place = f"{job.deployment}/{service}"
            share = outcome.refused / max(1, outcome.offered)
            results += [
                make_result(
                    Measure.IMBALANCE,
                    name,
                    place,
                    job.seed,
                    outcome.imbalance,
                    "greatest over mean",
                ),
                make_result(Measure.REFUSED_SHARE, name, place, job.seed, share, "share"),
            ]
    return results


def run_changes(job: Job) -> list[Result]:
    """Count broken flows."""
    breaks = measure_breaks(job.variant, job.deployment, job.seed, job.size.streams)
    unit = f"of {breaks.flows}"

    def result(measure: Measure, value: int) -> Result:
        return make_result(measure, job.variant, job.deployment, job.seed, value, unit)

    return [
        result(Measure.BROKEN_CHANGES, breaks.by_changes),
        result(Measure.BROKEN_DEATH, breaks.of_others_by_death),
    ]


def run_departure(job: Job) -> list[Result]:
    """Measure service while a data centre leaves and returns."""
    seen = measure_departure(job.variant, job.deployment, job.seed, job.size.frequent_streams)
    share = seen.answered / max(1, seen.offered)

    def result(measure: Measure, value: float, unit: str) -> Result:
        return make_result(measure, job.variant, job.deployment, job.seed, value, unit)

    return [
        result(Measure.SERVICE_LEAVING, share, f"share of {seen.offered}"),
        result(Measure.LAST_PACKET, seen.last_packet_s, "s"),
        result(Measure.OVER_ADMISSION, seen.overloads, "overloads"),
    ]


def run_once(job: Job) -> list[Result]:
    """Count double runs and false refusals."""
    runs = measure_runs(job.variant, job.deployment, job.seed, job.size.single_calls)
    unit = f"of {runs.calls}, {runs.answered} answered"

    def result(measure: Measure, value: int) -> Result:
        return make_result(measure, job.variant, job.deployment, job.seed, value, unit)

    return [
        result(Measure.DOUBLE_RUNS, runs.doubled),
        result(Measure.FALSE_NOT_RUN, runs.refused_but_run),
    ]


FORWARDING = "forwarding"
BALANCE = "balance"
CHANGES = "changes"
DEPARTURE = "departure"
ONCE = "once"
IDEALS = "ideals"

_KINDS: dict[str, Callable[[Job], list[Result]]] = {
    FORWARDING: run_forwarding,
    BALANCE: run_balance,
    IDEALS: run_ideal,
    CHANGES: run_changes,
    DEPARTURE: run_departure,
    ONCE: run_once,
}

"""Run measurements as jobs and turn them into results; each job can run in its own process."""

from collections.abc import Callable

from attrs import frozen

from .at_most_once import measure_at_most_once
from .balance import BalanceResult, measure_balance, measure_ideal_pools
from .broken_flows import measure_broken_flows
from .data_centre_out import measure_data_centre_out
from .forwarding import LARGE_PAYLOAD_BYTES, SMALL_PAYLOAD_BYTES, measure_forwarding
from .ideal_pool import PoolResult, choose_fastest, choose_least_used
from .one_slot import measure_one_slot
from .one_slot_demand import DEMANDS
from .results import Measure, Result, make_result
from .variants import FESCUESEAM

IDEAL_POOL = "ideal-pool"
IDEAL_POOL_FASTEST_FIRST = "ideal-pool-fastest-first"
FESCUESEAM_ENDS_HIDDEN = "fescueseam-ends-hidden"
"""Variant in which agents are not told when flows end."""


@frozen
class MeasurementSize:
    """Simulated time and amounts of traffic to measure."""

    balance_time_s: float
    stream_count: int
    at_most_once_call_count: int
    frequent_stream_count: int
    """Number of streams whose frequent packets time the last delivery into a data centre."""
    forwarding_rounds: int
    one_slot_time_s: float


QUICK = MeasurementSize(20.0, 60, 60, 10, 3, 1.0)
NORMAL = MeasurementSize(300.0, 3000, 10_000, 150, 60, 10.0)
FULL = MeasurementSize(900.0, 50_000, 50_000, 150, 200, 60.0)
"""Reaches the targets' 100,000 flows over both deployments; takes tens of minutes."""


@frozen
class Job:
    """One measurement of a variant on a deployment."""

    kind: str
    variant: str
    deployment: str
    seed: int
    size: MeasurementSize


def run_job(job: Job) -> list[Result]:
    """Run a job and return its results."""
    return _RUN_FUNCTIONS[job.kind](job)


def run_forwarding(job: Job) -> list[Result]:
    """Time the balancer's packet path against a relay."""
    results = []
    for payload_bytes in (SMALL_PAYLOAD_BYTES, LARGE_PAYLOAD_BYTES):
        times = measure_forwarding(payload_bytes, job.seed, job.size.forwarding_rounds)
        name = f"{payload_bytes}-byte packets"
        rate = 1 / times.balancer_s
        results += [
            make_result(
                Measure.BALANCER_TIME_OVER_RELAY, FESCUESEAM, name, job.seed, times.ratio, "ratio"
            ),
            make_result(Measure.PACKETS_PER_SECOND, FESCUESEAM, name, job.seed, rate, "packets/s"),
            make_result(
                Measure.PACKETS_PER_SECOND, "relay", name, job.seed, 1 / times.relay_s, "packets/s"
            ),
        ]
    return results


def run_balance(job: Job) -> list[Result]:
    """Measure balance and refusals, compared with the ideal pool on the same workload."""
    ends_hidden = job.variant == FESCUESEAM_ENDS_HIDDEN
    variant = FESCUESEAM if ends_hidden else job.variant
    balances = measure_balance(
        variant, job.deployment, job.seed, job.size.balance_time_s, not ends_hidden
    )
    ideal = measure_ideal_pools(job.deployment, job.seed, job.size.balance_time_s)
    results = []
    for balance in balances:
        results += make_balance_results(job, balance, ideal[balance.service])
    return results


def make_balance_results(job: Job, balance: BalanceResult, ideal: PoolResult) -> list[Result]:
    """Return the balance and refusal results of one service."""
    scope = f"{job.deployment}/{balance.service}"

    def build_result(measure: Measure, value: float, unit: str) -> Result:
        return make_result(measure, job.variant, scope, job.seed, value, unit)

    share = (balance.refused + balance.unanswered) / max(1, balance.offered)
    return [
        build_result(Measure.IMBALANCE, balance.imbalance, "greatest over mean"),
        build_result(Measure.REFUSED_SHARE, share, "share"),
        build_result(Measure.REFUSED_OVER_IDEAL, compute_refused_ratio(balance, ideal), "ratio"),
        build_result(
            Measure.REFUSED_WHILE_FREE, balance.refused_while_free, f"of {balance.offered}"
        ),
    ]


def compute_refused_ratio(balance: BalanceResult, ideal: PoolResult) -> float:
    """Return refused calls over the ideal pool's; zero refusals of the ideal count as one."""
    return (balance.refused + balance.unanswered) / max(1, ideal.refused)


def run_ideal_pools(job: Job) -> list[Result]:
    """Run the ideal pools on the same workload."""
    results = []
    for name, choose in (
        (IDEAL_POOL, choose_least_used),
        (IDEAL_POOL_FASTEST_FIRST, choose_fastest),
    ):
        outcomes = measure_ideal_pools(job.deployment, job.seed, job.size.balance_time_s, choose)
        for service, outcome in outcomes.items():
            scope = f"{job.deployment}/{service}"
            share = outcome.refused / max(1, outcome.offered)
            results += [
                make_result(
                    Measure.IMBALANCE,
                    name,
                    scope,
                    job.seed,
                    outcome.imbalance,
                    "greatest over mean",
                ),
                make_result(Measure.REFUSED_SHARE, name, scope, job.seed, share, "share"),
            ]
    return results


def run_broken_flows(job: Job) -> list[Result]:
    """Count the flows broken by changes and by a kill."""
    counts = measure_broken_flows(job.variant, job.deployment, job.seed, job.size.stream_count)
    unit = f"of {counts.opened}"

    def build_result(measure: Measure, value: int) -> Result:
        return make_result(measure, job.variant, job.deployment, job.seed, value, unit)

    return [
        build_result(Measure.BROKEN_FLOWS_OVER_CHANGES, counts.broken_by_changes),
        build_result(Measure.BROKEN_FLOWS_AFTER_KILL, counts.broken_elsewhere_by_kill),
    ]


def run_data_centre_out(job: Job) -> list[Result]:
    """Measure service while a data centre is out and after its return."""
    outcome = measure_data_centre_out(
        job.variant, job.deployment, job.seed, job.size.frequent_stream_count
    )
    share = outcome.answered / max(1, outcome.offered)

    def build_result(measure: Measure, value: float, unit: str) -> Result:
        return make_result(measure, job.variant, job.deployment, job.seed, value, unit)

    return [
        build_result(Measure.ANSWERED_SHARE_DATA_CENTRE_OUT, share, f"share of {outcome.offered}"),
        build_result(Measure.LAST_PACKET_DATA_CENTRE_OUT, outcome.last_packet_delay_s, "s"),
        build_result(Measure.OVER_ADMISSION_COLD_SERVER, outcome.overloads, "overloads"),
    ]


def run_at_most_once(job: Job) -> list[Result]:
    """Count repeated runs and refused calls that ran."""
    counts = measure_at_most_once(
        job.variant, job.deployment, job.seed, job.size.at_most_once_call_count
    )
    unit = f"of {counts.opened}, {counts.answered} answered"

    def build_result(measure: Measure, value: int) -> Result:
        return make_result(measure, job.variant, job.deployment, job.seed, value, unit)

    return [
        build_result(Measure.DOUBLE_RUNS, counts.double_runs),
        build_result(Measure.FALSE_NOT_RUN, counts.refused_but_run),
    ]


def run_one_slot(job: Job) -> list[Result]:
    """Measure one way to place short requests on many servers with one slot."""
    demand = DEMANDS[job.deployment]
    time_s = job.size.one_slot_time_s
    outcome = measure_one_slot(job.variant, job.seed, time_s, demand=demand)
    return [
        make_result(measure, job.variant, job.deployment, job.seed, value, unit)
        for measure, value, unit in (
            (Measure.QUEUED_SHARE, outcome.queued_share, "share"),
            (Measure.PLACEMENT_TIME_P99, outcome.placement_p99_s, "s"),
            (Measure.WAIT_P99, outcome.wait_p99_s, "s"),
            (Measure.LATE_SHARE, outcome.late_share, "share"),
            (Measure.MESSAGES_PER_FLOW, outcome.messages_per_flow, "messages"),
        )
    ]


FORWARDING = "forwarding"
BALANCE = "balance"
BROKEN_FLOWS = "changes"
DATA_CENTRE_OUT = "departure"
AT_MOST_ONCE = "once"
IDEAL_POOLS = "ideals"
ONE_SLOT = "one-slot"

_RUN_FUNCTIONS: dict[str, Callable[[Job], list[Result]]] = {
    FORWARDING: run_forwarding,
    BALANCE: run_balance,
    IDEAL_POOLS: run_ideal_pools,
    BROKEN_FLOWS: run_broken_flows,
    DATA_CENTRE_OUT: run_data_centre_out,
    AT_MOST_ONCE: run_at_most_once,
    ONE_SLOT: run_one_slot,
}

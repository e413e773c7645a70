"""Measure load imbalance and refusals at a steady load."""

from collections import Counter

from attrs import frozen

from fescueseam.conf.models import FlowKind, Service, ServiceClass

from ..world.backend import Misreport
from ..world.calls import Outcome
from ..world.world import World
from .ideal_pool import ChooseServer, PoolResult, choose_least_used, run_pool
from .variants import REPORT_LAG_S, MeasuredWorld, make_deployment, make_world
from .workload import (
    compute_arrival_rate,
    compute_mean_service_time,
    list_speeds,
    make_arrivals,
    schedule_arrivals,
)

SETTLE_TIME_S = 120.0
"""Time before the measurement starts, in seconds; calls opened in it are not counted."""
MEASUREMENT_TIME_S = 900.0


@frozen
class BalanceResult:
    """Outcomes of the requests to one service."""

    service: str
    offered: int
    refused: int
    unanswered: int
    refused_while_free: int
    """Refusals while at least a tenth of the service's slots was free."""
    imbalance: float
    """Greatest slot time used at a backend server, over the mean of the service's servers."""


def find_request_class(service: Service) -> ServiceClass:
    """Return the first request class of a service."""
    return next(item for item in service.classes if item.kind is FlowKind.REQUEST)


def measure_balance(
    variant: str,
    deployment_name: str,
    seed: int,
    measurement_time_s: float = MEASUREMENT_TIME_S,
    reports_flow_ends: bool = True,
) -> list[BalanceResult]:
    """Offer the workload of every service at once and return each service's outcomes."""
    deployment = make_deployment(deployment_name)
    world = make_world(variant, deployment, seed)
    world.reports_flow_ends = reports_flow_ends
    world.measurement_start_s = SETTLE_TIME_S
    world.start()
    for backend in world.backends.values():
        backend.misreport = Misreport(lag_s=REPORT_LAG_S)
    end = SETTLE_TIME_S + measurement_time_s
    for service in world.cfg.services:
        service_class = find_request_class(service)
        mean_service_time_s = compute_mean_service_time(deployment, service, service_class)
        rate = compute_arrival_rate(deployment, service, mean_service_time_s)
        arrivals = make_arrivals(f"{seed}/{service.name}", rate, mean_service_time_s, end)
        schedule_arrivals(world, service, service_class, arrivals)
    world.run_until(SETTLE_TIME_S)
    before = read_busy_seconds(world)
    world.run_until(end)
    after = read_busy_seconds(world)
    busy_seconds = {name: after[name] - before[name] for name in after}
    return [make_balance_result(world, service, busy_seconds) for service in world.cfg.services]


def read_busy_seconds(world: World) -> dict[str, float]:
    """Return the slot seconds that each backend server has used so far."""
    return {name: item.compute_busy_seconds() for name, item in world.backends.items()}


def make_balance_result(
    world: MeasuredWorld, service: Service, busy_seconds: dict[str, float]
) -> BalanceResult:
    """Count the outcomes of one service's calls and compute its imbalance."""
    loads = [
        busy_seconds[name] for name, item in world.backends.items() if item.service == service.name
    ]
    outcomes: Counter[Outcome] = Counter()
    for call in world.calls.values():
        if call.service == service.name and call.started_at >= SETTLE_TIME_S:
            outcomes[call.outcome] += 1
    return BalanceResult(
        service.name,
        outcomes.total(),
        outcomes[Outcome.REFUSED],
        outcomes[Outcome.SILENT],
        world.refusals_while_free[service.name],
        max(loads) / (sum(loads) / len(loads)),
    )


def measure_ideal_pools(
    deployment_name: str,
    seed: int,
    measurement_time_s: float = MEASUREMENT_TIME_S,
    choose: ChooseServer = choose_least_used,
) -> dict[str, PoolResult]:
    """Run the same workload through an ideal shared pool for each service."""
    deployment = make_deployment(deployment_name)
    outcomes = {}
    for service in deployment.configuration.services:
        service_class = find_request_class(service)
        mean_service_time_s = compute_mean_service_time(deployment, service, service_class)
        rate = compute_arrival_rate(deployment, service, mean_service_time_s)
        arrivals = make_arrivals(
            f"{seed}/{service.name}", rate, mean_service_time_s, SETTLE_TIME_S + measurement_time_s
        )
        outcomes[service.name] = run_pool(
            list_speeds(deployment, service.name),
            service.admission.slots,
            service_class.wait_s,
            arrivals,
            choose,
            SETTLE_TIME_S,
        )
    return outcomes

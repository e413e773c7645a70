"""Measure imbalance and refusals at a steady load."""

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
MEASUREMENT_TIME_S = 900.0


@frozen
class BalanceResult:
    """Hold what a variant did with the work of one service."""

    service: str
    offered: int
    refused: int
    unanswered: int
    refused_while_free: int
    """Count refusals while a tenth of the slots was free."""
    imbalance: float


def find_request_class(service: Service) -> ServiceClass:
    """Return the first class of requests."""
    return next(item for item in service.classes if item.kind is FlowKind.REQUEST)


def measure_balance(
    variant: str,
    deployment_name: str,
    seed: int,
    measurement_time_s: float = MEASUREMENT_TIME_S,
    ends_seen: bool = True,
) -> list[BalanceResult]:
    """Run the work of every service of a deployment at once."""
    deployment = make_deployment(deployment_name)
    world = make_world(variant, deployment, seed)
    world.reports_flow_ends = ends_seen
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
    busy = {name: after[name] - before[name] for name in after}
    return [make_balance_result(world, service, busy) for service in world.cfg.services]


def read_busy_seconds(world: World) -> dict[str, float]:
    """Return the slot seconds used at each backend server so far."""
    return {name: item.compute_busy_seconds() for name, item in world.backends.items()}


def make_balance_result(
    world: MeasuredWorld, service: Service, busy: dict[str, float]
) -> BalanceResult:
    """Return what became of one service's work."""
    loads = [busy[name] for name, item in world.backends.items() if item.service == service.name]
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
    """Run the same work through one shared pool of each service."""
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

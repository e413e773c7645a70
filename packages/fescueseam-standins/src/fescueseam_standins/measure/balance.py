"""Measure imbalance and refusals at a steady load."""

from collections import Counter

from attrs import frozen

from fescueseam.conf.models import FlowKind, Service, ServiceClass

from ..world.backend import Misreport
from ..world.calls import Outcome
from ..world.world import World
from .ideal_pool import ChooseServer, PoolOutcome, choose_least_used, run_pool
from .variants import REPORT_LAG_S, MeasuredWorld, make_deployment, make_world
from .workload import list_speeds, make_arrivals, mean_rate, mean_size, offer

SETTLE_S = 120.0
MEASURED_S = 900.0


@frozen
class Balance:
    """Hold what a variant did with the work of one service."""

    service: str
    offered: int
    refused: int
    silent: int
    free_refused: int
    """Count refusals while a tenth of the slots was free."""
    imbalance: float


def find_request_class(service: Service) -> ServiceClass:
    """Return the first class of requests."""
    return next(item for item in service.classes if item.kind is FlowKind.REQUEST)


def measure_balance(
    variant: str, name: str, seed: int, measured_s: float = MEASURED_S, ends_seen: bool = True
) -> list[Balance]:
    """Run the work of every service of a deployment at once."""
    deployment = make_deployment(name)
    world = make_world(variant, deployment, seed)
    world.ends_seen = ends_seen
    world.measured_from = SETTLE_S
    world.start()
    for backend in world.backends.values():
        backend.misreport = Misreport(lag_s=REPORT_LAG_S)
    end = SETTLE_S + measured_s
    for service in world.cfg.services:
        service_class = find_request_class(service)
        mean_s = mean_size(deployment, service, service_class)
        rate = mean_rate(deployment, service, mean_s)
        arrivals = make_arrivals(f"{seed}/{service.name}", rate, mean_s, end)
        offer(world, service, service_class, arrivals)
    world.run_until(SETTLE_S)
    before = read_busy_seconds(world)
    world.run_until(end)
    after = read_busy_seconds(world)
    busy = {name: after[name] - before[name] for name in after}
    return [summarize(world, service, busy) for service in world.cfg.services]


def read_busy_seconds(world: World) -> dict[str, float]:
    """Return the slot seconds used at each backend server so far."""
    return {name: item.measure_busy_seconds() for name, item in world.backends.items()}


def summarize(world: MeasuredWorld, service: Service, busy: dict[str, float]) -> Balance:
    """Return what became of one service's work."""
    loads = [busy[name] for name, item in world.backends.items() if item.service == service.name]
    outcomes: Counter[Outcome] = Counter()
    for call in world.calls.values():
        if call.service == service.name and call.started >= SETTLE_S:
            outcomes[call.outcome] += 1
    return Balance(
        service.name,
        outcomes.total(),
        outcomes[Outcome.REFUSED],
        outcomes[Outcome.SILENT],
        world.free_at_refusal[service.name],
        max(loads) / (sum(loads) / len(loads)),
    )


def measure_ideal(
    name: str, seed: int, measured_s: float = MEASURED_S, choose: ChooseServer = choose_least_used
) -> dict[str, PoolOutcome]:
    """Run the same work through one shared pool of each service."""
    deployment = make_deployment(name)
    outcomes = {}
    for service in deployment.configuration.services:
        service_class = find_request_class(service)
        mean_s = mean_size(deployment, service, service_class)
        rate = mean_rate(deployment, service, mean_s)
        arrivals = make_arrivals(f"{seed}/{service.name}", rate, mean_s, SETTLE_S + measured_s)
        outcomes[service.name] = run_pool(
            list_speeds(deployment, service.name),
            service.admission.slots,
            service_class.wait_s,
            arrivals,
            choose,
            SETTLE_S,
        )
    return outcomes

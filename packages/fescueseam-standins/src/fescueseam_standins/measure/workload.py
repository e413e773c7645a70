"""Make the seeded workload that every variant is given."""

import random
from collections.abc import Iterator

from attrs import frozen

from fescueseam.conf.models import Service, ServiceClass

from ..world.deployments import Deployment
from ..world.world import World

LOAD_SHARE = 0.8
"""Offered load as a share of what all slots together can serve."""
MAX_WAIT_SHARE = 0.3
"""Longest wait for a slot before a refusal, as a share of the mean service time."""


@frozen
class Arrival:
    """Time at which a call opens, and its service time at a server of speed one, in seconds."""

    time: float
    service_time_s: float


def make_arrivals(
    seed: str, rate: float, mean_service_time_s: float, end: float
) -> Iterator[Arrival]:
    """Yield arrivals of a Poisson process with exponential service times."""
    rng = random.Random(seed)
    time = rng.expovariate(rate)
    while time < end:
        yield Arrival(time, rng.expovariate(1 / mean_service_time_s))
        time += rng.expovariate(rate)


def list_speeds(deployment: Deployment, service: str) -> tuple[float, ...]:
    """Return the speeds of a service's backend servers."""
    return tuple(plan.speed for plan in deployment.servers if plan.service == service)


def compute_mean_service_time(
    deployment: Deployment, service: Service, service_class: ServiceClass
) -> float:
    """Return the mean service time at a server of speed one, in seconds.

    It follows from the class's longest wait, which is `MAX_WAIT_SHARE` of the mean service time
    at a server of mean speed.
    """
    speeds = list_speeds(deployment, service.name)
    return service_class.wait_s / MAX_WAIT_SHARE * sum(speeds) / len(speeds)


def compute_arrival_rate(
    deployment: Deployment, service: Service, mean_service_time_s: float
) -> float:
    """Return the arrivals per second that offer `LOAD_SHARE` of the service's capacity."""
    capacity = service.admission.slots * sum(list_speeds(deployment, service.name))
    return LOAD_SHARE * capacity / mean_service_time_s


def schedule_arrivals(
    world: World, service: Service, service_class: ServiceClass, arrivals: Iterator[Arrival]
) -> None:
    """Open a call at each arrival; only the next arrival is scheduled at any time."""
    arrival = next(arrivals, None)
    if arrival is None:
        return
    service_time_s = arrival.service_time_s

    def open_call() -> None:
        world.callers.open_call(service, service_class, service_time_s)
        schedule_arrivals(world, service, service_class, arrivals)

    world.timeline.call_at(arrival.time, open_call)

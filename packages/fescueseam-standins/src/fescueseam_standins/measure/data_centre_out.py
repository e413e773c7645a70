"""Measure service while a data centre is out and after its return.

One balancer is cut off from the store for the whole measurement.
"""

from attrs import frozen

from fescueseam.conf.models import DataCentreState, FlowKind

from ..world.callers import CallerBehaviour
from ..world.calls import Outcome
from ..world.store import STORE
from .balance import find_request_class
from .variants import MeasuredWorld, make_deployment, make_world
from .workload import (
    LOAD_SHARE,
    Arrival,
    compute_arrival_rate,
    compute_mean_service_time,
    make_arrivals,
    schedule_arrivals,
)

DATA_CENTRE_OUT_AT_S = 40.0
SERVER_RESTART_AT_S = 60.0
DATA_CENTRE_IN_AT_S = 80.0
UNANNOUNCED_RESTART_AT_S = 110.0
"""Time at which a server of another data centre restarts unannounced, in seconds."""
MEASUREMENT_END_S = 150.0
DEFAULT_STREAM_COUNT = 150
STREAM_START_INTERVAL_S = 0.1
STREAM_PACKET_INTERVAL_S = 0.5
REDUCED_LOAD_SHARE = 0.5
"""Offered load as a share of all slots, low enough for the remaining data centres."""


@frozen
class DataCentreOutResult:
    """Outcomes of the requests, and what the backend servers received."""

    offered: int
    answered: int
    last_packet_delay_s: float
    """Time from taking the data centre out to the last packet delivered into it, in seconds."""
    overloads: int
    """Number of times that a backend server was sent more than it can handle."""


def measure_data_centre_out(
    variant: str, deployment_name: str, seed: int, stream_count: int = DEFAULT_STREAM_COUNT
) -> DataCentreOutResult:
    """Take a data centre out, restart its servers cold, and take it in again.

    Later a server of another data centre restarts cold without an announcement.
    """
    deployment = make_deployment(deployment_name)
    world = make_world(variant, deployment, seed)
    world.uses_gossip = True
    world.callers.behaviour = CallerBehaviour(packet_interval_s=STREAM_PACKET_INTERVAL_S)
    world.start()
    data_centre = deployment.configuration.data_centres[0].name
    isolated_balancer = list(world.balancers)[-1]
    world.network.cut(isolated_balancer, STORE.name)
    world.network.cut(STORE.name, isolated_balancer)
    schedule_requests(world)
    schedule_streams(world, stream_count)
    last_delivery = LastDeliverySampler()
    timeline = world.timeline
    timeline.call_at(
        DATA_CENTRE_OUT_AT_S, lambda: world.set_data_centre_state(data_centre, DataCentreState.OUT)
    )
    timeline.call_at(SERVER_RESTART_AT_S, lambda: restart_data_centre_servers(world, data_centre))
    timeline.call_at(DATA_CENTRE_IN_AT_S - 0.001, lambda: last_delivery.sample(world, data_centre))
    timeline.call_at(
        DATA_CENTRE_IN_AT_S, lambda: world.set_data_centre_state(data_centre, DataCentreState.IN)
    )
    timeline.call_at(UNANNOUNCED_RESTART_AT_S, lambda: restart_server_outside(world, data_centre))
    world.run_until(MEASUREMENT_END_S)
    offered = [
        call
        for call in world.calls.values()
        if not call.is_stream and DATA_CENTRE_OUT_AT_S <= call.started_at < MEASUREMENT_END_S - 20
    ]
    return DataCentreOutResult(
        len(offered),
        sum(call.outcome is Outcome.ANSWERED for call in offered),
        max(0.0, last_delivery.last_delivered_at - DATA_CENTRE_OUT_AT_S),
        sum(backend.counts["overloads"] for backend in world.backends.values()),
    )


class LastDeliverySampler:
    """Time of the last delivery into a data centre, as of the moment of sampling."""

    last_delivered_at = 0.0

    def sample(self, world: MeasuredWorld, data_centre: str) -> None:
        """Read the time of the last delivery from the journal."""
        self.last_delivered_at = world.journal.last_delivered_at.get(data_centre, 0.0)


def schedule_requests(world: MeasuredWorld) -> None:
    """Offer requests to every service at the reduced load."""
    for service in world.cfg.services:
        service_class = find_request_class(service)
        mean_service_time_s = compute_mean_service_time(world.deployment, service, service_class)
        rate = (
            compute_arrival_rate(world.deployment, service, mean_service_time_s)
            * REDUCED_LOAD_SHARE
            / LOAD_SHARE
        )
        arrivals = make_arrivals(
            f"{world.seed}/{service.name}/centre", rate, mean_service_time_s, MEASUREMENT_END_S
        )
        schedule_arrivals(world, service, service_class, arrivals)


def schedule_streams(world: MeasuredWorld, stream_count: int) -> None:
    """Open streams with frequent packets, so that the last delivery is measured precisely."""
    service = world.cfg.services[0]
    service_class = next(item for item in service.classes if item.kind is FlowKind.STREAM)
    arrivals = (
        Arrival(1.0 + number * STREAM_START_INTERVAL_S, MEASUREMENT_END_S)
        for number in range(stream_count)
    )
    schedule_arrivals(world, service, service_class, arrivals)


def restart_data_centre_servers(world: MeasuredWorld, data_centre: str) -> None:
    """Restart every backend server of a data centre cold."""
    for plan in world.deployment.servers:
        if plan.data_centre == data_centre:
            world.backends[plan.name].restart()


def restart_server_outside(world: MeasuredWorld, data_centre: str) -> None:
    """Restart a backend server of another data centre cold, without announcing it."""
    plan = next(item for item in world.deployment.servers if item.data_centre != data_centre)
    world.backends[plan.name].restart()

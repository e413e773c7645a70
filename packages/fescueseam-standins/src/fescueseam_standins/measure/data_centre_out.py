"""Measure service while a data centre leaves and returns, with one balancer cut off."""

from attrs import frozen

from fescueseam.conf.models import DataCentreState, FlowKind

from ..world.callers import Habit
from ..world.calls import Outcome
from ..world.store import STORE
from .balance import find_request_class
from .variants import MeasuredWorld, make_deployment, make_world
from .workload import LOAD, Arrival, make_arrivals, mean_rate, mean_size, offer

OUT_AT_S = 40.0
RESTART_AT_S = 60.0
BACK_AT_S = 80.0
COLD_AT_S = 110.0
"""Let one more server return to a cold start without a word at this time."""
END_S = 150.0
STREAMS = 150
STREAM_STEP_S = 0.1
STREAM_PACKET_INTERVAL_S = 0.5
OFFERED_LOAD = 0.5
"""Offer this share of all slots, so that the data centres that stay can bear it."""


@frozen
class Departure:
    """Hold what callers and backend servers saw."""

    offered: int
    answered: int
    last_packet_s: float
    overloads: int


def measure_departure(variant: str, name: str, seed: int, streams: int = STREAMS) -> Departure:
    """Take a data centre out and back; its servers return to a cold start meanwhile."""
    deployment = make_deployment(name)
    world = make_world(variant, deployment, seed)
    world.gossips = True
    world.callers.habit = Habit(packet_interval_s=STREAM_PACKET_INTERVAL_S)
    world.start()
    centre = deployment.configuration.data_centres[0].name
    cut_off = list(world.entries)[-1]
    world.network.cut(cut_off, STORE.name)
    world.network.cut(STORE.name, cut_off)
    offer_load(world)
    open_streams(world, streams)
    last_packet = LastPacket()
    timeline = world.timeline
    timeline.at(OUT_AT_S, lambda: world.set_data_centre(centre, DataCentreState.OUT))
    timeline.at(RESTART_AT_S, lambda: restart_centre(world, centre))
    timeline.at(BACK_AT_S - 0.001, lambda: last_packet.read(world, centre))
    timeline.at(BACK_AT_S, lambda: world.set_data_centre(centre, DataCentreState.IN))
    timeline.at(COLD_AT_S, lambda: restart_one(world, centre))
    world.run_until(END_S)
    offered = [
        call
        for call in world.calls.values()
        if not call.is_stream and OUT_AT_S <= call.started < END_S - 20
    ]
    return Departure(
        len(offered),
        sum(call.outcome is Outcome.ANSWERED for call in offered),
        max(0.0, last_packet.time - OUT_AT_S),
        sum(backend.counts["overloads"] for backend in world.backends.values()),
    )


class LastPacket:
    """Remember when a packet was last delivered into a data centre."""

    time = 0.0

    def read(self, world: MeasuredWorld, centre: str) -> None:
        """Read the time from the journal."""
        self.time = world.journal.last_delivery.get(centre, 0.0)


def offer_load(world: MeasuredWorld) -> None:
    """Offer requests to every service."""
    for service in world.cfg.services:
        service_class = find_request_class(service)
        mean_s = mean_size(world.deployment, service, service_class)
        rate = mean_rate(world.deployment, service, mean_s) * OFFERED_LOAD / LOAD
        arrivals = make_arrivals(f"{world.seed}/{service.name}/centre", rate, mean_s, END_S)
        offer(world, service, service_class, arrivals)


def open_streams(world: MeasuredWorld, streams: int) -> None:
    """Open streams that send often, so that the last packet into a data centre is told well."""
    service = world.cfg.services[0]
    service_class = next(item for item in service.classes if item.kind is FlowKind.STREAM)
    arrivals = (Arrival(1.0 + number * STREAM_STEP_S, END_S) for number in range(streams))
    offer(world, service, service_class, arrivals)


def restart_centre(world: MeasuredWorld, centre: str) -> None:
    """Return every backend server of a data centre to a cold start."""
    for plan in world.deployment.servers:
        if plan.data_centre == centre:
            world.backends[plan.name].restart()


def restart_one(world: MeasuredWorld, centre: str) -> None:
    """Return one backend server of another data centre to a cold start, without a word."""
    plan = next(item for item in world.deployment.servers if item.data_centre != centre)
    world.backends[plan.name].restart()

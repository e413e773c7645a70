"""Count double runs and false refusals of work that may not be repeated."""

import random

from attrs import frozen

from fescueseam.routing.table import MemberState

from ..world.calls import Outcome
from ..world.network import LinkFaults
from .variants import MeasuredWorld, make_deployment, make_world
from .workload import Arrival, offer

FAULTS = LinkFaults(loss=0.02, duplicate=0.1, reorder=0.1, reorder_s=0.2)
CHANGE_INTERVAL_S = 4.0
SPREAD_S = 1.0
RATE = 60.0
SIZE_S = 0.05
START_S = 1.0
QUIET_S = 40.0
SETTLED_S = 12.0
"""Start after members grant claims again."""


@frozen
class Runs:
    """Hold how often work ran twice, and how often it ran although it was refused."""

    calls: int
    answered: int
    doubled: int
    refused_but_run: int


def measure_runs(variant: str, name: str, seed: int, calls: int) -> Runs:
    """Run single requests under duplicates, crossings, losses and table changes."""
    world = make_world(variant, make_deployment(name), seed)
    world.network.faults = FAULTS
    world.start()
    service = world.cfg.services[0]
    service_class = next(item for item in service.classes if not item.repeatable)
    arrivals = (Arrival(START_S + number / RATE, SIZE_S) for number in range(calls))
    offer(world, service, service_class, arrivals)
    end = START_S + calls / RATE
    rng = random.Random(f"{seed}/races")
    time = START_S
    while time < end:
        world.timeline.at(time, lambda: change_table(world, service.name, rng))
        time += CHANGE_INTERVAL_S
    world.run_until(end + QUIET_S)
    return Runs(
        len(world.calls),
        sum(call.outcome is Outcome.ANSWERED for call in world.calls.values()),
        sum(world.count_runs(call_id) > 1 for call_id in world.calls),
        sum(
            call.refusals > 0 and world.count_runs(call.call_id) > 0
            for call in world.calls.values()
        ),
    )


def change_table(world: MeasuredWorld, service: str, rng: random.Random) -> None:
    """Let one member leave the candidates, or all come back; views learn it unevenly."""
    members = world.tables[service].members
    leaving = [member.name for member in members if member.state is MemberState.LEAVING]
    if len(leaving) > 1:
        for name in leaving:
            world.set_member_state(name, MemberState.ACTIVE, SPREAD_S)
        return
    active = [member.name for member in members if member.state is MemberState.ACTIVE]
    world.set_member_state(rng.choice(active), MemberState.LEAVING, SPREAD_S)

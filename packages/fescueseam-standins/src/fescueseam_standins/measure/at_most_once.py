"""Count repeated runs and false refusals of requests that may not be repeated."""

import random

from attrs import frozen

from fescueseam.routing.table import MemberState

from ..world.calls import Outcome
from ..world.network import LinkFaults
from .variants import MeasuredWorld, make_deployment, make_world
from .workload import Arrival, schedule_arrivals

LINK_FAULTS = LinkFaults(loss=0.02, duplicate=0.1, reorder=0.1, max_reorder_delay_s=0.2)
CHANGE_INTERVAL_S = 4.0
MAX_PROPAGATION_DELAY_S = 1.0
"""Longest time until a process learns of a table change, in seconds."""
CALL_RATE_PER_S = 60.0
SERVICE_TIME_S = 0.05
FIRST_CALL_AT_S = 1.0
COMPLETION_TIME_S = 40.0
"""Time for open calls to end after the last arrival, in seconds."""


@frozen
class RunCounts:
    """Counts of calls that ran more than once, and of calls that ran although refused."""

    opened: int
    answered: int
    double_runs: int
    refused_but_run: int


def measure_at_most_once(
    variant: str, deployment_name: str, seed: int, call_count: int
) -> RunCounts:
    """Open non-repeatable requests under loss, duplication, reordering and table changes."""
    world = make_world(variant, make_deployment(deployment_name), seed)
    world.network.faults = LINK_FAULTS
    world.start()
    service = world.cfg.services[0]
    service_class = next(item for item in service.classes if not item.repeatable)
    arrivals = (
        Arrival(FIRST_CALL_AT_S + number / CALL_RATE_PER_S, SERVICE_TIME_S)
        for number in range(call_count)
    )
    schedule_arrivals(world, service, service_class, arrivals)
    end = FIRST_CALL_AT_S + call_count / CALL_RATE_PER_S
    rng = random.Random(f"{seed}/races")
    time = FIRST_CALL_AT_S
    while time < end:
        world.timeline.call_at(time, lambda: toggle_member_states(world, service.name, rng))
        time += CHANGE_INTERVAL_S
    world.run_until(end + COMPLETION_TIME_S)
    return RunCounts(
        len(world.calls),
        sum(call.outcome is Outcome.ANSWERED for call in world.calls.values()),
        sum(world.count_runs(call_id) > 1 for call_id in world.calls),
        sum(
            call.refusals > 0 and world.count_runs(call.call_id) > 0
            for call in world.calls.values()
        ),
    )


def toggle_member_states(world: MeasuredWorld, service: str, rng: random.Random) -> None:
    """Set a random member to leaving or, once two are leaving, set these to active again.

    Processes learn of the change at different times.
    """
    members = world.tables[service].members
    leaving = [member.name for member in members if member.state is MemberState.LEAVING]
    if len(leaving) > 1:
        for name in leaving:
            world.set_member_state(name, MemberState.ACTIVE, MAX_PROPAGATION_DELAY_S)
        return
    active = [member.name for member in members if member.state is MemberState.ACTIVE]
    world.set_member_state(rng.choice(active), MemberState.LEAVING, MAX_PROPAGATION_DELAY_S)

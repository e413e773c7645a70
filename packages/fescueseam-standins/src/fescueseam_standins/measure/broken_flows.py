"""Count the flows that break over planned changes and when one instance is killed."""

import random
from collections.abc import Callable
from functools import partial

from attrs import evolve, frozen

from fescueseam.conf.models import FlowKind
from fescueseam.routing.table import MemberState

from ..world.callers import CallerBehaviour
from ..world.calls import Call, Outcome
from .variants import MeasuredWorld, make_deployment, make_world
from .workload import Arrival, schedule_arrivals

CHANGE_COUNT = 50
CHANGE_INTERVAL_S = 3.0
MAX_PROPAGATION_DELAY_S = 2.0
"""Longest time until a process learns of a change, in seconds."""
STREAM_OPENING_PERIOD_S = 40.0
"""Period over which callers open the streams, in seconds."""
STREAM_DURATION_S = 1e6
"""Longer than the measurement, so that no stream ends by itself."""
STREAM_PACKET_INTERVAL_S = 20.0
FIRST_CHANGE_AT_S = 45.0
BREAK_DETECTION_TIME_S = 40.0
"""Time for callers to detect every broken flow after a change or a kill, in seconds."""


@frozen
class BrokenFlowCounts:
    """Counts of streams that were opened and that broke."""

    opened: int
    broken_by_changes: int
    broken_elsewhere_by_kill: int
    """Broken streams of servers other than the killed one."""


ApplyChange = Callable[[MeasuredWorld, random.Random], None]
"""Applies one planned change to the world."""


def replace_balancer(world: MeasuredWorld, rng: random.Random) -> None:
    """Start a balancer in the data centre of the oldest one, then kill the oldest."""
    oldest = next(iter(world.balancers))
    data_centre = world.balancers[oldest].location.data_centre
    number = 1 + max(int(name.rpartition("-")[2]) for name in world.balancers)
    world.start_balancer(f"entry-{number}", data_centre)
    world.balancers.pop(oldest).kill()


def drain_random_server(world: MeasuredWorld, rng: random.Random) -> None:
    """End every current drain, then drain a random server."""
    drained_names = [rule.name for rule in world.cfg.endpoints if rule.drain]
    for name in drained_names:
        world.drain_server(name, False, MAX_PROPAGATION_DELAY_S)
    world.drain_server(rng.choice(sorted(world.backends)), True, MAX_PROPAGATION_DELAY_S)


def toggle_member_state(world: MeasuredWorld, rng: random.Random) -> None:
    """Set a random member to leaving, or a leaving one to active; keep at least two active."""
    name = rng.choice(sorted(world.backends))
    service = world.backends[name].service
    members = world.tables[service].members
    state = next(member.state for member in members if member.name == name)
    active = sum(member.state is MemberState.ACTIVE for member in members)
    if state is MemberState.LEAVING:
        world.set_member_state(name, MemberState.ACTIVE, MAX_PROPAGATION_DELAY_S)
    elif active > 2:
        world.set_member_state(name, MemberState.LEAVING, MAX_PROPAGATION_DELAY_S)


def add_random_server(world: MeasuredWorld, rng: random.Random) -> None:
    """Add a backend server to a random service in a random data centre."""
    service = rng.choice(world.cfg.services).name
    data_centre = rng.choice(world.cfg.data_centres).name
    world.add_server(
        f"{service}-new-{len(world.backends)}", service, data_centre, 1.0, MAX_PROPAGATION_DELAY_S
    )


def publish_unchanged_configuration(world: MeasuredWorld, rng: random.Random) -> None:
    """Publish the configuration again as a new version."""
    world.publish_configuration(evolve(world.cfg), MAX_PROPAGATION_DELAY_S)


CHANGE_CYCLE: tuple[ApplyChange, ...] = (
    drain_random_server,
    toggle_member_state,
    publish_unchanged_configuration,
    toggle_member_state,
    add_random_server,
)
BALANCER_REPLACEMENT_CHANGES = (10, 30)
"""Indexes of the changes that replace a balancer: two of the three, more than half."""


def measure_broken_flows(
    variant: str, deployment_name: str, seed: int, stream_count: int
) -> BrokenFlowCounts:
    """Open long streams, apply the planned changes, then kill the busiest instance."""
    world = make_world(variant, make_deployment(deployment_name), seed)
    world.callers.behaviour = CallerBehaviour(packet_interval_s=STREAM_PACKET_INTERVAL_S)
    world.start()
    schedule_streams(world, seed, stream_count)
    rng = random.Random(f"{seed}/changes")
    for number in range(CHANGE_COUNT):
        apply_change = (
            replace_balancer
            if number in BALANCER_REPLACEMENT_CHANGES
            else CHANGE_CYCLE[number % len(CHANGE_CYCLE)]
        )
        time = FIRST_CHANGE_AT_S + number * CHANGE_INTERVAL_S
        world.timeline.call_at(time, partial(apply_change, world, rng))
    end = FIRST_CHANGE_AT_S + CHANGE_COUNT * CHANGE_INTERVAL_S + BREAK_DETECTION_TIME_S
    world.run_until(end)
    opened_calls = [call for call in world.calls.values() if call.accepted_at >= 0]
    broken_by_changes = sum(call.outcome is Outcome.BROKEN for call in opened_calls)
    return BrokenFlowCounts(
        len(opened_calls), broken_by_changes, kill_busiest_server(world, opened_calls)
    )


def schedule_streams(world: MeasuredWorld, seed: int, stream_count: int) -> None:
    """Open long streams at even intervals over the opening period."""
    service = world.cfg.services[0]
    service_class = next(item for item in service.classes if item.kind is FlowKind.STREAM)
    interval_s = STREAM_OPENING_PERIOD_S / stream_count
    arrivals = (
        Arrival(1.0 + number * interval_s, STREAM_DURATION_S) for number in range(stream_count)
    )
    schedule_arrivals(world, service, service_class, arrivals)


def kill_busiest_server(world: MeasuredWorld, opened_calls: list[Call]) -> int:
    """Kill the server with the most open streams; return how many streams of others broke."""
    open_calls = [call for call in opened_calls if call.outcome is Outcome.OPEN]
    if not open_calls:
        return 0
    servers = [call.server for call in open_calls]
    victim = max(sorted(set(servers)), key=servers.count)
    world.failure_detector.start()
    world.kill_server(victim)
    world.run_until(world.timeline.now + BREAK_DETECTION_TIME_S)
    return sum(call.outcome is Outcome.BROKEN and call.server != victim for call in open_calls)

"""Count the flows that planned changes and the death of one instance break."""

import random
from collections.abc import Callable
from functools import partial

from attrs import evolve, frozen

from fescueseam.conf.models import FlowKind
from fescueseam.routing.table import MemberState

from ..world.callers import Habit
from ..world.calls import Call, Outcome
from .variants import MeasuredWorld, make_deployment, make_world
from .workload import Arrival, offer

CHANGES = 50
CHANGE_INTERVAL_S = 3.0
SPREAD_S = 2.0
"""Let each process learn of a change up to this much later than the first one."""
OPENING_S = 40.0
STREAM_S = 1e6
PACKET_INTERVAL_S = 20.0
FIRST_CHANGE_S = 45.0
QUIET_S = 40.0
"""Wait this long after the last change, so that every broken flow has been noticed."""


@frozen
class Breaks:
    """Hold how many flows broke."""

    flows: int
    by_changes: int
    of_others_by_death: int


Change = Callable[[MeasuredWorld, random.Random], None]


def replace_balancer(world: MeasuredWorld, rng: random.Random) -> None:
    """Start a new balancer and stop the oldest one."""
    oldest = next(iter(world.entries))
    centre = world.entries[oldest].place.data_centre
    number = 1 + max(int(name.rpartition("-")[2]) for name in world.entries)
    world.start_entry(f"entry-{number}", centre)
    world.entries.pop(oldest).kill()


def drain(world: MeasuredWorld, rng: random.Random) -> None:
    """Drain one server, and take back the drain of any other."""
    rules = [rule.name for rule in world.cfg.endpoints if rule.drain]
    for name in rules:
        world.drain_server(name, False, SPREAD_S)
    world.drain_server(rng.choice(sorted(world.backends)), True, SPREAD_S)


def change_state(world: MeasuredWorld, rng: random.Random) -> None:
    """Let one member leave the candidates of its table, or come back."""
    name = rng.choice(sorted(world.backends))
    service = world.backends[name].service
    members = world.tables[service].members
    state = next(member.state for member in members if member.name == name)
    active = sum(member.state is MemberState.ACTIVE for member in members)
    if state is MemberState.LEAVING:
        world.set_member_state(name, MemberState.ACTIVE, SPREAD_S)
    elif active > 2:
        world.set_member_state(name, MemberState.LEAVING, SPREAD_S)


def add_server(world: MeasuredWorld, rng: random.Random) -> None:
    """Add a new backend server to a service."""
    service = rng.choice(world.cfg.services).name
    centre = rng.choice(world.cfg.data_centres).name
    world.add_server(f"{service}-new-{len(world.backends)}", service, centre, 1.0, SPREAD_S)


def accept_again(world: MeasuredWorld, rng: random.Random) -> None:
    """Accept a further version of the configuration."""
    world.publish_configuration(evolve(world.cfg), SPREAD_S)


PLAN: tuple[Change, ...] = (drain, change_state, accept_again, change_state, add_server)
REPLACED_AT = (10, 30)
"""Replace a balancer at these changes: two of three, the half and more."""


def measure_breaks(variant: str, name: str, seed: int, flows: int) -> Breaks:
    """Open long streams, make the planned changes, then kill one instance."""
    world = make_world(variant, make_deployment(name), seed)
    world.callers.habit = Habit(packet_interval_s=PACKET_INTERVAL_S)
    world.start()
    open_streams(world, seed, flows)
    rng = random.Random(f"{seed}/changes")
    for number in range(CHANGES):
        change = replace_balancer if number in REPLACED_AT else PLAN[number % len(PLAN)]
        time = FIRST_CHANGE_S + number * CHANGE_INTERVAL_S
        world.timeline.at(time, partial(change, world, rng))
    end = FIRST_CHANGE_S + CHANGES * CHANGE_INTERVAL_S + QUIET_S
    world.run_until(end)
    opened = [call for call in world.calls.values() if call.accepted >= 0]
    by_changes = sum(call.outcome is Outcome.BROKEN for call in opened)
    return Breaks(len(opened), by_changes, kill_one(world, opened))


def open_streams(world: MeasuredWorld, seed: int, flows: int) -> None:
    """Let callers open long streams evenly over the first seconds."""
    service = world.cfg.services[0]
    service_class = next(item for item in service.classes if item.kind is FlowKind.STREAM)
    step_s = OPENING_S / flows
    arrivals = (Arrival(1.0 + number * step_s, STREAM_S) for number in range(flows))
    offer(world, service, service_class, arrivals)


def kill_one(world: MeasuredWorld, opened: list[Call]) -> int:
    """Kill the instance with most flows; return how many flows of others broke."""
    standing = [call for call in opened if call.outcome is Outcome.OPEN]
    if not standing:
        return 0
    servers = [call.server for call in standing]
    victim = max(sorted(set(servers)), key=servers.count)
    world.suspicion.start()
    world.kill_server(victim)
    world.run_until(world.timeline.now + QUIET_S)
    return sum(call.outcome is Outcome.BROKEN and call.server != victim for call in standing)

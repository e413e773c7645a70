"""Test that the world runs the cores and that its faults do what they say."""

import os

import pytest

from fescueseam_standins.world.calls import Outcome
from fescueseam_standins.world.deployments import make_lintang, make_ribera_norte, set_speeds
from fescueseam_standins.world.network import LinkFaults
from fescueseam_standins.world.world import World

SEED = int(os.environ.get("SEED", "1"))


def count_outcomes(world):
    counts = dict.fromkeys(Outcome, 0)
    for call in world.calls.values():
        counts[call.outcome] += 1
    return counts


@pytest.mark.parametrize("make", [make_ribera_norte, make_lintang])
def test_calm_world_answers_everything(make):
    world = World(make(), SEED)
    world.start()
    service, other = (item.name for item in world.cfg.services)
    for service_class in world.find_service(service).classes:
        mean_s = 5.0 if service_class.kind.value == "stream" else 0.02
        world.open_poisson_calls(service, service_class.name, 20.0, mean_s, 0.1, 5.0)
    for service_class in world.find_service(other).classes:
        world.open_poisson_calls(other, service_class.name, 10.0, 0.02, 0.1, 5.0)
    world.run_until(60.0)
    counts = count_outcomes(world)
    assert counts[Outcome.ANSWERED] == len(world.calls) > 200
    assert not world.journal.misdelivered
    assert sum(backend.counts["overloads"] for backend in world.backends.values()) == 0


def test_same_seed_gives_same_outcomes():
    def run():
        world = World(set_speeds(make_ribera_norte(), (1.0, 4.0)), SEED)
        world.network.faults = LinkFaults(loss=0.01, duplicate=0.05, reorder=0.05)
        world.start()
        world.open_poisson_calls("bitacora", "repairs", 100.0, 0.1, 0.1, 5.0)
        world.run_until(40.0)
        return [(call.outcome, call.server, call.ended_at) for call in world.calls.values()]

    assert run() == run()


def test_frozen_process_handles_its_buffer_at_wake():
    world = World(make_ribera_norte(), SEED)
    world.start()
    world.run_until(0.5)
    for balancer in world.balancers.values():
        balancer.freeze()
    call = world.open_call("bitacora", "alerts", 1.0)
    world.run_until(1.0)
    assert call.accepted_at < 0
    for balancer in world.balancers.values():
        balancer.resume()
    world.run_until(1.1)
    assert call.accepted_at >= 0

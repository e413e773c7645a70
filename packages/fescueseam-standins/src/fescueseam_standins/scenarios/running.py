"""Run a scenario and judge it."""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial

from attrs import field, frozen

from ..world.calls import Outcome
from ..world.cores import MakeEntry, MakeHome, make_entry, make_home
from ..world.deployments import DEPLOYMENTS, set_speeds
from ..world.world import World
from .actions import apply_action
from .models import Demand, Must, Scenario
from .monitor import Monitor
from .promises import CHECKS, Violation, check_promises

Prepare = Callable[[World], None]


@frozen
class Result:
    """Hold what became of a scenario."""

    scenario: Scenario
    outcomes: dict[str, dict[str, int]]
    """Count outcomes for each class."""
    violations: tuple[Violation, ...]
    unmet: tuple[str, ...]
    """List demands of the scenario that were not met."""
    world: World = field(repr=False)

    def count_violations(self) -> dict[str, int]:
        """Return the count of violations of each promise."""
        found = Counter(violation.promise for violation in self.violations)
        return {promise: found[promise] for promise in CHECKS}


def run_scenario(
    scenario: Scenario,
    seed: int,
    make_entry: MakeEntry = make_entry,
    make_home: MakeHome = make_home,
    prepare: Prepare | None = None,
) -> Result:
    """Run a scenario to its end and check every promise."""
    world = build_world(scenario, seed, make_entry, make_home)
    monitor = Monitor(world)
    world.start()
    monitor.start()
    if prepare is not None:
        prepare(world)
    schedule(scenario, world)
    world.run_until(scenario.run_for_s)
    return Result(
        scenario,
        count_outcomes(world),
        tuple(check_promises(world, monitor)),
        tuple(_list_unmet(scenario, world)),
        world,
    )


def build_world(
    scenario: Scenario,
    seed: int,
    make_entry: MakeEntry = make_entry,
    make_home: MakeHome = make_home,
) -> World:
    """Build the world that a scenario lives in."""
    deployment = DEPLOYMENTS[scenario.deployment]()
    if scenario.speeds:
        deployment = set_speeds(deployment, scenario.speeds)
    return World(deployment, seed, make_entry, make_home, gossips=True, keeps_majorities=True)


def schedule(scenario: Scenario, world: World) -> None:
    """Put the traffic and the steps of a scenario on the timeline."""
    for item in scenario.traffics:
        world.open_poisson(
            item.service, item.class_name, item.rate, item.lasting_s, item.start, item.end
        )
    for step in scenario.steps:
        world.timeline.at(
            step.time, partial(apply_action, world, step.action, scenario.views_late_s)
        )


def count_outcomes(world: World) -> dict[str, dict[str, int]]:
    """Return the count of each outcome for each class."""
    counts: dict[str, Counter[str]] = {}
    for call in world.calls.values():
        counts.setdefault(call.service_class.name, Counter())[call.outcome.value] += 1
    return {name: dict(sorted(found.items())) for name, found in sorted(counts.items())}


def _list_unmet(scenario: Scenario, world: World) -> Iterator[str]:
    for must in scenario.musts:
        outcomes = [
            call.outcome
            for call in world.calls.values()
            if call.service_class.name == must.class_name
        ]
        if not _is_met(must, outcomes):
            yield f"{must.demand.value} {must.class_name}: {Counter(outcomes)}"


def _is_met(must: Must, outcomes: list[Outcome]) -> bool:
    if must.demand is Demand.REFUSE:
        return Outcome.REFUSED in outcomes
    answered = sum(outcome is Outcome.ANSWERED for outcome in outcomes)
    return bool(outcomes) and answered >= must.share * len(outcomes)

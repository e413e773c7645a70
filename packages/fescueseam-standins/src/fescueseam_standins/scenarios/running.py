"""Run a scenario and judge it."""

from collections import Counter
from collections.abc import Callable, Iterator
from functools import partial

from attrs import field, frozen

from ..world.calls import Outcome
from ..world.cores import MakeAgent, MakeBalancer, make_agent, make_balancer
from ..world.deployments import DEPLOYMENTS, set_speeds
from ..world.world import World
from .actions import apply_action
from .models import Requirement, RequirementKind, Scenario
from .monitor import ConfigurationMonitor
from .promises import PROMISE_CHECKS, Violation, check_promises

Prepare = Callable[[World], None]


@frozen
class ScenarioResult:
    """Hold what became of a scenario."""

    scenario: Scenario
    outcomes: dict[str, dict[str, int]]
    """Count outcomes for each class."""
    violations: tuple[Violation, ...]
    unmet_requirements: tuple[str, ...]
    """List demands of the scenario that were not met."""
    world: World = field(repr=False)

    def count_violations(self) -> dict[str, int]:
        """Return the count of violations of each promise."""
        found = Counter(violation.promise for violation in self.violations)
        return {promise: found[promise] for promise in PROMISE_CHECKS}


def run_scenario(
    scenario: Scenario,
    seed: int,
    make_balancer: MakeBalancer = make_balancer,
    make_agent: MakeAgent = make_agent,
    prepare: Prepare | None = None,
) -> ScenarioResult:
    """Run a scenario to its end and check every promise."""
    world = build_world(scenario, seed, make_balancer, make_agent)
    monitor = ConfigurationMonitor(world)
    world.start()
    monitor.start()
    if prepare is not None:
        prepare(world)
    schedule_scenario(scenario, world)
    world.run_until(scenario.duration_s)
    return ScenarioResult(
        scenario,
        count_outcomes(world),
        tuple(check_promises(world, monitor)),
        tuple(_list_unmet_requirements(scenario, world)),
        world,
    )


def build_world(
    scenario: Scenario,
    seed: int,
    make_balancer: MakeBalancer = make_balancer,
    make_agent: MakeAgent = make_agent,
) -> World:
    """Build the world that a scenario lives in."""
    deployment = DEPLOYMENTS[scenario.deployment]()
    if scenario.speeds:
        deployment = set_speeds(deployment, scenario.speeds)
    return World(
        deployment, seed, make_balancer, make_agent, uses_gossip=True, preserves_majorities=True
    )


def schedule_scenario(scenario: Scenario, world: World) -> None:
    """Put the traffic and the steps of a scenario on the timeline."""
    for item in scenario.traffics:
        world.open_poisson_calls(
            item.service, item.class_name, item.rate, item.mean_duration_s, item.start, item.end
        )
    for scheduled in scenario.scheduled_actions:
        world.timeline.call_at(
            scheduled.time,
            partial(apply_action, world, scheduled.action, scenario.max_view_delay_s),
        )


def count_outcomes(world: World) -> dict[str, dict[str, int]]:
    """Return the count of each outcome for each class."""
    counts: dict[str, Counter[str]] = {}
    for call in world.calls.values():
        counts.setdefault(call.service_class.name, Counter())[call.outcome.value] += 1
    return {name: dict(sorted(found.items())) for name, found in sorted(counts.items())}


def _list_unmet_requirements(scenario: Scenario, world: World) -> Iterator[str]:
    for requirement in scenario.requirements:
        outcomes = [
            call.outcome
            for call in world.calls.values()
            if call.service_class.name == requirement.class_name
        ]
        if not _is_met(requirement, outcomes):
            yield f"{requirement.kind.value} {requirement.class_name}: {Counter(outcomes)}"


def _is_met(requirement: Requirement, outcomes: list[Outcome]) -> bool:
    if requirement.kind is RequirementKind.REFUSE:
        return Outcome.REFUSED in outcomes
    answered = sum(outcome is Outcome.ANSWERED for outcome in outcomes)
    return bool(outcomes) and answered >= requirement.min_share * len(outcomes)

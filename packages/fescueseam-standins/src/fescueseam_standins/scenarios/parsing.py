"""Parse the scenario language."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from attrs import define, evolve
from lark import Lark, Token, Tree

from .models import Action, Requirement, RequirementKind, Scenario, ScheduledAction, Traffic, Verb

_MILLISECONDS = 0.001
_parser = Lark.open("scenario.lark", rel_to=__file__, parser="lalr")


@define
class _ScenarioBuilder:
    """Fold the lines of a scenario into its value."""

    scenario: Scenario

    def add_line(self, line: Tree[Token]) -> None:
        """Take one line."""
        items = list(line.children)
        old = self.scenario
        match line.data:
            case "name":
                self.scenario = evolve(old, name=str(items[0]).strip('"'))
            case "deployment":
                self.scenario = evolve(old, deployment=str(items[0]))
            case "speeds":
                self.scenario = evolve(old, speeds=tuple(_parse_number(item) for item in items))
            case "views_late":
                self.scenario = evolve(old, max_view_delay_s=_parse_number(items[0]))
            case "run_for":
                self.scenario = evolve(old, duration_s=_parse_number(items[0]))
            case "traffic":
                self.scenario = evolve(old, traffics=(*old.traffics, _read_traffic(items)))
            case "once":
                scheduled_action = ScheduledAction(_parse_number(items[0]), _read_action(items[1]))
                self.scenario = evolve(
                    old, scheduled_actions=(*old.scheduled_actions, scheduled_action)
                )
            case "repeated":
                self.scenario = evolve(
                    old, scheduled_actions=(*old.scheduled_actions, *_read_repeated(items))
                )
            case "must_answer":
                requirement = Requirement(
                    RequirementKind.ANSWER, str(items[1]), _parse_number(items[0]) / 100
                )
                self.scenario = evolve(old, requirements=(*old.requirements, requirement))
            case _:
                requirement = Requirement(RequirementKind.REFUSE, str(items[0]))
                self.scenario = evolve(old, requirements=(*old.requirements, requirement))


def parse_scenario(text: str) -> Scenario:
    """Return the scenario that a text describes."""
    builder = _ScenarioBuilder(Scenario("", "ribera-norte", 60.0))
    for line in _parser.parse(text).children:
        if isinstance(line, Tree):
            builder.add_line(line)
    return builder.scenario


def load_scenario(path: Path) -> Scenario:
    """Return the scenario in a file."""
    return parse_scenario(path.read_text(encoding="utf-8"))


def _read_traffic(items: Sequence[Any]) -> Traffic:
    class_name, service, rate, lasting, start, end = items
    begin = _parse_number(start) if start is not None else 0.0
    return Traffic(
        str(class_name),
        str(service),
        _parse_number(rate),
        _parse_number(lasting),
        begin,
        _parse_number(end),
    )


def _read_repeated(items: Sequence[Any]) -> list[ScheduledAction]:
    interval, time, end = (_parse_number(item) for item in items[:3])
    actions = [_read_action(item) for item in items[3:]]
    scheduled_actions: list[ScheduledAction] = []
    while time <= end:
        scheduled_actions.append(
            ScheduledAction(time, actions[len(scheduled_actions) % len(actions)])
        )
        time += interval
    return scheduled_actions


def _read_action(tree: Any) -> Action:
    names = [str(item) for item in tree.children if _is_name(item)]
    numbers = [_parse_number(item) for item in tree.children if not _is_name(item)]
    return Action(Verb(str(tree.data)), tuple(names), tuple(numbers))


def _is_name(item: Any) -> bool:
    return isinstance(item, Token) and item.type == "NAME"


def _parse_number(item: Any) -> float:
    if isinstance(item, Tree):
        number, unit = item.children
        return float(str(number)) * (_MILLISECONDS if str(unit) == "ms" else 1.0)
    return float(item)

"""Parse the scenario language."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from attrs import define, evolve
from lark import Lark, Token, Tree

from .models import Action, Demand, Must, Scenario, Step, Traffic, Verb

_MILLISECONDS = 0.001
_parser = Lark.open("scenario.lark", rel_to=__file__, parser="lalr")


@define
class _Reader:
    """Fold the lines of a scenario into its value."""

    scenario: Scenario

    def read(self, line: Tree[Token]) -> None:
        """Take one line."""
        items = list(line.children)
        old = self.scenario
        match line.data:
            case "name":
                self.scenario = evolve(old, name=str(items[0]).strip('"'))
            case "deployment":
                self.scenario = evolve(old, deployment=str(items[0]))
            case "speeds":
                self.scenario = evolve(old, speeds=tuple(_number(item) for item in items))
            case "views_late":
                self.scenario = evolve(old, views_late_s=_number(items[0]))
            case "run_for":
                self.scenario = evolve(old, run_for_s=_number(items[0]))
            case "traffic":
                self.scenario = evolve(old, traffics=(*old.traffics, _read_traffic(items)))
            case "once":
                step = Step(_number(items[0]), _read_action(items[1]))
                self.scenario = evolve(old, steps=(*old.steps, step))
            case "repeated":
                self.scenario = evolve(old, steps=(*old.steps, *_read_repeated(items)))
            case "must_answer":
                must = Must(Demand.ANSWER, str(items[1]), _number(items[0]) / 100)
                self.scenario = evolve(old, musts=(*old.musts, must))
            case _:
                must = Must(Demand.REFUSE, str(items[0]))
                self.scenario = evolve(old, musts=(*old.musts, must))


def parse_scenario(text: str) -> Scenario:
    """Return the scenario that a text describes."""
    reader = _Reader(Scenario("", "ribera-norte", 60.0))
    for line in _parser.parse(text).children:
        if isinstance(line, Tree):
            reader.read(line)
    return reader.scenario


def load_scenario(path: Path) -> Scenario:
    """Return the scenario in a file."""
    return parse_scenario(path.read_text(encoding="utf-8"))


def _read_traffic(items: Sequence[Any]) -> Traffic:
    class_name, service, rate, lasting, start, end = items
    begin = _number(start) if start is not None else 0.0
    return Traffic(
        str(class_name), str(service), _number(rate), _number(lasting), begin, _number(end)
    )


def _read_repeated(items: Sequence[Any]) -> list[Step]:
    interval, time, end = (_number(item) for item in items[:3])
    actions = [_read_action(item) for item in items[3:]]
    steps: list[Step] = []
    while time <= end:
        steps.append(Step(time, actions[len(steps) % len(actions)]))
        time += interval
    return steps


def _read_action(tree: Any) -> Action:
    names = [str(item) for item in tree.children if _is_name(item)]
    numbers = [_number(item) for item in tree.children if not _is_name(item)]
    return Action(Verb(str(tree.data)), tuple(names), tuple(numbers))


def _is_name(item: Any) -> bool:
    return isinstance(item, Token) and item.type == "NAME"


def _number(item: Any) -> float:
    if isinstance(item, Tree):
        number, unit = item.children
        return float(str(number)) * (_MILLISECONDS if str(unit) == "ms" else 1.0)
    return float(item)

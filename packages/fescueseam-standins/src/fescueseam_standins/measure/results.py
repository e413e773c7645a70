"""Hold the stated targets and print each measured value as one JSON object."""

import json
from enum import StrEnum

from attrs import asdict, frozen


class Measure(StrEnum):
    """Name what is measured."""

    BROKEN_CHANGES = "broken-flows-over-changes"
    BROKEN_DEATH = "broken-flows-of-others-when-one-dies"
    IMBALANCE = "imbalance"
    REFUSED = "refused-over-ideal"
    REFUSED_SHARE = "refused-share"
    REFUSED_FREE = "refused-while-a-tenth-is-free"
    OVER_ADMISSION = "over-admission-to-a-cold-server"
    LAST_PACKET = "last-packet-into-a-data-centre-out"
    SERVICE_LEAVING = "answered-share-while-a-data-centre-leaves-and-returns"
    DOUBLE_RUNS = "double-runs"
    FALSE_NOT_RUN = "false-not-run"
    RELAY_RATIO = "balancer-time-over-relay"
    PACKET_RATE = "balancer-packets"


TARGETS: dict[Measure, float] = {
    Measure.BROKEN_CHANGES: 0,
    Measure.BROKEN_DEATH: 0,
    Measure.IMBALANCE: 1.05,
    Measure.REFUSED: 1.2,
    Measure.REFUSED_FREE: 0,
    Measure.OVER_ADMISSION: 0,
    Measure.LAST_PACKET: 3.0,
    Measure.DOUBLE_RUNS: 0,
    Measure.FALSE_NOT_RUN: 0,
    Measure.RELAY_RATIO: 3.0,
}
"""Bound each measure from above; a measure without a bound is printed for comparison."""


@frozen
class Result:
    """Hold one measured value."""

    measure: Measure
    variant: str
    deployment: str
    seed: int
    value: float
    unit: str
    target: float | None
    met: bool | None


def make_result(
    measure: Measure, variant: str, deployment: str, seed: int, value: float, unit: str
) -> Result:
    """Judge a value by the stated target."""
    target = TARGETS.get(measure)
    met = None if target is None else value <= target
    return Result(measure, variant, deployment, seed, round(value, 6), unit, target, met)


def render_result(result: Result) -> str:
    """Return a result as one line of JSON."""
    return json.dumps(asdict(result))

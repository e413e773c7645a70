"""Define the targets and render each measured value as one JSON object."""

import json
from enum import StrEnum

from attrs import asdict, frozen


class Measure(StrEnum):
    """Measured quantities."""

    BROKEN_FLOWS_OVER_CHANGES = "broken-flows-over-changes"
    BROKEN_FLOWS_AFTER_KILL = "broken-flows-of-others-when-one-dies"
    IMBALANCE = "imbalance"
    REFUSED_OVER_IDEAL = "refused-over-ideal"
    REFUSED_SHARE = "refused-share"
    REFUSED_WHILE_FREE = "refused-while-a-tenth-is-free"
    OVER_ADMISSION_COLD_SERVER = "over-admission-to-a-cold-server"
    LAST_PACKET_DATA_CENTRE_OUT = "last-packet-into-a-data-centre-out"
    ANSWERED_SHARE_DATA_CENTRE_OUT = "answered-share-while-a-data-centre-leaves-and-returns"
    DOUBLE_RUNS = "double-runs"
    FALSE_NOT_RUN = "false-not-run"
    BALANCER_TIME_OVER_RELAY = "balancer-time-over-relay"
    PACKETS_PER_SECOND = "balancer-packets"
    QUEUED_SHARE = "queued-behind-another-request"
    PLACEMENT_TIME_P99 = "time-to-placement-p99"
    WAIT_P99 = "time-to-work-p99"
    MESSAGES_PER_FLOW = "messages-per-flow"
    LATE_SHARE = "answered-late"


TARGETS: dict[Measure, float] = {
    Measure.BROKEN_FLOWS_OVER_CHANGES: 0,
    Measure.BROKEN_FLOWS_AFTER_KILL: 0,
    Measure.IMBALANCE: 1.05,
    Measure.REFUSED_OVER_IDEAL: 1.2,
    Measure.REFUSED_WHILE_FREE: 0,
    Measure.OVER_ADMISSION_COLD_SERVER: 0,
    Measure.LAST_PACKET_DATA_CENTRE_OUT: 3.0,
    Measure.DOUBLE_RUNS: 0,
    Measure.FALSE_NOT_RUN: 0,
    Measure.BALANCER_TIME_OVER_RELAY: 3.0,
}
"""Upper bounds of the measures; a measure without one is printed for comparison only."""


@frozen
class Result:
    """One measured value and whether it meets its target."""

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
    """Return a measured value, compared with its target if it has one."""
    target = TARGETS.get(measure)
    met = None if target is None else value <= target
    return Result(measure, variant, deployment, seed, round(value, 6), unit, target, met)


def render_result(result: Result) -> str:
    """Return a result as one line of JSON."""
    return json.dumps(asdict(result))

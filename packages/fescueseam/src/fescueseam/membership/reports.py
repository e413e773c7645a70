"""Exchange what each keeper hears and merge it into one view.

A keeper writes one small value for each process that announces itself there, under
``members/<data centre>/<keeper>/<service>/<process>``. Only the keeper writes these keys, so
they need no agreement; versions grow from the keeper's incarnation.
"""

from collections.abc import Iterable

import cattrs.preconf.json
from attrs import evolve, frozen
from cattrs.errors import BaseValidationError

from fescueseam.conf.models import Role
from fescueseam.exceptions import MessageError
from fescueseam.membership.facts import ProcessFacts, Status
from fescueseam.versions.values import VersionedValue

MEMBERS_PREFIX = "members/"
BALANCERS = "-"
"""Stand for the service of processes that have none."""

_converter = cattrs.preconf.json.make_converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
_STATUS_ORDER = (Status.DEAD, Status.SUSPECTED, Status.ALIVE)


@frozen
class Report:
    """Hold what one keeper says of one process."""

    facts: ProcessFacts
    status: Status


@frozen
class KeptReport:
    """Hold a report with the keeper that made it."""

    keeper: str
    report: Report


def build_report_key(data_centre: str, keeper: str, facts: ProcessFacts) -> str:
    """Return the key of a keeper's report on a process."""
    return f"{MEMBERS_PREFIX}{data_centre}/{keeper}/{facts.service or BALANCERS}/{facts.name}"


def encode_report(report: Report) -> bytes:
    """Return the bytes of a report; health has no part in it."""
    plain = evolve(report, facts=evolve(report.facts, healthy=True))
    return _converter.dumps(plain, Report, separators=(",", ":")).encode()


def decode_report(value: VersionedValue) -> KeptReport:
    """Return the report that a value holds and who made it; raise MessageError on garbage."""
    try:
        return KeptReport(value.key.split("/")[2], _converter.loads(value.value, Report))
    except (BaseValidationError, ValueError, TypeError, LookupError) as exc:
        raise MessageError(f"no report: {value.key}") from exc


class ReportVersions:
    """Number the writes of one keeper; a later incarnation always numbers higher.

    Incarnations are start times in nanoseconds, and no keeper writes once a nanosecond.
    """

    def __init__(self, incarnation: int) -> None:
        """Start above everything that earlier incarnations wrote."""
        self._next = incarnation

    def take(self) -> int:
        """Return the next version."""
        self._next += 1
        return self._next


@frozen
class Sighting:
    """Hold the merged judgement on one process."""

    facts: ProcessFacts
    status: Status
    keepers: int = 0
    """Count the reachable keepers that report on the process."""


def merge_reports(reports: Iterable[KeptReport], reached: Iterable[str]) -> dict[str, Sighting]:
    """Return one sighting for each process.

    Only keepers that can be reached count: starting from the processes heard directly, a
    keeper counts if a keeper that counts reports it alive. A newer incarnation replaces an
    older one; among equal ones the most favourable status wins, because one keeper that hears
    a process proves more than one that does not.
    """
    by_keeper: dict[str, list[Report]] = {}
    for kept in reports:
        by_keeper.setdefault(kept.keeper, []).append(kept.report)
    merged: dict[str, Sighting] = {}
    for keeper in sorted(find_reachable(by_keeper, reached)):
        for report in by_keeper.get(keeper, ()):
            known = merged.get(report.facts.name)
            merged[report.facts.name] = _merge(known, report)
    return merged


def find_reachable(by_keeper: dict[str, list[Report]], reached: Iterable[str]) -> set[str]:
    """Return the processes that are heard directly or through one another."""
    reachable = set(reached)
    frontier = list(reachable)
    while frontier:
        for report in by_keeper.get(frontier.pop(), ()):
            name = report.facts.name
            is_new = name not in reachable
            if is_new and report.status is Status.ALIVE and report.facts.role is Role.BALANCER:
                reachable.add(name)
                frontier.append(name)
    return reachable


def _merge(known: Sighting | None, report: Report) -> Sighting:
    if known is None or report.facts.incarnation > known.facts.incarnation:
        return Sighting(report.facts, report.status, 1)
    if report.facts.incarnation < known.facts.incarnation:
        return known
    better = _STATUS_ORDER.index(report.status) > _STATUS_ORDER.index(known.status)
    status = report.status if better else known.status
    return Sighting(_merge_facts(known, report), status, known.keepers + 1)


def _merge_facts(known: Sighting, report: Report) -> ProcessFacts:
    # Keepers hear a process in turns: work counts as open until both have heard that it is not.
    return evolve(
        known.facts,
        draining=known.facts.draining or report.facts.draining,
        idle=known.facts.idle and report.facts.idle,
    )

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
NO_SERVICE = "-"
"""Stand for the service of processes that have none."""

_converter = cattrs.preconf.json.make_converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
_STATUS_ORDER = (Status.DEAD, Status.SUSPECTED, Status.ALIVE)


@frozen
class Report:
    """Hold what one keeper says of one process."""

    facts: ProcessFacts
    status: Status


@frozen
class KeeperReport:
    """Hold a report with the keeper that made it."""

    keeper: str
    report: Report


def build_report_key(data_centre: str, keeper: str, facts: ProcessFacts) -> str:
    """Return the key of a keeper's report on a process."""
    return f"{MEMBERS_PREFIX}{data_centre}/{keeper}/{facts.service or NO_SERVICE}/{facts.name}"


@frozen
class ReportKey:
    """Name the keeper and the process of a report."""

    keeper: str
    name: str


def parse_report_key(key: str) -> ReportKey:
    """Return what a key names; raise MessageError if it is no key of a report."""
    parts = key.split("/", 4)
    if len(parts) != 5:
        raise MessageError(f"no report: {key}")
    return ReportKey(parts[2], parts[4])


def encode_report(report: Report) -> bytes:
    """Return the bytes of a report; health has no part in it."""
    plain = evolve(report, facts=evolve(report.facts, healthy=True))
    return _converter.dumps(plain, Report, separators=(",", ":")).encode()


def decode_report(value: VersionedValue) -> KeeperReport:
    """Return the report that a value holds and who made it; raise MessageError on garbage."""
    key = parse_report_key(value.key)
    try:
        return KeeperReport(key.keeper, _converter.loads(value.value, Report))
    except (BaseValidationError, ValueError, TypeError, LookupError) as exc:
        raise MessageError(f"no report: {value.key}") from exc


class ReportVersionCounter:
    """Number the writes of one keeper; a later incarnation always numbers higher.

    Incarnations are start times in nanoseconds, and no keeper writes once a nanosecond.
    """

    def __init__(self, incarnation: int) -> None:
        """Start above everything that earlier incarnations wrote."""
        self._last_version = incarnation

    def skip_past(self, version: int) -> None:
        """Go on above a version that another process wrote."""
        self._last_version = max(self._last_version, version)

    def take_next(self) -> int:
        """Return the next version."""
        self._last_version += 1
        return self._last_version


@frozen
class MergedReport:
    """Hold the merged judgement on one process."""

    facts: ProcessFacts
    status: Status
    keeper_count: int = 0
    """Count the reachable keepers that report on the process."""


class ReportMerger:
    """Keep the reports of all keepers and merge them when something has changed.

    Only keepers that can be reached count: starting from the processes heard directly, a
    keeper counts if a keeper that counts reports it alive. A newer incarnation replaces an
    older one; among equal ones the most favourable status wins, because one keeper that hears
    a process proves more than one that does not.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        """Count the changes."""
        self._by_keeper: dict[str, dict[str, Report]] = {}
        self._live_balancers: dict[str, set[str]] = {}

    def put(self, keeper_report: KeeperReport) -> None:
        """Take a report in place of the keeper's former one on the same process."""
        facts = keeper_report.report.facts
        self.revision += 1
        self._by_keeper.setdefault(keeper_report.keeper, {})[facts.name] = keeper_report.report
        live = self._live_balancers.setdefault(keeper_report.keeper, set())
        live.discard(facts.name)
        if facts.role is Role.BALANCER and keeper_report.report.status is Status.ALIVE:
            live.add(facts.name)

    def drop(self, keeper: str, name: str) -> None:
        """Forget a keeper's report on a process."""
        self.revision += 1
        self._by_keeper.get(keeper, {}).pop(name, None)
        self._live_balancers.get(keeper, set()).discard(name)

    def list_keepers(self) -> frozenset[str]:
        """Return every keeper that has a report here."""
        return frozenset(keeper for keeper, reports in self._by_keeper.items() if reports)

    def find_reachable(self, directly_heard: Iterable[str]) -> frozenset[str]:
        """Return the processes that are heard directly or through one another."""
        reachable = set(directly_heard)
        unvisited = list(reachable)
        while unvisited:
            new = self._live_balancers.get(unvisited.pop(), set()) - reachable
            reachable |= new
            unvisited += new
        return frozenset(reachable)

    def merge(self, reachable: Iterable[str]) -> dict[str, MergedReport]:
        """Return one merged report for each process that a reachable keeper reports on."""
        merged: dict[str, MergedReport] = {}
        for keeper in sorted(reachable):
            for name, report in self._by_keeper.get(keeper, {}).items():
                merged[name] = _merge_report(merged.get(name), report)
        return merged


def merge_reports(
    reports: Iterable[KeeperReport], directly_heard: Iterable[str]
) -> dict[str, MergedReport]:
    """Return one merged report for each process, from the processes heard directly."""
    merger = ReportMerger()
    for keeper_report in reports:
        merger.put(keeper_report)
    return merger.merge(merger.find_reachable(directly_heard))


def _merge_report(known: MergedReport | None, report: Report) -> MergedReport:
    if known is None or report.facts.incarnation > known.facts.incarnation:
        return MergedReport(report.facts, report.status, 1)
    if report.facts.incarnation < known.facts.incarnation:
        return known
    better = _STATUS_ORDER.index(report.status) > _STATUS_ORDER.index(known.status)
    status = report.status if better else known.status
    return MergedReport(_merge_facts(known, report), status, known.keeper_count + 1)


def _merge_facts(known: MergedReport, report: Report) -> ProcessFacts:
    # Keepers hear a process in turns: work counts as open until both have heard that it is not.
    return evolve(
        known.facts,
        draining=known.facts.draining or report.facts.draining,
        idle=known.facts.idle and report.facts.idle,
    )

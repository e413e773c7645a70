"""Encode the reports of keepers on processes and merge them.

A keeper writes one report for each process that sends it heartbeats, under the key
``members/<data centre>/<keeper>/<service>/<process>``. Other processes write these keys only to
delete them after they could not reach the keeper for a long time, so no consensus is needed.
Versions start at the keeper's incarnation.
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
"""Part of the key in place of the service, for processes that have none."""

_converter = cattrs.preconf.json.make_converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)
_STATUS_ORDER = (Status.DEAD, Status.SUSPECTED, Status.ALIVE)


@frozen
class Report:
    """The facts and status of one process as seen by one keeper."""

    facts: ProcessFacts
    status: Status


@frozen
class KeeperReport:
    """A report and the keeper that wrote it."""

    keeper: str
    report: Report


def build_report_key(data_centre: str, keeper: str, facts: ProcessFacts) -> str:
    """Return the key under which a keeper writes its report on a process."""
    return f"{MEMBERS_PREFIX}{data_centre}/{keeper}/{facts.service or NO_SERVICE}/{facts.name}"


@frozen
class ReportKey:
    """The keeper and the process that the key of a report names."""

    keeper: str
    name: str


def parse_report_key(key: str) -> ReportKey:
    """Parse the key of a report; raise MessageError if it has another form."""
    parts = key.split("/", 4)
    if len(parts) != 5:
        raise MessageError(f"malformed key of a membership report: {key}")
    return ReportKey(parts[2], parts[4])


def encode_report(report: Report) -> bytes:
    """Encode a report without the health of its process."""
    without_health = evolve(report, facts=evolve(report.facts, healthy=True))
    return _converter.dumps(without_health, Report, separators=(",", ":")).encode()


def decode_report(value: VersionedValue) -> KeeperReport:
    """Decode a report and its keeper; raise MessageError if the value is malformed."""
    key = parse_report_key(value.key)
    try:
        return KeeperReport(key.keeper, _converter.loads(value.value, Report))
    except (BaseValidationError, ValueError, TypeError, LookupError) as exc:
        raise MessageError(f"malformed membership report: {value.key}") from exc


class ReportVersionCounter:
    """The version counter of a keeper's reports, which starts at the keeper's incarnation.

    An incarnation is the start time in nanoseconds, and no keeper writes as often as once a
    nanosecond, so versions of a later incarnation are always higher.
    """

    def __init__(self, incarnation: int) -> None:
        """Initialise the counter above all versions of earlier incarnations."""
        self._last_version = incarnation

    def skip_past(self, version: int) -> None:
        """Continue above a version that another process wrote."""
        self._last_version = max(self._last_version, version)

    def take_next(self) -> int:
        """Increment the counter and return the new version."""
        self._last_version += 1
        return self._last_version


@frozen
class MergedReport:
    """The facts and status of one process, merged from the reports of its keepers."""

    facts: ProcessFacts
    status: Status
    keeper_count: int = 0
    """Number of reachable keepers that report on this incarnation."""


class ReportMerger:
    """The reports of all keepers, merged on demand.

    Only reports of reachable keepers are merged. A keeper is reachable if this process hears it
    directly, or if another reachable keeper reports it alive. Reports on a newer incarnation
    replace those on an older one. Within one incarnation the best status wins: a heartbeat
    that one keeper received outweighs one that another keeper missed.
    """

    def __init__(self) -> None:
        """Initialise the merger without reports."""
        self.revision = 0
        """Number of changes so far."""
        self._by_keeper: dict[str, dict[str, Report]] = {}
        self._live_balancers: dict[str, set[str]] = {}

    def put(self, keeper_report: KeeperReport) -> None:
        """Store a report in place of the keeper's earlier one on the same process."""
        facts = keeper_report.report.facts
        self.revision += 1
        self._by_keeper.setdefault(keeper_report.keeper, {})[facts.name] = keeper_report.report
        live = self._live_balancers.setdefault(keeper_report.keeper, set())
        live.discard(facts.name)
        if facts.role is Role.BALANCER and keeper_report.report.status is Status.ALIVE:
            live.add(facts.name)

    def drop(self, keeper: str, name: str) -> None:
        """Remove a keeper's report on a process."""
        self.revision += 1
        self._by_keeper.get(keeper, {}).pop(name, None)
        self._live_balancers.get(keeper, set()).discard(name)

    def list_keepers(self) -> frozenset[str]:
        """Return the keepers that have a report stored."""
        return frozenset(keeper for keeper, reports in self._by_keeper.items() if reports)

    def find_reachable(self, directly_heard: Iterable[str]) -> frozenset[str]:
        """Return the processes heard directly, or reported alive by a reachable process."""
        reachable = set(directly_heard)
        unvisited = list(reachable)
        while unvisited:
            new = self._live_balancers.get(unvisited.pop(), set()) - reachable
            reachable |= new
            unvisited += new
        return frozenset(reachable)

    def merge(self, reachable: Iterable[str]) -> dict[str, MergedReport]:
        """Return a merged report for each process that a reachable keeper reports on."""
        merged: dict[str, MergedReport] = {}
        for keeper in sorted(reachable):
            for name, report in self._by_keeper.get(keeper, {}).items():
                merged[name] = _merge_report(merged.get(name), report)
        return merged


def merge_reports(
    reports: Iterable[KeeperReport], directly_heard: Iterable[str]
) -> dict[str, MergedReport]:
    """Merge reports, starting from the keepers that are heard directly."""
    merger = ReportMerger()
    for keeper_report in reports:
        merger.put(keeper_report)
    return merger.merge(merger.find_reachable(directly_heard))


def _merge_report(known: MergedReport | None, report: Report) -> MergedReport:
    if known is None or report.facts.incarnation > known.facts.incarnation:
        return MergedReport(report.facts, report.status, 1)
    if report.facts.incarnation < known.facts.incarnation:
        return known
    is_better = _STATUS_ORDER.index(report.status) > _STATUS_ORDER.index(known.status)
    status = report.status if is_better else known.status
    return MergedReport(_merge_facts(known, report), status, known.keeper_count + 1)


def _merge_facts(known: MergedReport, report: Report) -> ProcessFacts:
    # Keepers receive heartbeats at different times: a process is idle once all have heard so.
    return evolve(
        known.facts,
        draining=known.facts.draining or report.facts.draining,
        idle=known.facts.idle and report.facts.idle,
    )

"""Run the keepers of the tables that this balancer keeps; no input or output."""

import random

from attrs import frozen

from fescueseam.conf.models import Configuration, DataCentreState
from fescueseam.membership.facts import Status
from fescueseam.membership.reports import MergedReport
from fescueseam.retries.backoff import Breaker
from fescueseam.upkeep.codec import TABLES_PREFIX
from fescueseam.upkeep.keeper import KeeperInput, ReadTable, TableKeeper, WriteTable
from fescueseam.upkeep.planner import PlannerInput
from fescueseam_daemon.control.balancer_node import STAND_INS, BalancerNode

IDLE_STEP_S = 0.8
"""Step keepers this often while nothing changes; shorter than what they take for a pause."""


@frozen
class TableStep:
    """Hold a call of the store that a keeper asks for."""

    keeper: TableKeeper
    call: ReadTable | WriteTable


class TableSet:
    """Hold one keeper for each table that this balancer may write."""

    def __init__(self, node: BalancerNode, rng: random.Random) -> None:
        """Start with no table."""
        self.keepers: dict[str, TableKeeper] = {}
        self.breaker = Breaker(rng)
        self._node = node
        self._rng = rng
        self._seen: tuple[object, ...] = ()
        self._common: _Common | None = None
        self._stepped_at = float("-inf")

    def list_steps(self, now: float) -> list[TableStep]:
        """Return the calls that are due."""
        node = self._node
        cfg = node.gossip.configuration
        if not node.gossip.is_current(now) or self._is_idle(now):
            return []
        ranks = {
            service.name: rank
            for service in cfg.services
            if (rank := node.find_rank(TABLES_PREFIX + service.name)) < STAND_INS
        }
        self.keepers = {name: self._keep(name, now) for name in ranks}
        wanted = self._collect(cfg)
        steps = []
        for service, keeper in self.keepers.items():
            given = KeeperInput(wanted.select(keeper), ranks[service], wanted.visible)
            call = keeper.start_next_call(given, now)
            if call is not None:
                steps.append(TableStep(keeper, call))
        return steps

    def _is_idle(self, now: float) -> bool:
        """Tell whether nothing has changed and no keeper waits for anything."""
        node = self._node
        seen = (id(node.merged_reports), node.gossip.configuration.version, node.view.revision)
        is_same, self._seen = seen == self._seen, seen
        is_busy = any(keeper.is_busy for keeper in self.keepers.values())
        if is_same and not is_busy and now - self._stepped_at < IDLE_STEP_S:
            return True
        self._stepped_at = now
        return False

    def _collect(self, cfg: Configuration) -> "_Common":
        common = self._common
        if (
            common is None
            or common.by_name is not self._node.merged_reports
            or common.cfg is not cfg
        ):
            common = self._common = _Common.collect(cfg, self._node.merged_reports)
        return common

    def _keep(self, service: str, now: float) -> TableKeeper:
        keeper = self.keepers.get(service)
        if keeper is None:
            node = self._node
            name, incarnation = node.settings.name, node.incarnation
            keeper = TableKeeper(service, name, incarnation, self._rng, now, self.breaker)
        table = self._node.view.find_table(service)
        if table is not None:
            keeper.learn(table, now)
        return keeper


@frozen
class _Common:
    """Hold what the keepers of all services share in one round."""

    cfg: Configuration
    by_service: dict[str, dict[str, MergedReport]]
    by_name: dict[str, MergedReport]
    drained: frozenset[str]
    out: frozenset[str]
    visible: frozenset[str]
    owners: dict[tuple[str, int], str]

    @classmethod
    def collect(cls, cfg: Configuration, merged_reports: dict[str, MergedReport]) -> "_Common":
        """Sort the merged reports once for all keepers."""
        by_service: dict[str, dict[str, MergedReport]] = {}
        owners: dict[tuple[str, int], MergedReport] = {}
        for name, report in merged_reports.items():
            facts = report.facts
            by_service.setdefault(facts.service, {})[name] = report
            place = facts.address, facts.control_port
            known = owners.get(place)
            is_newer = known is None or facts.incarnation > known.facts.incarnation
            if report.status is Status.ALIVE and is_newer:
                owners[place] = report
        return cls(
            cfg,
            by_service,
            merged_reports,
            frozenset(rule.name for rule in cfg.endpoints if rule.drain),
            frozenset(item.name for item in cfg.data_centres if item.state is DataCentreState.OUT),
            frozenset(
                report.facts.data_centre
                for report in merged_reports.values()
                if report.status is Status.ALIVE
            ),
            {place: report.facts.name for place, report in owners.items()},
        )

    def select(self, keeper: TableKeeper) -> PlannerInput:
        """Return what bears on one keeper's table."""
        own = dict(self.by_service.get(keeper.table.service, {}))
        for member in keeper.table.members:
            if member.name in self.by_name:
                own[member.name] = self.by_name[member.name]
        return PlannerInput(own, self.drained, self.out, address_owners=self.owners)

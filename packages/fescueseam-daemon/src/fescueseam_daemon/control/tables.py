"""Run the keepers of the tables that this balancer may write, without input or output."""

import random

from attrs import frozen

from fescueseam.conf.models import Configuration, DataCentreState
from fescueseam.membership.facts import Status
from fescueseam.membership.reports import MergedReport
from fescueseam.retries.backoff import Breaker
from fescueseam.upkeep.codec import TABLES_PREFIX
from fescueseam.upkeep.keeper import KeeperInput, ReadTable, TableKeeper, WriteTable
from fescueseam.upkeep.planner import PlannerInput
from fescueseam_daemon.control.balancer_node import WRITER_RANKS, BalancerNode

IDLE_STEP_INTERVAL_S = 0.8
"""Interval between two steps while nothing changes, in seconds.

It is shorter than the gap after which a keeper concludes that its process was paused.
"""


@frozen
class TableStep:
    """A call to the store that a keeper requests."""

    keeper: TableKeeper
    call: ReadTable | WriteTable


class TableSet:
    """The keepers of the tables that this balancer may write, one for each table."""

    def __init__(self, node: BalancerNode, rng: random.Random) -> None:
        """Initialise the set without keepers."""
        self.keepers: dict[str, TableKeeper] = {}
        self.breaker = Breaker(rng)
        self._node = node
        self._rng = rng
        self._last_state: tuple[object, ...] = ()
        self._shared_input: _SharedInput | None = None
        self._last_step_at = float("-inf")

    def list_due_steps(self, now: float) -> list[TableStep]:
        """Return the calls that the keepers request now."""
        node = self._node
        cfg = node.gossip.configuration
        if not node.gossip.is_current(now) or self._can_skip_step(now):
            return []
        ranks = {
            service.name: rank
            for service in cfg.services
            if (rank := node.find_rank(TABLES_PREFIX + service.name)) < WRITER_RANKS
        }
        self.keepers = {name: self._get_keeper(name, now) for name in ranks}
        shared = self._get_shared_input(cfg)
        steps = []
        for service, keeper in self.keepers.items():
            keeper_input = KeeperInput(
                shared.build_planner_input(keeper), ranks[service], shared.visible_data_centres
            )
            call = keeper.start_next_call(keeper_input, now)
            if call is not None:
                steps.append(TableStep(keeper, call))
        return steps

    def check_again(self) -> None:
        """Read all tables again, as the store may have lost writes."""
        for keeper in self.keepers.values():
            keeper.check_again()

    def _can_skip_step(self, now: float) -> bool:
        """Return whether a step can be skipped because nothing changed and no write is pending."""
        node = self._node
        state = (id(node.merged_reports), node.gossip.configuration.version, node.view.revision)
        is_same, self._last_state = state == self._last_state, state
        is_busy = any(keeper.is_busy for keeper in self.keepers.values())
        if is_same and not is_busy and now - self._last_step_at < IDLE_STEP_INTERVAL_S:
            return True
        self._last_step_at = now
        return False

    def _get_shared_input(self, cfg: Configuration) -> "_SharedInput":
        shared_input = self._shared_input
        if (
            shared_input is None
            or shared_input.reports_by_name is not self._node.merged_reports
            or shared_input.cfg is not cfg
        ):
            shared_input = self._shared_input = _SharedInput.build(cfg, self._node.merged_reports)
        return shared_input

    def _get_keeper(self, service: str, now: float) -> TableKeeper:
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
class _SharedInput:
    """The input that the keepers of all services share in one step."""

    cfg: Configuration
    reports_by_service: dict[str, dict[str, MergedReport]]
    reports_by_name: dict[str, MergedReport]
    drained_endpoints: frozenset[str]
    out_data_centres: frozenset[str]
    visible_data_centres: frozenset[str]
    address_owners: dict[tuple[str, int], str]

    @classmethod
    def build(cls, cfg: Configuration, merged_reports: dict[str, MergedReport]) -> "_SharedInput":
        """Group the merged reports once for all keepers."""
        reports_by_service: dict[str, dict[str, MergedReport]] = {}
        owners: dict[tuple[str, int], MergedReport] = {}
        for name, report in merged_reports.items():
            facts = report.facts
            reports_by_service.setdefault(facts.service, {})[name] = report
            endpoint = facts.address, facts.control_port
            known = owners.get(endpoint)
            is_newer = known is None or facts.incarnation > known.facts.incarnation
            if report.status is Status.ALIVE and is_newer:
                owners[endpoint] = report
        return cls(
            cfg,
            reports_by_service,
            merged_reports,
            frozenset(rule.name for rule in cfg.endpoints if rule.drain),
            frozenset(item.name for item in cfg.data_centres if item.state is DataCentreState.OUT),
            frozenset(
                report.facts.data_centre
                for report in merged_reports.values()
                if report.status is Status.ALIVE
            ),
            {endpoint: report.facts.name for endpoint, report in owners.items()},
        )

    def build_planner_input(self, keeper: TableKeeper) -> PlannerInput:
        """Return the input that concerns the table of one keeper."""
        reports = dict(self.reports_by_service.get(keeper.table.service, {}))
        for member in keeper.table.members:
            if member.name in self.reports_by_name:
                reports[member.name] = self.reports_by_name[member.name]
        return PlannerInput(
            reports,
            self.drained_endpoints,
            self.out_data_centres,
            address_owners=self.address_owners,
        )

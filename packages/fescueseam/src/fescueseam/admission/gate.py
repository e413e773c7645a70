"""Bound what the backend server beside an agent is given."""

import math
from enum import Enum

from attrs import define, field, frozen

from fescueseam.conf.models import AdmissionRules, FlowKind
from fescueseam.messages.types import Load

UTILISATION_TIME_CONSTANT_S = 30.0
"""Average the utilisation over about this time, in seconds."""

REPORT_REFRESH_INTERVAL_S = 0.05
"""Ask for no further report within this time after one, in seconds."""

MAX_REPORT_LAG_S = 2.0
"""Bound how old a report may be, in seconds; a server that is warming up rests on it."""

UNTRACKED_LOAD_WINDOW_S = 60.0
"""Count load reported beyond the agent's own flows for this long after its start, in seconds."""


class Verdict(Enum):
    """Tell what the gate says to an opening."""

    ADMIT = "admit"
    FULL = "full"
    VERIFY = "verify"
    """Ask the backend server first whether it is still the one that was warmed up."""


@frozen
class LoadReport:
    """Hold one answer of the backend server's load endpoint."""

    incarnation: int
    busy: int
    connections: int
    requested: float
    """Tell when the report was asked for; what it says may be older."""
    uptime_s: float = math.inf
    draining: bool = False


@define
class Gate:
    """Count slots and connections and keep to the bounds of a cold start."""

    rules: AdmissionRules
    started: float
    draining: bool = False
    """Refuse new flows; set by operators, the backend server or a shutdown."""
    trusts_reports: bool = True
    """Tell whether reports may free slots while the backend server warms up."""
    slot_bound: int = 0
    busy: int = 0
    connections: int = 0
    _successes: int = 0
    _warm_up_started: float = 0.0
    _last_report_requested: float = -math.inf
    _incarnation: int | None = None
    _uptime_s: float = 0.0
    _untracked_busy: int = 0
    _untracked_connections: int = 0
    _utilisation: float = 0.0
    _utilisation_updated: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._utilisation_updated = self.started
        self.reset_warm_up(self.started)

    def reset_warm_up(self, now: float) -> None:
        """Return to the bounds of a cold start."""
        self.slot_bound = min(self.rules.cold_slots, self.rules.slots)
        self._successes = 0
        self.trusts_reports = True
        self._warm_up_started = now
        self._last_report_requested = -math.inf

    def distrust_reports(self) -> None:
        """Let no report free a slot until the backend server is warm or has restarted."""
        self.trusts_reports = False

    def change_rules(self, rules: AdmissionRules, now: float) -> None:
        """Take new rules; a warm backend server stays warm, a cold one starts again."""
        if rules == self.rules:
            return
        warm = self.is_warm()
        self.rules = rules
        if warm:
            self.slot_bound = rules.slots
        else:
            self.reset_warm_up(now)

    def is_warm(self) -> bool:
        """Tell whether the bound on slots has reached its full value."""
        return self.slot_bound >= self.rules.slots

    def is_report_stale(self, now: float) -> bool:
        """Tell whether a fresh report is worth asking for."""
        return not self.draining and self._last_report_requested + REPORT_REFRESH_INTERVAL_S < now

    def compute_connection_bound(self, now: float) -> int:
        """Return the bound on streams, which grows with time."""
        cold = min(self.rules.cold_connections, self.rules.connections)
        share = min(1.0, (now - self._warm_up_started) / self.rules.warm_up_s)
        return cold + int((self.rules.connections - cold) * share)

    def judge(self, kind: FlowKind, arrived: float, now: float) -> Verdict:
        """Return the verdict on an opening that arrived at a given time."""
        if self.draining or now < self.started + MAX_REPORT_LAG_S:
            # A report from before the start would not show what an earlier agent has admitted.
            return Verdict.FULL
        if self._incarnation is None:
            return Verdict.VERIFY
        if kind is FlowKind.REQUEST:
            taken, bound = self.busy + self._untracked_busy, self.slot_bound
            cold = min(self.rules.cold_slots, self.rules.slots)
        else:
            taken, bound = (
                self.connections + self._untracked_connections,
                self.compute_connection_bound(now),
            )
            cold = min(self.rules.cold_connections, self.rules.connections)
        if taken >= bound:
            return Verdict.FULL
        # Above the cold bound only a report asked for after the arrival rules out a silent return
        # to a cold start.
        if taken >= cold and self._last_report_requested < arrived:
            return Verdict.VERIFY
        return Verdict.ADMIT

    def take(self, kind: FlowKind, now: float) -> None:
        """Count a flow that was admitted."""
        self._update_utilisation(now)
        if kind is FlowKind.REQUEST:
            self.busy += 1
        else:
            self.connections += 1

    def give_back(self, kind: FlowKind, success: bool, now: float) -> None:
        """Count the end of a flow; successes of requests warm the backend server up."""
        self._update_utilisation(now)
        if kind is not FlowKind.REQUEST:
            self.connections = max(0, self.connections - 1)
            return
        self.busy = max(0, self.busy - 1)
        if success and not self.is_warm():
            self._successes += 1
            if self._successes >= self.rules.warm_up_successes:
                self._successes = 0
                self.slot_bound += 1

    def note_report(self, report: LoadReport, now: float) -> bool:
        """Take a load report; return whether the backend server has restarted since the last."""
        restarted = self._incarnation is not None and (
            report.incarnation != self._incarnation or report.uptime_s < self._uptime_s
        )
        first = self._incarnation is None
        self._incarnation = report.incarnation
        self._uptime_s = report.uptime_s
        if restarted:
            self.reset_warm_up(now)
        self._last_report_requested = max(self._last_report_requested, report.requested)
        self._update_untracked_load(report, now, first or restarted)
        return restarted

    def note_lost(self, now: float) -> None:
        """Take it that the backend server is gone; nothing is admitted until it reports."""
        self._incarnation = None
        self.reset_warm_up(now)

    def describe_load(self, now: float) -> Load:
        """Return the load as peers are told it."""
        self._update_utilisation(now)
        bound = 0 if self.draining else self.slot_bound
        return Load(
            self.busy,
            bound,
            self.connections,
            self.compute_connection_bound(now),
            self._utilisation,
        )

    def _update_untracked_load(self, report: LoadReport, now: float, fresh: bool) -> None:
        # An agent that starts beside a living backend server does not know the flows it serves.
        if now - self.started > UNTRACKED_LOAD_WINDOW_S and not fresh:
            self._untracked_busy = self._untracked_connections = 0
            return
        if fresh or report.requested < self.started + MAX_REPORT_LAG_S:
            self._untracked_busy = max(0, report.busy - self.busy)
            self._untracked_connections = max(0, report.connections - self.connections - self.busy)
            return
        # A late report may not show the agent's own flows yet, so it only bounds the others.
        self._untracked_busy = min(self._untracked_busy, report.busy)
        self._untracked_connections = min(self._untracked_connections, report.connections)

    def _update_utilisation(self, now: float) -> None:
        elapsed = now - self._utilisation_updated
        if elapsed <= 0:
            return
        share = min(1.0, self.busy / self.rules.slots)
        keep = math.exp(-elapsed / UTILISATION_TIME_CONSTANT_S)
        self._utilisation = self._utilisation * keep + share * (1 - keep)
        self._utilisation_updated = now

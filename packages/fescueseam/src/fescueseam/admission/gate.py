"""Limit the flows that an agent admits to its backend server."""

import math
from enum import Enum

from attrs import define, field, frozen

from fescueseam.conf.models import AdmissionRules, FlowKind
from fescueseam.messages.types import Load

UTILISATION_TIME_CONSTANT_S = 30.0
"""Time constant of the moving average of the utilisation, in seconds."""

REPORT_STALE_AFTER_S = 0.05
"""Age, counted from its request, after which a load report is stale, in seconds.

While the last report is younger, a rejected offer requests no further one.
"""

MAX_REPORT_LAG_S = 2.0
"""Longest time until load reports show a change, in seconds; the warm-up relies on it."""

UNTRACKED_LOAD_WINDOW_S = 60.0
"""How long after its start an agent counts load that it did not admit itself, in seconds."""


class Verdict(Enum):
    """The decision of a gate on an opening."""

    ADMIT = "admit"
    FULL = "full"
    VERIFY = "verify"
    """A new load report has to rule out a restart of the backend server first."""


@frozen
class LoadReport:
    """One reply of the backend server's load endpoint."""

    incarnation: int
    busy: int
    connections: int
    requested: float
    """When the report was requested; its content may be older."""
    uptime_s: float = math.inf
    draining: bool = False


@define
class Gate:
    """Admission control of one backend server: counts its load and limits it during warm-up."""

    rules: AdmissionRules
    started: float
    draining: bool = False
    """Whether no new flows are admitted; set by operators, the backend server or a shutdown."""
    trusts_reports: bool = True
    """Whether load reports may free slots while the backend server warms up."""
    slot_bound: int = 0
    """Current limit on slots, which grows during the warm-up."""
    busy: int = 0
    """Slots taken by flows that this agent admitted."""
    connections: int = 0
    """Connections taken by flows that this agent admitted."""
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
        """Reset the limits to those of a cold start."""
        self.slot_bound = min(self.rules.cold_slots, self.rules.slots)
        self._successes = 0
        self.trusts_reports = True
        self._warm_up_started = now
        self._last_report_requested = -math.inf

    def distrust_reports(self) -> None:
        """Let no report free a slot until the backend server is warm or has restarted."""
        self.trusts_reports = False

    def change_rules(self, rules: AdmissionRules, now: float) -> None:
        """Apply new rules; a warm server stays warm, any other starts its warm-up again."""
        if rules == self.rules:
            return
        warm = self.is_warm()
        self.rules = rules
        if warm:
            self.slot_bound = rules.slots
        else:
            self.reset_warm_up(now)

    def is_warm(self) -> bool:
        """Return whether the limit on slots has reached its full value."""
        return self.slot_bound >= self.rules.slots

    def is_report_stale(self, now: float) -> bool:
        """Return whether a new load report should be requested."""
        return not self.draining and self._last_report_requested + REPORT_STALE_AFTER_S < now

    def compute_connection_bound(self, now: float) -> int:
        """Return the limit on connections, which grows during the warm-up."""
        cold_bound = min(self.rules.cold_connections, self.rules.connections)
        ratio = min(1.0, (now - self._warm_up_started) / self.rules.warm_up_s)
        return cold_bound + int((self.rules.connections - cold_bound) * ratio)

    def judge(self, kind: FlowKind, arrived: float, now: float) -> Verdict:
        """Return the decision on an opening of a flow."""
        if self.draining or now < self.started + MAX_REPORT_LAG_S:
            # Until then, reports may miss flows that an earlier incarnation of the agent admitted.
            return Verdict.FULL
        if self._incarnation is None:
            return Verdict.VERIFY
        if kind is FlowKind.REQUEST:
            used, bound = self.busy + self._untracked_busy, self.slot_bound
            cold_bound = min(self.rules.cold_slots, self.rules.slots)
        else:
            used, bound = (
                self.connections + self._untracked_connections,
                self.compute_connection_bound(now),
            )
            cold_bound = min(self.rules.cold_connections, self.rules.connections)
        if used >= bound:
            return Verdict.FULL
        # The server may have restarted unnoticed and be cold again. Above the cold-start limit,
        # only a report requested after the opening arrived rules that out.
        if used >= cold_bound and self._last_report_requested < arrived:
            return Verdict.VERIFY
        return Verdict.ADMIT

    def take(self, kind: FlowKind, now: float) -> None:
        """Count an admitted flow."""
        self._update_utilisation(now)
        if kind is FlowKind.REQUEST:
            self.busy += 1
        else:
            self.connections += 1

    def give_back(self, kind: FlowKind, success: bool, now: float) -> None:
        """Count the end of a flow; successful requests advance the warm-up."""
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
        """Process a load report and return whether the backend server has restarted."""
        restarted = self._incarnation is not None and (
            report.incarnation != self._incarnation or report.uptime_s < self._uptime_s
        )
        is_first = self._incarnation is None
        self._incarnation = report.incarnation
        self._uptime_s = report.uptime_s
        if restarted:
            self.reset_warm_up(now)
        self._last_report_requested = max(self._last_report_requested, report.requested)
        self._update_untracked_load(report, now, is_first or restarted)
        return restarted

    def note_lost(self, now: float) -> None:
        """Record that the backend server failed; admit nothing until it reports again."""
        self._incarnation = None
        self.reset_warm_up(now)

    def describe_load(self, now: float) -> Load:
        """Return the load to send to other members."""
        self._update_utilisation(now)
        bound = 0 if self.draining else self.slot_bound
        return Load(
            self.busy,
            bound,
            self.connections,
            self.compute_connection_bound(now),
            self._utilisation,
        )

    def _update_untracked_load(self, report: LoadReport, now: float, is_first: bool) -> None:
        # An agent that starts while its backend server is running does not know the flows that the
        # server already serves.
        if now - self.started > UNTRACKED_LOAD_WINDOW_S and not is_first:
            self._untracked_busy = self._untracked_connections = 0
            return
        if is_first or report.requested < self.started + MAX_REPORT_LAG_S:
            self._untracked_busy = max(0, report.busy - self.busy)
            self._untracked_connections = max(0, report.connections - self.connections - self.busy)
            return
        # A delayed report may not include the agent's own flows yet, so they are not subtracted and
        # the report is only an upper bound.
        self._untracked_busy = min(self._untracked_busy, report.busy)
        self._untracked_connections = min(self._untracked_connections, report.connections)

    def _update_utilisation(self, now: float) -> None:
        elapsed = now - self._utilisation_updated
        if elapsed <= 0:
            return
        ratio = min(1.0, self.busy / self.rules.slots)
        decay = math.exp(-elapsed / UTILISATION_TIME_CONSTANT_S)
        self._utilisation = self._utilisation * decay + ratio * (1 - decay)
        self._utilisation_updated = now

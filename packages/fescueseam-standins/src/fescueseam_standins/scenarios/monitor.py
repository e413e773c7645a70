"""Monitor the configuration of all processes while a scenario runs."""

from attrs import define, field

from ..world.process_state import ProcessState
from ..world.world import World

CHECK_INTERVAL_S = 0.1
PROPAGATION_TIMEOUT_S = 6.0
"""Longest time until an accepted configuration is in force at a reachable process, in seconds."""


@define(eq=False)
class ConfigurationMonitor:
    """Monitor of processes whose configuration reverts or lags behind."""

    world: World
    reverts: list[str] = field(factory=list)
    """Descriptions of processes that went back to an older version."""
    lagging: list[str] = field(factory=list)
    """Descriptions of processes that lacked an accepted version for longer than the timeout."""
    accepted_at: dict[int, float] = field(factory=dict)
    """Time at which each version was accepted."""
    _last_versions: dict[str, int] = field(factory=dict)
    _reachable_since: dict[str, float] = field(factory=dict)
    """Time since which each process has been running without a cut that affects it."""

    def start(self) -> None:
        """Start to check all processes at regular intervals."""
        self.world.timeline.call_every(CHECK_INTERVAL_S, self._check_processes)

    def _check_processes(self) -> bool:
        now = self.world.timeline.now
        self.accepted_at.setdefault(self.world.cfg.version, now)
        for host in self.world.list_hosts():
            version = host.view.cfg.version
            if version < self._last_versions.get(host.name, 0):
                self.reverts.append(f"{host.name} reverted to {version} at {now:.1f} s")
            self._last_versions[host.name] = version
            is_reachable = (
                host.state is ProcessState.RUNNING
                and not self.world.network.has_active_cut(host.location)
            )
            if not is_reachable:
                self._reachable_since.pop(host.name, None)
                continue
            since = self._reachable_since.setdefault(host.name, now)
            self._check_version(host.name, version, since, now)
        return True

    def _check_version(self, name: str, version: int, since: float, now: float) -> None:
        due_versions = [
            accepted_version
            for accepted_version, time in self.accepted_at.items()
            if max(time, since) + PROPAGATION_TIMEOUT_S < now
        ]
        problem = f"{name} lacks version {max(due_versions, default=0)}"
        if due_versions and version < max(due_versions) and problem not in self.lagging:
            self.lagging.append(problem)

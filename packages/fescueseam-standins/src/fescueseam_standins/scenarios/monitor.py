"""Watch the configuration of every process while a scenario runs."""

from attrs import define, field

from ..world.life import Life
from ..world.world import World

WATCH_INTERVAL_S = 0.1
IN_FORCE_S = 6.0


@define(eq=False)
class Monitor:
    """Note processes whose configuration reverts or stays behind."""

    world: World
    reverts: list[str] = field(factory=list)
    late: list[str] = field(factory=list)
    accepted_at: dict[int, float] = field(factory=dict)
    """Tell when each version was accepted."""
    _seen: dict[str, int] = field(factory=dict)
    _able_since: dict[str, float] = field(factory=dict)
    """Tell since when each process has been able to follow."""

    def start(self) -> None:
        """Begin to watch."""
        self.world.timeline.every(WATCH_INTERVAL_S, self._look)

    def _look(self) -> bool:
        now = self.world.timeline.now
        self.accepted_at.setdefault(self.world.cfg.version, now)
        for host in self.world.list_hosts():
            version = host.view.cfg.version
            if version < self._seen.get(host.name, 0):
                self.reverts.append(f"{host.name} reverted to {version} at {now:.1f} s")
            self._seen[host.name] = version
            able = host.life is Life.RUNNING and not self.world.network.is_shut_off(host.place)
            if not able:
                self._able_since.pop(host.name, None)
                continue
            since = self._able_since.setdefault(host.name, now)
            self._judge(host.name, version, since, now)
        return True

    def _judge(self, name: str, version: int, since: float, now: float) -> None:
        due = [
            accepted
            for accepted, time in self.accepted_at.items()
            if max(time, since) + IN_FORCE_S < now
        ]
        note = f"{name} lacks version {max(due, default=0)}"
        if due and version < max(due) and note not in self.late:
            self.late.append(note)

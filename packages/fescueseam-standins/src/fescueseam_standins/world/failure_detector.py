"""Let processes suspect agents that are silent, as the failure detector would."""

from typing import TYPE_CHECKING

from attrs import define, field

from .life import Life

if TYPE_CHECKING:
    from .world import World

LOOK_INTERVAL_S = 0.2
SUSPECT_AFTER_S = 1.4
SPREAD_S = 0.6
"""Let a change of suspicion reach each process within this time."""


@define(eq=False)
class Suspicion:
    """Hold who is suspected, by silence or by order."""

    world: "World"
    ordered: set[str] = field(factory=set)
    """Name members that a scenario has suspected without cause."""
    _silent_since: dict[str, float] = field(factory=dict)
    _told: frozenset[str] = frozenset()

    def start(self) -> None:
        """Begin to look for silent agents."""
        self.world.timeline.every(LOOK_INTERVAL_S, self.look)

    def look(self) -> bool:
        """Tell every process when the suspected members change."""
        now = self.world.timeline.now
        for name, host in self.world.agents.items():
            if host.life is Life.RUNNING:
                self._silent_since.pop(name, None)
            else:
                self._silent_since.setdefault(name, now)
        silent = {
            name for name, since in self._silent_since.items() if now >= since + SUSPECT_AFTER_S
        }
        suspects = frozenset(silent | self.ordered)
        if suspects != self._told:
            self._told = suspects
            for process in self.world.list_hosts():
                self.world.give(process, lambda view: view.set_suspects(suspects), SPREAD_S)
        return True

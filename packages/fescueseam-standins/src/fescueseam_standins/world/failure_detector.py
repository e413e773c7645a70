"""Let processes suspect agents that are silent, as the failure detector would."""

from typing import TYPE_CHECKING

from attrs import define, field

from .process_state import ProcessState

if TYPE_CHECKING:
    from .world import World

CHECK_INTERVAL_S = 0.2
SUSPECT_TIMEOUT_S = 1.4
MAX_PROPAGATION_S = 0.6
"""Let a change of suspicion reach each process within this time."""


@define(eq=False)
class SimulatedFailureDetector:
    """Hold who is suspected, by silence or by order."""

    world: "World"
    forced_suspects: set[str] = field(factory=set)
    """Name members that a scenario has suspected without cause."""
    _unresponsive_since: dict[str, float] = field(factory=dict)
    _published_suspects: frozenset[str] = frozenset()

    def start(self) -> None:
        """Begin to look for silent agents."""
        self.world.timeline.call_every(CHECK_INTERVAL_S, self.update_suspects)

    def update_suspects(self) -> bool:
        """Tell every process when the suspected members change."""
        now = self.world.timeline.now
        for name, host in self.world.agents.items():
            if host.state is ProcessState.RUNNING:
                self._unresponsive_since.pop(name, None)
            else:
                self._unresponsive_since.setdefault(name, now)
        unresponsive = {
            name
            for name, since in self._unresponsive_since.items()
            if now >= since + SUSPECT_TIMEOUT_S
        }
        suspects = frozenset(unresponsive | self.forced_suspects)
        if suspects != self._published_suspects:
            self._published_suspects = suspects
            for process in self.world.list_hosts():
                self.world.change_view(
                    process, lambda view: view.set_suspects(suspects), MAX_PROPAGATION_S
                )
        return True

"""Simulate the failure detector, by which all processes suspect unresponsive agents."""

from typing import TYPE_CHECKING

from attrs import define, field

from .process_state import ProcessState

if TYPE_CHECKING:
    from .world import World

CHECK_INTERVAL_S = 0.2
SUSPECT_TIMEOUT_S = 1.4
"""Time after which an agent that is not running is suspected, in seconds."""
MAX_PROPAGATION_S = 0.6
"""Longest delay until a process learns of a change in the suspects, in seconds."""


@define(eq=False)
class SimulatedFailureDetector:
    """Simulated failure detector, with the suspects that a scenario adds."""

    world: "World"
    forced_suspects: set[str] = field(factory=set)
    """Members that a scenario makes suspected, whether they run or not."""
    _unresponsive_since: dict[str, float] = field(factory=dict)
    _published_suspects: frozenset[str] = frozenset()

    def start(self) -> None:
        """Start to check the agents at regular intervals."""
        self.world.timeline.call_every(CHECK_INTERVAL_S, self.update_suspects)

    def update_suspects(self) -> bool:
        """Determine the suspects, publish a change to all processes and return True."""
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

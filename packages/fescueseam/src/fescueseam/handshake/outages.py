"""Data centres that are taken out, and their order across the eras of the store."""

import math

from attrs import define, field, frozen

DEFAULT_OUTAGE_HOLD_S = 8.0
"""Default time for which a data centre stays out after its entry was lost, in seconds."""
HELD_LIMIT = 256
"""Largest number of data centres whose holds are taken over from other processes."""


@frozen
class Outage:
    """Data centres that operators have taken out, at one revision of one era of the store."""

    revision: int = 0
    data_centres: frozenset[str] = frozenset()
    era: int = 0
    held: frozenset[str] = frozenset()
    """Those that were out in an earlier era and have no entry in this one."""

    @property
    def order(self) -> tuple[int, int]:
        """Return the position among all outages; revisions of different eras do not compare."""
        return self.era, self.revision

    @property
    def stored(self) -> frozenset[str]:
        """Return the data centres that have an entry in the store."""
        return self.data_centres - self.held


NO_OUTAGE = Outage()


@define
class OutageHolds:
    """Keeps data centres out while operators may still have to write their lost entries again."""

    hold_s: float = DEFAULT_OUTAGE_HOLD_S
    """Time for which a data centre whose entry was lost stays out, in seconds."""
    _ends: dict[str, float] = field(factory=dict)
    """End of the hold of each data centre that was held in the current era.

    Ended holds are kept, so that a late notice does not start them again.
    """

    def apply(self, current: Outage, received: Outage, now: float, hold_s: float = 0.0) -> Outage:
        """Return the outage in force after receiving one that holds some for `hold_s` seconds."""
        newest = max(current, received, key=lambda item: item.order)
        if newest.era > current.era:
            self._ends = dict.fromkeys(current.data_centres, now + self.hold_s)
        if received.era == newest.era:
            for name in sorted(received.held - self._ends.keys()):
                if len(self._ends) < HELD_LIMIT:
                    self._ends[name] = now + min(hold_s, self.hold_s)
        # Once an entry is in the store again, its removal takes effect at once.
        self._ends.update(dict.fromkeys(newest.stored, -math.inf))
        held = frozenset(name for name, end in self._ends.items() if end > now)
        return Outage(newest.revision, newest.stored | held, newest.era, held)

    def compute_remaining(self, now: float) -> float:
        """Return the time until the last hold ends, in seconds."""
        return max(0.0, max(self._ends.values(), default=0.0) - now)

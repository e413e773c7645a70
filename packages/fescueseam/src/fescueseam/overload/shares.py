"""Order of callers under shortage, by what they got lately."""

import math
from collections import OrderedDict

from attrs import define, field

USE_TIME_CONSTANT_S = 5.0
"""Time constant of the exponential decay of a caller's use, in seconds."""
CALLERS_LIMIT = 4096
"""Largest number of callers, and of groups of new callers, that are remembered."""
NEWCOMER_TIME_S = 60.0
"""Time for which a caller counts with the other new ones of its prefix, in seconds."""
NEWCOMERS_COUNT_AS = 8
"""Number of callers as which the new callers of one prefix count together."""
RANKS_PER_DOUBLING = 2
"""Number of ranks by which a caller falls back when its use doubles."""
PREFIX_BITS = 8
"""Number of low bits of an address that do not belong to its prefix."""


@define
class _Use:
    first_at: float
    updated_at: float
    amount: float = 0.0

    def compute(self, now: float) -> float:
        """Return the decayed use."""
        return self.amount * math.exp(min(0.0, self.updated_at - now) / USE_TIME_CONSTANT_S)

    def add(self, now: float) -> None:
        """Add one request."""
        self.amount = self.compute(now) + 1.0
        self.updated_at = max(now, self.updated_at)


@define(eq=False)
class CallerShares:
    """Recent use of each caller address; those who got least go first.

    New addresses of a prefix count together, so that nothing is gained by using many of them.
    """

    _callers: OrderedDict[int, _Use] = field(factory=OrderedDict)
    """Callers, the least recently served first."""
    _newcomers: OrderedDict[int, _Use] = field(factory=OrderedDict)
    """Use of the new callers of each prefix."""

    def __len__(self) -> int:
        """Return the number of callers that are remembered."""
        return len(self._callers)

    def record(self, caller: int, now: float) -> None:
        """Record that a request of a caller is served."""
        use = _add_use(self._callers, caller, now)
        if now - use.first_at < NEWCOMER_TIME_S:
            _add_use(self._newcomers, caller >> PREFIX_BITS, now)

    def compute_rank(self, caller: int, waiting: int, now: float) -> int:
        """Return the rank of a caller's next request behind those of it that wait; 0 is first.

        Small differences in use leave the order by age.
        """
        own = self._callers.get(caller)
        amount = own.compute(now) if own is not None else 0.0
        if own is None or now - own.first_at < NEWCOMER_TIME_S:
            group = self._newcomers.get(caller >> PREFIX_BITS)
            if group is not None:
                amount = max(amount, group.compute(now) / NEWCOMERS_COUNT_AS)
        return int(RANKS_PER_DOUBLING * math.log2(1.0 + amount + waiting))


def _add_use(table: OrderedDict[int, _Use], key: int, now: float) -> _Use:
    use = table.get(key)
    if use is None:
        if len(table) >= CALLERS_LIMIT:
            table.popitem(last=False)
        use = table[key] = _Use(now, now)
    table.move_to_end(key)
    use.add(now)
    return use

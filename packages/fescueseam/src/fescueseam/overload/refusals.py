"""Tries that follow a refusal: how they are told from first tries, and how many are placed."""

from collections import OrderedDict, deque

from attrs import define, field

from fescueseam.handshake.segments import FlowId, ServiceAddress
from fescueseam.retries import RetryBudget

REFUSALS_RETENTION_S = 2.0
"""Time after a refusal in which a new opening of its caller counts as the next try, in seconds."""
REFUSED_CALLERS_LIMIT = 4096
"""Largest number of callers and service addresses of which refusals are remembered."""
REFUSALS_PER_CALLER_LIMIT = 4
"""Largest number of refusals of one caller and service address that are told apart. A caller with
more opens so many flows that a new one may as well be a first try."""


@define(eq=False)
class RefusalMemory:
    """Refusals that may be followed by another try, which comes from a new port."""

    _refusals: OrderedDict[tuple[int, ServiceAddress], deque[tuple[float, float]]] = field(
        factory=OrderedDict
    )
    """Times of the refusals and of the first try of each, by caller and service address."""

    def __len__(self) -> int:
        """Return the number of callers and service addresses."""
        return len(self._refusals)

    def record(self, flow: FlowId, requested_at: float, now: float) -> None:
        """Record that the opening of a flow was refused."""
        key = (flow[0], flow[2:])
        if key not in self._refusals and len(self._refusals) >= REFUSED_CALLERS_LIMIT:
            self._refusals.popitem(last=False)
        self._refusals.setdefault(key, deque(maxlen=REFUSALS_PER_CALLER_LIMIT + 1)).append(
            (now, requested_at)
        )
        self._refusals.move_to_end(key)

    def take_first_try(self, flow: FlowId, now: float) -> float | None:
        """Return when the request of a new opening was first tried; None if this is its first try.

        Only refusals by this process are known.
        """
        key = (flow[0], flow[2:])
        refusals = self._refusals.get(key)
        if refusals is None:
            return None
        while refusals and not 0 <= now - refusals[0][0] <= REFUSALS_RETENTION_S:
            refusals.popleft()
        requested_at = None
        if 0 < len(refusals) <= REFUSALS_PER_CALLER_LIMIT:
            requested_at = refusals.popleft()[1]
        if not refusals:
            del self._refusals[key]
        return requested_at


@define(eq=False)
class RetryLimits:
    """Budget of each caller for the tries after a refusal that are placed in a shortage."""

    _budgets: OrderedDict[int, RetryBudget] = field(factory=OrderedDict)

    def __len__(self) -> int:
        """Return the number of callers."""
        return len(self._budgets)

    def allows(self, caller: int, is_retry: bool, is_shortage: bool) -> bool:
        """Record an opening of a caller address, and return whether it may be placed."""
        if caller not in self._budgets and len(self._budgets) >= REFUSED_CALLERS_LIMIT:
            self._budgets.popitem(last=False)
        budget = self._budgets.setdefault(caller, RetryBudget())
        self._budgets.move_to_end(caller)
        if not is_retry:
            budget.record_first_try()
            return True
        return not is_shortage or budget.take_retry()

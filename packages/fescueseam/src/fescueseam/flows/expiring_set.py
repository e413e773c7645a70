"""A bounded set of flows whose entries expire."""

import heapq

from attrs import define, field

from fescueseam.flows.keys import FlowKey


@define
class ExpiringFlowSet:
    """Flows with an expiry time each; adding to a full set evicts the one that expires first."""

    limit: int
    _expiry: dict[FlowKey, float] = field(factory=dict)
    _queue: list[tuple[float, int, FlowKey]] = field(factory=list)
    """Heap of expiry times; entries whose time is no longer that of the flow are skipped."""
    _added: int = 0

    def __len__(self) -> int:
        return len(self._expiry)

    def add(self, flow: FlowKey, expires: float) -> None:
        """Add a flow until the given time; a later expiry of the flow is kept."""
        if self._expiry.get(flow, expires - 1.0) >= expires:
            return
        self._expiry[flow] = expires
        self._added += 1
        heapq.heappush(self._queue, (expires, self._added, flow))
        while len(self._expiry) > self.limit:
            self._remove_first()
        if len(self._queue) > 2 * self.limit:
            self._queue = [item for item in self._queue if self._expiry.get(item[2]) == item[0]]
            heapq.heapify(self._queue)

    def contains(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow is in the set and has not expired."""
        return self._expiry.get(flow, now) > now

    def expire(self, now: float) -> None:
        """Remove expired flows."""
        while self._queue and self._queue[0][0] <= now:
            self._remove_first()

    def _remove_first(self) -> None:
        expires, _, flow = heapq.heappop(self._queue)
        if self._expiry.get(flow) == expires:
            del self._expiry[flow]

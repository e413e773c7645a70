"""A bounded set of flows whose entries expire."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.flows.keys import FlowKey


@define
class ExpiringFlowSet:
    """Flows with an expiry time each; adding to a full set evicts the oldest entry."""

    limit: int
    _expiry: OrderedDict[FlowKey, float] = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._expiry)

    def add(self, flow: FlowKey, expires: float) -> None:
        """Add a flow that expires at the given time."""
        self._expiry[flow] = expires
        self._expiry.move_to_end(flow)
        if len(self._expiry) > self.limit:
            self._expiry.popitem(last=False)

    def contains(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow is in the set and has not expired."""
        return self._expiry.get(flow, now) > now

    def expire(self, now: float) -> None:
        """Remove expired flows, oldest first, up to the first that has not expired."""
        while self._expiry and next(iter(self._expiry.values())) <= now:
            self._expiry.popitem(last=False)

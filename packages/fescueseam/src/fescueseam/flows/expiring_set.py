"""Remember flows for a bounded time in bounded room."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.flows.keys import FlowKey


@define
class ExpiringFlowSet:
    """Remember flows until a time that is given with each; the oldest gives way."""

    limit: int
    _expiry: OrderedDict[FlowKey, float] = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._expiry)

    def add(self, flow: FlowKey, until: float) -> None:
        """Remember a flow until a time."""
        self._expiry[flow] = until
        self._expiry.move_to_end(flow)
        if len(self._expiry) > self.limit:
            self._expiry.popitem(last=False)

    def contains(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a flow is still remembered."""
        return self._expiry.get(flow, now) > now

    def expire(self, now: float) -> None:
        """Forget the flows whose time is over."""
        while self._expiry and next(iter(self._expiry.values())) <= now:
            self._expiry.popitem(last=False)

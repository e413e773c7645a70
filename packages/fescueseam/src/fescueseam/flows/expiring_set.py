"""Remember flows for a bounded time in bounded room."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.flows.keys import FlowKey


@define
class FlowMemory:
    """Remember flows until a time that is given with each; the oldest gives way."""

    limit: int
    _until: OrderedDict[FlowKey, float] = field(factory=OrderedDict)

    def __len__(self) -> int:
        return len(self._until)

    def add(self, flow: FlowKey, until: float) -> None:
        """Remember a flow until a time."""
        self._until[flow] = until
        self._until.move_to_end(flow)
        if len(self._until) > self.limit:
            self._until.popitem(last=False)

    def holds(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a flow is still remembered."""
        return self._until.get(flow, now) > now

    def expire(self, now: float) -> None:
        """Forget the flows whose time is over."""
        while self._until and next(iter(self._until.values())) <= now:
            self._until.popitem(last=False)

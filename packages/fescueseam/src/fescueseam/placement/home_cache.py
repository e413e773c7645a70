"""Known homes of flows, and flows that must not be placed for a while."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.flows.expiring_set import ExpiringFlowSet
from fescueseam.flows.keys import FlowKey
from fescueseam.placement.search import FlowHome

HOMES_LIMIT = 16384
BLOCKED_FLOWS_LIMIT = 16384


@define
class HomeCache:
    """LRU cache of the homes of flows; an evicted home is found again by asking the members."""

    _homes: OrderedDict[FlowKey, FlowHome] = field(factory=OrderedDict)
    _blocked: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(BLOCKED_FLOWS_LIMIT))

    def __len__(self) -> int:
        return len(self._homes)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._homes

    def find(self, flow: FlowKey) -> FlowHome | None:
        """Return the home of a flow and mark it as used."""
        home = self._homes.get(flow)
        if home is not None:
            self._homes.move_to_end(flow)
        return home

    def add(self, flow: FlowKey, home: FlowHome) -> None:
        """Store the home of a flow."""
        self._homes[flow] = home
        self._homes.move_to_end(flow)
        if len(self._homes) > HOMES_LIMIT:
            self._homes.popitem(last=False)

    def remove(self, flow: FlowKey, now: float) -> None:
        """Remove the home of a flow; a non-repeatable flow must not be placed again for a while."""
        home = self._homes.pop(flow, None)
        if home is not None and not home.repeatable:
            self.block_placement(flow, now + PACKET_LIFETIME_S)

    def block_placement(self, flow: FlowKey, until: float) -> None:
        """Block the placement of a flow until a time, because it may have run."""
        self._blocked.add(flow, until)

    def is_placement_blocked(self, flow: FlowKey, now: float) -> bool:
        """Return whether a flow must not be placed, because it may have run."""
        return self._blocked.contains(flow, now)

    def clear(self) -> None:
        """Remove every home, as if lost in a restart, but keep the placement blocks."""
        self._homes.clear()

    def expire(self, now: float) -> None:
        """Remove expired placement blocks."""
        self._blocked.expire(now)

"""Remember the homes of flows, and the flows whose home is gone."""

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
    """Hold homes; the one used least lately gives way and is found again by asking."""

    _homes: OrderedDict[FlowKey, FlowHome] = field(factory=OrderedDict)
    _blocked: ExpiringFlowSet = field(factory=lambda: ExpiringFlowSet(BLOCKED_FLOWS_LIMIT))

    def __len__(self) -> int:
        return len(self._homes)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._homes

    def find(self, flow: FlowKey) -> FlowHome | None:
        """Return the home of a flow and note its use."""
        home = self._homes.get(flow)
        if home is not None:
            self._homes.move_to_end(flow)
        return home

    def add(self, flow: FlowKey, home: FlowHome) -> None:
        """Remember the home of a flow."""
        self._homes[flow] = home
        self._homes.move_to_end(flow)
        if len(self._homes) > HOMES_LIMIT:
            self._homes.popitem(last=False)

    def forget(self, flow: FlowKey, now: float) -> None:
        """Forget a home that is gone; a flow that may not be repeated is spent with it."""
        home = self._homes.pop(flow, None)
        if home is not None and not home.repeatable:
            self.block_placement(flow, now + PACKET_LIFETIME_S)

    def block_placement(self, flow: FlowKey, until: float) -> None:
        """Let a flow that may have run not be placed again until a time."""
        self._blocked.add(flow, until)

    def is_placement_blocked(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a flow may have run and has no home any more."""
        return self._blocked.contains(flow, now)

    def clear(self) -> None:
        """Forget every home, as a restart does."""
        self._homes.clear()

    def expire(self, now: float) -> None:
        """Forget the spent flows whose time is over."""
        self._blocked.expire(now)

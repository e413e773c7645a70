"""Remember the homes of flows, and the flows whose home is gone."""

from collections import OrderedDict

from attrs import define, field

from fescueseam.claims.registry import PACKET_LIFETIME_S
from fescueseam.flows.expiring_set import FlowMemory
from fescueseam.flows.keys import FlowKey
from fescueseam.placement.search import Home

HOMES_LIMIT = 16384
SPENT_LIMIT = 16384


@define
class Homes:
    """Hold homes; the one used least lately gives way and is found again by asking."""

    _homes: OrderedDict[FlowKey, Home] = field(factory=OrderedDict)
    _spent: FlowMemory = field(factory=lambda: FlowMemory(SPENT_LIMIT))

    def __len__(self) -> int:
        return len(self._homes)

    def __contains__(self, flow: FlowKey) -> bool:
        return flow in self._homes

    def find(self, flow: FlowKey) -> Home | None:
        """Return the home of a flow and note its use."""
        home = self._homes.get(flow)
        if home is not None:
            self._homes.move_to_end(flow)
        return home

    def add(self, flow: FlowKey, home: Home) -> None:
        """Remember the home of a flow."""
        self._homes[flow] = home
        self._homes.move_to_end(flow)
        if len(self._homes) > HOMES_LIMIT:
            self._homes.popitem(last=False)

    def forget(self, flow: FlowKey, now: float) -> None:
        """Forget a home that is gone; a flow that may not be repeated is spent with it."""
        home = self._homes.pop(flow, None)
        if home is not None and not home.repeatable:
            self.spend(flow, now + PACKET_LIFETIME_S)

    def spend(self, flow: FlowKey, until: float) -> None:
        """Let a flow that may have run not be placed again until a time."""
        self._spent.add(flow, until)

    def is_spent(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a flow may have run and has no home any more."""
        return self._spent.holds(flow, now)

    def clear(self) -> None:
        """Forget every home, as a restart does."""
        self._homes.clear()

    def expire(self, now: float) -> None:
        """Forget the spent flows whose time is over."""
        self._spent.expire(now)

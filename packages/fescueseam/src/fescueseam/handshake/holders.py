"""Agents that may hold flows of a service address, whichever services the address has now."""

from collections.abc import Iterable

from attrs import define, field

from fescueseam.handshake.backend import BackendMonitor
from fescueseam.handshake.flows import FlowTable
from fescueseam.handshake.member import UNKNOWN_FLOWS, HeldFlows
from fescueseam.handshake.segments import ServiceAddress

HELD_ADDRESSES_LIMIT = 32
"""Largest number of service addresses in a report, so that it stays small. An agent with flows of
more is asked about every unknown flow."""


def build_held_flows(flows: FlowTable, backend: BackendMonitor, now: float) -> HeldFlows:
    """Return what an agent reports of the flows that its backend server holds."""
    addresses = flows.list_service_addresses()
    if len(addresses) > HELD_ADDRESSES_LIMIT:
        return UNKNOWN_FLOWS
    return HeldFlows(addresses, backend.may_hold_unknown_flows(now))


@define
class HolderIndex:
    """What each agent has reported of the flows that it holds."""

    _held_by_name: dict[str, HeldFlows] = field(factory=dict)
    _names_by_address: dict[ServiceAddress, set[str]] = field(factory=dict)
    _names_with_unknown_flows: set[str] = field(factory=set)

    def record(self, name: str, held: HeldFlows) -> None:
        """Replace what an agent has reported."""
        if self._held_by_name.get(name) == held:
            return
        self.discard(name)
        self._held_by_name[name] = held
        if held.has_unknown_flows:
            self._names_with_unknown_flows.add(name)
        for address in held.service_addresses:
            self._names_by_address.setdefault(address, set()).add(name)

    def discard(self, name: str) -> None:
        """Forget an agent."""
        held = self._held_by_name.pop(name, None)
        self._names_with_unknown_flows.discard(name)
        for address in held.service_addresses if held is not None else ():
            names = self._names_by_address[address]
            names.discard(name)
            if not names:
                del self._names_by_address[address]

    def list_holders(self, address: ServiceAddress) -> Iterable[str]:
        """Return the names of the agents that hold flows of a service address."""
        return self._names_by_address.get(address, ())

    def list_with_unknown_flows(self) -> Iterable[str]:
        """Return the names of the agents that may hold any flow."""
        return self._names_with_unknown_flows

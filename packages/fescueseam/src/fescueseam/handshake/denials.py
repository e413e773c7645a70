"""Agents that have said that they do not hold a flow, kept for the next packet of the flow."""

from collections import OrderedDict

from attrs import define, field, frozen

from fescueseam.handshake.segments import SEQUENCE_MODULUS, FlowId

DENIALS_LIMIT = 4096
"""Largest number of flows whose denials are kept."""
DENIALS_RETENTION_S = 5.0
"""Time for which denials are kept, in seconds: until the caller of a dead flow has given up."""
SAME_FLOW_SEQUENCES = 1 << 20
"""Largest distance of the sequence numbers of two packets that count as of the same flow, in bytes.
A new flow under the same addresses and ports begins at another number."""


@frozen
class _Denials:
    agents: frozenset[str]
    sequence: int
    recorded_at: float


@define
class DenialCache:
    """Denials by flow, the oldest first.

    A flow that was open when an agent denied it cannot come to that agent later, so an agent is
    asked about it only once.
    """

    _denials: OrderedDict[FlowId, _Denials] = field(factory=OrderedDict)

    def record(self, flow: FlowId, agents: frozenset[str], sequence: int, now: float) -> None:
        """Store the agents that denied a flow, and the sequence number of one of its packets."""
        self._denials.pop(flow, None)
        self._denials[flow] = _Denials(agents, sequence, now)
        if len(self._denials) > DENIALS_LIMIT:
            self._denials.popitem(last=False)

    def find(self, flow: FlowId, sequence: int, now: float) -> frozenset[str]:
        """Return the agents that denied the flow of a packet with a sequence number."""
        denials = self._denials.get(flow)
        if denials is None:
            return frozenset()
        distance = (sequence - denials.sequence) % SEQUENCE_MODULUS
        is_same_flow = min(distance, SEQUENCE_MODULUS - distance) <= SAME_FLOW_SEQUENCES
        if not is_same_flow or now - denials.recorded_at >= DENIALS_RETENTION_S:
            del self._denials[flow]
            return frozenset()
        return denials.agents

    def discard(self, flow: FlowId) -> None:
        """Forget the denials of a flow, because a new one is opened under its addresses."""
        self._denials.pop(flow, None)

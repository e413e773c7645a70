"""Grant the right to place a flow to one recorder at a time."""

from collections import OrderedDict

from attrs import define, field, frozen

from fescueseam.flows.keys import FlowKey

PACKET_LIFETIME_S = 10.0
"""Bound the time from the sending of a packet to its last arrival, in seconds."""

GRANT_S = 2 * PACKET_LIFETIME_S
GRANTS_LIMIT = 32768


@frozen
class Grant:
    """Hold who may place a flow, and until when."""

    recorder: str
    incarnation: int
    expires: float


@define
class ClaimRegistry:
    """Hold the grants of one member; grant nothing while packets older than it may arrive."""

    started: float
    _grants: OrderedDict[FlowKey, Grant] = field(factory=OrderedDict)

    def grant(self, flow: FlowKey, recorder: str, incarnation: int, now: float) -> bool:
        """Grant a flow to a recorder unless another one has it; asking again is harmless."""
        if now < self.started + PACKET_LIFETIME_S:
            return False
        self._expire(now)
        known = self._grants.get(flow)
        if known is not None:
            return known.recorder == recorder and known.incarnation == incarnation
        if len(self._grants) >= GRANTS_LIMIT:
            return False
        self._grants[flow] = Grant(recorder, incarnation, now + GRANT_S)
        return True

    def release(self, flow: FlowKey, recorder: str, incarnation: int) -> None:
        """Take back a grant whose recorder has not placed the flow."""
        known = self._grants.get(flow)
        if known is not None and (known.recorder, known.incarnation) == (recorder, incarnation):
            del self._grants[flow]

    def _expire(self, now: float) -> None:
        while self._grants:
            flow, grant = next(iter(self._grants.items()))
            if grant.expires > now:
                return
            del self._grants[flow]


def count_majority(members: int) -> int:
    """Return how many of the members of a row make a majority."""
    return members // 2 + 1

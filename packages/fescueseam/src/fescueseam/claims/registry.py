"""Grant the right to place a flow to one recorder at a time."""

from collections import OrderedDict

from attrs import define, evolve, field, frozen

from fescueseam.flows.keys import FlowKey

PACKET_LIFETIME_S = 10.0
"""Bound the time from the sending of a packet to its last arrival, in seconds."""

GRANT_LIFETIME_S = 2 * PACKET_LIFETIME_S
GRANTS_LIMIT = 32768


@frozen
class Grant:
    """Hold who may place a flow by which claim, and until when."""

    recorder: str
    incarnation: int
    claim: int
    expires: float
    released: bool = False
    """Tell that the claim was given back; a late copy of its ask is not granted again."""


@define
class ClaimRegistry:
    """Hold the grants of one member; grant nothing while packets older than it may arrive."""

    started: float
    _grants: OrderedDict[FlowKey, Grant] = field(factory=OrderedDict)

    def is_ready(self, now: float) -> bool:
        """Tell whether packets from before the start of this member are dead."""
        return now >= self.started + PACKET_LIFETIME_S

    def grant(self, flow: FlowKey, recorder: str, incarnation: int, claim: int, now: float) -> bool:
        """Grant a flow to a recorder unless another one has it; asking again is harmless."""
        if not self.is_ready(now):
            return False
        self._remove_expired(now)
        known = self._grants.get(flow)
        if known is None and len(self._grants) >= GRANTS_LIMIT:
            return False
        if known is not None:
            same = (known.recorder, known.incarnation) == (recorder, incarnation)
            if same and known.released and claim <= known.claim:
                return False
            if not same and not known.released:
                return False
            if same and claim <= known.claim:
                return claim == known.claim
        self._grants[flow] = Grant(recorder, incarnation, claim, now + GRANT_LIFETIME_S)
        self._grants.move_to_end(flow)
        return True

    def release(self, flow: FlowKey, recorder: str, incarnation: int, claim: int) -> None:
        """Take back the grant of a claim that has placed nothing."""
        known = self._grants.get(flow)
        if known is None or claim < known.claim:
            return
        if (known.recorder, known.incarnation) == (recorder, incarnation):
            self._grants[flow] = evolve(known, released=True)

    def _remove_expired(self, now: float) -> None:
        while self._grants:
            flow, grant = next(iter(self._grants.items()))
            if grant.expires > now:
                return
            del self._grants[flow]


def count_majority(members: int) -> int:
    """Return how many of the members of a row make a majority."""
    return members // 2 + 1

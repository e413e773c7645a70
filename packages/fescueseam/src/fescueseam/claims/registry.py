"""Grant the right to place a flow to one recorder at a time."""

from collections import OrderedDict

from attrs import define, evolve, field, frozen

from fescueseam.flows.keys import FlowKey

PACKET_LIFETIME_S = 10.0
"""Longest time from the sending of a packet to the arrival of its last copy, in seconds."""

GRANT_LIFETIME_S = 2 * PACKET_LIFETIME_S
"""How long a grant is kept, in seconds; it has to outlive every copy of the opening."""
GRANTS_LIMIT = 32768


@frozen
class Grant:
    """The right of one recorder to place a flow."""

    recorder: str
    incarnation: int
    claim: int
    expires: float
    released: bool = False
    """Whether the claim was released; a delayed copy of its request is not granted again."""


@define
class ClaimRegistry:
    """Grants of one member, which grants nothing while packets from before its start may arrive."""

    started: float
    _grants: OrderedDict[FlowKey, Grant] = field(factory=OrderedDict)

    def is_ready(self, now: float) -> bool:
        """Return whether no more packets from before the start can arrive."""
        return now >= self.started + PACKET_LIFETIME_S

    def grant(self, flow: FlowKey, recorder: str, incarnation: int, claim: int, now: float) -> bool:
        """Grant a flow to a recorder unless another recorder holds it; idempotent for one claim."""
        if not self.is_ready(now):
            return False
        self._remove_expired(now)
        current = self._grants.get(flow)
        if current is None and len(self._grants) >= GRANTS_LIMIT:
            return False
        if current is not None:
            is_holder = (current.recorder, current.incarnation) == (recorder, incarnation)
            if is_holder and current.released and claim <= current.claim:
                return False
            if not is_holder and not current.released:
                return False
            if is_holder and claim <= current.claim:
                return claim == current.claim
        self._grants[flow] = Grant(recorder, incarnation, claim, now + GRANT_LIFETIME_S)
        self._grants.move_to_end(flow)
        return True

    def release(self, flow: FlowKey, recorder: str, incarnation: int, claim: int) -> None:
        """Release the grant of a claim under which nothing was placed."""
        current = self._grants.get(flow)
        if current is None or claim < current.claim:
            return
        if (current.recorder, current.incarnation) == (recorder, incarnation):
            self._grants[flow] = evolve(current, released=True)

    def _remove_expired(self, now: float) -> None:
        while self._grants:
            flow, grant = next(iter(self._grants.items()))
            if grant.expires > now:
                return
            del self._grants[flow]


def count_majority(members: int) -> int:
    """Return the size of a majority of the members."""
    return members // 2 + 1

"""Choice of a candidate for a new flow."""

from collections.abc import Callable, Iterable

from fescueseam.placement.search import PeerLoad
from fescueseam.routing.table import Member

FULL_MEMBER_BACKOFF_S = 0.1
"""How long a member counts as full after it has reported so, in seconds."""

ChooseCandidate = Callable[[Iterable[Member], dict[str, PeerLoad], float], Member | None]
"""Chooses one of the candidates, given the loads of members by name and the time."""


def choose_least_utilised(
    members: Iterable[Member], loads: dict[str, PeerLoad], now: float
) -> Member | None:
    """Return the least utilised member, preferring members that are not known to be full."""
    default_load = PeerLoad()

    def rank(member: Member) -> tuple[bool, float]:
        peer = loads.get(member.name, default_load)
        return (peer.full_until > now, peer.load.utilisation)

    return min(members, key=rank, default=None)

"""Order the candidates for a new flow."""

from collections.abc import Callable, Iterable

from fescueseam.placement.search import PeerLoad
from fescueseam.routing.table import Member

FULL_MEMBER_BACKOFF_S = 0.1
"""Believe for this long, in seconds, that a member which was full still is."""

ChooseCandidate = Callable[[Iterable[Member], dict[str, PeerLoad], float], Member | None]


def choose_least_utilised(
    members: Iterable[Member], loads: dict[str, PeerLoad], now: float
) -> Member | None:
    """Return the member believed free whose utilisation has been lowest."""
    unknown = PeerLoad()

    def rank(member: Member) -> tuple[bool, float]:
        peer = loads.get(member.name, unknown)
        return (peer.full_until > now, peer.load.utilisation)

    return min(members, key=rank, default=None)

"""Which balancers watch the store. The others hear of changes from them, by their reports."""

from fescueseam.handshake.member import Identity, Load
from fescueseam.handshake.members import Fleet
from fescueseam.overload.duties import hash_name

WATCHERS_PER_DATA_CENTRE = 3
"""Number of balancers of each data centre that watch the store, so that its calls do not grow with
the fleet. Two of them may be lost before the silence of the others shows it."""


def is_watcher(fleet: Fleet, now: float) -> bool:
    """Return whether this balancer is among those of its data centre that watch the store.

    Ranks follow from the capacities and names of the balancers that were heard lately, so that no
    agreement is needed; where views differ for a moment, more balancers watch.
    """
    own_rank = _compute_rank(fleet.own, fleet.own_load)
    ahead = sum(
        _compute_rank(member.identity, member.load) < own_rank
        for member in fleet.list_neighbours(now)
        if not member.load.leaving
    )
    return ahead < WATCHERS_PER_DATA_CENTRE


def _compute_rank(identity: Identity, load: Load) -> tuple[bool, float, bytes]:
    return load.lagging, -load.capacity, hash_name(identity.name)

"""How many agents are asked for a free slot before an opening is queued."""

from attrs import define, field

FREE_SLOT_OFFERS_LIMIT = 8
"""Largest number of agents that are asked for a free slot. After them, agents are asked to accept
the opening even if every slot is busy."""
OVERLOAD_OFFERS_LIMIT = 1
"""The same limit while nearly all slots of a service are busy: offers then only take processor time
and delay the opening."""
OVERLOAD_SHARE = 0.8
"""Share of openings that find no free slot from which on a service counts as overloaded."""
SHARE_WEIGHT = 0.1
"""Weight of a new opening in the moving average of that share."""
FULL_SEARCH_PERIOD = 8
"""One opening in so many asks the full number of agents during an overload, to notice its end."""


@define
class _ServiceState:
    share_without_slot: float = 0.0
    openings: int = 0


@define
class FreeSlotSearches:
    """Recent results of the searches for a free slot, by service."""

    _services: dict[str, _ServiceState] = field(factory=dict)

    def choose_limit(self, service: str) -> int:
        """Return how many agents a new opening of a service asks for a free slot."""
        state = self._services.setdefault(service, _ServiceState())
        state.openings += 1
        if state.share_without_slot < OVERLOAD_SHARE or state.openings % FULL_SEARCH_PERIOD == 0:
            return FREE_SLOT_OFFERS_LIMIT
        return OVERLOAD_OFFERS_LIMIT

    def is_overloaded(self, service: str) -> bool:
        """Return whether nearly all recent searches found nothing."""
        state = self._services.get(service)
        return state is not None and state.share_without_slot >= OVERLOAD_SHARE

    def record(self, service: str, limit: int, found: bool) -> None:
        """Record whether an opening with a limit found a free slot; only full searches count."""
        if limit < FREE_SLOT_OFFERS_LIMIT:
            return
        state = self._services.setdefault(service, _ServiceState())
        state.share_without_slot += (float(not found) - state.share_without_slot) * SHARE_WEIGHT

"""Servers that are kept free of lower classes while a higher class misses its target."""

import functools
import zlib
from collections.abc import Collection

from attrs import define, field

PERIOD_S = 0.5
"""Time over which the requests of a class are counted before its reserve changes, in seconds."""
MISSES_SHARE = 0.05
"""Share of requests that miss their target from which on the reserve of their class grows."""
LEAST_REQUESTS = 5
"""Number of requests in a period below which the reserve of a class does not grow."""
GROWTH_SHARE = 0.25
"""Share of the servers by which a reserve grows in a period."""
SHRINK_FACTOR = 0.95
"""Factor on a reserve in each period that it does not grow: what is not needed is lent out."""
FORGOTTEN_SHARE = 0.02
"""Share of the servers below which a reserve ends."""
RESERVE_LIMIT_SHARE = 0.5
"""Largest share of the servers that is reserved."""


@define
class _Reserve:
    period_start: float
    share: float = 0.0
    requests: int = 0
    misses: int = 0

    def update(self, now: float) -> None:
        """Change the reserve by the requests of the periods that have ended."""
        while now - self.period_start >= PERIOD_S:
            is_missed = self.misses > MISSES_SHARE * self.requests
            if is_missed and self.requests >= LEAST_REQUESTS:
                self.share = min(RESERVE_LIMIT_SHARE, self.share + GROWTH_SHARE)
            else:
                self.share *= SHRINK_FACTOR
            self.requests = self.misses = 0
            self.period_start += PERIOD_S
            if self.share < FORGOTTEN_SHARE:
                self.share, self.period_start = 0.0, now


@define(eq=False)
class ServerReserves:
    """Reserve of each class of each service, as one balancer's own requests show it.

    All balancers rank the servers alike, so that reserves of different size overlap.
    """

    _reserves: dict[tuple[str, int], _Reserve] = field(factory=dict)

    def record(self, service: str, priority: int, in_time: bool, now: float) -> None:
        """Record whether a request of a class got a slot while it could meet its target."""
        reserve = self._reserves.setdefault((service, priority), _Reserve(now))
        reserve.update(now)
        reserve.requests += 1
        reserve.misses += not in_time

    def compute_share(self, service: str, priority: int, now: float) -> float:
        """Return the share of the servers that are kept free of a class."""
        shares = [0.0]
        for (name, higher), reserve in self._reserves.items():
            if name == service and higher < priority:
                reserve.update(now)
                shares.append(reserve.share)
        return max(shares)

    def select_reserved(
        self, service: str, priority: int, servers: Collection[str], now: float
    ) -> set[str]:
        """Return the servers that are kept free of a class."""
        count = round(self.compute_share(service, priority, now) * len(servers))
        if not count:
            return set()
        return set(sorted(servers, key=lambda name: _rank(service, name))[:count])


@functools.lru_cache(maxsize=8192)
def _rank(service: str, server: str) -> int:
    return zlib.crc32(f"{service}/{server}".encode())

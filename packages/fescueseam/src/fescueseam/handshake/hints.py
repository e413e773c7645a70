"""Whether neighbouring balancers are worth asking for the homes of flows."""

from attrs import define

MIN_SHARE_FOUND = 0.1
"""Share of answered searches below which neighbours are asked seldom. After a loss of power no
balancer knows a home, and each question would only take processor time of all of them."""
SHARE_WEIGHT = 0.1
"""Weight of a new search in the moving average of that share."""
RARE_ASK_PERIOD = 8
"""One search in so many asks even then, to notice that neighbours know homes again."""


@define
class HintStatistics:
    """Moving average of the share of searches in which a neighbour named a home."""

    share_found: float = 1.0
    _skipped: int = 0

    def should_ask(self) -> bool:
        """Return whether the next search asks the neighbours; count it if it does not."""
        if self.share_found >= MIN_SHARE_FOUND or self._skipped >= RARE_ASK_PERIOD - 1:
            self._skipped = 0
            return True
        self._skipped += 1
        return False

    def record(self, found: bool) -> None:
        """Record whether a search that asked found a home by its neighbours."""
        self.share_found += (float(found) - self.share_found) * SHARE_WEIGHT

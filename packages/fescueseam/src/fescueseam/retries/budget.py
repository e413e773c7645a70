"""Bound retries by a budget that first tries earn."""

from attrs import define

RETRIES_PER_TRY = 0.1
"""Earn this many retries with each first try."""
RESERVE_RETRIES = 3.0
"""Allow this many retries before anything was earned."""


@define
class RetryBudget:
    """Allow retries in proportion to first tries, with a small reserve."""

    retries_per_try: float = RETRIES_PER_TRY
    reserve: float = RESERVE_RETRIES
    tokens: float = RESERVE_RETRIES
    first_tries: int = 0
    retries: int = 0
    refused: int = 0

    def record_first_try(self) -> None:
        """Earn a part of a retry."""
        self.first_tries += 1
        self.tokens = min(self.tokens + self.retries_per_try, self.reserve)

    def take_retry(self) -> bool:
        """Spend one retry if there is one; tell whether there was."""
        # Ten tenths add up to a little less than one in binary fractions.
        if self.tokens < 1.0 - 1e-9:
            self.refused += 1
            return False
        self.tokens = max(self.tokens - 1.0, 0.0)
        self.retries += 1
        return True

"""Limit retries to a share of first tries."""

from attrs import define

RETRIES_PER_TRY = 0.1
"""Number of retries that each first try adds to the budget."""
RESERVE_RETRIES = 3.0
"""Initial and largest number of retries in the budget."""


@define
class RetryBudget:
    """A token bucket that limits retries to a share of first tries, plus a small reserve."""

    retries_per_try: float = RETRIES_PER_TRY
    reserve: float = RESERVE_RETRIES
    tokens: float = RESERVE_RETRIES
    first_tries: int = 0
    retries: int = 0
    refused: int = 0

    def record_first_try(self) -> None:
        """Add the share of a retry that a first try earns."""
        self.first_tries += 1
        self.tokens = min(self.tokens + self.retries_per_try, self.reserve)

    def take_retry(self) -> bool:
        """Take a retry from the budget; return whether one was available."""
        # The tolerance covers rounding: ten additions of 0.1 give slightly less than 1.0.
        if self.tokens < 1.0 - 1e-9:
            self.refused += 1
            return False
        self.tokens = max(self.tokens - 1.0, 0.0)
        self.retries += 1
        return True

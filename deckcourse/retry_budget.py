"""A retry budget: retries may be no more than a fraction of first tries, over a short past."""

__all__ = ["RetryBudget"]

# Each first try earns this much of a retry; whole retries are spent.
EARNED_PER_TRY = 0.2
# What is there at the start and at the most: a burst of failures may be retried at once.
LARGEST_BALANCE = 20.0


class RetryBudget:
    """Counts what first tries earn and what retries spend."""

    def __init__(self, earned: float = EARNED_PER_TRY, largest: float = LARGEST_BALANCE) -> None:
        self._earned = earned
        self._largest = largest
        self._balance = largest

    @property
    def balance(self) -> float:
        """How many retries may be made now."""
        return self._balance

    def earn(self) -> None:
        """Count a first try."""
        self._balance = min(self._largest, self._balance + self._earned)

    def spend(self) -> bool:
        """Take one retry; return whether there was one to take."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

"""The share of recent calls to one upstream that failed."""

__all__ = ["FailureShare"]

# Half-life of the share; each successful call halves it as well.
FAILURE_HALF_LIFE_SECONDS = 4.0


class FailureShare:
    """The share of recent calls to one upstream that failed, between 0 and 1."""

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_at = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Record the result of a call that ended at `now`."""
        self._share = self.share(now) * 0.5 + (0.5 if failed else 0.0)
        self._updated_at = now

    def share(self, now: float) -> float:
        """Return the share at `now`."""
        return self._share * 0.5 ** ((now - self._updated_at) / FAILURE_HALF_LIFE_SECONDS)

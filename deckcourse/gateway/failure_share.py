"""How often calls to one upstream failed of late."""

__all__ = ["FailureShare"]

# The share of the last calls to an upstream that failed is halved by each success and each of
# these, seconds.
FAILURE_HALF_LIFE_SECONDS = 4.0


class FailureShare:
    """How often calls to one upstream failed of late, between 0 and 1."""

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def note(self, failed: bool, now: float) -> None:
        """Note how a call ended, at a moment."""
        self._share = self.share(now) * 0.5 + (0.5 if failed else 0.0)
        self._at = now

    def share(self, now: float) -> float:
        """Return the share at a moment."""
        return self._share * 0.5 ** ((now - self._at) / FAILURE_HALF_LIFE_SECONDS)

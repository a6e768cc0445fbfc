"""The incarnations of upstreams that announced their shutdown."""

from collections.abc import Callable

from deckcourse.gateway.bounded import put_bounded

__all__ = ["LeavingIncarnations"]

# Time for which an incarnation counts as leaving if only the wall clocks tell that the notice was
# its own, seconds. An upstream that leaves ends within it, and one that was taken for leaving
# because the clocks of two machines differ must not stay unused until its end.
PRESUMED_TTL_SECONDS = 20.0
# Bound on the incarnations that are kept.
MAX_INCARNATIONS = 10_000


class LeavingIncarnations:
    """Bounded records of leaving incarnations.

    Args:
      clock: a monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._announced: dict[str, None] = {}
        self._presumed_until: dict[str, float] = {}

    @property
    def next_expiry(self) -> float:
        """When the next incarnation no longer counts as leaving, infinity for none."""
        return min(self._presumed_until.values(), default=float("inf"))

    def note(self, instance: str) -> bool:
        """Record an announced shutdown, which is never withdrawn; return whether that is new."""
        is_new = instance not in self._announced
        put_bounded(self._announced, instance, None, MAX_INCARNATIONS)
        return is_new

    def presume(self, instance: str) -> bool:
        """Record that an incarnation presumably leaves; return whether that is new."""
        is_new = instance not in self
        expires_at = self._clock() + PRESUMED_TTL_SECONDS
        put_bounded(self._presumed_until, instance, expires_at, MAX_INCARNATIONS)
        return is_new

    def expire(self, now: float) -> list[str]:
        """Drop the presumptions that have expired; return their incarnations."""
        expired = [instance for instance, at in self._presumed_until.items() if at <= now]
        for instance in expired:
            del self._presumed_until[instance]
        return expired

    def __contains__(self, instance: str) -> bool:
        """Return whether an incarnation announced its shutdown, also presumably."""
        return instance in self._announced or instance in self._presumed_until

"""Rate limited upstreams, and until when each is throttled."""

from collections.abc import Callable, Set

from deckcourse.gateway.backoffs import Backoffs

__all__ = ["Throttles"]

# Age of a rate limit at which its upstream counts as scarce, so that the placement adds other first
# stages, seconds. A shorter limit would end before their layers are loaded.
SCARCE_AFTER_SECONDS = 6.0


class Throttles:
    """Tracks rate limited upstreams by incarnation, since a restart clears a limit.

    Args:
      clock: a monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # When each rate limited upstream becomes scarce, and those that are.
        self._scarce_at: dict[str, float] = {}
        self._scarce: set[str] = set()
        self._throttled = Backoffs(clock)
        self._retry_after = Backoffs(clock)

    @property
    def scarce(self) -> Set[str]:
        """Upstreams limited for so long that paths need other first stages; a live view."""
        return self._scarce

    @property
    def next_expiry(self) -> float:
        """When the next upstream becomes scarce, infinity for none."""
        pending = (at for name, at in self._scarce_at.items() if name not in self._scarce)
        return min(pending, default=float("inf"))

    def mark_limited(self, instance: str) -> None:
        """Mark an upstream as rate limited."""
        self._scarce_at.setdefault(instance, self._clock() + SCARCE_AFTER_SECONDS)

    def clear_limit(self, instance: str) -> bool:
        """Clear an upstream's limit; return whether it was scarce."""
        was_scarce = instance in self._scarce
        self._scarce_at.pop(instance, None)
        self._scarce.discard(instance)
        self._throttled.clear(instance)
        self._retry_after.clear(instance)
        return was_scarce

    def expire(self, now: float) -> list[str]:
        """Return the upstreams that have become scarce since the last call."""
        newly_scarce = [
            name for name, at in self._scarce_at.items() if at <= now and name not in self._scarce
        ]
        self._scarce.update(newly_scarce)
        return newly_scarce

    def is_limited(self, instance: str) -> bool:
        """Return whether an upstream is rate limited."""
        return instance in self._scarce_at

    def throttle(self, instance: str, seconds: float, retry_after: float) -> None:
        """Throttle an upstream.

        Args:
          instance: the upstream.
          seconds: the time in which no token is requested.
          retry_after: Retry-After for rejected callers, seconds.
        """
        self._throttled.extend(instance, seconds)
        self._retry_after.extend(instance, max(seconds, retry_after))

    def is_throttled(self, instance: str) -> bool:
        """Return whether an upstream is throttled."""
        return self._throttled.deadline(instance) is not None

    def throttled(self) -> list[str]:
        """Return the throttled upstreams."""
        return self._throttled.names()

    def retry_at(self, instance: str) -> float | None:
        """Return when rejected callers may retry, on the clock; None if not throttled."""
        return self._retry_after.deadline(instance) if self.is_throttled(instance) else None

"""Rate limited upstreams, and until when each is throttled."""

from collections.abc import Callable, Set

from deckcourse.gateway.backoffs import Backoffs

__all__ = ["Throttles"]

# Age of a rate limit at which the placement adds other first upstreams, seconds; a shorter limit
# ends before their layers are loaded.
SCARCE_SECONDS = 6.0


class Throttles:
    """Tracks rate limited upstreams by start, since a restart clears a limit.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # When each upstream becomes scarce, and those that are.
        self._scarce_from: dict[str, float] = {}
        self._scarce: set[str] = set()
        self._closed = Backoffs(clock)
        self._returns = Backoffs(clock)

    @property
    def scarce(self) -> Set[str]:
        """Upstreams limited for long enough that others should begin paths; a live view."""
        return self._scarce

    @property
    def next_expiry(self) -> float:
        """When the next upstream becomes scarce, infinity for none."""
        coming = (at for name, at in self._scarce_from.items() if name not in self._scarce)
        return min(coming, default=float("inf"))

    def begin(self, instance: str) -> None:
        """Mark an upstream as rate limited."""
        self._scarce_from.setdefault(instance, self._clock() + SCARCE_SECONDS)

    def end(self, instance: str) -> bool:
        """Clear an upstream's limit; return whether it was scarce."""
        was_scarce = instance in self._scarce
        self._scarce_from.pop(instance, None)
        self._scarce.discard(instance)
        self._closed.end(instance)
        self._returns.end(instance)
        return was_scarce

    def expire(self, now: float) -> list[str]:
        """Return the upstreams that have become scarce since the last call."""
        found = [
            name for name, at in self._scarce_from.items() if at <= now and name not in self._scarce
        ]
        self._scarce.update(found)
        return found

    def is_limited(self, instance: str) -> bool:
        """Return whether an upstream is rate limited."""
        return instance in self._scarce_from

    def close(self, instance: str, seconds: float, retry_after: float) -> None:
        """Throttle an upstream.

        Args:
          instance: the upstream.
          seconds: time without token requests.
          retry_after: Retry-After for rejected callers, seconds.
        """
        self._closed.note(instance, seconds)
        self._returns.note(instance, max(seconds, retry_after))

    def is_closed(self, instance: str) -> bool:
        """Return whether an upstream is throttled."""
        return self._closed.until(instance) is not None

    def closed(self) -> list[str]:
        """Return the throttled upstreams."""
        return self._closed.names()

    def returns_at(self, instance: str) -> float | None:
        """Return when rejected callers may return, on the clock; None if not throttled."""
        return self._returns.until(instance) if self.is_closed(instance) else None

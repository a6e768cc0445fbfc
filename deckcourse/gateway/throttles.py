"""Which upstreams name a rate limit, and until when it leaves nothing."""

from collections.abc import Callable, Set

from deckcourse.gateway.backoffs import Backoffs

__all__ = ["Throttles"]

# A rate limit that lasts so long has others begin paths as well, seconds: shorter ones are over
# before the layers are loaded.
SCARCE_SECONDS = 6.0


class Throttles:
    """The upstreams that name a rate limit, by start: a new one names its own.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # From when each counts as scarce, and those that do.
        self._scarce_from: dict[str, float] = {}
        self._scarce: set[str] = set()
        self._closed = Backoffs(clock)
        self._returns = Backoffs(clock)

    @property
    def scarce(self) -> Set[str]:
        """Those that have named a limit for so long that others should begin paths; kept up."""
        return self._scarce

    @property
    def next_expiry(self) -> float:
        """When the next upstream becomes scarce, infinity for none."""
        coming = (at for name, at in self._scarce_from.items() if name not in self._scarce)
        return min(coming, default=float("inf"))

    def begin(self, instance: str) -> None:
        """Note that an upstream names a rate limit."""
        self._scarce_from.setdefault(instance, self._clock() + SCARCE_SECONDS)

    def end(self, instance: str) -> bool:
        """Note that an upstream names no limit any more; return whether it counted as scarce."""
        was_scarce = instance in self._scarce
        self._scarce_from.pop(instance, None)
        self._scarce.discard(instance)
        self._closed.end(instance)
        self._returns.end(instance)
        return was_scarce

    def expire(self, now: float) -> list[str]:
        """Return the upstreams that become scarce by now."""
        found = [
            name for name, at in self._scarce_from.items() if at <= now and name not in self._scarce
        ]
        self._scarce.update(found)
        return found

    def is_limited(self, instance: str) -> bool:
        """Return whether an upstream names a rate limit."""
        return instance in self._scarce_from

    def close(self, instance: str, seconds: float, retry_after: float) -> None:
        """Note that an upstream's limit leaves nothing for so long.

        Args:
          instance: the upstream.
          seconds: for how long nothing is asked for.
          retry_after: when callers who are refused may come back, seconds.
        """
        self._closed.note(instance, seconds)
        self._returns.note(instance, max(seconds, retry_after))

    def is_closed(self, instance: str) -> bool:
        """Return whether an upstream's limit leaves nothing at the moment."""
        return self._closed.until(instance) is not None

    def closed(self) -> list[str]:
        """Return the upstreams whose limits leave nothing at the moment."""
        return self._closed.names()

    def returns_at(self, instance: str) -> float | None:
        """Return when refused callers may come back, on the clock; None where it is open."""
        return self._returns.until(instance) if self.is_closed(instance) else None

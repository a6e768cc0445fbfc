"""Deadlines of the pauses that upstreams asked for."""

from collections.abc import Callable

__all__ = ["Backoffs"]


class Backoffs:
    """Deadlines by name; each expires at its time, unless it is cleared.

    Args:
      clock: a monotonic clock, seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._deadlines: dict[str, float] = {}

    def extend(self, name: str, seconds: float) -> None:
        """Extend a deadline to `seconds` from now; never shorten it."""
        deadline = self._clock() + seconds
        self._deadlines[name] = max(deadline, self._deadlines.get(name, deadline))

    def clear(self, name: str) -> None:
        """Drop a deadline."""
        self._deadlines.pop(name, None)

    def deadline(self, name: str) -> float | None:
        """Return the deadline of a name, None if it has none or it expired."""
        deadline = self._deadlines.get(name)
        return deadline if deadline is not None and deadline > self._clock() else None

    def names(self) -> list[str]:
        """Return the names with a deadline in the future; drop expired ones."""
        now = self._clock()
        if any(deadline <= now for deadline in self._deadlines.values()):
            self._deadlines = {name: at for name, at in self._deadlines.items() if at > now}
        return list(self._deadlines)

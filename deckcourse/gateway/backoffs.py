"""Until when upstreams want no requests from this process, by their own word."""

from collections.abc import Callable

__all__ = ["Backoffs"]


class Backoffs:
    """The deadlines that upstreams asked for; each runs out by itself, and by nothing else.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._until: dict[str, float] = {}

    def note(self, name: str, seconds: float) -> None:
        """Note that an upstream wants nothing for so long; a shorter time shortens nothing."""
        deadline = self._clock() + seconds
        self._until[name] = max(deadline, self._until.get(name, deadline))

    def end(self, name: str) -> None:
        """End an upstream's time at once."""
        self._until.pop(name, None)

    def until(self, name: str) -> float | None:
        """Return until when an upstream wants nothing, None where it takes requests."""
        deadline = self._until.get(name)
        return deadline if deadline is not None and deadline > self._clock() else None

    def names(self) -> list[str]:
        """Return those that want nothing now; the others are forgotten."""
        now = self._clock()
        if any(deadline <= now for deadline in self._until.values()):
            self._until = {name: at for name, at in self._until.items() if at > now}
        return list(self._until)

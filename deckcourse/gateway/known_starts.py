"""Known incarnations of upstreams: the newest of each name, and the ended ones."""

from deckcourse.gateway.bounded import put_bounded
from deckcourse.gateway.upstream import Upstream

__all__ = ["KnownIncarnations"]

# Bound on the names and ended incarnations that are kept. Late messages about an ended
# incarnation must not revive it, and memory must not grow with each restart.
MAX_ENTRIES = 10_000


class KnownIncarnations:
    """Bounded records of incarnations; the least recently recorded ones are evicted."""

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}
        self._ended: dict[str, Upstream] = {}

    def newest(self, name: str, default: int) -> int:
        """Return the newest start time of a name, `default` if none is known."""
        return self._newest.get(name, default)

    def set_newest(self, name: str, start: int) -> None:
        """Record the newest start time of a name."""
        put_bounded(self._newest, name, start, MAX_ENTRIES)

    def mark_ended(self, last_row: Upstream) -> None:
        """Record that an incarnation ended, with its last row."""
        put_bounded(self._ended, last_row.instance, last_row, MAX_ENTRIES)

    def mark_current(self, instance: str) -> None:
        """Record that an incarnation is the current one of its name."""
        self._ended.pop(instance, None)

    def ended(self, instance: str) -> Upstream | None:
        """Return the last row of an incarnation that was superseded, None for any other."""
        return self._ended.get(instance)

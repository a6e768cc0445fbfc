"""Known incarnations of upstreams: the newest of each name, the ended and the leaving ones."""

__all__ = ["KnownIncarnations"]

# Bound on the names, ended and leaving incarnations that are kept. Late messages about an ended
# incarnation must not revive it, and memory must not grow with each restart.
MAX_ENTRIES = 10_000


class KnownIncarnations:
    """Bounded records of incarnations; the least recently recorded ones are evicted."""

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}
        self._ended: dict[str, None] = {}
        self._leaving: dict[str, None] = {}

    def newest(self, name: str, default: int) -> int:
        """Return the newest start time of a name, `default` if none is known."""
        return self._newest.get(name, default)

    def set_newest(self, name: str, start: int) -> None:
        """Record the newest start time of a name."""
        _put(self._newest, name, start)

    def mark_ended(self, instance: str) -> None:
        """Record that an incarnation ended."""
        _put(self._ended, instance, None)

    def mark_current(self, instance: str) -> None:
        """Record that an incarnation is the current one of its name."""
        self._ended.pop(instance, None)

    def has_ended(self, instance: str) -> bool:
        """Return whether an incarnation was superseded by a newer one of its name."""
        return instance in self._ended

    def note_leaving(self, instance: str) -> bool:
        """Record that an incarnation announced its shutdown; return whether that is new."""
        is_new = instance not in self._leaving
        _put(self._leaving, instance, None)
        return is_new

    def is_leaving(self, instance: str) -> bool:
        """Return whether an incarnation announced its shutdown, which is never withdrawn."""
        return instance in self._leaving


def _put(entries: dict, key: str, value: int | None) -> None:
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > MAX_ENTRIES:
        del entries[next(iter(entries))]

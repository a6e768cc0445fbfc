"""Which starts of upstreams are known: the newest of each name, and those that ended."""

__all__ = ["KnownStarts"]

# So many names of upstreams and so many ended starts are remembered: what is said late of one that
# ended must not bring it back, and a process must not grow with each restart.
MOST_REMEMBERED = 10_000


class KnownStarts:
    """Remembers starts; those noted longest ago are forgotten."""

    def __init__(self) -> None:
        self._newest: dict[str, int] = {}
        self._ended: dict[str, None] = {}
        self._leaving: dict[str, None] = {}

    def newest(self, name: str, otherwise: int) -> int:
        """Return the newest start of a name."""
        return self._newest.get(name, otherwise)

    def note(self, name: str, start: int) -> None:
        """Note the newest start of a name."""
        _remember(self._newest, name, start)

    def end(self, instance: str) -> None:
        """Note that a start ended."""
        _remember(self._ended, instance, None)

    def begin(self, instance: str) -> None:
        """Note that a start is the one of its name."""
        self._ended.pop(instance, None)

    def has_ended(self, instance: str) -> bool:
        """Return whether a newer start of the same upstream is known."""
        return instance in self._ended

    def note_leaving(self, instance: str) -> bool:
        """Note that a start said itself that it leaves; return whether that is news."""
        is_news = instance not in self._leaving
        _remember(self._leaving, instance, None)
        return is_news

    def is_leaving(self, instance: str) -> bool:
        """Return whether a start said itself that it leaves; nothing takes that back."""
        return instance in self._leaving


def _remember(known: dict, key: str, value: int | None) -> None:
    known.pop(key, None)
    known[key] = value
    while len(known) > MOST_REMEMBERED:
        del known[next(iter(known))]

"""Rows that name no upstream to use: each is told of once, and counted at each reading."""

from collections.abc import Callable

__all__ = ["RefusedRows"]

# Rows that are told of at the most until one of them is good or gone: a table full of them must
# fill neither the log nor the memory.
MOST_TOLD = 256
# Letters of a key and of a reason that are written.
LONGEST_KEY = 64
LONGEST_REASON = 200


class RefusedRows:
    """Remembers which rows were told of.

    Args:
      count: counts by name.
      log: writes decisions.
    """

    def __init__(self, count: Callable[[str], None], log: Callable[..., None]) -> None:
        self._count = count
        self._log = log
        self._told: set[str] = set()

    def note(self, kind: str, key: str, reason: str) -> None:
        """Note one reading of a row.

        Args:
          kind: what is wrong, as counts and the log call it.
          key: the row.
          reason: why it isn't used.
        """
        self._count(f"{kind}.upstream")
        if key in self._told or len(self._told) >= MOST_TOLD:
            return
        self._told.add(key)
        self._log(kind, key=key[:LONGEST_KEY], what=reason[:LONGEST_REASON])

    def forget(self, key: str) -> None:
        """Note that a row is good or gone: the next time it is told of again."""
        self._told.discard(key)

    def keep_only(self, keys: set[str]) -> None:
        """Note all rows that there are: others are gone."""
        self._told &= keys

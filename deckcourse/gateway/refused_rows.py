"""Logs each rejected upstream row once and counts it whenever it is read."""

from collections.abc import Callable

__all__ = ["RefusedRows"]

# Rejected rows that are logged until one of them is valid or gone: a table full of them must fill
# neither the log nor the memory.
MAX_LOGGED_ROWS = 256
# Keys and reasons are truncated to these numbers of characters in the log.
MAX_KEY_CHARS = 64
MAX_REASON_CHARS = 200


class RefusedRows:
    """Tracks which rejected rows were logged.

    Args:
      count: increments a counter by name.
      log: writes the decision log.
    """

    def __init__(self, count: Callable[[str], None], log: Callable[..., None]) -> None:
        self._count = count
        self._log = log
        self._logged_keys: set[str] = set()

    def reject(self, kind: str, key: str, reason: str) -> None:
        """Count a rejected row and log it unless it was logged before.

        Args:
          kind: the kind of rejection, used in the counter name and the log.
          key: the key of the row.
          reason: why it was rejected.
        """
        self._count(f"{kind}.upstream")
        if key in self._logged_keys or len(self._logged_keys) >= MAX_LOGGED_ROWS:
            return
        self._logged_keys.add(key)
        self._log(kind, key=key[:MAX_KEY_CHARS], what=reason[:MAX_REASON_CHARS])

    def forget(self, key: str) -> None:
        """Record that a row is valid or gone: its next rejection is logged again."""
        self._logged_keys.discard(key)

    def keep_only(self, keys: set[str]) -> None:
        """Drop all rows but those with the given keys."""
        self._logged_keys &= keys

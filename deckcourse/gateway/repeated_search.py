"""When a stream at a silent upstream seeks another one again after its search has failed.

Each search needs a path and a retry. What is known of upstreams is only read here: nothing is sent
before a search begins.
"""

from collections.abc import Callable

import trio

__all__ = ["RepeatedSearch"]

# Shortest time between two searches, doubled with each one up to the maximum: an upstream that
# refused the stream may be full for longer, and each refusal costs a retry.
MIN_INTERVAL_SECONDS = 0.05
MAX_INTERVAL_SECONDS = 0.4


class RepeatedSearch:
    """The times of one stream's searches after the first one failed.

    Args:
      has_path: returns whether a path could be taken now.
    """

    def __init__(self, has_path: Callable[[], bool]) -> None:
        self._has_path = has_path
        self._interval = MIN_INTERVAL_SECONDS
        self._next_at = float("-inf")

    def is_due(self) -> bool:
        """Return whether another search may find an upstream now; the next one is due later."""
        now = trio.current_time()
        if now < self._next_at:
            return False
        self._next_at = now + self._interval
        self._interval = min(2 * self._interval, MAX_INTERVAL_SECONDS)
        return self._has_path()

    def note_upstream_ended(self) -> None:
        """Let another search begin at once: the stream may run on one more upstream."""
        self._interval = MIN_INTERVAL_SECONDS
        self._next_at = float("-inf")

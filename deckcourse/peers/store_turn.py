"""The schedule of a follower's reads from the store, and what failed reads tell of the store.

Load pattern: the store is unavailable, or rejects some machines, while hundreds of processes wait
for its recovery. Followers retry at short intervals and the others learn the outcome from them.
"""

from collections.abc import Callable
from random import Random

__all__ = ["StoreSchedule"]

# Backoff between reads of an unavailable store, seconds; doubled up to the maximum. Other processes
# may see the recovery first and relay it.
MIN_RETRY_BACKOFF_SECONDS = 0.15
MAX_RETRY_BACKOFF_SECONDS = 0.2


class StoreSchedule:
    """The times at which a process that follows the store may read it.

    Args:
      clock: monotonic clock, seconds.
      random: jitters the delays, so that they differ between processes.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        self._clock = clock
        self._random = random
        self._unavailable_since: float | None = None
        self._was_down = False
        self._backoff = MIN_RETRY_BACKOFF_SECONDS
        self._retry_at = float("-inf")

    @property
    def is_unavailable(self) -> bool:
        """Whether the last read of the store failed."""
        return self._unavailable_since is not None

    @property
    def was_down(self) -> bool:
        """Whether the store itself was unavailable when reads last failed.

        It refused one, or left one unanswered that was sent after another had failed. A single one
        that stays unanswered may only have a connection that has gone silent.
        """
        return self._was_down

    def was_outage(self, as_of: float) -> bool:
        """Return whether the store, now available again, was unavailable to other processes too.

        Args:
          as_of: the time before which this process knows every change. If it is later than the
            first failed read, other processes relayed it and this process alone was cut off.
        """
        return self._unavailable_since is not None and as_of <= self._unavailable_since

    @property
    def next_read_at(self) -> float:
        """The time from which on the store may be read."""
        return self._retry_at

    def note_success(self) -> None:
        """Record that the store answered."""
        self._unavailable_since = None
        self._backoff = MIN_RETRY_BACKOFF_SECONDS
        self._retry_at = float("-inf")

    def note_failure(self, has_sources: bool, sent_at: float, is_refused: bool) -> None:
        """Record a failed read.

        Args:
          has_sources: whether other processes can provide changes. Without sources there is no
            backoff here: the store may be read as often as readers want to.
          sent_at: when it was sent, on the clock.
          is_refused: whether the store refused it, rather than left it unanswered.
        """
        now = self._clock()
        if self._unavailable_since is None:
            self._unavailable_since = now
            self._was_down = False
        self._was_down |= is_refused or sent_at >= self._unavailable_since
        if has_sources:
            self._retry_at = now + self._backoff * (1.0 + self._random.random())
        self._backoff = min(2.0 * self._backoff, MAX_RETRY_BACKOFF_SECONDS)

    def clear_outage(self) -> None:
        """Forget the outage: other processes provide current state in place of the store."""
        self._unavailable_since = None

"""The schedule of one process's reads from the store: followers at once, other processes rarely.

Load pattern: the store is unavailable, or rejects some machines, while hundreds of processes wait
for its recovery. Followers retry at short intervals and the others learn the outcome from them. A
process whose state is stale for long reads the store itself, since its sources may be cut off too.
"""

from collections.abc import Callable
from random import Random

__all__ = ["StoreSchedule"]

# Backoff between reads of an unavailable store, seconds; doubled up to the maximum. Other processes
# may see the recovery first and relay it.
MIN_RETRY_BACKOFF_SECONDS = 0.15
MAX_RETRY_BACKOFF_SECONDS = 0.2
# A process that doesn't follow and heard nothing new for so long tries the store all the same, up
# to as much later by chance, and again after as long.
FALLBACK_SECONDS = 4.0


class StoreSchedule:
    """The times at which one process may read the store.

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
        self._fallback_at = float("inf")

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

    def may_read(self, is_follower: bool) -> bool:
        """Return whether the store may be read now."""
        return self._clock() >= self.next_read_at(is_follower)

    def next_read_at(self, is_follower: bool) -> float:
        """Return the time from which on the store may be read."""
        return min(self._retry_at, self._fallback_at) if is_follower else self._fallback_at

    def note_success(self) -> None:
        """Record that the store answered."""
        self._unavailable_since = None
        self._backoff = MIN_RETRY_BACKOFF_SECONDS
        self._retry_at = float("-inf")
        self._fallback_at = float("inf")

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
        if self._fallback_at <= now:
            self._fallback_at = now + self._fallback_delay()

    def clear_outage(self) -> None:
        """Forget the outage: other processes provide current state in place of the store."""
        self._unavailable_since = None

    def note_staleness(self, is_follower: bool, seconds: float) -> None:
        """Schedule or cancel the fallback read by how stale the state of this process is."""
        if is_follower or seconds < FALLBACK_SECONDS:
            self._fallback_at = float("inf")
        elif self._fallback_at == float("inf"):
            self._fallback_at = self._clock() + self._fallback_delay()

    def _fallback_delay(self) -> float:
        return FALLBACK_SECONDS * (1.0 + self._random.random())

"""When a process may ask the store: who follows it at once, others hardly ever.

Load pattern: the store is away, or turns some machines down, while hundreds of processes want to
know of its return. Those that follow it try at short pauses, the others hear it from them; a
process that heard nothing new for long tries all the same, since those it asks may be cut off too.
"""

from collections.abc import Callable
from random import Random

__all__ = ["StoreTurn"]

# Between two tries at a store that doesn't answer, seconds; doubled up to the longest. Others may
# hear of its return earlier and say so.
RETRY_SECONDS = 0.15
LONGEST_RETRY_SECONDS = 0.2
# A process that doesn't follow and heard nothing new for so long tries the store all the same, up
# to as much later by chance, and again after as long.
LAST_RESORT_SECONDS = 4.0


class StoreTurn:
    """The moments at which one process may ask the store.

    Args:
      clock: seconds, steady.
      random: for pauses that should differ between processes.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        self._clock = clock
        self._random = random
        self._lost_since: float | None = None
        self._retry = RETRY_SECONDS
        self._retry_at = float("-inf")
        self._resort_at = float("inf")

    @property
    def lost(self) -> bool:
        """Whether the store did not answer when it was asked last."""
        return self._lost_since is not None

    def was_away(self, known_at: float) -> bool:
        """Return whether the store that answers now was away for others too.

        Args:
          known_at: up to when this process knows every change. Where others told of later ones than
            the store's last sign here, this process alone was cut off.
        """
        return self._lost_since is not None and known_at <= self._lost_since

    def has_come(self, follows: bool) -> bool:
        """Return whether a question may go to the store now."""
        return self._clock() >= self.next_at(follows)

    def next_at(self, follows: bool) -> float:
        """Return the moment from which on a question may go to the store."""
        return min(self._retry_at, self._resort_at) if follows else self._resort_at

    def note_answer(self) -> None:
        """Note that the store answered."""
        self._lost_since = None
        self._retry = RETRY_SECONDS
        self._retry_at = float("-inf")
        self._resort_at = float("inf")

    def note_failure(self, others_tell: bool) -> None:
        """Note that it didn't; who is alone then tries as often as it is asked to."""
        now = self._clock()
        if self._lost_since is None:
            self._lost_since = now
        if others_tell:
            self._retry_at = now + self._retry * (1.0 + self._random.random())
        self._retry = min(2.0 * self._retry, LONGEST_RETRY_SECONDS)
        if self._resort_at <= now:
            self._resort_at = now + self._pause()

    def forget_loss(self) -> None:
        """Note that others answer for the store: that it was lost says nothing any more."""
        self._lost_since = None

    def note_behind(self, follows: bool, seconds: float) -> None:
        """Note how old the newest thing is that this process knows of the store."""
        if follows or seconds < LAST_RESORT_SECONDS:
            self._resort_at = float("inf")
        elif self._resort_at == float("inf"):
            self._resort_at = self._clock() + self._pause()

    def _pause(self) -> float:
        return LAST_RESORT_SECONDS * (1.0 + self._random.random())

"""Measures how busy the event loop is: how long its turns are and whether it ever waits."""

from collections.abc import Callable
from dataclasses import dataclass

from trio.abc import Instrument

__all__ = ["MIN_PAUSE_SECONDS", "LoopMonitor", "LoopSample"]

# A wait that ends later than its timeout by more than this shows that the process was paused, and a
# turn that takes longer is as good as a pause for what arrives meanwhile. No upstream restarts in a
# shorter time.
MIN_PAUSE_SECONDS = 0.1
# What is read so soon after a pause may have arrived at its beginning.
PAUSE_WINDOW_SECONDS = 0.1


@dataclass(frozen=True)
class LoopSample:
    """The event loop during an interval.

    `busy_share` is the share of the time in which it didn't wait for I/O or a deadline; it includes
    time in which the process was ready to run and had no processor. Turns are in seconds.
    """

    busy_share: float
    mean_turn: float
    longest_turn: float


class LoopMonitor(Instrument):
    """A trio instrument that measures the turns of the event loop.

    Args:
      clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._sampled_at = self._turn_began_at = clock()
        self._waited = 0.0
        self._turns = 0
        self._longest_turn = 0.0
        # When the latest pause ended.
        self._paused_at = float("-inf")

    def was_paused(self) -> bool:
        """Return whether the process was paused when what it reads now arrived."""
        return self._paused_at >= self._clock() - PAUSE_WINDOW_SECONDS

    def before_io_wait(self, timeout: float) -> None:
        """Record the end of a turn."""
        now = self._clock()
        self._turns += 1
        self._longest_turn = max(self._longest_turn, now - self._turn_began_at)
        self._note_duration(now, MIN_PAUSE_SECONDS)
        self._turn_began_at = now

    def after_io_wait(self, timeout: float) -> None:
        """Record the end of a wait and the beginning of a turn."""
        now = self._clock()
        self._waited += now - self._turn_began_at
        self._note_duration(now, timeout + MIN_PAUSE_SECONDS)
        self._turn_began_at = now

    def _note_duration(self, now: float, max_seconds: float) -> None:
        """Note a pause if a turn or a wait that ends now took longer than expected."""
        if now - self._turn_began_at > max_seconds:
            self._paused_at = now

    def sample(self) -> LoopSample:
        """Return the measurements since the last call; called within a turn."""
        now = self._clock()
        elapsed = now - self._sampled_at
        busy = max(0.0, elapsed - self._waited)
        longest = max(self._longest_turn, now - self._turn_began_at)
        sample = LoopSample(
            busy / elapsed if elapsed > 0.0 else 0.0, busy / max(1, self._turns), longest
        )
        self._sampled_at = now
        self._waited = 0.0
        self._turns = 0
        self._longest_turn = 0.0
        return sample

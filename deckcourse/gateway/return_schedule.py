"""When callers that were refused may come back: in turn, as fast as they can be served.

A refusal tells its caller a time. If all were told the same, they would come back together, meet
the next wave of new requests and be refused again, which serves nobody. So each refusal takes the
next moment of a schedule, and moments follow each other at a part of the rate at which requests
were answered of late: the rest is for callers that come for the first time.
"""

from collections.abc import Callable

__all__ = ["ReturnSchedule"]

# The part of the requests answered of late that returning ones may be, in addition to new ones.
RETURNING_PART = 0.3
# Answered requests count for so long, halved after each such span, seconds.
RATE_HALF_LIFE_SECONDS = 4.0
# A process that answered nothing of late lets one come back in this time, seconds.
LONGEST_STEP_SECONDS = 0.5
# Nobody is told a longer time: callers don't wait longer than a third of the time that they have,
# which is 20 s on all sites, and faults of a few seconds are over by then, seconds.
LONGEST_RETURN_SECONDS = 6.0
# What the rate counts for at the least, requests a second; the longest step goes before it.
LEAST_RATE = 0.001
LN_2 = 0.693


class ReturnSchedule:
    """The moments at which refused callers of one service may come back to this process.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rate = 0.0
        self._rated_at = clock()
        self._next_at = float("-inf")

    def note_answered(self) -> None:
        """Count an answered request."""
        self._decay()
        self._rate += LN_2 / RATE_HALF_LIFE_SECONDS

    def take(self, least: float, longest: float = LONGEST_RETURN_SECONDS) -> float:
        """Return after how many seconds the next caller may come back, and count it.

        Args:
          least: no earlier than this, seconds: before, nothing will be better.
          longest: no later than this where it is shorter than the longest of all, seconds.
        """
        self._decay()
        now = self._clock()
        moment = max(self._next_at, now + least)
        if moment > now + min(longest, LONGEST_RETURN_SECONDS):
            # Every moment is taken once: a second caller comes at each.
            moment = now + least
        self._next_at = moment + min(
            LONGEST_STEP_SECONDS, 1.0 / max(RETURNING_PART * self._rate, LEAST_RATE)
        )
        return moment - now

    def _decay(self) -> None:
        now = self._clock()
        self._rate *= 0.5 ** ((now - self._rated_at) / RATE_HALF_LIFE_SECONDS)
        self._rated_at = now

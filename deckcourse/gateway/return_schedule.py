"""Schedules the retries of refused callers, so that they return as fast as they can be served.

Each refusal states a retry-after time. If all stated the same one, the callers would return
together, compete with the next new requests and be refused again. So each refusal takes the next
slot of a schedule. Slots follow each other at a share of the recent rate of answered requests; the
rest is left for new callers.
"""

from collections.abc import Callable

__all__ = ["ReturnSchedule"]

# Rate of returning requests as a share of the recent rate of answered requests.
RETURNING_SHARE = 0.3
# Half-life of an answered request's weight in the rate.
RATE_HALF_LIFE_SECONDS = 4.0
# Longest interval between two slots, used when no request was answered recently.
MAX_SLOT_INTERVAL_SECONDS = 0.5
# Longest retry-after value: callers wait no longer than a third of their timeout, which is 20 s on
# all sites, and faults of a few seconds have ended by then.
MAX_RETRY_AFTER_SECONDS = 6.0
# Lower bound of the rate in requests per second, which avoids a division by zero;
# MAX_SLOT_INTERVAL_SECONDS limits the interval first.
MIN_RATE = 0.001
LN_2 = 0.693


class ReturnSchedule:
    """The schedule by which refused callers of one service return to this process.

    Args:
      clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._rate = 0.0
        self._rated_at = clock()
        self._next_slot_at = float("-inf")
        # The next free slot of each priority.
        self._next_ranked: dict[int, float] = {}

    def note_answered(self) -> None:
        """Count an answered request."""
        self._decay()
        self._rate += LN_2 / RATE_HALF_LIFE_SECONDS

    def take_slot(self, min_seconds: float, max_seconds: float = MAX_RETRY_AFTER_SECONDS) -> float:
        """Return the seconds after which the next caller may return, and occupy that slot.

        Args:
          min_seconds: the earliest useful return, in seconds from now.
          max_seconds: the latest return; MAX_RETRY_AFTER_SECONDS limits it further.
        """
        self._decay()
        now = self._clock()
        slot_at = max(self._next_slot_at, now + min_seconds)
        if slot_at > now + min(max_seconds, MAX_RETRY_AFTER_SECONDS):
            # All slots are taken: start again at the first one, which then gets a second caller.
            slot_at = now + min_seconds
        self._next_slot_at = slot_at + self._interval()
        return slot_at - now

    def take_ranked_slot(
        self,
        priority: int,
        min_seconds: float,
        jitter: float,
        max_seconds: float = MAX_RETRY_AFTER_SECONDS,
    ) -> float:
        """Return the seconds after which a caller of a priority may return, and occupy that slot.

        It is behind the slots of callers that are as urgent or more urgent. Callers that find all
        slots taken are spread over the later half of the time.

        Args:
          priority: the caller's priority, 0 for the most urgent.
          min_seconds: the earliest useful return, in seconds from now.
          jitter: a random number from 0 to 1, by which processes that refuse callers at the same
            moment differ.
          max_seconds: the latest return; MAX_RETRY_AFTER_SECONDS limits it further.
        """
        self._decay()
        now = self._clock()
        interval = self._interval()
        taken = (at for each, at in self._next_ranked.items() if each <= priority)
        slot_at = max(now + min_seconds, max(taken, default=now))
        latest = now + max(min_seconds, min(max_seconds, MAX_RETRY_AFTER_SECONDS))
        if slot_at + interval > latest:
            earliest = now + min_seconds
            return earliest + (1.0 + jitter) / 2 * (latest - earliest) - now
        self._next_ranked[priority] = slot_at + interval
        return slot_at + jitter * interval - now

    def _interval(self) -> float:
        """Return the time between two slots."""
        return min(MAX_SLOT_INTERVAL_SECONDS, 1.0 / max(RETURNING_SHARE * self._rate, MIN_RATE))

    def _decay(self) -> None:
        now = self._clock()
        self._rate *= 0.5 ** ((now - self._rated_at) / RATE_HALF_LIFE_SECONDS)
        self._rated_at = now

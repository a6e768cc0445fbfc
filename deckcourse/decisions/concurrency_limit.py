"""A bound on the requests in flight, found from how busy the event loop is.

Load pattern: the balancer sends a process several times its usual share of new connections. Each
request takes processor time from its first byte to its last event, so that beyond some number in
flight all of them are late and none is finished earlier. That number depends on the processor share
and on the requests: the bound falls while the loop is overloaded and rises while it has time left.
"""

from deckcourse.loop_monitor import LoopSample

__all__ = ["SATURATED_SHARE", "ConcurrencyLimit"]

# An event loop that is busy for this share of the time has work waiting nearly always.
SATURATED_SHARE = 0.9
# It is overloaded if its mean turn then takes this long, seconds: a request takes some ten turns,
# each of its events three or so.
OVERLOADED_TURN = 0.005
# Below this share there is room, and the bound ends.
ROOM_SHARE = 0.6
# Consecutive overloaded samples that show more than a single long turn.
OVERLOADED_SAMPLES = 2
# The bound falls by this factor, then not again for the time until that shows, seconds.
DECREASE_FACTOR = 0.85
DECREASE_INTERVAL = 0.4
# With each sample it rises by this share of itself times the share of the time that is left free.
INCREASE_FACTOR = 0.25
# The bound is never lower: a process with fewer requests isn't overloaded by them.
MIN_LIMIT = 8.0


class ConcurrencyLimit:
    """The bound of one process; there is none until the event loop is overloaded."""

    def __init__(self) -> None:
        self._limit: float | None = None
        self._overloaded_samples = 0
        self._falls_from = float("-inf")

    @property
    def limit(self) -> float | None:
        """The number of requests in flight that may not be exceeded, None if there is no bound."""
        return self._limit

    def note(self, sample: LoopSample, in_flight: int, now: float) -> None:
        """Adapt the bound to a sample of the event loop.

        Args:
          sample: the event loop since the last call.
          in_flight: the number of requests in flight.
          now: monotonic seconds.
        """
        is_saturated = sample.busy_share >= SATURATED_SHARE
        if is_saturated and sample.mean_turn >= OVERLOADED_TURN:
            self._overloaded_samples += 1
            if self._overloaded_samples >= OVERLOADED_SAMPLES and now >= self._falls_from:
                self._lower(in_flight)
                self._falls_from = now + DECREASE_INTERVAL
            return
        self._overloaded_samples = 0
        if sample.busy_share < ROOM_SHARE:
            self._limit = None
        elif self._limit is not None and not is_saturated:
            self._limit *= 1.0 + INCREASE_FACTOR * (SATURATED_SHARE - sample.busy_share)

    def _lower(self, in_flight: int) -> None:
        current = in_flight if self._limit is None else min(self._limit, in_flight)
        self._limit = max(MIN_LIMIT, current * DECREASE_FACTOR)

    def admits(self, in_flight: int) -> bool:
        """Return whether one more request may be taken."""
        return self._limit is None or in_flight < self._limit

"""The share of all traffic that this process carries, measured without talking to its peers.

The load that upstreams report includes the requests of all processes. Compared with this process's
own requests there, it gives the process's share of the traffic, by which intervals are lengthened.
The shares of all processes don't add up to 1: no limit on all processes may be split by them.
"""

from collections.abc import Callable
from math import exp

__all__ = ["TrafficShare"]

# Added to each measurement: this many requests in total and of this process. They are the estimate
# before the first measurement and dominate while there are few requests; they err on the low side.
ASSUMED_TOTAL_REQUESTS = 10.0
ASSUMED_OWN_REQUESTS = 0.5
# Time constant of the moving mean, independent of how often measurements come: if they come every
# 0.4 s, a new one has a weight of a tenth.
TIME_CONSTANT_SECONDS = 4.0


class TrafficShare:
    """The moving mean of this process's share of the requests at upstreams.

    Args:
      clock: returns monotonic seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._share = ASSUMED_OWN_REQUESTS / ASSUMED_TOTAL_REQUESTS
        self._measured_at = float("-inf")

    @property
    def share(self) -> float:
        """This process's share of all requests, greater than 0 and at most 1."""
        return self._share

    @property
    def is_measured(self) -> bool:
        """Whether any traffic has been measured yet."""
        return self._measured_at > float("-inf")

    def scale_interval(self, seconds: float, share: float) -> float:
        """Return an interval, lengthened in proportion if this process's share is below `share`.

        The total rate of all processes then hardly grows with their number. Before the first
        measurement the interval is returned unchanged.
        """
        return seconds * max(1.0, share / self._share) if self.is_measured else seconds

    def note(self, own: int, total: int) -> None:
        """Add one measurement.

        Args:
          own: requests of this process at some upstreams.
          total: requests that those upstreams report.
        """
        measured_share = (own + ASSUMED_OWN_REQUESTS) / (max(own, total) + ASSUMED_TOTAL_REQUESTS)
        now = self._clock()
        old_weight = exp((self._measured_at - now) / TIME_CONSTANT_SECONDS)
        self._measured_at = now
        self._share = old_weight * self._share + (1.0 - old_weight) * measured_share

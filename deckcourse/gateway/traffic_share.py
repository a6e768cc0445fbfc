"""The part of all traffic that this process carries, seen without a word between processes.

What upstreams say of their load counts the requests of all processes. Next to the own ones there it
tells how large a part of the whole this process is, and so its part of what all may do together.
"""

from collections.abc import Callable
from math import exp

__all__ = ["TrafficShare"]

# A measurement counts as if there were so many requests more in all, and so many of them its own:
# before the first one, and where there are few requests, that is all that is known. Too small
# rather than too large.
ASSUMED_REQUESTS = 10.0
ASSUMED_OWN = 0.5
# Measurements are forgotten within this time, seconds, however often they come: 0.4 s apart a new
# one counts a tenth.
MEMORY_SECONDS = 4.0


class TrafficShare:
    """A moving mean of the own requests at upstreams against everybody's.

    Args:
      clock: seconds, steady.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._share = ASSUMED_OWN / ASSUMED_REQUESTS
        self._measured_at = float("-inf")

    @property
    def share(self) -> float:
        """The part of all requests that are this process's own, over 0 and up to 1."""
        return self._share

    @property
    def measured(self) -> bool:
        """Whether there was any traffic to measure yet."""
        return self._measured_at > float("-inf")

    def spread(self, seconds: float, share: float) -> float:
        """Return a pause, longer in proportion where this process carries less than `share`.

        What many processes do in turn is then done about as often as by few. Before anything was
        measured the pause stays as it is.
        """
        return seconds * max(1.0, share / self._share) if self.measured else seconds

    def note(self, own: int, everybodys: int) -> None:
        """Take in one measurement.

        Args:
          own: requests of this process at some upstreams.
          everybodys: what those upstreams say that they have.
        """
        seen = (own + ASSUMED_OWN) / (max(own, everybodys) + ASSUMED_REQUESTS)
        now = self._clock()
        kept = exp((self._measured_at - now) / MEMORY_SECONDS)
        self._measured_at = now
        self._share = kept * self._share + (1.0 - kept) * seen

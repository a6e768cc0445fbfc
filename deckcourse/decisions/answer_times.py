"""The timeout for an upstream's answer, derived from recent answer times of all upstreams.

Load pattern: on an overloaded machine or network all answers are late. A fixed timeout would make
reachable upstreams count as lost, and moving their streams and layers would add to the load. The
timeout is a multiple of the third quartile of recent answer times, whichever upstreams gave them,
so it does not rise when few answers are late, as with one slow upstream among many.
"""

from collections import deque

__all__ = ["AnswerTimes"]

# Number of answer times kept, and how long each one is used, seconds.
MAX_SAMPLES = 16
MAX_SAMPLE_AGE_SECONDS = 5.0
# With fewer samples the base timeout applies.
MIN_SAMPLES = 4
# The timeout is this multiple of this quantile of the samples.
QUANTILE = 0.75
TIMEOUT_FACTOR = 3.0
# Upper bound of the timeout unless the base timeout is longer, seconds.
MAX_TIMEOUT_SECONDS = 0.6


class AnswerTimes:
    """Recent answer times of all upstreams."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)

    def record(self, seconds: float, now: float) -> None:
        """Record the time that an answer took.

        Args:
          seconds: the time from the request to the end of its answer.
          now: the current time, seconds.
        """
        self._samples.append((now + MAX_SAMPLE_AGE_SECONDS, seconds))

    def timeout(self, base_seconds: float, now: float) -> float:
        """Return the timeout for an answer, seconds; at least the base timeout.

        Args:
          base_seconds: the timeout while answers are not late.
          now: the current time, seconds.
        """
        times = sorted(seconds for expires_at, seconds in self._samples if expires_at > now)
        if len(times) < MIN_SAMPLES:
            return base_seconds
        quantile = times[int(QUANTILE * (len(times) - 1))]
        return max(base_seconds, min(MAX_TIMEOUT_SECONDS, TIMEOUT_FACTOR * quantile))

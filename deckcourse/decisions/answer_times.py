"""The timeout for an upstream's answer, derived from recent answer times of all upstreams.

Load pattern: on an overloaded machine or network all answers are late. A fixed timeout would make
reachable upstreams count as lost, and moving their streams and layers would add to the load. The
timeout is a multiple of the median over recently used upstreams, so it rises only when most of
them are late. Timeouts are recorded too, or answers slower than the timeout could not raise it.
"""

from collections import OrderedDict, deque

__all__ = ["AnswerTimes"]

# Number of most recently recorded upstreams kept, and of answer times per upstream.
MAX_UPSTREAMS = 16
MAX_SAMPLES = 3
# How long each answer time is used, seconds.
MAX_SAMPLE_AGE_SECONDS = 5.0
# With fewer upstreams the base timeout applies, so a single slow upstream cannot raise it.
MIN_UPSTREAMS = 2
# The timeout is this multiple of the median.
TIMEOUT_FACTOR = 3.0
# A timeout is recorded as an answer time of this multiple of the timeout.
BACKOFF_FACTOR = 2.0
# Upper bound of the timeout unless the base timeout is longer, seconds.
MAX_TIMEOUT_SECONDS = 0.6

# Expiry time and answer time, seconds.
_Sample = tuple[float, float]


class AnswerTimes:
    """Recent answer times of the most recently recorded upstreams."""

    def __init__(self) -> None:
        self._samples: OrderedDict[str, deque[_Sample]] = OrderedDict()

    def record(self, upstream: str, seconds: float, now: float) -> None:
        """Record the time that an answer took.

        Args:
          upstream: the instance name of the upstream.
          seconds: the time from the request to the end of its answer.
          now: the current time, seconds.
        """
        samples = self._samples.setdefault(upstream, deque(maxlen=MAX_SAMPLES))
        samples.append((now + MAX_SAMPLE_AGE_SECONDS, seconds))
        self._samples.move_to_end(upstream)
        while len(self._samples) > MAX_UPSTREAMS:
            self._samples.popitem(last=False)

    def record_timeout(self, upstream: str, seconds: float, now: float) -> None:
        """Record that an answer timed out after `seconds`; see `record`."""
        self.record(upstream, BACKOFF_FACTOR * seconds, now)

    def timeout(self, base_seconds: float, now: float) -> float:
        """Return the timeout for an answer, seconds; at least the base timeout.

        Args:
          base_seconds: the timeout while answers are not late.
          now: the current time, seconds.
        """
        longest = [self._longest_answer_time(samples, now) for samples in self._samples.values()]
        times = sorted(seconds for seconds in longest if seconds is not None)
        if len(times) < MIN_UPSTREAMS:
            return base_seconds
        median = times[(len(times) - 1) // 2]
        return max(base_seconds, min(MAX_TIMEOUT_SECONDS, TIMEOUT_FACTOR * median))

    @staticmethod
    def _longest_answer_time(samples: deque[_Sample], now: float) -> float | None:
        """Return the longest unexpired answer time, seconds, None if there is none."""
        return max((seconds for expires_at, seconds in samples if expires_at > now), default=None)

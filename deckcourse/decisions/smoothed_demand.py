"""The demand that a placement is made for, smoothed so that swings of seconds don't change it.

Load pattern: callers' traffic swings by half within seconds, while exchanging layers takes tens of
seconds and interrupts streams. A layout follows the level of the last half minute upwards and of
the last minutes downwards: too little memory for requests refuses them at once, too much only makes
paths longer.
"""

from math import exp

__all__ = ["SmoothedDemand"]

# Time constants of the smoothing, seconds: longer than a burst of 8 to 20 seconds, and than the
# pauses of traffic between two bursts.
RISE_SECONDS = 30.0
FALL_SECONDS = 300.0
# Longest time that one sample stands for, seconds: reports are missing while there is no traffic.
MAX_SAMPLE_SECONDS = 5.0
# Samples must cover this long before there is a value, seconds.
MIN_OBSERVED_SECONDS = 30.0
# The value changes if the smoothed demand differs from it by more than this factor: each change
# makes a healer search for a plan again.
MIN_CHANGE_FACTOR = 1.25


class SmoothedDemand:
    """The number of concurrent streams of a group, smoothed over time."""

    def __init__(self) -> None:
        self._observed_seconds = 0.0
        self._sampled_at: float | None = None
        self._smoothed = 0.0
        self._value = 0.0

    @property
    def value(self) -> float:
        """The demand, streams; 0 until enough was observed."""
        return self._value

    def note(self, streams: float, now: float) -> bool:
        """Record a sample, the streams that run now; return whether the value changed."""
        if self._sampled_at is None:
            self._smoothed = streams
        else:
            seconds = min(max(0.0, now - self._sampled_at), MAX_SAMPLE_SECONDS)
            constant = RISE_SECONDS if streams > self._smoothed else FALL_SECONDS
            self._smoothed += (streams - self._smoothed) * (1.0 - exp(-seconds / constant))
            self._observed_seconds += seconds
        self._sampled_at = now
        if self._observed_seconds < MIN_OBSERVED_SECONDS:
            return False
        low, high = self._value / MIN_CHANGE_FACTOR, self._value * MIN_CHANGE_FACTOR
        if low <= self._smoothed <= high:
            return False
        self._value = round(self._smoothed, 1)
        return True

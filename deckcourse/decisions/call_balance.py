"""The choice of an upstream for a plain call by what all processes have sent there.

Load pattern: a hundred processes with less than one call a second each mostly have no call of their
own in flight. If each then took the first upstream of the same list, all would take the same one
while others are idle. What the others have sent shows only in how late answers are.
"""

from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass
from math import exp
from random import Random

__all__ = ["CallBalance", "draw_least_loaded", "failure_penalty"]

# How long an upstream's answer times are used: calls take some 60 ms and callers want an answer in
# 120 to 300 ms, so a queue of this age is gone or has been refused.
TTL_SECONDS = 3.0
# Time constant of the usual answer time: a few seconds of overload hardly raise it.
USUAL_SECONDS = 30.0
# Weight of a new answer time in an upstream's mean.
NEW_WEIGHT = 0.4
# Answers that take up to this multiple of the usual time show no queue: calls differ in size.
LATE_FACTOR = 1.3
# Loads that differ by less than this many calls count as equal; an upstream in another domain
# counts as having half a call more.
NEAR_CALLS = 0.25
# Calls in flight that an upstream counts as having in addition if all its recent calls failed.
FAILURE_PENALTY = 20.0
# Exponent of the share of failed calls for a penalty that grows with the load of all upstreams: it
# weighs on an upstream whose calls fail one after the other, and not on one with a single failure.
REPEATED_EXPONENT = 8
# Bound on the upstreams kept for a service.
MAX_UPSTREAMS = 64


@dataclass(frozen=True)
class _Mean:
    """A moving mean of answer times, seconds, and when it was updated."""

    seconds: float
    at: float


class CallBalance:
    """Recent answer times of one service's upstreams, as seen by one process."""

    def __init__(self) -> None:
        self._recent: OrderedDict[str, _Mean] = OrderedDict()
        self._usual: _Mean | None = None

    def record(self, upstream: str, seconds: float, now: float) -> None:
        """Record how long an upstream took to answer a call."""
        known = self._recent.pop(upstream, None)
        mean = seconds
        if known is not None and now - known.at < TTL_SECONDS:
            mean = known.seconds + NEW_WEIGHT * (seconds - known.seconds)
        self._recent[upstream] = _Mean(mean, now)
        while len(self._recent) > MAX_UPSTREAMS:
            self._recent.popitem(last=False)
        if self._usual is None:
            self._usual = _Mean(seconds, now)
        else:
            weight = 1.0 - exp((self._usual.at - now) / USUAL_SECONDS)
            usual = self._usual.seconds + weight * (seconds - self._usual.seconds)
            self._usual = _Mean(usual, now)

    def queued_per_slot(self, upstream: str, now: float) -> float:
        """Return how many calls wait for each slot of an upstream, as its answer times show.

        An upstream that runs as many calls again as it has slots takes twice as long. One whose
        answers are too old counts as idle, so that it is tried again.
        """
        recent = self._recent.get(upstream)
        if recent is None or self._usual is None or now - recent.at >= TTL_SECONDS:
            return 0.0
        return max(0.0, recent.seconds / max(self._usual.seconds, 1e-6) - LATE_FACTOR)


def failure_penalty(failure_share: float, in_flight: int, heaviest: float) -> float:
    """Return the calls that an upstream counts as having in addition for its failures.

    A fixed number of calls holds an upstream back only while the others have fewer in flight. Then
    it would get as many calls as they do, since an upstream that fails at once has few in flight.

    Args:
      failure_share: the share of its recent calls that failed.
      in_flight: its calls in flight, whose results are not known yet.
      heaviest: the largest load of an upstream of the service, calls.
    """
    repeated = heaviest * (2 + in_flight) * failure_share**REPEATED_EXPONENT
    return FAILURE_PENALTY * failure_share**2 + repeated


def draw_least_loaded(
    loads: Mapping[str, float], slots: Mapping[str, int], random: Random
) -> str | None:
    """Return one of the least loaded upstreams, one with more slots more often; None if none.

    Args:
      loads: the load of each upstream, calls.
      slots: the slots of each.
      random: the random number generator.
    """
    if not loads:
        return None
    least = min(loads.values())
    near = [name for name, load in loads.items() if load <= least + NEAR_CALLS]
    return random.choices(near, [max(1, slots[name]) for name in near])[0]

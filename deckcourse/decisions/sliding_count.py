"""Counts events of the recent past, with a lower and an upper bound on the count in a window.

Events are counted in buckets of time, so that memory and time don't grow with their number.
"""

from collections import deque

__all__ = ["SlidingCount"]

# Width of a bucket, seconds.
BUCKET_SECONDS = 0.25


class SlidingCount:
    """The number of events in the last seconds; times must not decrease from call to call."""

    def __init__(self) -> None:
        # The index of a bucket and the events in it, oldest first.
        self._buckets: deque[list[int]] = deque()

    def add(self, now: float) -> None:
        """Count an event that happened now."""
        index = _bucket_index(now)
        if self._buckets and self._buckets[-1][0] == index:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([index, 1])

    def remove_latest(self) -> None:
        """Remove the latest event, if there is one."""
        for bucket in reversed(self._buckets):
            if bucket[1]:
                bucket[1] -= 1
                return

    def forget(self, now: float, seconds: float) -> None:
        """Forget the events of before the last seconds."""
        oldest = _bucket_index(now - seconds)
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()

    def at_most(self, now: float, seconds: float) -> int:
        """Return an upper bound on the events of the last seconds."""
        return self._count_from(_bucket_index(now - seconds))

    def at_least(self, now: float, seconds: float) -> int:
        """Return a lower bound on the events of the last seconds."""
        return self._count_from(_bucket_index(now - seconds) + 1)

    def _count_from(self, oldest: int) -> int:
        return sum(count for index, count in self._buckets if index >= oldest)


def _bucket_index(at: float) -> int:
    return int(at // BUCKET_SECONDS)

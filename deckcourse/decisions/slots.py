"""Evenly spaced time slots by key, so that waiting processes return one after the other.

Load pattern: hundreds of processes wait for the same few tokens a second; if all were told the same
moment, they would ask together and all but one be denied again.
"""

__all__ = ["Slots"]

# Bound on keys, far above the number of upstreams at any site.
MAX_KEYS = 4096


class Slots:
    """The next free slot of each key; none is handed out twice, but for the latest.

    Args:
      max_wait: the latest slot, seconds from now; later ones coincide with it.
    """

    def __init__(self, max_wait: float) -> None:
        self._max_wait = max_wait
        self._last: dict[str, float] = {}

    def next(self, key: str, earliest: float, step: float, now: float) -> float:
        """Return the next slot of a key, seconds.

        Args:
          key: what the slot is for.
          earliest: the earliest slot.
          step: the distance from the previous slot.
          now: the current time.
        """
        while len(self._last) >= MAX_KEYS:
            self._last.pop(next(iter(self._last)))
        slot = max(earliest, self._last.get(key, 0.0) + step)
        self._last[key] = min(slot, now + self._max_wait)
        return self._last[key]

"""The part of all traffic that this process carries, seen without a word between processes.

What upstreams say of their load counts the requests of all processes. Next to the own ones there it
tells how large a part of the whole this process is, and so its part of what all may do together.
"""

__all__ = ["TrafficShare"]

# A measurement counts as if there were so many requests more in all, and so many of them its own:
# before the first one, and where there are few requests, that is all that is known. Too small
# rather than too large.
ASSUMED_REQUESTS = 10.0
ASSUMED_OWN = 0.5
# How much a new measurement counts, one each 0.4 s or so: a loss of half of the processes is known
# after some four seconds.
NEW_WEIGHT = 0.1


class TrafficShare:
    """A moving mean of the own requests at upstreams against everybody's."""

    def __init__(self) -> None:
        self._share = ASSUMED_OWN / ASSUMED_REQUESTS
        self._measured = False

    @property
    def share(self) -> float:
        """The part of all requests that are this process's own, over 0 and up to 1."""
        return self._share

    @property
    def measured(self) -> bool:
        """Whether there was any traffic to measure yet."""
        return self._measured

    def spread(self, seconds: float, share: float) -> float:
        """Return a pause, longer in proportion where this process carries less than `share`.

        What many processes do in turn is then done about as often as by few. Before anything was
        measured the pause stays as it is.
        """
        return seconds * max(1.0, share / self._share) if self._measured else seconds

    def note(self, own: int, everybodys: int) -> None:
        """Take in one measurement.

        Args:
          own: requests of this process at some upstreams.
          everybodys: what those upstreams say that they have.
        """
        seen = (own + ASSUMED_OWN) / (max(own, everybodys) + ASSUMED_REQUESTS)
        weight = NEW_WEIGHT if self._measured else 1.0
        self._measured = True
        self._share += weight * (seen - self._share)

"""The retries that one process may make, of those that all processes may make together.

The platform bounds the retries at a service over a span of time: a fraction of the requests, and so
many beside that. Requests are counted where they come in; of the rest each process has the part
that it carries of the traffic.
"""

from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["RetryAllowance", "RetryLimits"]

# What is left of either bound for requests that other processes count differently at the same time.
EARNED_PART = 0.75
# Of the retries beside the earned ones, the part that may be made at once, and the part that comes
# back over the span: together they stay below what is allowed in any span.
AT_ONCE_PART = 0.6
RETURNING_PART = 0.25
# So long after its start an allowance grows with the share that becomes known, seconds: it began
# full by an assumed one. Otherwise a process of a third of the traffic turned callers away beside
# free upstreams for 1.2 s, since a part of what it might hold is kept for broken streams.
STARTING_SECONDS = 2.0


@dataclass(frozen=True)
class RetryLimits:
    """What all processes together may do at one service.

    In any `window` seconds, retries may be `ratio` times the requests and `slack` more.
    """

    ratio: float = 0.2
    slack: float = 200.0
    window: float = 10.0


class RetryAllowance:
    """Counts what requests earn and retries spend at one service.

    Args:
      limits: returns what holds for all processes together.
      share: returns the part of all traffic that this process carries.
      clock: seconds, steady.
    """

    def __init__(
        self,
        limits: Callable[[], RetryLimits],
        share: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._limits = limits
        self._share = share
        self._clock = clock
        self._counted_at = clock()
        self._starting_until = clock() + STARTING_SECONDS
        self._began_with = self.largest
        self._balance = self._began_with

    @property
    def largest(self) -> float:
        """How many retries may be made at once at the most, one at least."""
        return max(1.0, AT_ONCE_PART * self._limits().slack * self._share())

    @property
    def balance(self) -> float:
        """How many retries may be made now."""
        limits = self._limits()
        now = self._clock()
        if now < self._starting_until and self.largest > self._began_with:
            self._balance += self.largest - self._began_with
            self._began_with = self.largest
        returning = RETURNING_PART * limits.slack * self._share() / limits.window
        self._add(returning * (now - self._counted_at))
        self._counted_at = now
        return self._balance

    def _add(self, retries: float) -> None:
        self._balance = min(self.largest, self._balance + retries)

    def earn(self) -> None:
        """Count a request's first try."""
        self._add(EARNED_PART * self._limits().ratio)

    def spend(self, keep: float = 0.0) -> bool:
        """Take one retry; return whether there was one to take.

        Args:
          keep: the part of the largest balance that must be left afterwards, for those that need
            it more.
        """
        if self.balance < 1.0 + keep * self.largest:
            return False
        self._balance -= 1.0
        return True

    def give_back(self) -> None:
        """Put a retry back that was taken and not made."""
        self._add(1.0)

"""Issues retries of the slack that all processes share, while this process holds the issuer lease.

Load pattern: the slack is a few hundred retries in ten seconds for up to hundreds of processes, and
what fails is at a few of them. A part for each would be too small where the retries are needed.
"""

from collections.abc import Callable
from dataclasses import dataclass

from deckcourse.decisions.slots import Slots
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.peers.issuer_messages import RetryNeed

__all__ = ["GRANT_LIFETIME_SECONDS", "URGENT_RESERVE_SHARE", "RetryGrant", "RetryIssuer"]

# How long a granted retry may be used, counted from its request, seconds.
GRANT_LIFETIME_SECONDS = 0.5
# Shares of the slack that may be issued at once, and that are refilled over the window. With what
# is refilled during the lifetime of a grant, their sum stays below the slack.
BURST_SHARE = 0.5
REFILL_SHARE = 0.45
# Share of a balance that is kept for urgent retries: a request that was never executed can be sent
# again later, an interrupted stream is lost without a retry.
URGENT_RESERVE_SHARE = 0.33
# Share of a balance that is kept for processes that have not retried for long: one that asks often
# must not take everything.
FAIR_RESERVE_SHARE = 0.1
# Slots to ask again, for each retry that is refilled: some of those that wait need none any more.
ASKS_PER_RETRY = 2.0
# Maximum wait in a denial, seconds.
MAX_WAIT_SECONDS = 2.0
# Bound on services, far above the number at any site: their names come from other processes.
MAX_SERVICES = 1024
# Lower bound of a refill rate, retries a second; avoids a division by zero.
MIN_REFILL_RATE = 0.01


@dataclass(frozen=True)
class RetryGrant:
    """The reply to a request for retries.

    Attributes:
      count: the number of retries granted.
      wait: time until the next request if none was granted, seconds.
    """

    count: int
    wait: float = 0.0


class _Bucket:
    """The slack of one service that may be issued."""

    def __init__(self, balance: float, now: float) -> None:
        self._balance = balance
        self._refilled_at = now

    def refill(self, rate: float, max_balance: float, now: float) -> None:
        """Add what was refilled since the last call."""
        refilled = rate * max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._balance = min(max_balance, self._balance + refilled)

    def available(self, reserve: float) -> float:
        """Return how much may be taken without touching a reserve."""
        return self._balance - reserve

    def take(self, count: int) -> None:
        """Take some retries."""
        self._balance -= count


class RetryIssuer:
    """The slack of all services in one lease term.

    Args:
      limits: returns the limits of all processes together.
    """

    def __init__(self, limits: Callable[[], RetryLimits]) -> None:
        self._limits = limits
        self._buckets: dict[str, _Bucket] = {}
        self._slots = Slots(MAX_WAIT_SECONDS)
        self._started_at = 0.0
        self._starts_full = False

    def start_term(self, now: float, is_first: bool) -> None:
        """Start a lease term.

        Args:
          now: the current time, seconds.
          is_first: whether no process issued retries before; otherwise the term starts with
            nothing, since the issuer before may have issued everything.
        """
        self._buckets.clear()
        self._slots = Slots(MAX_WAIT_SECONDS)
        self._started_at = now
        self._starts_full = is_first

    def issue(self, need: RetryNeed, now: float) -> RetryGrant:
        """Issue retries, at most as many as are needed.

        Args:
          need: what a process needs.
          now: the current time, seconds.
        """
        if need.service not in self._buckets and len(self._buckets) >= MAX_SERVICES:
            return RetryGrant(0, MAX_WAIT_SECONDS)
        limits = self._limits()
        max_balance = BURST_SHARE * limits.slack
        rate = max(MIN_REFILL_RATE, REFILL_SHARE * limits.slack / limits.window)
        bucket = self._bucket(need.service, max_balance)
        bucket.refill(rate, max_balance, now)
        reserve_share = 0.0 if need.is_urgent else URGENT_RESERVE_SHARE
        if not need.has_waited:
            reserve_share += FAIR_RESERVE_SHARE
        available = bucket.available(reserve_share * max_balance)
        granted = max(0, min(need.count, int(available)))
        if granted:
            bucket.take(granted)
            return RetryGrant(granted)
        earliest = now + (1.0 - available) / rate
        slot = self._slots.next(
            f"{need.service} {need.is_urgent}", earliest, 1 / (ASKS_PER_RETRY * rate), now
        )
        return RetryGrant(0, slot - now)

    def _bucket(self, service: str, max_balance: float) -> _Bucket:
        if service not in self._buckets:
            balance = max_balance if self._starts_full else 0.0
            self._buckets[service] = _Bucket(balance, self._started_at)
        return self._buckets[service]

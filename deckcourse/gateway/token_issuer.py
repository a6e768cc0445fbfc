"""Issues rate limit tokens for all processes, while this process holds the issuer lease.

Load pattern: a limit of two requests a second can't be split between hundreds of processes, so a
single token bucket per upstream serves them all.
"""

from dataclasses import dataclass

from deckcourse.decisions.slots import Slots
from deckcourse.decisions.token_bucket import TokenBucket
from deckcourse.peers.purpose import Purpose

__all__ = ["TOKEN_LIFETIME_SECONDS", "Grant", "TokenIssuer"]

# Lifetime of a token, counted from its request, seconds.
TOKEN_LIFETIME_SECONDS = 0.2
# Share of a limit that is issued: tokens issued just before a window may be spent within it.
ISSUED_SHARE = 0.95
# Minimum issue rate, tokens a second, so that the end of a limit of zero is detected.
MIN_ISSUE_RATE = 0.25
# Retry slots for each token: most throttled processes have no request pending when theirs comes.
RETRIES_PER_TOKEN = 4.0
# Maximum wait in a denial, seconds.
MAX_WAIT_SECONDS = 4.0
# Bound on token buckets, far above the number of upstreams at any site.
MAX_BUCKETS = 4096


@dataclass(frozen=True)
class Grant:
    """The reply to a token request.

    Attributes:
      granted: whether a token was issued.
      wait: time until the next request, if denied, seconds.
      retry_after: Retry-After for a rejected caller, if denied, seconds.
    """

    granted: bool
    wait: float = 0.0
    retry_after: float = 0.0


class TokenIssuer:
    """Token buckets of one lease term; each term starts with empty ones."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._retry_slots = Slots(MAX_WAIT_SECONDS)
        self._return_slots = Slots(MAX_WAIT_SECONDS)

    def start_term(self) -> None:
        """Start a new lease term."""
        self._buckets.clear()
        self._retry_slots = Slots(MAX_WAIT_SECONDS)
        self._return_slots = Slots(MAX_WAIT_SECONDS)

    def issue(self, instance: str, limit: float, now: float, purpose: Purpose) -> Grant:
        """Issue a token for one message, or deny it.

        Args:
          instance: the upstream.
          limit: its rate limit, requests a second.
          now: the current time, seconds.
          purpose: the kind of message.
        """
        rate = max(MIN_ISSUE_RATE, ISSUED_SHARE * limit)
        bucket = self._bucket(instance, rate, now)
        if bucket.take(now, purpose):
            return Grant(True)
        if purpose is not Purpose.REQUEST:
            return Grant(False, min(MAX_WAIT_SECONDS, bucket.wait(now, purpose)))
        earliest = now + bucket.wait(now, purpose)
        retry_at = self._retry_slots.next(instance, earliest, 1.0 / (RETRIES_PER_TOKEN * rate), now)
        return_at = self._return_slots.next(instance, earliest, 1.0 / rate, now)
        return Grant(False, retry_at - now, return_at - now)

    def give_back(self, instance: str) -> None:
        """Return an unused token to its bucket."""
        bucket = self._buckets.get(instance)
        if bucket is not None:
            bucket.return_token()

    def _bucket(self, instance: str, rate: float, now: float) -> TokenBucket:
        bucket = self._buckets.get(instance)
        if bucket is None:
            while len(self._buckets) >= MAX_BUCKETS:
                self._buckets.pop(next(iter(self._buckets)))
            bucket = self._buckets[instance] = TokenBucket(rate, now)
        bucket.set_rate(rate, now)
        return bucket

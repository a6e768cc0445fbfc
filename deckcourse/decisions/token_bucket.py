"""A token bucket with priorities: orders precede requests, queries get a share of the rate.

Over any span of T seconds it issues at most `rate * T + MAX_TOKENS + MAX_DEBT` tokens.
"""

from deckcourse.peers.purpose import Purpose

__all__ = ["MAX_DEBT", "MAX_TOKENS", "TokenBucket"]

# Bucket size.
MAX_TOKENS = 2.0
# Tokens that queries and orders may borrow, since waiting requests drain the bucket.
MAX_DEBT = 1.0
# Share of the rate for queries, and their minimum rate, tokens a second.
QUERY_SHARE = 0.1
MIN_QUERY_RATE = 0.2
# Bucket size for queries.
MAX_QUERY_TOKENS = 2.0


class TokenBucket:
    """The bucket of one upstream; starts empty, since a previous issuer may have drained its own.

    Args:
      rate: tokens a second.
      now: the current time, seconds.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = rate
        self._tokens = 0.0
        self._query_tokens = 1.0
        self._updated_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate from now on."""
        self._refill(now)
        self._rate = rate

    def take(self, now: float, purpose: Purpose) -> bool:
        """Take a token; return whether there was one."""
        if self.wait(now, purpose) > 0.0:
            return False
        self._tokens -= 1.0
        if purpose is Purpose.QUERY:
            self._query_tokens -= 1.0
        return True

    def return_token(self) -> None:
        """Return an unused token."""
        self._tokens = min(MAX_TOKENS, self._tokens + 1.0)

    def wait(self, now: float, purpose: Purpose) -> float:
        """Return the time until a token is available, seconds."""
        self._refill(now)
        needed = 1.0 if purpose is Purpose.REQUEST else 1.0 - MAX_DEBT
        seconds = max(0.0, needed - self._tokens) / self._rate
        if purpose is not Purpose.QUERY:
            return seconds
        return max(seconds, max(0.0, 1.0 - self._query_tokens) / self._query_rate)

    @property
    def _query_rate(self) -> float:
        return max(MIN_QUERY_RATE, QUERY_SHARE * self._rate)

    def _refill(self, now: float) -> None:
        seconds = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(MAX_TOKENS, self._tokens + seconds * self._rate)
        refilled = seconds * self._query_rate
        self._query_tokens = min(MAX_QUERY_TOKENS, self._query_tokens + refilled)

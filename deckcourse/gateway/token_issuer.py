"""Issues the tokens of all rate limits while this process holds the lease for that.

Load pattern: a limit of two requests a second before hundreds of processes leaves no share of it
to each. One process counts for all, and the others ask it for each sending.
"""

from dataclasses import dataclass

from deckcourse.decisions.token_bucket import TokenBucket
from deckcourse.peers.purpose import Purpose

__all__ = ["TOKEN_LIFETIME_SECONDS", "Grant", "TokenIssuer"]

# A token is used within so long after it was asked for, seconds, or not at all.
TOKEN_LIFETIME_SECONDS = 0.2
# The part of a limit that is issued: sendings of a window may have had their tokens before it, by
# up to the lifetime of a token in four seconds.
ISSUED_SHARE = 0.95
# Issued in any case, tokens a second: the end of a limit of nothing is learnt by asking.
MIN_RATE = 0.25
# So many processes ask again for each token: most have no caller by then.
ASKS_PER_TOKEN = 4.0
# Nobody is told a later moment, seconds.
LONGEST_WAIT_SECONDS = 4.0
# Upstreams with a bucket at the most, far more than any site has.
MAX_BUCKETS = 4096


@dataclass(frozen=True)
class Grant:
    """Whether a token was issued.

    If not, `wait` is after how long to ask again, and `retry_after` after how long a caller who is
    refused may come back, seconds.
    """

    granted: bool
    wait: float = 0.0
    retry_after: float = 0.0


class TokenIssuer:
    """The buckets of one term of the lease; a later term begins with empty ones."""

    def __init__(self) -> None:
        self._buckets: dict[str, TokenBucket] = {}
        self._to_ask = _Moments()
        self._to_return = _Moments()

    def begin(self) -> None:
        """Begin a term."""
        self._buckets.clear()
        self._to_ask = _Moments()
        self._to_return = _Moments()

    def issue(self, instance: str, limit: float, now: float, purpose: Purpose) -> Grant:
        """Return a token for one sending, or when to ask for one again.

        Args:
          instance: the upstream.
          limit: what it takes, requests a second.
          now: the moment, seconds.
          purpose: what is to be sent.
        """
        rate = max(MIN_RATE, ISSUED_SHARE * limit)
        bucket = self._bucket(instance, rate, now)
        if bucket.take(now, purpose):
            return Grant(True)
        if purpose is not Purpose.REQUEST:
            return Grant(False, min(LONGEST_WAIT_SECONDS, bucket.wait(now, purpose)))
        earliest = now + bucket.wait(now, purpose)
        ask_at = self._to_ask.next(instance, earliest, 1.0 / (ASKS_PER_TOKEN * rate), now)
        return_at = self._to_return.next(instance, earliest, 1.0 / rate, now)
        return Grant(False, ask_at - now, return_at - now)

    def give_back(self, instance: str) -> None:
        """Take a token back that was not used."""
        bucket = self._buckets.get(instance)
        if bucket is not None:
            bucket.give_back()

    def _bucket(self, instance: str, rate: float, now: float) -> TokenBucket:
        bucket = self._buckets.get(instance)
        if bucket is None:
            while len(self._buckets) >= MAX_BUCKETS:
                self._buckets.pop(next(iter(self._buckets)))
            bucket = self._buckets[instance] = TokenBucket(rate, now)
        bucket.set_rate(rate, now)
        return bucket


class _Moments:
    """Moments that follow each other, each told once."""

    def __init__(self) -> None:
        self._last: dict[str, float] = {}

    def next(self, instance: str, earliest: float, step: float, now: float) -> float:
        """Return the next moment for an upstream, seconds.

        Args:
          instance: the upstream.
          earliest: no earlier than this.
          step: after the one that was told last.
          now: the moment.
        """
        while len(self._last) >= MAX_BUCKETS:
            self._last.pop(next(iter(self._last)))
        moment = max(earliest, self._last.get(instance, 0.0) + step)
        self._last[instance] = min(moment, now + LONGEST_WAIT_SECONDS)
        return self._last[instance]

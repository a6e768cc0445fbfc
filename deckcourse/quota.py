"""Limits of client accounts over all entries, without a central counter.

Each entry spends a share of an account's limit in proportion to the demand that it and its
peers see. While peers are silent the shares stay, then fall back to an equal part.
"""

from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Demand", "Quota", "TokenBucket"]

# The demand of an account is smoothed over this long.
DEMAND_SECONDS = 1.0
# The unused part of a share is kept this long.
BURST_SECONDS = 1.0
# A share comes half of the way up to its due in this long: two rounds of gossip.
RISE_SECONDS = 1.0
# An entry that sees no demand of an account still keeps this part of an equal share.
LEAST_PART = 0.05


class Demand:
    """A smoothed rate of tokens asked for."""

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._at = now

    def add(self, tokens: float, now: float) -> None:
        """Count tokens asked for."""
        self._rate = self.rate(now) + tokens / DEMAND_SECONDS
        self._at = now

    def rate(self, now: float) -> float:
        """Return the rate in tokens a second."""
        elapsed = now - self._at
        return self._rate * 0.5 ** (elapsed / DEMAND_SECONDS)


@dataclass(frozen=True)
class TokenBucket:
    """`level` tokens were there at `at`; it refills at a rate that the caller gives."""

    level: float
    at: float

    def filled(self, rate: float, now: float) -> "TokenBucket":
        """Return the bucket refilled up to now."""
        largest = max(rate * BURST_SECONDS, 1.0)
        return TokenBucket(min(largest, self.level + rate * (now - self.at)), now)


class Quota:
    """The accounts' limits as one entry applies them."""

    def __init__(self) -> None:
        self._demand: dict[str, Demand] = {}
        self._buckets: dict[str, TokenBucket] = {}
        self._shares: dict[str, tuple[float, float]] = {}

    def demand(self, now: float) -> dict[str, float]:
        """Return this entry's demand by account, for its digest; idle accounts are left out."""
        rates = {name: demand.rate(now) for name, demand in self._demand.items()}
        return {name: rate for name, rate in rates.items() if rate > 0.01}

    def admit(
        self,
        account: str,
        tokens: float,
        limit: float,
        others: Mapping[str, Mapping[str, float]],
        now: float,
    ) -> float:
        """Ask for tokens of an account's limit.

        Args:
          account: the client account.
          tokens: what the request will use at the most.
          limit: the account's limit in tokens a second over all entries.
          others: the demand by account that each other live entry told of.
          now: on trio's clock.

        Returns:
          0 where the request is admitted, else the seconds until it could be.
        """
        demand = self._demand.setdefault(account, Demand(now))
        demand.add(tokens, now)
        rate = limit * self._share(account, others, now)
        bucket = self._buckets.get(account, TokenBucket(rate * BURST_SECONDS, now))
        bucket = bucket.filled(rate, now)
        # A request larger than the bucket is let in by a full one, which then goes below zero.
        needed = min(tokens, max(rate * BURST_SECONDS, 1.0))
        if bucket.level >= needed:
            self._buckets[account] = TokenBucket(bucket.level - tokens, now)
            return 0.0
        self._buckets[account] = bucket
        return (needed - bucket.level) / max(rate, 1e-9)

    def _share(self, account: str, others: Mapping[str, Mapping[str, float]], now: float) -> float:
        own = self._demand[account].rate(now)
        total = own + sum(each.get(account, 0.0) for each in others.values())
        equal = 1.0 / (1 + len(others))
        part = own / total if total > 0 else equal
        wanted = LEAST_PART * equal + (1 - LEAST_PART) * part
        share, at = self._shares.get(account, (equal, now))
        # A share falls at once, but rises only as fast as the others can have heard of it.
        if wanted > share:
            wanted -= (wanted - share) * 0.5 ** ((now - at) / RISE_SECONDS)
        self._shares[account] = (wanted, now)
        return wanted

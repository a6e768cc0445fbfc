"""A versioned rate limit, as processes exchange it."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["RateLimit"]

# Letters of an instance; a longer one would be no key of the store.
LONGEST_INSTANCE = 150
# A higher limit bounds nothing, requests a second.
LARGEST_RATE = 1e6
# The largest number that JSON readers keep exact.
LARGEST_VERSION = 2**53


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """The request rate that one start of an upstream accepts from all processes together.

    Attributes:
      instance: the start of the upstream.
      version: incremented with each change; equal versions resolve to the stricter limit.
      rate: requests a second, None if the limit has ended.
      on_questions: whether answers to questions carry it; only then can their absence end it.
    """

    instance: Annotated[str, Meta(min_length=1, max_length=LONGEST_INSTANCE)]
    version: Annotated[int, Meta(ge=1, le=LARGEST_VERSION)]
    rate: Annotated[float, Meta(ge=0.0, le=LARGEST_RATE)] | None
    on_questions: bool = False

    @property
    def bound(self) -> float:
        """The rate, infinity for none."""
        return float("inf") if self.rate is None else self.rate

    def supersedes(self, other: "RateLimit | None") -> bool:
        """Return whether this limit wins over another one."""
        if other is None:
            return True
        return self._rank > other._rank

    @property
    def _rank(self) -> tuple[int, float, bool]:
        return self.version, -self.bound, self.on_questions

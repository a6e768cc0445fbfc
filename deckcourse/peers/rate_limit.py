"""A rate limit that an upstream names, as processes tell each other of it."""

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
    """How many requests a second one start of an upstream takes from all processes together.

    Attributes:
      instance: the start of the upstream.
      version: rises with each change; of two with the same one the stricter limit holds.
      rate: requests a second, None where the upstream names no limit any more.
      on_questions: whether answers to questions and orders name it: only then do they end it.
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
        """Return whether this one holds where both are known."""
        if other is None:
            return True
        return self._rank > other._rank

    @property
    def _rank(self) -> tuple[int, float, bool]:
        return self.version, -self.bound, self.on_questions

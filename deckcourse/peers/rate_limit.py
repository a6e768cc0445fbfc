"""The versioned rate limit of an upstream, as processes exchange it."""

from typing import Annotated

import msgspec
from msgspec import Meta

__all__ = ["RateLimit"]

# Largest length of an instance, in characters; a longer one is not a valid key of the store.
MAX_INSTANCE_LENGTH = 150
# Largest rate, requests per second; a higher one would limit nothing.
MAX_RATE = 1e6
# The largest integer that JSON parsers represent exactly.
MAX_VERSION = 2**53


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """The request rate that one incarnation of an upstream accepts from all processes together.

    Attributes:
      instance: the incarnation of the upstream.
      version: incremented with each change; equal versions resolve to the stricter limit.
      rate: requests per second, None if the limit has ended.
      on_query_replies: whether replies to queries carry the limit; only then does its absence from
        such a reply end it.
    """

    instance: Annotated[str, Meta(min_length=1, max_length=MAX_INSTANCE_LENGTH)]
    version: Annotated[int, Meta(ge=1, le=MAX_VERSION)]
    rate: Annotated[float, Meta(ge=0.0, le=MAX_RATE)] | None
    on_query_replies: bool = False

    @property
    def bound(self) -> float:
        """The rate, infinity if the limit has ended."""
        return float("inf") if self.rate is None else self.rate

    def supersedes(self, other: "RateLimit | None") -> bool:
        """Return whether this limit takes precedence over another one."""
        if other is None:
            return True
        return self._rank > other._rank

    @property
    def _rank(self) -> tuple[int, float, bool]:
        return self.version, -self.bound, self.on_query_replies

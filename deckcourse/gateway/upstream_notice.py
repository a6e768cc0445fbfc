"""Hints that an upstream gives in the head of an answer."""

from dataclasses import dataclass

__all__ = ["ANONYMOUS", "NOTHING_ASKED", "UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """Hints of the upstream that gave an answer.

    `backoff` is for how long it wants no request from the process that it answers, seconds, 0 where
    it asks for no such time; `leaving` says that it is about to end; `malformed` that it asks for
    something unreadable. `rate_limit` is how many requests a second it takes from all processes
    together, None where it names no limit. `anonymous` says that another one may have answered.
    """

    backoff: float = 0.0
    leaving: bool = False
    malformed: bool = False
    rate_limit: float | None = None
    anonymous: bool = False


NOTHING_ASKED = UpstreamNotice()
ANONYMOUS = UpstreamNotice(anonymous=True)

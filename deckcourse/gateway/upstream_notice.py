"""Notices about itself that an upstream sends in response headers."""

from dataclasses import dataclass

__all__ = ["ANONYMOUS", "NOTHING_ASKED", "UpstreamNotice"]


@dataclass(frozen=True)
class UpstreamNotice:
    """Parsed notice headers of one response.

    `backoff` is the pause in seconds that the upstream requests from this process, 0 for none;
    `leaving` announces its shutdown; `malformed` marks headers that don't parse. `rate_limit` is
    the number of requests a second that it accepts from all processes together, None for no limit.
    `anonymous` marks a response that another upstream may have sent.
    """

    backoff: float = 0.0
    leaving: bool = False
    malformed: bool = False
    rate_limit: float | None = None
    anonymous: bool = False


NOTHING_ASKED = UpstreamNotice()
ANONYMOUS = UpstreamNotice(anonymous=True)

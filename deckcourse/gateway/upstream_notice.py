"""Notices about itself that an upstream sends in response headers."""

from dataclasses import dataclass

__all__ = ["ANONYMOUS", "NOTHING_ASKED", "NoticeOrigin", "UpstreamNotice"]


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


@dataclass(frozen=True)
class NoticeOrigin:
    """The response that carried a notice.

    `sent_at` is when its request was sent and `connected_at` when its connection was opened, both
    on trio's clock. `start` is the start time of its sender in milliseconds since the epoch, None
    if the response doesn't tell it. `is_control` marks the reply to a query or an order.
    """

    sent_at: float
    connected_at: float
    start: int | None = None
    is_control: bool = False


NOTHING_ASKED = UpstreamNotice()
ANONYMOUS = UpstreamNotice(anonymous=True)

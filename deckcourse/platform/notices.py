"""What a runner asks for in the head of an answer: a pause, a request rate, or that it leaves."""

import re
from collections.abc import Iterable

from deckcourse.gateway.upstream_notice import ANONYMOUS, UpstreamNotice
from deckcourse.http1.client import UpstreamReply
from deckcourse.platform.names import LEAVING, MISDIRECTED, RATE_LIMIT, RETRY_AFTER

__all__ = ["LONGEST_BACKOFF_SECONDS", "MAX_RATE", "notice_of"]

# A longer time is taken for so long, seconds: no queue needs more, and an upstream that asked for
# years by a fault of its own would serve nobody until its next start.
LONGEST_BACKOFF_SECONDS = 600.0
# A higher rate limit bounds nothing, requests a second.
MAX_RATE = 1e6
# A runner's refusals, which may tell for how long it wants nothing.
_REFUSALS = frozenset({429, 503})
_DECIMAL = re.compile(rb"\d{1,300}(\.\d{0,300})?|\.\d{1,300}")


def notice_of(reply: UpstreamReply) -> UpstreamNotice:
    """Return what the one that was asked asks for in turn; 421 may be anybody's answer."""
    if reply.status == MISDIRECTED:
        return ANONYMOUS
    leaving = [_flag(value) for name, value in reply.headers if name == LEAVING]
    asked: list[float | None] = []
    if reply.status in _REFUSALS:
        asked = [
            _decimal(value, LONGEST_BACKOFF_SECONDS)
            for name, value in reply.headers
            if name == RETRY_AFTER
        ]
    rates = [_decimal(value, MAX_RATE) for name, value in reply.headers if name == RATE_LIMIT]
    return UpstreamNotice(
        min(LONGEST_BACKOFF_SECONDS, _longest(asked)),
        any(leaving),
        None in leaving or None in asked or None in rates,
        min((each for each in rates if each is not None), default=None),
    )


def _longest(asked: Iterable[float | None]) -> float:
    """Return the longest of the times that can be read, 0 for none."""
    return max((each for each in asked if each is not None), default=0.0)


def _decimal(value: bytes, largest: float) -> float | None:
    """Return a decimal number, `largest` for one beyond it; None for a date or anything else."""
    text = value.strip()
    return min(largest, float(text)) if _DECIMAL.fullmatch(text) else None


def _flag(value: bytes) -> bool | None:
    """Return whether a flag is set; None for a value that is neither."""
    return {b"1": True, b"0": False}.get(value.strip())

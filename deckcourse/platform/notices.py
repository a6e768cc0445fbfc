"""Notices in the headers of a runner's reply: a backoff, a rate limit, or that it is leaving."""

import re
from collections.abc import Iterable

from deckcourse.gateway.upstream_notice import ANONYMOUS, UpstreamNotice
from deckcourse.http1.client import UpstreamReply
from deckcourse.platform.names import LEAVING, MISDIRECTED, RATE_LIMIT, RETRY_AFTER

__all__ = ["MAX_BACKOFF_SECONDS", "MAX_RATE", "parse_notice"]

# Longer backoffs are reduced to this. No queue needs more, and an upstream that asked for years by
# mistake would otherwise serve nobody until its next start.
MAX_BACKOFF_SECONDS = 600.0
# Higher rate limits, in requests per second, are reduced to this: they would not limit anything.
MAX_RATE = 1e6
# Statuses of refusals, which may ask for a backoff.
_REFUSAL_STATUSES = frozenset({429, 503})
_DECIMAL = re.compile(rb"\d{1,300}(\.\d{0,300})?|\.\d{1,300}")


def parse_notice(reply: UpstreamReply) -> UpstreamNotice:
    """Return the notice in a reply's headers, `ANONYMOUS` for a 421, which any runner may send."""
    if reply.status == MISDIRECTED:
        return ANONYMOUS
    leaving_flags = [_flag(value) for name, value in reply.headers if name == LEAVING]
    backoffs: list[float | None] = []
    if reply.status in _REFUSAL_STATUSES:
        backoffs = [
            _decimal(value, MAX_BACKOFF_SECONDS)
            for name, value in reply.headers
            if name == RETRY_AFTER
        ]
    rates = [_decimal(value, MAX_RATE) for name, value in reply.headers if name == RATE_LIMIT]
    return UpstreamNotice(
        min(MAX_BACKOFF_SECONDS, _max_backoff(backoffs)),
        any(leaving_flags),
        None in leaving_flags or None in backoffs or None in rates,
        min((each for each in rates if each is not None), default=None),
    )


def _max_backoff(backoffs: Iterable[float | None]) -> float:
    """Return the longest well-formed backoff, 0 if there is none."""
    return max((each for each in backoffs if each is not None), default=0.0)


def _decimal(value: bytes, maximum: float) -> float | None:
    """Return a decimal number, limited to `maximum`; None for a date or anything else."""
    text = value.strip()
    return min(maximum, float(text)) if _DECIMAL.fullmatch(text) else None


def _flag(value: bytes) -> bool | None:
    """Return whether a flag is set, None if its value is malformed."""
    return {b"1": True, b"0": False}.get(value.strip())

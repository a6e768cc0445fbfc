"""The results of one attempt of a plain call."""

from dataclasses import dataclass

from deckcourse.http1.message import Headers
from deckcourse.reasons import RetryReason

__all__ = ["LostAnswer", "RefusedCall", "UpstreamResponse"]


@dataclass(frozen=True)
class UpstreamResponse:
    """A complete response of an upstream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class RefusedCall:
    """No upstream executed the call."""

    reason: RetryReason
    message: str


@dataclass(frozen=True)
class LostAnswer:
    """The response was lost; the call may have been executed."""

    message: str

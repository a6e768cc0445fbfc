"""What is known of one stream while it is served, and the results of its attempts."""

from dataclasses import dataclass, field

import trio

from deckcourse.gateway.calls import Withheld
from deckcourse.gateway.stream_attempts import StreamAttempt
from deckcourse.http1.message import Headers
from deckcourse.reasons import RetryReason

__all__ = [
    "Attempt",
    "AttemptResult",
    "Broken",
    "Finished",
    "Refused",
    "Response",
    "StreamState",
]


@dataclass(frozen=True)
class Response:
    """A complete response of an upstream that is no stream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Finished:
    """The complete response was delivered to the caller."""

    status: int


@dataclass(frozen=True)
class Refused:
    """No upstream executed the request: no capacity, or layers missing or unreachable."""

    reason: RetryReason
    message: str


@dataclass(frozen=True)
class Broken:
    """The request was executed at least in part and can't continue on its path."""

    message: str


AttemptResult = Finished | Refused | Broken | Withheld
Attempt = StreamAttempt[AttemptResult]


@dataclass
class StreamState:
    """What the caller of one stream has got, and what its attempts have shown.

    `last_event` is the last event that the caller has, None if it has none, `progress_at` when it
    got it, or when the request arrived. `writing_since` is since when events are being written to
    the caller, None if none are. `has_events` tells whether any attempt has returned events.
    `avoided` are the upstreams that are used again only if there is no other path, `failed` those
    whose runs failed without an event. `failed_response` is the last failure that an upstream
    answered: told unless another attempt has an answer. Times are on trio's clock.
    """

    last_event: int | None
    arrived_at: float = field(default_factory=trio.current_time)
    progress_at: float = field(default_factory=trio.current_time)
    writing_since: float | None = None
    has_events: bool = False
    avoided: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)
    failed_response: Response | None = None
    unreachable_attempts: int = 0

"""The three outcomes that a caller is told, one frozen type each, and their HTTP form."""

from dataclasses import dataclass
from math import ceil

from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["Answered", "NotRun", "Outcome", "ResponseHead", "Unknown", "response_head"]

OUTCOME_HEADER = b"deckcourse-outcome"
REASON_HEADER = b"deckcourse-reason"
RETRY_AFTER_HEADER = b"retry-after"
# The public client library obeys this header: "false" keeps it from sending a request again.
SHOULD_RETRY_HEADER = b"x-should-retry"

NOT_RUN_STATUS = {
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.UNAUTHORIZED: 401,
    NotRunReason.NOT_FOUND: 404,
    NotRunReason.TOO_LARGE: 413,
    NotRunReason.KEY_REUSED: 422,
    NotRunReason.ACCOUNT_LIMIT: 429,
    NotRunReason.OVERLOADED: 429,
}
NOT_RUN_DEFAULT_STATUS = 503
UNKNOWN_STATUS = {
    UnknownReason.DEADLINE_PASSED: 504,
    UnknownReason.STOPPING: 504,
    UnknownReason.IN_PROGRESS: 409,
}
UNKNOWN_DEFAULT_STATUS = 502
# Sending the same request again can't help with these, whenever it is done.
FINAL_REFUSALS = frozenset(
    {
        NotRunReason.BAD_REQUEST,
        NotRunReason.UNAUTHORIZED,
        NotRunReason.NOT_FOUND,
        NotRunReason.TOO_LARGE,
        NotRunReason.KEY_REUSED,
    }
)


@dataclass(frozen=True)
class Answered:
    """The whole answer was delivered.

    `tokens` counts those of the answer; `status` and `body` are those of a plain service.
    """

    tokens: int = 0
    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"


@dataclass(frozen=True)
class NotRun:
    """No upstream ran any part of the request, and none will.

    `retry_after` is in seconds from now, measured from the queue and its drain rate; 0 means
    that a repeat is pointless.
    """

    reason: NotRunReason
    message: str
    retry_after: float = 1.0


@dataclass(frozen=True)
class Unknown:
    """The request may have run in part or whole; `repeatable` tells if a repeat does harm."""

    reason: UnknownReason
    message: str
    repeatable: bool = True
    retry_after: float = 1.0


Outcome = Answered | NotRun | Unknown


@dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an HTTP response."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


def response_head(outcome: NotRun | Unknown, fractions: bool = False) -> ResponseHead:
    """Return the HTTP form of an outcome that is no answer.

    Args:
      outcome: what happened.
      fractions: whether the time to come back may be told in fractions of a second.
    """
    if isinstance(outcome, NotRun):
        return _not_run_head(outcome, fractions)
    headers = [(OUTCOME_HEADER, b"unknown"), (REASON_HEADER, outcome.reason.encode())]
    if outcome.repeatable:
        headers.append((RETRY_AFTER_HEADER, _seconds(outcome.retry_after, fractions)))
    else:
        headers.append((SHOULD_RETRY_HEADER, b"false"))
    status = UNKNOWN_STATUS.get(outcome.reason, UNKNOWN_DEFAULT_STATUS)
    return ResponseHead(status, tuple(headers))


def _not_run_head(outcome: NotRun, fractions: bool) -> ResponseHead:
    headers = [(OUTCOME_HEADER, b"not-run"), (REASON_HEADER, outcome.reason.encode())]
    if outcome.reason in FINAL_REFUSALS:
        headers.append((SHOULD_RETRY_HEADER, b"false"))
    else:
        headers.append((RETRY_AFTER_HEADER, _seconds(outcome.retry_after, fractions)))
    status = NOT_RUN_STATUS.get(outcome.reason, NOT_RUN_DEFAULT_STATUS)
    return ResponseHead(status, tuple(headers))


def _seconds(seconds: float, fractions: bool) -> bytes:
    if fractions:
        return f"{seconds:.2f}".encode()
    return str(max(1, ceil(seconds))).encode()

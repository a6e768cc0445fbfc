"""The reasons for a refusal, an unknown outcome and a retry: one member, one counter each."""

from enum import StrEnum

__all__ = ["NotRunReason", "RetryReason", "UnknownReason"]


class NotRunReason(StrEnum):
    """Why a request was not run; the value is the counter `refused.VALUE`."""

    BAD_REQUEST = "bad-request"
    UNAUTHORIZED = "unauthorized"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    KEY_REUSED = "key-reused"
    ACCOUNT_LIMIT = "account-limit"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    NO_ROUTE = "no-route"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_BACKOFF = "upstream-backoff"
    UPSTREAM_UNREACHABLE = "upstream-unreachable"
    ENDS_UPSTREAMS = "ends-upstreams"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    RETRY_BUDGET = "retry-budget"
    NOT_READY = "not-ready"
    STOPPING = "stopping"
    NO_ROOM = "no-room"


class UnknownReason(StrEnum):
    """Why nobody can say whether a request ran; the value is the counter `unknown.VALUE`."""

    UPSTREAM_LOST = "upstream-lost"
    ENDS_UPSTREAMS = "ends-upstreams"
    DEADLINE_PASSED = "deadline-passed"
    RETRY_BUDGET = "retry-budget"
    CALLER_GONE = "caller-gone"
    CALLER_SLOW = "caller-slow"
    HELD_BYTES = "held-bytes"
    STOPPING = "stopping"
    INTERNAL_ERROR = "internal-error"
    IN_PROGRESS = "in-progress"
    HOLDER_GONE = "holder-gone"


class RetryReason(StrEnum):
    """Why an upstream was tried again; the value is the counter `retry.VALUE`."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    FENCED = "fenced"
    STAGE_LOST = "stage-lost"
    STAGE_STALLED = "stage-stalled"
    BAD_FRAME = "bad-frame"
    REPLY_LOST = "reply-lost"

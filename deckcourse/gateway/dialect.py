"""The gateway's view of requests, responses and control messages, independent of their encoding."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from deckcourse.gateway.upstream import StartOrder, Upstream
from deckcourse.gateway.upstream_notice import NOTHING_ASKED, NoticeOrigin, UpstreamNotice
from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import Headers, IncomingRequest
from deckcourse.layers.paths import LayerPath
from deckcourse.peers.purpose import Purpose

__all__ = [
    "CallerRequest",
    "Dialect",
    "Dispatch",
    "LoadReport",
    "MoveResult",
    "NoticeListener",
    "ProbeReply",
    "ProbeResult",
    "ReplyFacts",
    "StallReport",
    "StreamControl",
]


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request with its parsed headers and its timeout, if any.

    `prompt_tokens` is the size of its prompt, `max_answer_tokens` the longest answer that it allows
    and `answer_tokens` the caller's estimate of the answer, often far off; 0 if not stated.
    `shared_parts` are the parts of its prompt that other requests may share, each by its name.
    """

    message: IncomingRequest
    request_id: str
    host: str
    path: str
    key: str
    timeout_seconds: float | None
    last_event: int | None
    prompt_tokens: int = 0
    max_answer_tokens: int = 0
    answer_tokens: int = 0
    shared_parts: tuple[bytes, ...] = ()


@dataclass(frozen=True)
class Dispatch:
    """One attempt of a request at an upstream.

    `remaining_seconds` is the time left until its deadline.
    """

    instance: str
    remaining_seconds: float
    account: str = ""
    priority: int | None = None
    path: LayerPath | None = None
    last_event: int | None = None


@dataclass(frozen=True)
class ReplyFacts:
    """The parsed headers of a response.

    `not_executed` is set if the upstream guarantees that it did not execute the request.
    `failed_address` is the address of the upstream that could not execute its stage, empty for the
    one addressed. `notice` is the notice of the upstream that responded.
    """

    request_id: str
    not_executed: bool
    failed_address: str
    notice: UpstreamNotice = NOTHING_ASKED


@dataclass(frozen=True)
class StallReport:
    """The stalled requests at the first stage of their paths, with their blocking upstreams.

    `blocking_addresses` maps request ids to addresses. `pace` is that of the first stage, as in
    `ProbeReply`. `was_sent` is false if its rate limit left no token for the query.
    """

    blocking_addresses: Mapping[str, str]
    pace: float = 1.0
    was_sent: bool = True


class ProbeResult(StrEnum):
    """The result of a probe.

    ALIVE if the upstream replied, DEAD if its machine refused the connection, SILENT for no reply,
    NOT_SENT if its rate limit left no token for the probe.
    """

    ALIVE = "alive"
    DEAD = "dead"
    SILENT = "silent"
    NOT_SENT = "unasked"


@dataclass(frozen=True)
class ProbeReply:
    """An upstream's reply to a probe.

    `pace` is its slowdown factor, 1 for its usual speed. `is_identified` is set if the reply is a
    valid report of the addressed incarnation; other replies only show that something answers.
    """

    result: ProbeResult
    pace: float = 1.0
    is_identified: bool = False


@dataclass(frozen=True)
class LoadReport:
    """The load of an upstream: its requests, and its KV cache in tokens times layers."""

    running: int
    queued: int
    cache_used: int
    cache_total: int


class MoveResult(StrEnum):
    """The reply of the first stage to a move of a running request to another path."""

    MOVED = "moved"
    UNKNOWN_REQUEST = "unknown-request"
    STAGE_MISSING = "part-missing"
    UNANSWERED = "unanswered"


class NoticeListener(Protocol):
    """Applies the notice of an instance in the headers of a response."""

    def __call__(self, instance: str, notice: UpstreamNotice, origin: NoticeOrigin) -> None:
        """Apply the notice; see `NoticeIntake.apply`."""


class Dialect(Protocol):
    """Parses and writes the headers of requests and responses."""

    def read(self, message: IncomingRequest) -> CallerRequest:
        """Return a caller's request with its parsed headers."""

    def headers_for(self, request: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers of a request for an attempt at an upstream."""

    def facts(self, reply: UpstreamReply) -> ReplyFacts:
        """Return the parsed headers of a response."""


class StreamControl(Protocol):
    """Sends queries and orders about streams to upstreams.

    A reply from another incarnation than the addressed one doesn't count as a reply.
    """

    def set_start_observer(self, judge: Callable[[Upstream, int], StartOrder]) -> None:
        """Register the callback for the start time in each reply, also to orders."""

    def set_notice_listener(self, listener: NoticeListener) -> None:
        """Register the listener for notices in replies to queries and orders."""

    def set_admission_check(self, admission: Callable[[str, Purpose], Awaitable[bool]]) -> None:
        """Register the admission check for queries and orders."""

    async def query_stalled(self, upstream: Upstream) -> StallReport | None:
        """Query the stalled requests whose first stage is an upstream; None if unanswered."""

    async def query_load(self, upstream: Upstream) -> LoadReport | None:
        """Query the load of an upstream; None if unanswered."""

    async def probe(self, upstream: Upstream, seconds: float, afresh: bool = False) -> ProbeReply:
        """Probe an upstream with a query; DEAD if its machine refuses connections.

        Args:
          upstream: the upstream.
          seconds: the timeout.
          afresh: whether to open a new connection for it.
        """

    async def probe_connection(
        self, upstream: Upstream, seconds: float, quiet_seconds: float = 0.01
    ) -> ProbeResult:
        """Probe an upstream by connecting only: it might run a query as a request.

        DEAD if its machine refuses connections, SILENT if a connection is closed at once: a proxy
        in front of the upstream may accept connections for it.

        Args:
          upstream: the upstream.
          seconds: the timeout.
          quiet_seconds: the time within which such a proxy closes a connection.
        """

    async def probe_health(
        self, upstream: Upstream, health_path: str, seconds: float
    ) -> ProbeResult:
        """Probe an upstream by its health path.

        ALIVE only if the reply names the same incarnation, DEAD if it names another one or the
        machine refuses connections, SILENT if it names none.

        Args:
          upstream: the upstream.
          health_path: the path, as its service states it.
          seconds: the timeout.
        """

    async def move(
        self, upstream: Upstream, request_id: str, path: LayerPath
    ) -> tuple[MoveResult, str]:
        """Move a running request to another path; return the missing stage's address, if any."""

"""What the gateway needs to know of the messages it passes on, apart from their spelling."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from deckcourse.gateway.upstream import StartNews, Upstream
from deckcourse.gateway.upstream_notice import NOTHING_ASKED, UpstreamNotice
from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import Headers
from deckcourse.http1.server import IncomingRequest
from deckcourse.layers.paths import LayerPath
from deckcourse.peers.purpose import Purpose

__all__ = [
    "CallerRequest",
    "Dialect",
    "Dispatch",
    "LoadReport",
    "MoveResult",
    "NoticeListener",
    "Pulse",
    "PulseReading",
    "ReplyFacts",
    "StallReport",
    "StreamControl",
]


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request with what its headers say; `patience` in seconds, None for no word."""

    message: IncomingRequest
    request_id: str
    host: str
    path: str
    key: str
    patience: float | None
    last_event: int | None


@dataclass(frozen=True)
class Dispatch:
    """One sending of a request to one upstream; `seconds` is what is left of its time."""

    instance: str
    seconds: float
    account: str = ""
    priority: int | None = None
    path: LayerPath | None = None
    last_event: int | None = None


@dataclass(frozen=True)
class ReplyFacts:
    """What the head of an answer says.

    `not_run` is the upstream's promise; `at_fault` the address of the one that could not take its
    part, empty where it's the one that was asked; `notice` what the one that answered asks for.
    """

    request_id: str
    not_run: bool
    at_fault: str
    notice: UpstreamNotice = NOTHING_ASKED


@dataclass(frozen=True)
class StallReport:
    """The requests that wait at the first upstream of their path, each with whom it waits for.

    `pace` is that of the first upstream, as in `PulseReading`. `asked` is false if its rate
    limit left no token for the question.
    """

    waiting_for: Mapping[str, str]
    pace: float = 1.0
    asked: bool = True


class Pulse(StrEnum):
    """How an upstream answered when it was asked whether it is there.

    UNASKED if its rate limit left no token for the question.
    """

    ALIVE = "alive"
    DEAD = "dead"
    SILENT = "silent"
    UNASKED = "unasked"


@dataclass(frozen=True)
class PulseReading:
    """An upstream's answer; `pace` over 1 says how many times slower than usual it works."""

    pulse: Pulse
    pace: float = 1.0


@dataclass(frozen=True)
class LoadReport:
    """What an upstream has to do: requests, and tokens times layers of KV cache."""

    running: int
    queued: int
    cache_used: int
    cache_total: int


class MoveResult(StrEnum):
    """What the first upstream said to a new path of a running request."""

    MOVED = "moved"
    UNKNOWN_REQUEST = "unknown-request"
    PART_MISSING = "part-missing"
    UNANSWERED = "unanswered"


class NoticeListener(Protocol):
    """Applies what an instance says of itself in the head of an answer."""

    def __call__(
        self, instance: str, notice: UpstreamNotice, sent_at: float, is_question: bool
    ) -> None:
        """Apply it; see `NoticeIntake.apply`."""


class Dialect(Protocol):
    """Reads and writes the headers of requests and answers."""

    def read(self, message: IncomingRequest) -> CallerRequest:
        """Return what a caller's headers say."""

    def headers_for(self, request: CallerRequest, dispatch: Dispatch) -> Headers:
        """Return the headers with which a request goes to an upstream."""

    def facts(self, reply: UpstreamReply) -> ReplyFacts:
        """Return what the head of an answer says."""


class StreamControl(Protocol):
    """Asks an upstream about its streams, and moves them.

    What another start of the upstream says than the one that was asked is no answer about it.
    """

    def judge_starts(self, judge: Callable[[Upstream, int], StartNews]) -> None:
        """Have the start that each answer tells judged, that of answers to orders too."""

    def listen(self, listener: NoticeListener) -> None:
        """Register the listener for notices in answers to questions and orders."""

    def admit(self, admission: Callable[[str, Purpose], Awaitable[bool]]) -> None:
        """Register the admission check for questions and orders."""

    async def stalled(self, upstream: Upstream) -> StallReport | None:
        """Return the requests that wait at the first upstream of their path, None unanswered."""

    async def load(self, upstream: Upstream) -> LoadReport | None:
        """Return what an upstream has to do, None unanswered."""

    async def pulse(self, upstream: Upstream, seconds: float) -> PulseReading:
        """Ask an upstream whether it is there; DEAD if its machine turns connections down."""

    async def reach(self, upstream: Upstream, seconds: float) -> Pulse:
        """Return whether an upstream takes connections; nothing is sent, which it might run.

        DEAD if its machine turns connections down, SILENT if one that it took ended at once: what
        stands before an upstream may take connections for it.
        """

    async def move(
        self, upstream: Upstream, request_id: str, path: LayerPath
    ) -> tuple[MoveResult, str]:
        """Give a running request another path; the address at fault comes with PART_MISSING."""

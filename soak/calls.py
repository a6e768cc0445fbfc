"""One call of a caller: its result, and the checks of its answer."""

from dataclasses import dataclass, field
from enum import StrEnum
from os.path import commonprefix

from soak.events import EVENTS_PER_STREAM, events
from soak.reader import AnswerReader, MalformedAnswerError
from soak.sent_request import SentRequest

__all__ = ["Call", "Ending"]

OK = 200
STREAM_ROUTES = ("stream", "fragile")
EVENT_END = b"\n\n"
# The length to which the bytes of a wrong body are cut in messages.
MAX_SHOWN_BYTES = 120


class Ending(StrEnum):
    """How a call ended, as its caller saw it.

    An unfinished one was given up at its deadline, or never began. A refused one reached a proxy
    whose target took no connection.
    """

    UNFINISHED = "unfinished"
    ANSWERED = "answered"
    CLOSED = "closed"
    RESET = "reset"
    REFUSED = "refused"
    DISCONNECTED = "disconnected by the caller"


@dataclass
class Call:
    """One request and its result.

    `pad_bytes` is the number of bytes by which its events are longer, `number_on_connection` counts
    the requests on its connection. `has_disconnected` says that the caller closed the connection
    before the end, `parse_error` why the answer is malformed. `whole_sent_at` is when the last byte
    of the request had been sent, `reached_entry_at` when a proxy had passed it on, infinity if it
    never did, `ended_at` when its connection ended or its answer was complete. The soak
    itself may have seen that end `late_seconds` too late.
    The caller didn't read for `paused_seconds` in between. `longest_gap_seconds` is the longest
    time in which no byte came to it. `port` is the caller's, `request` what it began to send, None
    if it never did. A runner works for `work_seconds` before its answer. `route_name` is the route
    if it is not `route` itself but one like it. `limit_seconds` is the shortest timeout that a
    state in force may have given the request, if it is known.
    """

    request_id: str
    route: str
    key: str
    sent_at: float
    pad_bytes: int = 0
    entry: str = ""
    number_on_connection: int = 0
    answer: AnswerReader = field(default_factory=AnswerReader)
    parse_error: str = ""
    has_disconnected: bool = False
    duration_seconds: float = 0.0
    ending: Ending = Ending.UNFINISHED
    whole_sent_at: float = float("inf")
    reached_entry_at: float = float("-inf")
    late_seconds: float = 0.0
    ended_at: float = float("inf")
    received_bytes: int = 0
    paused_seconds: float = 0.0
    longest_gap_seconds: float = 0.0
    port: int = 0
    request: SentRequest | None = None
    work_seconds: float = 0.0
    route_name: str = ""
    limit_seconds: float = float("inf")

    @property
    def path(self) -> str:
        """The path of the route, as desired states name it."""
        return self.route_name or self.route

    @property
    def caller(self) -> str:
        """The name of the caller, which all its requests have."""
        return self.request_id.partition("r")[0]

    @property
    def was_cut(self) -> bool:
        """Whether the connection ended after the whole request and before a whole answer."""
        was_ended = self.ending in (Ending.CLOSED, Ending.RESET)
        return was_ended and self.whole_sent_at < self.ended_at

    @property
    def status(self) -> int:
        """The status of the answer, or 0 if there was none."""
        return self.answer.status

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete."""
        return self.answer.is_complete

    @property
    def is_served(self) -> bool:
        """Whether the caller received a complete, well-formed answer with status 200."""
        return self.is_complete and self.status == OK and not self.parse_error

    @property
    def description(self) -> str:
        """The call as it is described in reports, with what identifies it in the logs."""
        return (
            f"{self.request_id} ({self.path}, request {self.number_on_connection}"
            f" on its connection to {self.entry})"
        )

    def feed(self, data: bytes) -> bool:
        """Parse bytes of the answer; return whether they are well-formed."""
        try:
            self.answer.feed(data)
        except MalformedAnswerError as error:
            self.parse_error = str(error)
        return not self.parse_error

    def find_violation(self) -> str | None:
        """Return the guarantee that the answer itself violates, or None."""
        if self.parse_error:
            return f"{self.description}: no HTTP answer: {self.parse_error}"
        violation = self._check_head() or self._check_body()
        return f"{self.description}: {violation}" if violation else None

    def _check_head(self) -> str | None:
        """Return the value in the head that belongs to another request, or None.

        An incomplete head isn't checked.
        """
        answer = self.answer
        if not answer.is_head_complete:
            return None
        try:
            request = answer.header(b"x-request-id")
            seal = answer.header(b"x-response-seal")
        except MalformedAnswerError as error:
            return str(error)
        if request != self.request_id.encode() and (request or self.status == OK):
            return f"the answer carries the request id {request!r}"
        if seal != b"seal-" + self.request_id.encode() and (seal or self.status == OK):
            return f"the answer carries the seal {seal!r}"
        if seal and self.status != OK:
            # Runners of the soak seal only their answers with 200.
            return f"the answer with status {self.status} carries the seal of an answer with 200"
        return None

    def _check_body(self) -> str | None:
        if self.status != OK:
            return None
        is_stream = self.route in ("stream", "fragile")
        expected = (
            events(self.request_id, self.pad_bytes)
            if is_stream
            else f"answer to {self.request_id}".encode()
        )
        body = bytes(self.answer.body)
        if not expected.startswith(body):
            at = len(commonprefix([expected, body]))
            return f"lost, doubled, mixed or broken at byte {at}: {body[at:][:MAX_SHOWN_BYTES]!r}"
        if self.is_complete and body != expected:
            return f"ended as whole after {body.count(EVENT_END)} of {EVENTS_PER_STREAM} events"
        framed_body = body[: self.answer.framed_bytes]
        if is_stream and framed_body and not framed_body.endswith(EVENT_END):
            return f"a part of an event went on: {framed_body[-MAX_SHOWN_BYTES:]!r}"
        return None

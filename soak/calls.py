"""One call of a caller: its result, and the checks of its answer."""

from dataclasses import dataclass, field
from os.path import commonprefix

from soak.events import EVENTS_PER_STREAM, events
from soak.reader import AnswerReader, UnreadableError

__all__ = ["Call"]

OK = 200
EVENT_END = b"\n\n"
# The length to which the bytes of a wrong body are cut in messages.
SHOWN_BYTES = 120


@dataclass
class Call:
    """One request and its result.

    `name` is the request id, `kind` the route and `pad` the number of bytes by which its events are
    longer. `number` counts the requests on its connection. `has_disconnected` says that the caller
    closed the connection before the end, `parse_error` why the answer is malformed.
    """

    name: str
    kind: str
    key: str
    sent_at: float
    pad: int = 0
    entry: str = ""
    number: int = 0
    answer: AnswerReader = field(default_factory=AnswerReader)
    unreadable: str = ""
    left: bool = False
    seconds: float = 0.0

    @property
    def status(self) -> int:
        """The status of the answer, or 0 if there was none."""
        return self.answer.status

    @property
    def whole(self) -> bool:
        """Whether the answer is complete."""
        return self.answer.whole

    @property
    def served(self) -> bool:
        """Whether the caller received a complete, well-formed answer with status 200."""
        return self.whole and self.status == OK and not self.unreadable

    @property
    def place(self) -> str:
        """The call as it is described in reports, with what identifies it in the logs."""
        return f"{self.name} ({self.kind}, request {self.number} on its connection to {self.entry})"

    def feed(self, data: bytes) -> bool:
        """Parse bytes of the answer; return whether they are well-formed."""
        try:
            self.answer.feed(data)
        except UnreadableError as error:
            self.unreadable = str(error)
        return not self.unreadable

    def wrong(self) -> str | None:
        """Return the guarantee that the answer itself violates, or None."""
        if self.unreadable:
            return f"{self.place}: no HTTP answer: {self.unreadable}"
        wrong = self._wrong_head() or self._wrong_body()
        return f"{self.place}: {wrong}" if wrong else None

    def _wrong_head(self) -> str | None:
        """Return the value in the head that belongs to another request, or None.

        An incomplete head isn't checked.
        """
        answer = self.answer
        if not answer.head_whole:
            return None
        try:
            request = answer.header(b"x-request-id")
            seal = answer.header(b"x-response-seal")
        except UnreadableError as error:
            return str(error)
        if request != self.name.encode() and (request or self.status == OK):
            return f"the answer carries the request id {request!r}"
        if seal != b"seal-" + self.name.encode() and (seal or self.status == OK):
            return f"the answer carries the seal {seal!r}"
        return None

    def _wrong_body(self) -> str | None:
        if self.status != OK:
            return None
        stream = self.kind in ("stream", "fragile")
        due = events(self.name, self.pad) if stream else f"answer to {self.name}".encode()
        body = bytes(self.answer.body)
        if not due.startswith(body):
            at = len(commonprefix([due, body]))
            return f"lost, doubled, mixed or broken at byte {at}: {body[at:][:SHOWN_BYTES]!r}"
        if self.whole and body != due:
            return f"ended as whole after {body.count(EVENT_END)} of {EVENTS_PER_STREAM} events"
        settled = body[: self.answer.settled]
        if stream and settled and not settled.endswith(EVENT_END):
            return f"a part of an event went on: {settled[-SHOWN_BYTES:]!r}"
        return None

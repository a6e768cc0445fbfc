"""Connections to upstreams over h11."""

import re
from collections import deque
from collections.abc import Callable
from time import perf_counter

import h11
import trio

from deckcourse.http1.message import (
    MAX_BODY_BYTES,
    READ_BYTES,
    ConnectionLostError,
    FailureKind,
    Headers,
    header_value,
)
from deckcourse.http1.pieces import PieceLane, PieceMeter
from deckcourse.http1.transport import Transport

__all__ = [
    "UNNAMED_CALL",
    "MAX_REMEMBERED_CALLS",
    "UpstreamConnection",
    "UpstreamReply",
]

# How long an idle connection is kept if the upstream sends no Keep-Alive timeout.
DEFAULT_IDLE_TIMEOUT_SECONDS = 20.0
# An upstream's Keep-Alive timeout is given in whole seconds; its connections are dropped this much
# earlier.
IDLE_MARGIN_SECONDS = 0.6
# An upstream may send an answer a second time, in place of a later one on the same connection. An
# answer is recognized as a duplicate if it belongs to one of this many recent calls, and at most
# this many duplicates in a row are skipped.
MAX_REMEMBERED_CALLS = 8
# A duplicate answer arrives in one piece. One that is not complete this long after its head may
# have no end, and would hide the answer that follows it.
DUPLICATE_TIMEOUT_SECONDS = 0.03
# The name of calls whose answers carry no request id.
UNNAMED_CALL = ""
# Largest size of all interim answers before an answer: they count as parts of its head, and h11
# bounds that by as much.
MAX_INTERIM_BYTES = 16 * 1024
# A status line without a reason, and the empty line that ends a head.
MIN_HEAD_BYTES = 16
# What separates a field's name and value, and fields.
FIELD_BYTES = 4
# Numbers above are no status (RFC 9110, section 15); the parser refuses those below 100.
MAX_STATUS = 599
# Answers that end with their head.
BODILESS_STATUSES = frozenset({204, 304})
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")

# What the parser returns.
_Parsed = h11.Event | type[h11.NEED_DATA]


class UpstreamReply:
    """The head of an answer, and its body as it arrives."""

    def __init__(self, status: int, headers: Headers, connection: "UpstreamConnection") -> None:
        self.status = status
        self.headers = headers
        self._connection = connection

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether bytes arrived after the complete answer."""
        return self._connection.has_trailing_bytes

    @property
    def is_framed(self) -> bool:
        """Whether the end of the body is marked by a length or chunks."""
        return any(name in _FRAMING for name, _ in self.headers)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection will mark the end of the body."""
        return not self.is_framed and self.status not in BODILESS_STATUSES

    @property
    def ended_with_connection(self) -> bool:
        """Whether only the end of the connection marked the end of the body."""
        return not self.is_framed and self._connection.has_ended

    @property
    def connection(self) -> "UpstreamConnection":
        """The connection that the answer came on."""
        return self._connection

    def new_meter(self) -> PieceMeter:
        """Return a meter for the pieces that the body consists of, such as events."""
        return self._connection.new_meter()

    async def next_data(self) -> bytes | None:
        """Return the next bytes of the body, None after its proper end.

        Raises:
          ConnectionLostError: the body was cut off.
        """
        return await self._connection.next_data()

    async def read_body(self, on_data: Callable[[int], None] = lambda count: None) -> bytes:
        """Return the whole body.

        Args:
          on_data: called with the number of bytes that arrived.

        Raises:
          ConnectionLostError: the body was cut off or exceeds MAX_BODY_BYTES.
        """
        body = bytearray()
        while (data := await self.next_data()) is not None:
            body += data
            on_data(len(data))
            if len(body) > MAX_BODY_BYTES:
                raise ConnectionLostError(FailureKind.MALFORMED, "the answer is too large to keep")
        return bytes(body)


class UpstreamConnection:
    """A connection to an upstream, for one call at a time.

    Args:
      address: the address of the upstream.
      transport: sends and receives bytes.
      lane: shared with other connections whose answers come in small pieces.
    """

    def __init__(self, address: str, transport: Transport, lane: PieceLane | None = None) -> None:
        self.address = address
        self._transport = transport
        self._lane = lane or PieceLane()
        self._pieces = PieceMeter(self._lane)
        self._h11 = h11.Connection(h11.CLIENT)
        self._closing = False
        self._ended = False
        self._idle_timeout_seconds = DEFAULT_IDLE_TIMEOUT_SECONDS
        self._parked_at = 0.0
        self._idle_deadline = 0.0
        self._recent_calls: deque[str] = deque(maxlen=MAX_REMEMBERED_CALLS)
        self._request_events: tuple[h11.Event, ...] = ()
        # What the parser gave after the data that were handed out last.
        self._parsed: _Parsed | h11.RemoteProtocolError | None = None
        self._opened_at = self._heard_at = trio.current_time()
        self._aborted = False

    @property
    def opened_at(self) -> float:
        """When the connection was established, on trio's clock."""
        return self._opened_at

    @property
    def heard_at(self) -> float:
        """When the upstream last accepted the connection or sent bytes on it, on trio's clock."""
        return self._heard_at

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection, as far as this host knows."""
        return not (self._aborted or self._ended) and self._transport.is_open()

    @property
    def has_ended(self) -> bool:
        """Whether the upstream has closed the connection in good order."""
        return self._ended

    @property
    def has_trailing_bytes(self) -> bool:
        """Whether bytes arrived after the most recent answer."""
        return bool(self._h11.trailing_data[0])

    def record_call(self, name: str) -> None:
        """Remember a call by the request id that its answer carries, or as UNNAMED_CALL."""
        self._recent_calls.append(name)

    def has_recent_call(self, name: str) -> bool:
        """Return whether a recent call had this name: a duplicate of its answer may arrive."""
        return name in self._recent_calls

    @property
    def has_unpaid_pieces(self) -> bool:
        """Whether the answer has had more small pieces so far than its bytes and a pace pay for."""
        return self._pieces.has_unpaid_pieces

    def new_meter(self) -> PieceMeter:
        """See `UpstreamReply.new_meter`."""
        return PieceMeter(self._lane)

    def close_after_call(self) -> None:
        """Close the connection after the current call."""
        self._closing = True

    async def call(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        on_sent: Callable[[], None] = lambda: None,
    ) -> UpstreamReply:
        """Send a request and return the head of its answer.

        Args:
          method: the method.
          target: the path and query.
          headers: the headers.
          body: the body.
          on_sent: called once the upstream's host has taken the whole request.

        Raises:
          ConnectionLostError: UNSENT if the request is invalid, LOST once a byte may have been
            sent, MALFORMED if the received bytes are not a valid answer.
        """
        try:
            head = h11.Request(method=method, target=target, headers=list(headers))
            content = (h11.Data(data=body),) if body else ()
            self._request_events = (head, *content, h11.EndOfMessage())
            data = self._request_bytes()
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(FailureKind.UNSENT, str(error)) from error
        try:
            await self._transport.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(FailureKind.LOST, _error_text(error)) from error
        del data  # Otherwise large requests are held twice until their answers begin.
        on_sent()
        return await self._read_head()

    def _request_bytes(self) -> bytes:
        return b"".join(self._h11.send(each) or b"" for each in self._request_events)

    async def next_reply(self) -> UpstreamReply:
        """Skip the current answer, which is a duplicate, and return the head of the next one.

        Raises:
          ConnectionLostError: as `call`; also MALFORMED if the skipped answer is incomplete or the
            last one on the connection.
        """
        with trio.move_on_after(DUPLICATE_TIMEOUT_SECONDS):
            while await self.next_data() is not None:
                pass
        self._parsed = None
        try:
            self._h11.start_next_cycle()
            self._request_bytes()  # Already sent by `call`; h11 must expect an answer again.
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(FailureKind.MALFORMED, str(error)) from error
        return await self._read_head()

    async def _read_head(self) -> UpstreamReply:
        self._pieces.start_message()
        interim_bytes = 0
        while True:
            event = await self._next_event()
            if _is_merged(event):
                raise ConnectionLostError(FailureKind.MALFORMED, "a head inside another one")
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    message = f"{event.status_code} is not a status"
                    raise ConnectionLostError(FailureKind.MALFORMED, message)
                headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
                self._read_keep_alive(headers)
                return UpstreamReply(event.status_code, headers, self)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(FailureKind.LOST, "closed without an answer")
            interim_bytes += _size(event)
            if interim_bytes > MAX_INTERIM_BYTES:
                raise ConnectionLostError(FailureKind.MALFORMED, "interim answers do not end")

    def _read_keep_alive(self, headers: Headers) -> None:
        if b"close" in header_value(headers, b"connection").lower():
            self._closing = True
        for parameter in header_value(headers, b"keep-alive").split(b","):
            name, _, value = parameter.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self._idle_timeout_seconds = float(value) - IDLE_MARGIN_SECONDS

    async def next_data(self) -> bytes | None:
        """See `UpstreamReply.next_data`."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return self._join_received(event)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError(FailureKind.LOST, "the answer broke off")

    def _join_received(self, first: h11.Data) -> bytes:
        """Return data with those received with them: to pass on each chunk alone costs far more."""
        pieces = [bytes(first.data)]
        while self._parsed is None and not self._pieces.is_turn_over:
            began_at = perf_counter()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                event = error
            else:
                self._note(event, began_at)
            if isinstance(event, h11.Data):
                pieces.append(bytes(event.data))
            else:
                self._parsed = event
        return b"".join(pieces)

    async def _next_event(self) -> h11.Event:
        # Before the event is taken from the parser: the caller may give up the wait.
        await self._pieces.let_others_run()
        if self._pieces.is_exceeded:
            raise ConnectionLostError(FailureKind.MALFORMED, "too many pieces of a few bytes")
        try:
            while True:
                event, self._parsed = self._parsed, None
                if event is None:
                    began_at = perf_counter()
                    event = self._h11.next_event()
                    self._note(event, began_at)
                if isinstance(event, h11.RemoteProtocolError):
                    raise event
                if event is not h11.NEED_DATA:
                    return event
                waits_since = trio.current_time()
                data = await self._transport.receive_some(READ_BYTES)
                self._ended = not data
                self._heard_at = trio.current_time()
                self._pieces.note_wait(self._heard_at - waits_since)
                self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            kind = FailureKind.LOST if self._ended else FailureKind.MALFORMED
            raise ConnectionLostError(kind, str(error)) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(FailureKind.LOST, _error_text(error)) from error

    def _note(self, event: _Parsed, began_at: float) -> None:
        if event is not h11.NEED_DATA:
            self._pieces.note(_size(event), began_at)

    def is_reusable(self) -> bool:
        """Return whether another call may follow: answer read to its end, no trailing bytes."""
        if self._closing or self._ended or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE or self.has_trailing_bytes:
            return False
        return self._idle_timeout_seconds > 0

    def park(self) -> None:
        """Prepare for the next call, unless there was none yet, and start the idle time."""
        self._request_events = ()
        self._parsed = None
        if self._h11.our_state is h11.DONE:
            self._h11.start_next_cycle()
        self._parked_at = trio.current_time()
        self._idle_deadline = self._parked_at + self._idle_timeout_seconds

    def is_usable(self, max_idle_seconds: float) -> bool:
        """Return whether an idle connection may be used: not expired, not closed, no unread bytes.

        Args:
          max_idle_seconds: how long it may have been idle.
        """
        now = trio.current_time()
        if now >= self._idle_deadline or now - self._parked_at > max_idle_seconds:
            return False
        return not self._transport.readable()

    def is_quiet(self) -> bool:
        """Return whether no bytes and no close of the peer are waiting to be read."""
        return not self._transport.readable()

    def abort(self) -> None:
        """Close without waiting; the upstream notices and stops the execution of the call."""
        self._aborted = True
        self._transport.close()


def _size(event: h11.Event) -> int:
    """Return about how many bytes an event has on the wire."""
    if isinstance(event, h11.Data):
        return len(event.data)
    if isinstance(event, h11.Response | h11.InformationalResponse):
        fields = sum(len(name) + len(value) + FIELD_BYTES for name, value in event.headers)
        return MIN_HEAD_BYTES + len(event.reason) + fields
    return 0


def _is_merged(event: h11.Event) -> bool:
    """Return whether a response head contains the beginning of another one.

    Trailing bytes of an earlier answer may end inside a head. The answer that follows would get the
    status of that head, which may say that the request was not executed.
    """
    if not isinstance(event, h11.Response | h11.InformationalResponse):
        return False
    return any(map(_STATUS_LINE.search, (event.reason, *(value for _, value in event.headers))))


def _error_text(error: BaseException) -> str:
    return str(error.__cause__ or error)

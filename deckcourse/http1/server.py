"""The server side of an HTTP/1.1 connection, including detection of a client that disconnects.

h11 parses and serializes the messages; this module decides when a connection is kept open and when
it is closed. HTTP server libraries do not leave that decision to the application.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import replace
from fcntl import ioctl
from socket import SO_LINGER, SOL_SOCKET
from struct import calcsize, unpack
from termios import TIOCOUTQ
from time import perf_counter
from typing import Protocol

import h11
import trio

from deckcourse.http1.connection_meter import NO_METER, ConnectionMeter
from deckcourse.http1.idle_connections import CloseReason, IdleConnections
from deckcourse.http1.message import READ_BYTES, Headers, IncomingRequest, declared_length
from deckcourse.http1.pieces import PieceLane, PieceMeter
from deckcourse.listener import RESET_ON_CLOSE

__all__ = [
    "ConnectionLimits",
    "Exchange",
    "Handler",
    "serve_connection",
]

# How long sending an error response may take.
ERROR_RESPONSE_TIMEOUT_SECONDS = 1.0
# How long a refused client may go on sending before the connection is closed: a close with unread
# bytes is a reset, at which the client's host drops a response that was not read yet.
DISCARD_TIMEOUT_SECONDS = 2.0
# Size of one read of bytes that are discarded: few reads, as each takes a turn of the event loop.
DISCARD_READ_BYTES = 256 * 1024
# Size of one read of a body of a declared length while connections are closing: a late process has
# few turns left. One without a length may come in pieces that take longer to parse.
CLOSING_READ_BYTES = 256 * 1024
# Bytes of the largest head for each field that it may have: the parser's work is by fields. HTTP/2
# counts as many for the overhead of a field (RFC 9113, 6.5.2).
MIN_FIELD_BYTES = 32
# Fields that a head may have however small the largest one is: servers commonly allow as many.
MIN_FIELDS_ALLOWED = 100
# The request line, an empty line before it and one at the end.
OTHER_HEAD_LINES = 3
# Bytes that a client may send while its current request is being answered.
MAX_PIPELINED_BYTES = 64 * 1024


class ConnectionLimits(Protocol):
    """Limits on the size of requests and on the time to send them, in bytes and seconds.

    They are read again for each request, since the configuration may change.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


class _RejectedRequestError(Exception):
    """The request cannot be served; `status` is the status to answer with."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _ClientGoneError(Exception):
    """The client closed the connection, or was idle for too long between requests."""


class Exchange:
    """The response to one request: streamed by `start`, `send` and `finish`, or sent by `respond`.

    A write that is cancelled before it begins has no effect: another response may still be sent. If
    it is cancelled later, the connection is torn: each further write raises
    `trio.BrokenResourceError`, as it does once the client has disconnected.
    """

    def __init__(self, connection: "_Connection") -> None:
        self._connection = connection

    @property
    def started(self) -> bool:
        """Whether a response to the current request of the connection has been started."""
        return self._connection.has_started

    @property
    def torn(self) -> bool:
        """Whether a write of the response was started and not completed."""
        return self._connection.torn

    @property
    def client_gone(self) -> bool:
        """Whether the client has closed the connection, or reset it."""
        return self._connection.client_gone

    @property
    def meter(self) -> ConnectionMeter:
        """Counts the bytes that are held for the connection."""
        return self._connection.meter

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response whose body follows; chunked if `headers` give no length."""
        await self._connection.send_head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body immediately."""
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """Mark the end of the body."""
        await self._connection.send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = (b"content-length", str(len(body)).encode())
        other_headers = tuple(each for each in headers if each[0] != b"content-length")
        await self._connection.send_whole(status, (*other_headers, length), body)
        self._connection.meter.note_response_end()


Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


async def serve_connection(
    stream: trio.abc.Stream,
    handler: Handler,
    limits: Callable[[], ConnectionLimits],
    closing: Callable[[], bool],
    idle_connections: IdleConnections | None = None,
    meter: ConnectionMeter | None = None,
    lane: PieceLane | None = None,
) -> None:
    """Serve the requests of one connection until either side closes it.

    Args:
      stream: the accepted connection; closed on return.
      handler: responds to one request; cancelled when the client disconnects. A response that it
        started and did not finish is cut off, so that it does not look complete.
      limits: returns the limits in force.
      closing: returns whether responses should ask the client to close the connection, unless
        another request of it was read already.
      idle_connections: the set that holds the connection while it has no request in progress.
      meter: counts the bytes that are held for the connection.
      lane: shared with other connections whose requests come in small pieces.
    """
    meter = meter or NO_METER
    meter.attach(lambda: _unsent_bytes(stream))
    connection = _Connection(
        stream,
        handler,
        limits,
        closing,
        idle_connections or IdleConnections(),
        meter,
        lane or PieceLane(),
    )
    try:
        await connection.run()
    except* (trio.BrokenResourceError, trio.ClosedResourceError, _ClientGoneError):
        pass  # The client has disconnected; no response can be sent.
    finally:
        # A client that doesn't read would keep the unsent bytes in the kernel after a close.
        if connection.close_looks_complete or meter.end_reason is not None:
            _reset_on_close(stream)
        with trio.CancelScope(
            shield=True, deadline=trio.current_time() + ERROR_RESPONSE_TIMEOUT_SECONDS
        ):
            await trio.aclose_forcefully(stream)


def _unsent_bytes(stream: trio.abc.Stream) -> int:
    """Return how many bytes written to a TCP connection its peer has not acknowledged."""
    if not isinstance(stream, trio.SocketStream):
        return 0
    descriptor = stream.socket.fileno()
    if descriptor < 0:  # The socket is closed.
        return 0
    try:
        return unpack("i", ioctl(descriptor, TIOCOUTQ, bytes(calcsize("i"))))[0]
    except OSError:
        return 0


def _reset_on_close(stream: trio.abc.Stream) -> None:
    """Make the close of a TCP connection a reset."""
    if isinstance(stream, trio.SocketStream):
        with suppress(OSError):  # The socket may be closed already.
            stream.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


def _max_fields(limits: ConnectionLimits) -> int:
    """Return how many fields a head or a trailer may have."""
    return max(MIN_FIELDS_ALLOWED, limits.header_bytes // MIN_FIELD_BYTES)


def _size(event: h11.Event | type[h11.PAUSED]) -> int:
    """Return about how many bytes a part of a request has on the wire."""
    if isinstance(event, h11.Data):
        return len(event.data)
    if isinstance(event, h11.Request):
        return sum(len(name) + len(value) for name, value in event.headers) + len(event.target)
    return 0


class _Connection:
    """The state of one accepted connection."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        limits: Callable[[], ConnectionLimits],
        closing: Callable[[], bool],
        idle_connections: IdleConnections,
        meter: ConnectionMeter,
        lane: PieceLane,
    ) -> None:
        self._meter = meter
        self._lane = lane
        self._pieces = PieceMeter(lane)
        self._idle_connections = idle_connections
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._closing = closing
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_BYTES * 4)
        self._torn = False
        self._client_gone = False
        self._is_fresh = True

    @property
    def torn(self) -> bool:
        """Whether a write was started and not completed: how much of it was sent is unknown."""
        return self._torn

    @property
    def client_gone(self) -> bool:
        """Whether the client has closed the connection, or reset it."""
        return self._client_gone

    @property
    def meter(self) -> ConnectionMeter:
        """Counts the bytes that are held for the connection."""
        return self._meter

    @property
    def close_looks_complete(self) -> bool:
        """Whether closing the connection would make an incomplete response look complete.

        An HTTP/1.0 client does not support chunks: a response without a length ends at the close.
        """
        is_incomplete = self._torn or self._h11.our_state is h11.SEND_BODY
        return is_incomplete and self._h11.their_http_version == b"1.0"

    @property
    def has_started(self) -> bool:
        """Whether a response to the current request has been started."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    async def run(self) -> None:
        while True:
            try:
                with self._idle_connections.reading_request(self._stream):
                    request = await self._read_request()
            except _RejectedRequestError as rejected:
                await self._reject(rejected.status)
                return
            try:
                await self._handle_request(request)
            finally:
                self._meter.note_request_end()
            if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()
            self._is_fresh = False

    async def _handle_request(self, request: IncomingRequest) -> None:
        """Run the handler; cancel it as soon as the client disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_client, nursery.cancel_scope)
            await self._handler(request, Exchange(self))
            nursery.cancel_scope.cancel()
        if self._torn or self._h11.our_state is not h11.DONE:
            raise _ClientGoneError

    async def _watch_client(self, scope: trio.CancelScope) -> None:
        pipelined_bytes = 0
        while pipelined_bytes < MAX_PIPELINED_BYTES:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                self._client_gone = True
                scope.cancel()
                return
            pipelined_bytes += len(data)
            self._meter.note_pipelined(len(data))
            self._h11.receive_data(data)

    async def _read_request(self) -> IncomingRequest:
        self._pieces.start_message()
        try:
            event = await self._read_head()
            headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
            head = IncomingRequest(bytes(event.method), bytes(event.target), headers, b"")
            return await self._read_body(head)
        except h11.RemoteProtocolError as error:
            raise _RejectedRequestError(error.error_status_hint) from error

    async def _read_head(self) -> h11.Request:
        event = await self._next_event()
        line_count = 0
        # A connection on which a request has begun isn't idle: it must not be closed as such.
        if event is h11.NEED_DATA and not self._has_begun_request:
            line_count = (await self._receive_first()).count(b"\n")
            event = await self._next_event()
        # They may have changed while the connection was idle.
        limits = self._limits()
        deadline = trio.current_time() + limits.header_seconds
        while event is h11.NEED_DATA:
            # Before the head is whole, since the parser takes all of its fields at once.
            if line_count > _max_fields(limits) + OTHER_HEAD_LINES:
                raise _RejectedRequestError(431)
            line_count += (await self._receive(deadline, 408)).count(b"\n")
            event = await self._next_event()
        if not isinstance(event, h11.Request):
            raise _ClientGoneError
        if _size(event) > limits.header_bytes:
            raise _RejectedRequestError(431)
        return event

    async def _read_body(self, head: IncomingRequest) -> IncomingRequest:
        """Return the request with its body; without it if there is no room for it in time."""
        limits = self._limits()
        meter, body, size, is_kept = self._meter, bytearray(), 0, True
        length = declared_length(head.headers)
        meter.note_body_start(head, length, limits.body_bytes)
        while True:
            event = await self._next_event()
            if event is h11.NEED_DATA:
                is_kept = await meter.wait_for_body_room()
                if self._h11.they_are_waiting_for_100_continue:
                    await self.send(h11.InformationalResponse(status_code=100, headers=[]))
                with trio.CancelScope() as scope:
                    meter.note_body_read(scope)
                    deadline = trio.current_time() + limits.idle_seconds
                    is_large = self._closing() and length is not None
                    await self._receive(
                        deadline, 408, CLOSING_READ_BYTES if is_large else READ_BYTES
                    )
                if scope.cancelled_caught:
                    raise _RejectedRequestError(408)
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if is_kept:
                    body += event.data
                    meter.note_received(len(event.data))
                else:  # The rest is read all the same, so that the connection can be kept.
                    body.clear()
                if size > limits.body_bytes:
                    raise _RejectedRequestError(413)
            elif isinstance(event, h11.EndOfMessage):
                meter.note_body_end()
                body = bytes(body) if is_kept else b""
                return replace(
                    head, body=body, body_waited=meter.body_waited, is_body_dropped=not is_kept
                )
            else:
                raise _ClientGoneError

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        await self._pieces.let_others_run()
        if self._pieces.is_exceeded:
            raise _RejectedRequestError(400)
        began_at = perf_counter()
        event = self._h11.next_event()
        if event is not h11.NEED_DATA:
            self._pieces.note(_size(event), began_at)
        if isinstance(event, h11.Request | h11.EndOfMessage):
            await self._check_fields(len(event.headers), perf_counter() - began_at)
        return event

    async def _check_fields(self, count: int, seconds: float) -> None:
        """Refuse a head or a trailer of too many fields once the lane had time to parse it."""
        if count > _max_fields(self._limits()):
            await self._lane.wait(seconds)
            raise _RejectedRequestError(431)

    async def _receive_first(self) -> bytes:
        """Receive the first bytes of a request, for which the connection is idle.

        A change may lengthen the idle time: clients then use the connection for longer.
        """
        waits_since = trio.current_time()
        data, reason = None, CloseReason.STOPPING
        with self._idle_connections.waiting_for_request(self._is_fresh):
            closes_at = float("-inf")
            while data is None and closes_at < waits_since + self._limits().idle_seconds:
                closes_at = waits_since + self._limits().idle_seconds
                data = await self._receive_until(closes_at)
            reason = CloseReason.IDLE
        if data is None:
            data = await self._receive_arrived()
        if data is None:
            waited = trio.current_time() - waits_since
            self._idle_connections.note_closed(reason, self._stream, waited)
            raise _ClientGoneError
        return self._take(data)

    async def _receive(self, deadline: float, timeout_status: int, size: int = READ_BYTES) -> bytes:
        data = await self._receive_until(deadline, size)
        if data is None:
            raise _RejectedRequestError(timeout_status)
        return self._take(data)

    async def _receive_until(self, deadline: float, size: int = READ_BYTES) -> bytes | None:
        """Return what the client sends next, empty at its close, None if nothing comes in time."""
        data = None
        waits_since = trio.current_time()
        with trio.move_on_at(deadline):
            data = await self._stream.receive_some(size)
        self._pieces.note_wait(trio.current_time() - waits_since)
        if data:
            self._idle_connections.note_received()
        return data

    async def _receive_arrived(self) -> bytes | None:
        """Return what lies in the socket, None if nothing does.

        A close with unread bytes is a reset, for a request that may have come in time.
        """
        if not isinstance(self._stream, trio.SocketStream) or not self._stream.socket.is_readable():
            return None
        with trio.CancelScope(shield=True):  # The read doesn't wait.
            return await self._stream.receive_some(READ_BYTES)

    def _take(self, data: bytes) -> bytes:
        if not data:
            raise _ClientGoneError
        self._h11.receive_data(data)
        return data

    async def send(self, *events: h11.Event) -> None:
        """Send events in one write.

        Raises:
          trio.BrokenResourceError: the client has disconnected, or an earlier write was incomplete.
        """
        if self._torn:
            raise trio.BrokenResourceError("an earlier write was incomplete")
        # h11 counts the bytes it returns as sent. A pending cancellation is delivered before that,
        # so that no chunk follows a head that was never sent. A later one leaves it torn.
        await trio.lowlevel.checkpoint_if_cancelled()
        data = b"".join(self._h11.send(each) or b"" for each in events)
        if not data:
            return
        self._torn = True
        self._meter.note_writing(len(data))
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._client_gone = True
            raise
        finally:
            self._meter.note_written()
        self._torn = False

    @property
    def _has_begun_request(self) -> bool:
        """Whether bytes of a request were read that is not parsed yet."""
        return bool(self._h11.trailing_data[0])

    def _head(self, status: int, headers: Headers) -> h11.Response:
        # No request is served behind a response that announces the close (RFC 9112, 9.6).
        if self._closing() and not self._has_begun_request:
            headers = (*headers, (b"connection", b"close"))
        return h11.Response(status_code=status, headers=list(headers))

    async def send_head(self, status: int, headers: Headers) -> None:
        await self.send(self._head(status, headers))

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        await self.send(self._head(status, headers), h11.Data(data=body), h11.EndOfMessage())

    async def _reject(self, status: int) -> None:
        """Answer an unreadable request with an error status; the connection is then closed."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = ((b"content-length", b"0"), (b"connection", b"close"))
        with trio.move_on_after(ERROR_RESPONSE_TIMEOUT_SECONDS):
            head = h11.Response(status_code=status, headers=list(headers))
            await self.send(head, h11.EndOfMessage())
        with trio.move_on_after(DISCARD_TIMEOUT_SECONDS):
            await self._discard_received()

    async def _discard_received(self) -> None:
        """Tell the client that nothing follows, and read on for as much as a request may have."""
        if self._torn or not isinstance(self._stream, trio.abc.HalfCloseableStream):
            return
        await self._stream.send_eof()
        limits = self._limits()
        remaining = limits.header_bytes + limits.body_bytes
        while remaining > 0 and (data := await self._stream.receive_some(DISCARD_READ_BYTES)):
            remaining -= len(data)

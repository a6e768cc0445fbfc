"""One accepted HTTP/1.1 connection: requests in, answers out, and the sender's leaving noticed.

h11 frames the messages; this module decides when a connection may be kept and when it closes,
which the HTTP server library does not leave to its application.
"""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from socket import SO_LINGER, SOL_SOCKET
from struct import pack
from typing import Protocol

import h11
import trio

from deckcourse.http1.message import READ_BYTES, Headers

__all__ = [
    "ConnectionLimits",
    "Exchange",
    "Handler",
    "IncomingRequest",
    "RestingConnections",
    "serve_connection",
]

# The time for one answer to an unusable request to leave, seconds.
LAST_ANSWER_SECONDS = 1.0
# What a caller may send ahead of an answer that it is still waiting for, bytes.
LARGEST_AHEAD = 64 * 1024
# The value of SO_LINGER with which a close is a reset: on, and no time to linger.
RESET_ON_CLOSE = pack("ii", 1, 0)


class ConnectionLimits(Protocol):
    """What a caller may send and how long it may take; seconds and bytes.

    They are read anew for each request, since the configuration may change meanwhile.
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@dataclass(frozen=True)
class IncomingRequest:
    """A whole request; `target` is the path and query byte for byte."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class _UnusableRequestError(Exception):
    """The request can't be served; `status` tells the sender why."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class _SenderGoneError(Exception):
    """The sender closed the connection or fell silent between requests."""


class RestingConnections:
    """The connections on which no request is under way; they may be closed without harm."""

    def __init__(self) -> None:
        self._scopes: set[trio.CancelScope] = set()
        self._closed = False

    def close(self) -> None:
        """Close those that rest, and from now on each one as soon as it would."""
        self._closed = True
        for scope in list(self._scopes):
            scope.cancel()

    @contextmanager
    def rest(self) -> Iterator[None]:
        """Wait for the next request inside.

        Raises:
          _SenderGoneError: the connection is to be closed.
        """
        with trio.CancelScope() as scope:
            if self._closed:
                scope.cancel()
            self._scopes.add(scope)
            try:
                yield
            finally:
                self._scopes.discard(scope)
        if scope.cancelled_caught:
            raise _SenderGoneError


class Exchange:
    """The answer to one request; a 2xx begins with `start`, everything short is one `whole`.

    A write that is cancelled before it begins has no effect: another answer may still be given. One
    that is cancelled later tears the connection: each further write raises
    `trio.BrokenResourceError`, as it does where the caller is gone.
    """

    def __init__(self, connection: "_Connection") -> None:
        self._connection = connection

    @property
    def started(self) -> bool:
        """Whether the writing of an answer to the connection's present request has begun."""
        return self._connection.answering

    @property
    def torn(self) -> bool:
        """Whether the writing of a part of the answer began and did not end."""
        return self._connection.torn

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose body follows; chunked where no length is given."""
        await self._connection.send_head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body at once."""
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """Say that the body is whole."""
        await self._connection.send(h11.EndOfMessage())

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"content-length", str(len(body)).encode())
        kept = tuple(each for each in headers if each[0] != b"content-length")
        await self._connection.send_whole(status, (*kept, length), body)


Handler = Callable[[IncomingRequest, Exchange], Awaitable[None]]


async def serve_connection(
    stream: trio.abc.Stream,
    handler: Handler,
    limits: Callable[[], ConnectionLimits],
    closing: Callable[[], bool],
    resting: RestingConnections | None = None,
) -> None:
    """Serve the requests of one connection until either side closes it.

    Args:
      stream: the accepted connection; closed on return.
      handler: answers one request; cancelled when the sender leaves. An answer that it began and
        did not finish is cut off, so that it can't look whole.
      limits: returns the limits in force.
      closing: tells whether answers should ask the sender to close.
      resting: where the connection is found while no request is on it.
    """
    connection = _Connection(stream, handler, limits, closing, resting or RestingConnections())
    try:
        await connection.run()
    except* (trio.BrokenResourceError, trio.ClosedResourceError, _SenderGoneError):
        pass  # The sender left; there is nobody to tell.
    finally:
        if connection.ends_like_a_whole_answer:
            _reset_on_close(stream)
        with trio.CancelScope(shield=True, deadline=trio.current_time() + LAST_ANSWER_SECONDS):
            await trio.aclose_forcefully(stream)


def _reset_on_close(stream: trio.abc.Stream) -> None:
    """Let the connection's end be a reset, where it's TCP."""
    if isinstance(stream, trio.SocketStream):
        with suppress(OSError):  # It may be closed already.
            stream.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)


class _Connection:
    """The state of one accepted connection."""

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: Handler,
        limits: Callable[[], ConnectionLimits],
        closing: Callable[[], bool],
        resting: RestingConnections,
    ) -> None:
        self._resting = resting
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._closing = closing
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=READ_BYTES * 4)
        self._torn = False

    @property
    def torn(self) -> bool:
        """Whether a write began and did not end: nobody knows how much of it left."""
        return self._torn

    @property
    def ends_like_a_whole_answer(self) -> bool:
        """Whether the end of the connection would pass for the end of an answer that isn't whole.

        A caller of HTTP/1.0 knows no chunks: an answer without a length ends with its connection.
        """
        unfinished = self._torn or self._h11.our_state is h11.SEND_BODY
        return unfinished and self._h11.their_http_version == b"1.0"

    @property
    def answering(self) -> bool:
        """Whether an answer to the request has begun."""
        return self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    async def run(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except _UnusableRequestError as unusable:
                await self._refuse(unusable.status)
                return
            await self._answer(request)
            if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
                return
            self._h11.start_next_cycle()

    async def _answer(self, request: IncomingRequest) -> None:
        """Run the handler; leave off as soon as the sender is gone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_sender, nursery.cancel_scope)
            await self._handler(request, Exchange(self))
            nursery.cancel_scope.cancel()
        if self._torn or self._h11.our_state is not h11.DONE:
            raise _SenderGoneError

    async def _watch_sender(self, scope: trio.CancelScope) -> None:
        ahead = 0
        while ahead < LARGEST_AHEAD:
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b""
            if not data:
                scope.cancel()
                return
            ahead += len(data)
            self._h11.receive_data(data)

    async def _read_request(self) -> IncomingRequest:
        limits = self._limits()
        try:
            head = await self._read_head(limits)
            body = await self._read_body(limits)
        except h11.RemoteProtocolError as error:
            raise _UnusableRequestError(error.error_status_hint) from error
        headers = tuple((bytes(name), bytes(value)) for name, value in head.headers)
        return IncomingRequest(bytes(head.method), bytes(head.target), headers, body)

    async def _read_head(self, limits: ConnectionLimits) -> h11.Request:
        event = self._h11.next_event()
        if event is h11.NEED_DATA:
            with self._resting.rest():
                await self._receive(trio.current_time() + limits.idle_seconds, None)
            event = self._h11.next_event()
        deadline = trio.current_time() + limits.header_seconds
        while event is h11.NEED_DATA:
            await self._receive(deadline, 408)
            event = self._h11.next_event()
        if not isinstance(event, h11.Request):
            raise _SenderGoneError
        size = sum(len(name) + len(value) for name, value in event.headers) + len(event.target)
        if size > limits.header_bytes:
            raise _UnusableRequestError(431)
        return event

    async def _read_body(self, limits: ConnectionLimits) -> bytes:
        if self._h11.they_are_waiting_for_100_continue:
            await self.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                await self._receive(trio.current_time() + limits.idle_seconds, 408)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _UnusableRequestError(413)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise _SenderGoneError

    async def _receive(self, deadline: float, late_status: int | None) -> None:
        data = None
        with trio.move_on_at(deadline):
            data = await self._stream.receive_some(READ_BYTES)
        if data is None and late_status is not None:
            raise _UnusableRequestError(late_status)
        if not data:
            raise _SenderGoneError
        self._h11.receive_data(data)

    async def send(self, *events: h11.Event) -> None:
        """Send events in one write.

        Raises:
          trio.BrokenResourceError: the caller is gone, or an earlier write was cut short.
        """
        if self._torn:
            raise trio.BrokenResourceError("an earlier write was cut short")
        # h11 takes as sent what it hands out. A cancellation comes before that, so that a head that
        # never left isn't followed by a chunk; one that comes later leaves the connection torn.
        await trio.lowlevel.checkpoint_if_cancelled()
        data = b"".join(self._h11.send(each) or b"" for each in events)
        if not data:
            return
        self._torn = True
        await self._stream.send_all(data)
        self._torn = False

    def _head(self, status: int, headers: Headers) -> h11.Response:
        if self._closing():
            headers = (*headers, (b"connection", b"close"))
        return h11.Response(status_code=status, headers=list(headers))

    async def send_head(self, status: int, headers: Headers) -> None:
        await self.send(self._head(status, headers))

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        await self.send(self._head(status, headers), h11.Data(data=body), h11.EndOfMessage())

    async def _refuse(self, status: int) -> None:
        """Answer a request that could not be read, and close."""
        if self._h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = ((b"content-length", b"0"), (b"connection", b"close"))
        with trio.move_on_after(LAST_ANSWER_SECONDS):
            head = h11.Response(status_code=status, headers=list(headers))
            await self.send(head, h11.EndOfMessage())

"""Connections to upstreams over h11, and the pool that keeps idle ones for the next call."""

import re
from collections import defaultdict, deque
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import h11
import trio

from deckcourse.http1.message import (
    READ_BYTES,
    ConnectionLostError,
    FailureKind,
    Headers,
    header_value,
)
from deckcourse.http1.transport import Dial, Transport, dial_tcp

__all__ = [
    "NAMELESS",
    "REMEMBERED_CALLS",
    "ConnectionPool",
    "UpstreamConnection",
    "UpstreamReply",
]

# Idle connections are kept this long where the upstream names no time of its own, seconds.
IDLE_SECONDS = 20.0
# An upstream's own idle time is given in whole seconds; stop this long before it, seconds.
IDLE_MARGIN_SECONDS = 0.6
# An upstream may send an answer a second time, in the place where a later one is due on the same
# connection. Of the last so many calls one is expected, and no more answers than that in a row.
REMEMBERED_CALLS = 8
# Such an answer comes in one piece. One whose end isn't here so long after its head may have none,
# and the answer behind it would never be seen, seconds.
SURPLUS_SECONDS = 0.03
# The name of all calls whose answers carry none.
NAMELESS = ""
# The largest answer that is kept in memory whole, bytes.
LARGEST_WHOLE = 4 * 1024 * 1024
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


class UpstreamReply:
    """The head of an answer, and its body as it comes."""

    def __init__(self, status: int, headers: Headers, connection: "UpstreamConnection") -> None:
        self.status = status
        self.headers = headers
        self._connection = connection

    @property
    def followed(self) -> bool:
        """Whether bytes came behind the whole answer."""
        return self._connection.surplus

    async def next_data(self) -> bytes | None:
        """Return the next bytes of the body, None after its proper end.

        Raises:
          ConnectionLostError: the body broke off.
        """
        return await self._connection.next_data()

    async def whole_body(self) -> bytes:
        """Return the whole body.

        Raises:
          ConnectionLostError: the body broke off or is larger than memory allows.
        """
        body = bytearray()
        while (data := await self.next_data()) is not None:
            body += data
            if len(body) > LARGEST_WHOLE:
                raise ConnectionLostError(FailureKind.MALFORMED, "the answer is too large to keep")
        return bytes(body)


class UpstreamConnection:
    """One connection; one call at a time."""

    def __init__(self, address: str, transport: Transport) -> None:
        self.address = address
        self._transport = transport
        self._h11 = h11.Connection(h11.CLIENT)
        self._closing = False
        self._ended = False
        self._keep_seconds = IDLE_SECONDS
        self._parked_at = 0.0
        self._idle_deadline = 0.0
        self._calls: deque[str] = deque(maxlen=REMEMBERED_CALLS)
        self._request: tuple[h11.Event, ...] = ()

    @property
    def surplus(self) -> bool:
        """Whether bytes came behind the answer that was read last."""
        return bool(self._h11.trailing_data[0])

    def note_call(self, name: str) -> None:
        """Remember a call by the name that its answer carries, or as NAMELESS."""
        self._calls.append(name)

    def had_call(self, name: str) -> bool:
        """Return whether one of the last calls had a name: its answer may come here once more."""
        return name in self._calls

    def retire(self) -> None:
        """Let it be closed after this call."""
        self._closing = True

    async def call(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> UpstreamReply:
        """Send a request and return the head of its answer.

        Raises:
          ConnectionLostError: LOST once a byte may have left, MALFORMED for what is no answer.
        """
        try:
            head = h11.Request(method=method, target=target, headers=list(headers))
            content = (h11.Data(data=body),) if body else ()
            self._request = (head, *content, h11.EndOfMessage())
            data = self._request_bytes()
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(FailureKind.UNSENT, str(error)) from error
        try:
            await self._transport.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(FailureKind.LOST, _reason(error)) from error
        return await self._read_head()

    def _request_bytes(self) -> bytes:
        return b"".join(self._h11.send(each) or b"" for each in self._request)

    async def next_reply(self) -> UpstreamReply:
        """Pass over the answer that began, which is an earlier call's; return the next one's head.

        Raises:
          ConnectionLostError: as `call`; MALFORMED too where the answer isn't whole or is the last.
        """
        with trio.move_on_after(SURPLUS_SECONDS):
            while await self.next_data() is not None:
                pass
        try:
            self._h11.start_next_cycle()
            self._request_bytes()  # They left with the call; the parser is to expect an answer.
        except h11.LocalProtocolError as error:
            raise ConnectionLostError(FailureKind.MALFORMED, str(error)) from error
        return await self._read_head()

    async def _read_head(self) -> UpstreamReply:
        while True:
            event = await self._next_event()
            if _is_merged(event):
                raise ConnectionLostError(FailureKind.MALFORMED, "a head inside another one")
            if isinstance(event, h11.Response):
                headers = tuple((bytes(name), bytes(value)) for name, value in event.headers)
                self._note_keeping(headers)
                return UpstreamReply(event.status_code, headers, self)
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionLostError(FailureKind.LOST, "closed without an answer")

    def _note_keeping(self, headers: Headers) -> None:
        if b"close" in header_value(headers, b"connection").lower():
            self._closing = True
        for part in header_value(headers, b"keep-alive").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.strip().isdigit():
                self._keep_seconds = float(value) - IDLE_MARGIN_SECONDS

    async def next_data(self) -> bytes | None:
        """See `UpstreamReply.next_data`."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError(FailureKind.LOST, "the answer broke off")

    async def _next_event(self) -> h11.Event:
        try:
            while True:
                event = self._h11.next_event()
                if event is not h11.NEED_DATA:
                    return event
                data = await self._transport.receive_some(READ_BYTES)
                self._ended = not data
                self._h11.receive_data(data)
        except h11.RemoteProtocolError as error:
            kind = FailureKind.LOST if self._ended else FailureKind.MALFORMED
            raise ConnectionLostError(kind, str(error)) from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ConnectionLostError(FailureKind.LOST, _reason(error)) from error

    def reusable(self) -> bool:
        """Return whether another call may follow: whole answer read, nothing behind it."""
        if self._closing or self._ended or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE or self.surplus:
            return False
        return self._keep_seconds > 0

    def park(self) -> None:
        """Make ready for the next call."""
        self._request = ()
        self._h11.start_next_cycle()
        self._parked_at = trio.current_time()
        self._idle_deadline = self._parked_at + self._keep_seconds

    def sound(self, longest_idle: float) -> bool:
        """Return whether an idle connection may be used: not old, not closed, no surplus bytes.

        Args:
          longest_idle: for how long it may have been idle at the most, seconds.
        """
        now = trio.current_time()
        if now >= self._idle_deadline or now - self._parked_at > longest_idle:
            return False
        return not self._transport.readable()

    def is_quiet(self) -> bool:
        """Return whether neither bytes nor the other side's end are here unread."""
        return not self._transport.readable()

    def abort(self) -> None:
        """Close at once; the upstream sees it and stops what it does for this call."""
        self._transport.close()


class ConnectionPool:
    """Idle connections by address; the newest is taken first, so that the others can age out.

    Args:
      count: counts by name.
      dial: opens a connection; TCP where none is given.
    """

    def __init__(self, count: Callable[[str], None], dial: Dial | None = None) -> None:
        self._dial = dial or dial_tcp
        self._idle: dict[str, list[UpstreamConnection]] = defaultdict(list)
        self._count = count

    async def acquire(
        self, address: str, longest_idle: float = IDLE_SECONDS, unlike: str | None = None
    ) -> UpstreamConnection:
        """Return a connection to `IP:port`, an idle one if there is a sound one.

        Args:
          address: where to.
          longest_idle: an idle connection older than this isn't taken, seconds.
          unlike: nor is one that had a call of this name of late: a second answer to that call
            could not be told from the answer to this one.

        Raises:
          ConnectionLostError: UNSENT, the address can't be reached.
        """
        connection = self._take_idle(address, longest_idle, unlike)
        if connection is not None:
            self._count("connection.reused")
            return connection
        return await self.open(address)

    async def open(self, address: str) -> UpstreamConnection:
        """Return a new connection to `IP:port`, whatever idle ones there are.

        Raises:
          ConnectionLostError: UNSENT, the address can't be reached.
        """
        self._count("connection.opened")
        return UpstreamConnection(address, await self._dial(address))

    def _take_idle(
        self, address: str, longest_idle: float, unlike: str | None
    ) -> UpstreamConnection | None:
        idle = self._idle.get(address, [])
        for place in reversed(range(len(idle))):
            connection = idle[place]
            if not connection.sound(longest_idle):
                self._count("connection.unsound")
                idle.pop(place).abort()
            elif unlike is None or not connection.had_call(unlike):
                return idle.pop(place)
        return None

    @asynccontextmanager
    async def lent(
        self, address: str, longest_idle: float = IDLE_SECONDS, unlike: str | None = None
    ) -> AsyncIterator[UpstreamConnection]:
        """Lend a connection for one call; it is closed where the call doesn't end by itself.

        Args:
          address: see `acquire`.
          longest_idle: see `acquire`.
          unlike: see `acquire`.

        Raises:
          ConnectionLostError: UNSENT, the address can't be reached.
        """
        connection = await self.acquire(address, longest_idle, unlike)
        with self.kept_or_closed(connection):
            yield connection

    @contextmanager
    def kept_or_closed(self, connection: UpstreamConnection) -> Iterator[None]:
        """Make one call inside; the connection is kept after it, or closed where it broke off.

        Args:
          connection: from `acquire`.
        """
        try:
            yield
        except BaseException:
            connection.abort()
            raise
        self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """Give a connection back; it is kept only if the call on it ended properly."""
        if not connection.reusable():
            connection.abort()
            return
        connection.park()
        self._idle[connection.address].append(connection)

    def idle(self, address: str) -> int:
        """Return how many connections to an address are kept at the moment."""
        return len(self._idle.get(address, ()))

    def forget(self, address: str) -> None:
        """Close the idle connections of an address that is gone."""
        for connection in self._idle.pop(address, []):
            connection.abort()


def _is_merged(event: h11.Event) -> bool:
    """Return whether a head holds the beginning of another one.

    Surplus bytes may end inside a head. The answer behind them would get their status, which may be
    the promise that a request was not run.
    """
    if not isinstance(event, h11.Response | h11.InformationalResponse):
        return False
    return any(map(_STATUS_LINE.search, (event.reason, *(value for _, value in event.headers))))


def _reason(error: BaseException) -> str:
    return str(error.__cause__ or error)

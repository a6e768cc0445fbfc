"""One HTTP call over httpcore with its failures as values: not sent, or sent and lost."""

from collections.abc import AsyncIterable, AsyncIterator
from dataclasses import dataclass
from time import perf_counter

import httpcore
import trio

from deckcourse.http1.message import MAX_BODY_BYTES
from deckcourse.http1.pieces import PieceLane, PieceMeter

__all__ = ["HttpReply", "NotSent", "ReplyLost", "fresh_pool", "http_call", "kept_pool", "read_body"]

MAX_CONNECTIONS = 1000
MAX_IDLE = 200
KEEPALIVE_SECONDS = 30.0
CONNECT_SECONDS = 1.0
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")
# Numbers above are no status (RFC 9110, section 15); the parser refuses those below 100.
MAX_STATUS = 599
# Replies with these statuses have no body, so that no header says where it ends.
BODILESS_STATUSES = (204, 304)
# Failures in which no byte of the request has left; everything else may have been run.
NOT_SENT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
# A raw OSError is in here since a reset may surface as one; it's never taken for "not sent".
LOST_ERRORS = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


@dataclass(frozen=True)
class HttpReply:
    """A whole reply."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def is_framed(self) -> bool:
        """Whether the body's end is marked by a length or chunks, not by the connection's end."""
        has_no_body = self.status in BODILESS_STATUSES
        return has_no_body or any(key.lower() in FRAMING_HEADERS for key, _ in self.headers)

    def header(self, name: bytes) -> bytes:
        """Return the first header called `name` (lower case), empty where it's absent."""
        return next((value for key, value in self.headers if key.lower() == name), b"")


@dataclass(frozen=True)
class NotSent:
    """Connecting failed: the other side can't have seen the request."""

    message: str


@dataclass(frozen=True)
class ReplyLost:
    """The request went out, in part at least, and no whole reply came back."""

    message: str


class _KeptConnections(httpcore.AsyncConnectionPool):
    """A pool whose connections bring each call its own reply."""

    def create_connection(self, origin: httpcore.Origin) -> httpcore.AsyncConnectionInterface:
        return _KeptConnection(origin, keepalive_expiry=KEEPALIVE_SECONDS)


class _KeptConnection(httpcore.AsyncHTTPConnection):
    """A connection that is kept only where nothing came behind a reply."""

    @property
    def surplus(self) -> bool:
        """Whether bytes came behind the reply: the next call would read them as its own."""
        # The library looks only at what waits in the socket, not at what it has read already.
        return bool(self._connection._h11_state.trailing_data[0])

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        response = await super().handle_async_request(request)
        response.stream = _Body(response.stream, self)
        return response


class _Body:
    """A reply's body as it comes; its end also ends a connection with surplus bytes."""

    def __init__(self, body: AsyncIterable[bytes], connection: _KeptConnection) -> None:
        self._body = body
        self._connection = connection

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self._body.__aiter__()

    async def aclose(self) -> None:
        if self._connection.surplus:
            await self._connection.aclose()
        else:
            await self._body.aclose()


def kept_pool() -> httpcore.AsyncConnectionPool:
    """Return a pool that keeps connections, for calls that may be repeated."""
    return _KeptConnections(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE,
        keepalive_expiry=KEEPALIVE_SECONDS,
    )


def fresh_pool() -> httpcore.AsyncConnectionPool:
    """Return a pool that opens a connection for each call, for calls that may not be repeated.

    A kept connection may be half closed, and then nobody knows whether the call ran.
    """
    return httpcore.AsyncConnectionPool(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=0
    )


async def http_call(
    pool: httpcore.AsyncConnectionPool,
    method: str,
    url: str,
    body: bytes = b"",
    headers: tuple[tuple[str, str], ...] = (),
    deadline: float | None = None,
) -> HttpReply | NotSent | ReplyLost:
    """Make one call.

    Args:
      pool: where connections come from.
      method: the HTTP method.
      url: absolute, with an IP address.
      body: the request's body.
      headers: further headers.
      deadline: on trio's clock; past it the call counts as lost.

    Returns:
      The reply, or which kind of failure it was.
    """
    end = trio.current_time() + KEEPALIVE_SECONDS if deadline is None else deadline
    with trio.move_on_at(end):
        return await _call(pool, method, url, body, headers)
    return ReplyLost(f"{method} {url}: no whole reply before the deadline")


async def _call(pool, method, url, body, headers) -> HttpReply | NotSent | ReplyLost:
    extensions = {"timeout": {"connect": CONNECT_SECONDS}}
    try:
        async with pool.stream(
            method, url, content=body, headers=list(headers), extensions=extensions
        ) as response:
            content = await read_body(response)
            if response.status > MAX_STATUS:
                raise httpcore.RemoteProtocolError(f"{response.status} is not a status")
    except NOT_SENT_ERRORS as error:
        return NotSent(f"{method} {url}: {error or type(error).__name__}")
    except LOST_ERRORS as error:
        return ReplyLost(f"{method} {url}: {error or type(error).__name__}")
    return HttpReply(response.status, tuple(response.headers), content)


async def read_body(response: httpcore.Response) -> bytes:
    """Return the whole body of a reply.

    Raises:
      httpcore.RemoteProtocolError: it exceeds MAX_BODY_BYTES, or has more small pieces than any
        sound one.
    """
    body = bytearray()
    meter = PieceMeter(PieceLane())
    began_at = perf_counter()
    async for data in response.aiter_stream():
        body += data
        meter.note_wait(perf_counter() - began_at)
        meter.note(len(data), began_at)
        if len(body) > MAX_BODY_BYTES or meter.is_exceeded:
            raise httpcore.RemoteProtocolError("the reply does not end")
        await meter.let_others_run()
        began_at = perf_counter()
    return bytes(body)

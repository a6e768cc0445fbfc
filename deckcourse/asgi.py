"""The little that the HTTP applications share: reading a body, sending JSON, serving."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import msgspec
import trio
from hypercorn.config import Config

from deckcourse.http_server import HttpServer

__all__ = [
    "App",
    "BodyTooLarge",
    "Request",
    "SenderGoneError",
    "cancel_when_gone",
    "read_body",
    "send_json",
    "send_whole",
    "serve",
]

Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
App = Callable[[dict[str, Any], Receive, Send], Awaitable[None]]
JSON_TYPE = b"application/json"
LARGEST_HEADERS = 64 * 1024
KEEPALIVE_SECONDS = 30.0

_encode = msgspec.json.Encoder().encode


@dataclass(frozen=True)
class BodyTooLarge:
    """A request's body is larger than `limit` bytes."""

    limit: int


class SenderGoneError(Exception):
    """The sender's connection ended before its request was whole."""


class Request:
    """One HTTP request and the way to answer it."""

    def __init__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
        closing: Callable[[], bool] = lambda: False,
    ) -> None:
        self._closing = closing
        self._scope = scope
        self.receive = receive
        self._send = send
        self._ended = False
        self._headers = {name.lower(): value for name, value in scope["headers"]}

    @property
    def method(self) -> str:
        """The HTTP method."""
        return self._scope["method"]

    @property
    def path(self) -> str:
        """The path, decoded."""
        return self._scope["path"]

    @property
    def target(self) -> str:
        """The path as it came, with the query."""
        query = self._scope.get("query_string", b"").decode("ascii", "replace")
        path = self._scope.get("raw_path") or self.path.encode()
        return path.decode("ascii", "replace").partition("?")[0] + (f"?{query}" if query else "")

    @property
    def ended(self) -> bool:
        """Whether the last part of the answer was handed over."""
        return self._ended

    @property
    def header_bytes(self) -> int:
        """The size of all headers together."""
        return sum(len(name) + len(value) for name, value in self._scope["headers"])

    async def send(self, message: dict[str, Any]) -> None:
        """Send a part of the answer; a cancellation comes before the part or after it.

        The server library takes a part for sent before its bytes leave. Cancelled in between, a
        head that never left could neither be followed by a body nor be given again.

        Args:
          message: a part as ASGI has it.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        if message["type"] == "http.response.start" and self._closing():
            message = message | {"headers": [*message["headers"], (b"connection", b"close")]}
        # Behind the last part the library also waits for the application to take in what came, so
        # that this one can be cancelled: what cancels it also ends the connection.
        self._ended = _is_last(message)
        with trio.CancelScope(shield=not self._ended):
            await self._send(message)

    def header(self, name: str) -> str:
        """Return a header, empty where it's absent."""
        return self._headers.get(name.encode(), b"").decode("latin-1")


def _is_last(message: dict[str, Any]) -> bool:
    return message["type"] == "http.response.body" and not message.get("more_body", False)


async def read_body(request: Request, limit: int) -> bytes | BodyTooLarge:
    """Return the whole body.

    Raises:
      SenderGoneError: it broke off; what came of it is no request.
    """
    body = bytearray()
    more = True
    while more:
        message = await request.receive()
        if message["type"] != "http.request":
            raise SenderGoneError
        body += message.get("body", b"")
        more = message.get("more_body", False)
        if len(body) > limit:
            return BodyTooLarge(limit)
    return bytes(body)


async def send_whole(
    request: Request,
    status: int,
    body: bytes,
    content_type: bytes = JSON_TYPE,
    headers: tuple[tuple[bytes, bytes], ...] = (),
) -> None:
    """Send a whole response."""
    length = str(len(body)).encode()
    every = [(b"content-type", content_type), (b"content-length", length), *headers]
    await request.send({"type": "http.response.start", "status": status, "headers": every})
    await request.send({"type": "http.response.body", "body": body})


async def send_json(
    request: Request, status: int, value: Any, headers: tuple[tuple[bytes, bytes], ...] = ()
) -> None:
    """Send a value as JSON."""
    await send_whole(request, status, _encode(value), JSON_TYPE, headers)


async def cancel_when_gone(request: Request, scope: trio.CancelScope) -> None:
    """Cancel the work for a request as soon as its sender closes the connection.

    The server library says the same while it sees to the end of an answer. Cancelled there, it
    would neither close the connection nor count how long it is idle.
    """
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            if not request.ended:
                scope.cancel()
            return


async def serve(
    handle: Callable[[Request], Awaitable[None]],
    bind: str,
    shutdown: trio.Event,
    graceful_seconds: float = 0.0,
    closing: Callable[[], bool] = lambda: False,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an application until `shutdown` is set.

    Args:
      handle: answers one request.
      bind: IP:port; port 0 takes a free one.
      shutdown: set to stop; requests in flight may then go on for `graceful_seconds`, and for half
        of it the connections that are open are read.
      graceful_seconds: see `shutdown`.
      closing: returns whether responses ask the caller to close the connection.
      task_status: started with the bound IP:port.
    """

    async def app(scope: dict[str, Any], receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            # Whoever sent half a request is gone: there is nobody to answer.
            with suppress(SenderGoneError):
                await handle(Request(scope, receive, send, closing))

    config = Config()
    config.keep_alive_timeout = KEEPALIVE_SECONDS
    config.h11_max_incomplete_size = LARGEST_HEADERS
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    await HttpServer(app, config, bind).run(shutdown, graceful_seconds, task_status)

"""Plain services over HTTP: all that the router knows of their wire form."""

from collections.abc import Callable

import httpcore
import trio

from deckcourse.engine import Lost, Refused, Unreachable
from deckcourse.http_client import HttpReply, NotSent, http_call
from deckcourse.plain_service import ServiceCall, ServiceReply

__all__ = ["REQUEST_HEADER", "HttpPlainService"]

REQUEST_HEADER = "x-deckcourse-request"
ACTION_HEADER = "x-deckcourse-action"
# How long an upstream may take to accept a connection: allows for a packet that is sent again.
PROBE_SECONDS = 0.3
# A proxy that accepts connections for an upstream that has ended closes them within this time.
PROXY_CLOSE_SECONDS = 0.01


class HttpPlainService:
    """A plain service's upstream at `address` (IP:port).

    Args:
      pool: opens connections.
      instance: the upstream's name.
      address: its address.
      was_paused: returns whether this process was paused when what it reads now arrived: another
        process may have taken the address since then.
    """

    def __init__(
        self,
        pool: httpcore.AsyncConnectionPool,
        instance: str,
        address: str,
        was_paused: Callable[[], bool] = lambda: False,
    ) -> None:
        self._pool = pool
        self._was_paused = was_paused
        self._instance = instance
        self._address = address
        self._base = f"http://{address}"

    async def call(self, call: ServiceCall) -> ServiceReply | Unreachable | Refused | Lost:
        """Send the call once; the caller sets the deadline by cancelling."""
        headers = [(REQUEST_HEADER, call.request), (ACTION_HEADER, call.action)]
        if call.content_type:
            headers.append(("content-type", call.content_type))
        url = self._base + call.path
        reply = await http_call(
            self._pool, call.method, url, call.body, tuple(headers), float("inf")
        )
        if isinstance(reply, NotSent):
            return Unreachable(self._instance, reply.message)
        if not isinstance(reply, HttpReply):
            return Lost(self._instance, reply.message)
        if not reply.is_framed and (self._was_paused() or not await self._accepts_connections()):
            # The connections of a process that exits are closed in good order.
            return Lost(self._instance, "the reply ended with its upstream")
        kind = reply.header(b"content-type").decode("latin-1") or "application/octet-stream"
        return ServiceReply(reply.status, reply.body, kind)

    async def _accepts_connections(self) -> bool:
        """Return whether the upstream accepts connections; it would run any query as a call."""
        host, _, port = self._address.rpartition(":")
        with trio.move_on_after(PROBE_SECONDS):
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                return False
            async with stream:
                await trio.sleep(PROXY_CLOSE_SECONDS)
                return not stream.socket.is_readable()
        return False

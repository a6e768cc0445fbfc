"""Plain services over HTTP: all that the router knows of their wire form."""

import httpcore

from deckcourse.engine import Lost, Refused, Unreachable
from deckcourse.http_client import HttpReply, NotSent, http_call
from deckcourse.plain_service import ServiceCall, ServiceReply

__all__ = ["REQUEST_HEADER", "HttpPlainService"]

REQUEST_HEADER = "x-deckcourse-request"
ACTION_HEADER = "x-deckcourse-action"


class HttpPlainService:
    """A plain service's upstream at `address` (IP:port)."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, instance: str, address: str) -> None:
        self._pool = pool
        self._instance = instance
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
        kind = reply.header(b"content-type").decode("latin-1") or "application/octet-stream"
        return ServiceReply(reply.status, reply.body, kind)

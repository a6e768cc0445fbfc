"""The object store over HTTP: all that the system knows of its wire form."""

import httpcore
import trio
from returns.result import Failure, Result, Success

from deckcourse.http_client import HttpReply, http_call
from deckcourse.object_store import ObjectFailure

__all__ = ["OBJECTS_PREFIX", "HttpObjectStore"]

OBJECTS_PREFIX = "/objects/"
CALL_SECONDS = 3.0
OK = 200
ABSENT_STATUS = 404


class HttpObjectStore:
    """The object store at `address` (IP:port)."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        self._pool = pool
        self._base = f"http://{address}{OBJECTS_PREFIX}"

    async def get(self, name: str) -> Result[bytes | None, ObjectFailure]:
        """Return the object, None where it's absent."""
        reply = await self._call("GET", name, b"")
        if isinstance(reply, HttpReply) and reply.status == ABSENT_STATUS:
            return Success(None)
        if isinstance(reply, HttpReply) and reply.status == OK:
            return Success(reply.body)
        return Failure(ObjectFailure.UNAVAILABLE)

    async def put(self, name: str, value: bytes) -> Result[None, ObjectFailure]:
        """Write the object."""
        reply = await self._call("PUT", name, value)
        if isinstance(reply, HttpReply) and reply.status == OK:
            return Success(None)
        return Failure(ObjectFailure.UNAVAILABLE)

    async def _call(self, method: str, name: str, body: bytes):
        deadline = trio.current_time() + CALL_SECONDS
        return await http_call(self._pool, method, self._base + name, body, (), deadline)

"""The instance list over HTTP: all that the system knows of its wire form."""

import httpcore
import msgspec
import trio
from returns.result import Failure, Result, Success

from deckcourse.http_client import HttpReply, http_call
from deckcourse.instance_list import ListedInstance, ListFailure

__all__ = ["LIST_PATH", "HttpInstanceList"]

LIST_PATH = "/instances"
CALL_SECONDS = 1.5
OK = 200


class HttpInstanceList:
    """The instance list at `address` (IP:port)."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        self._pool = pool
        self._url = f"http://{address}{LIST_PATH}"

    async def instances(self) -> Result[tuple[ListedInstance, ...], ListFailure]:
        """Return all lines of the list."""
        deadline = trio.current_time() + CALL_SECONDS
        reply = await http_call(self._pool, "GET", self._url, b"", (), deadline)
        if not isinstance(reply, HttpReply) or reply.status != OK:
            return Failure(ListFailure.UNAVAILABLE)
        try:
            return Success(msgspec.json.decode(reply.body, type=tuple[ListedInstance, ...]))
        except msgspec.MsgspecError:
            return Failure(ListFailure.UNAVAILABLE)

"""The table service over HTTP: all that the system knows of its wire form."""

from collections.abc import Sequence
from dataclasses import dataclass

import httpcore
import msgspec
import trio
from returns.result import Failure, Result, Success

from deckcourse.http_client import HttpReply, NotSent, http_call
from deckcourse.table import Committed, Conflict, Row, TableFailure, Write

__all__ = [
    "READ_PATH",
    "TRANSACT_PATH",
    "HttpTable",
    "ReadReply",
    "ReadRequest",
    "TransactReply",
    "TransactRequest",
]

READ_PATH = "/table/read"
TRANSACT_PATH = "/table/transact"
CALL_SECONDS = 1.5
OK = 200
# The service's word that it did nothing.
UNAVAILABLE_STATUS = 503


@dataclass(frozen=True)
class ReadRequest:
    """The rows wanted."""

    keys: tuple[str, ...]


@dataclass(frozen=True)
class ReadReply:
    """The rows, in the order of the keys."""

    rows: tuple[Row | None, ...]


@dataclass(frozen=True)
class TransactRequest:
    """The writes of a transaction."""

    writes: tuple[Write, ...]


@dataclass(frozen=True)
class TransactReply:
    """The versions of a transaction that committed, or the keys that conflicted."""

    versions: tuple[int, ...] = ()
    conflicts: tuple[str, ...] = ()


class HttpTable:
    """The table service at `address` (IP:port)."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, address: str) -> None:
        self._pool = pool
        self._base = f"http://{address}"

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each that is absent."""
        reply = await self._call(READ_PATH, ReadRequest(tuple(keys)), ReadReply)
        return reply.map(lambda found: found.rows)

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Do all writes or none."""
        reply = await self._call(TRANSACT_PATH, TransactRequest(tuple(writes)), TransactReply)
        return reply.map(_outcome)

    async def _call(self, path: str, message, kind: type) -> Result:
        deadline = trio.current_time() + CALL_SECONDS
        body = msgspec.json.encode(message)
        reply = await http_call(self._pool, "POST", self._base + path, body, (), deadline)
        if isinstance(reply, NotSent):
            return Failure(TableFailure.UNAVAILABLE)
        if not isinstance(reply, HttpReply):
            return Failure(TableFailure.UNKNOWN)
        if reply.status == UNAVAILABLE_STATUS:
            return Failure(TableFailure.UNAVAILABLE)
        if reply.status != OK:
            return Failure(TableFailure.UNKNOWN)
        try:
            return Success(msgspec.json.decode(reply.body, type=kind))
        except msgspec.MsgspecError:
            return Failure(TableFailure.UNKNOWN)


def _outcome(reply: TransactReply) -> Committed | Conflict:
    if reply.conflicts:
        return Conflict(reply.conflicts)
    return Committed(reply.versions)

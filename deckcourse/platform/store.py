"""The client of the platform's store: a table service and a change feed over HTTP."""

from base64 import b64encode
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

import msgspec
import trio
from returns.result import Failure, Result, Success

from deckcourse.change_feed import Changes, Snapshot
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.http1.pool import ConnectionPool
from deckcourse.platform.pages import Page, StoredRow, parse_page
from deckcourse.table import Committed, Conflict, Row, TableFailure, Write

__all__ = ["Store"]

# Timeout of a call, in addition to the wait of a long poll: a slow store takes 60 times its usual
# 4 ms.
CALL_TIMEOUT_SECONDS = 1.0
# The same for reads of whole tables and of changes, whose late replies are still used.
FEED_TIMEOUT_SECONDS = 2.0
# The store returns no more rows than this in one reply.
MAX_PAGE_ROWS = 500
# Tables of the store may be divided into named parts. Only the unnamed part is used.
UNNAMED_PART = ""


class Store:
    """The client of the platform's store; keys have the form `TABLE/KEY`.

    Args:
      pool: the connection pool.
      address: the address of the store.
      count: increments the counter of the given name.
    """

    def __init__(
        self, pool: ConnectionPool, address: str, count: Callable[[str], None] = lambda name: None
    ) -> None:
        self._pool = pool
        self._address = address
        self._count = count

    async def read(self, keys: Sequence[str]) -> Result[tuple[Row | None, ...], TableFailure]:
        """Return the rows of `keys`, None for each that is absent."""
        rows = []
        for key in keys:
            table, _, name = key.partition("/")
            query = {"table": table, "part": UNNAMED_PART, "rangeStart": name, "limit": 1}
            match await self._rows("/v1/rows-get", query, CALL_TIMEOUT_SECONDS):
                case Failure(failure):
                    return Failure(failure)
                case Success(page):
                    matches = [each for each in page.rows if each.key == name]
                    rows.append(_row(table, matches[0]) if matches else None)
        return Success(tuple(rows))

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Execute all writes in one transaction, or none of them."""
        body = msgspec.json.encode(_transaction(writes))
        match await self._call(b"POST", "/v1/rows-tx", body, CALL_TIMEOUT_SECONDS):
            case Success((200, reply_body)):
                page = self._page(reply_body)
                return page.map(lambda each: Committed((each.version,) * len(writes)))
            case Success((412, reply_body)):
                return self._page(reply_body).map(_conflict)
            case Success((status, _)):
                is_refusal = status in (429, 503)
                return Failure(TableFailure.UNAVAILABLE if is_refusal else TableFailure.UNKNOWN)
        return Failure(TableFailure.UNKNOWN)

    async def snapshot(self, table: str) -> Result[Snapshot, TableFailure]:
        """Return all rows of a table."""
        rows: list[Row] = []
        version: int | None = None
        query: dict[str, object] = {"table": table, "part": UNNAMED_PART, "limit": MAX_PAGE_ROWS}
        while True:
            match await self._rows("/v1/rows-get", query, FEED_TIMEOUT_SECONDS):
                case Failure(failure):
                    return Failure(failure)
                case Success(page):
                    # Pages are read at different times. The snapshot gets the version of the first
                    # one, so that later changes are read again from the change feed.
                    version = page.version if version is None else version
                    rows += [_row(table, each) for each in page.rows]
                    if not page.more or page.empty:
                        return Success(Snapshot(tuple(rows), version))
                    start = _next_start(page, query.get("rangeStart", ""))
                    if start is None:
                        return Failure(TableFailure.UNAVAILABLE)
                    query["rangeStart"] = start

    async def changes(
        self, table: str, after: int, seconds: float
    ) -> Result[Changes, TableFailure]:
        """Return the changes after version `after`; wait up to `seconds` for the first one."""
        query = {"table": table, "afterRev": after, "waitMs": round(seconds * 1000)}
        target = f"/v1/rows-feed?{urlencode(query)}"
        match await self._call(b"GET", target, b"", seconds + FEED_TIMEOUT_SECONDS):
            case Success((200, body)):
                return self._page(body).map(lambda page: _changes(page, after))
            case Success((410, _)):
                return Success(Changes((), after, complete=False))
        return Failure(TableFailure.UNAVAILABLE)

    def renew_connections(self) -> None:
        """Make later calls use new connections: the idle ones may have gone silent."""
        self._pool.close_idle(self._address)

    async def _rows(
        self, path: str, query: dict[str, object], seconds: float
    ) -> Result[Page, TableFailure]:
        match await self._call(b"GET", f"{path}?{urlencode(query)}", b"", seconds):
            case Success((200, body)):
                return self._page(body)
        return Failure(TableFailure.UNAVAILABLE)

    def _page(self, body: bytes) -> Result[Page, TableFailure]:
        """Return the rows of a reply; a malformed reply is a failure."""
        page = parse_page(body)
        if page is None:
            self._count("malformed.page")
            return Failure(TableFailure.UNAVAILABLE)
        for _ in range(page.malformed):
            self._count("malformed.stored-row")
        return Success(page)

    async def _call(
        self, method: bytes, target: str, body: bytes, seconds: float
    ) -> Result[tuple[int, bytes], TableFailure]:
        """Make one call on a pooled connection, which is closed if the reply is lost."""
        headers = [(b"host", self._address.encode()), (b"content-length", str(len(body)).encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        try:
            with trio.move_on_after(seconds):
                async with self._pool.borrow(self._address) as connection:
                    reply = await connection.call(method, target.encode(), tuple(headers), body)
                    return Success((reply.status, await reply.read_body()))
            self.renew_connections()
        except ConnectionLostError as failure:
            if failure.kind is FailureKind.UNSENT:
                return Failure(TableFailure.UNAVAILABLE)
        return Failure(TableFailure.UNKNOWN)


def _next_start(page: Page, start: object) -> str | None:
    """Return the start of the next page, None if this page doesn't advance beyond `start`."""
    if not page.rows:
        return None
    next_start = page.rows[-1].key + "\x00"
    return next_start if next_start > str(start) else None


def _changes(page: Page, after: int) -> Changes:
    changed = ((each.key, None if each.gone else each.value, each.version) for each in page.rows)
    # Versions only rise. An older version in a faulty page would make the follower fetch the same
    # changes again and again.
    return Changes(tuple(changed), max(after, page.version))


def _conflict(page: Page) -> Conflict:
    return Conflict(tuple(f"{each.table}/{each.key}" for each in page.rows))


def _row(table: str, row: StoredRow) -> Row:
    return Row(f"{table}/{row.key}", row.version, row.value)


def _transaction(writes: Sequence[Write]) -> dict[str, list[dict[str, object]]]:
    expected: list[dict[str, object]] = []
    put: list[dict[str, object]] = []
    remove: list[dict[str, object]] = []
    for write in writes:
        table, _, key = write.key.partition("/")
        row_key = {"table": table, "part": UNNAMED_PART, "tlsKey": key}
        if write.expected is not None:
            expected.append({**row_key, "ver": write.expected})
        if write.value is None:
            remove.append(row_key)
        else:
            put.append({**row_key, "value": b64encode(write.value).decode()})
    return {"expectedRev": expected, "put": put, "remove": remove}

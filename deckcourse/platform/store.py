"""The platform's store over HTTP, as the product's table and change feed."""

from base64 import b64encode
from collections.abc import Callable, Sequence
from urllib.parse import urlencode

import msgspec
import trio
from returns.result import Failure, Result, Success

from deckcourse.change_feed import Changes, Snapshot
from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.platform.pages import Page, StoredRow, page_of
from deckcourse.table import Committed, Conflict, Row, TableFailure, Write

__all__ = ["Store"]

# Until when an answer that isn't a long wait may come, seconds: a slow store takes 60 times 4 ms.
CALL_SECONDS = 1.0
# The store's answers hold this many rows at the most.
PAGE_ROWS = 500
# Tables may have parts; the product's have only the nameless one.
UNUSED_PART = ""


class Store:
    """The one client of the platform's store; keys are `TABLE/KEY`, without parts.

    Args:
      pool: opens connections.
      address: where the store is.
      count: counts by name.
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
            query = {"table": table, "part": UNUSED_PART, "rangeStart": name, "limit": 1}
            match await self._rows("/v1/rows-get", query, CALL_SECONDS):
                case Failure(failure):
                    return Failure(failure)
                case Success(page):
                    found = [each for each in page.rows if each.key == name]
                    rows.append(_row(table, found[0]) if found else None)
        return Success(tuple(rows))

    async def transact(self, writes: Sequence[Write]) -> Result[Committed | Conflict, TableFailure]:
        """Do all writes or none."""
        body = msgspec.json.encode(_transaction(writes))
        match await self._call(b"POST", "/v1/rows-tx", body, CALL_SECONDS):
            case Success((200, answer)):
                page = self._page(answer)
                return page.map(lambda each: Committed((each.version,) * len(writes)))
            case Success((412, answer)):
                return self._page(answer).map(_conflict)
            case Success((status, _)):
                refused = status in (429, 503)
                return Failure(TableFailure.UNAVAILABLE if refused else TableFailure.UNKNOWN)
        return Failure(TableFailure.UNKNOWN)

    async def snapshot(self, table: str) -> Result[Snapshot, TableFailure]:
        """Return all rows of a table."""
        rows: list[Row] = []
        version: int | None = None
        query: dict[str, object] = {"table": table, "part": UNUSED_PART, "limit": PAGE_ROWS}
        while True:
            match await self._rows("/v1/rows-get", query, CALL_SECONDS):
                case Failure(failure):
                    return Failure(failure)
                case Success(page):
                    # Pages are of different moments: what changed since the first comes again.
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
        """Return what changed after a version, as soon as something did or time is over."""
        query = {"table": table, "afterRev": after, "waitMs": round(seconds * 1000)}
        target = f"/v1/rows-feed?{urlencode(query)}"
        match await self._call(b"GET", target, b"", seconds + CALL_SECONDS):
            case Success((200, body)):
                return self._page(body).map(lambda page: _changes(page, after))
            case Success((410, _)):
                return Success(Changes((), after, complete=False))
        return Failure(TableFailure.UNAVAILABLE)

    async def _rows(
        self, path: str, query: dict[str, object], seconds: float
    ) -> Result[Page, TableFailure]:
        match await self._call(b"GET", f"{path}?{urlencode(query)}", b"", seconds):
            case Success((200, body)):
                return self._page(body)
        return Failure(TableFailure.UNAVAILABLE)

    def _page(self, body: bytes) -> Result[Page, TableFailure]:
        """Return an answer's rows; one that can't be read at all counts as none."""
        page = page_of(body)
        if page is None:
            self._count("malformed.page")
            return Failure(TableFailure.UNAVAILABLE)
        for _ in range(page.malformed):
            self._count("malformed.stored-row")
        return Success(page)

    async def _call(
        self, method: bytes, target: str, body: bytes, seconds: float
    ) -> Result[tuple[int, bytes], TableFailure]:
        """Make one call on a connection of its own; a lost answer ends that connection."""
        headers = [(b"host", self._address.encode()), (b"content-length", str(len(body)).encode())]
        if body:
            headers.append((b"content-type", b"application/json"))
        try:
            with trio.move_on_after(seconds):
                async with self._pool.lent(self._address) as connection:
                    reply = await connection.call(method, target.encode(), tuple(headers), body)
                    return Success((reply.status, await reply.whole_body()))
        except ConnectionLostError as failure:
            if failure.kind is FailureKind.UNSENT:
                return Failure(TableFailure.UNAVAILABLE)
        return Failure(TableFailure.UNKNOWN)


def _next_start(page: Page, start: object) -> str | None:
    """Return where the next page starts, None where this one doesn't say so."""
    if not page.rows:
        return None
    following = page.rows[-1].key + "\x00"
    return following if following > str(start) else None


def _changes(page: Page, after: int) -> Changes:
    changed = ((each.key, None if each.gone else each.value, each.version) for each in page.rows)
    # Versions only rise: a page that names an older one would be asked for again and again.
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
        place = {"table": table, "part": UNUSED_PART, "tlsKey": key}
        if write.expected is not None:
            expected.append({**place, "ver": write.expected})
        if write.value is None:
            remove.append(place)
        else:
            put.append({**place, "value": b64encode(write.value).decode()})
    return {"expectedRev": expected, "put": put, "remove": remove}

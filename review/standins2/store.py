"""A stand-in of the platform's store: rows in memory, conditional writes, and the change feed.

Each entry has a port of its own, so that the store knows who reads what.
"""

import asyncio
import json
import time
from base64 import b64encode
from functools import partial
from urllib.parse import parse_qs, urlsplit

from standins2.wire import HOST, Message, answer, json_answer, read_message

ANSWER_SECONDS = 0.004
WRITE_SECONDS = 0.005
MAX_PAGE_ROWS = 500


class Store:
    """The store; `read_at` holds when each entry last waited for changes of a table."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], tuple[int, str]] = {}
        self.log: list[tuple[int, str, str, str, str | None]] = []
        self.version = 0
        self.read_at: dict[tuple[str, str], float] = {}
        # The entries that are cut off: requests and answers are held until the cut heals.
        self.cut: set[str] = set()
        self._healed = asyncio.Event()
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []

    async def listen(self, port: int, reader_name: str) -> None:
        """Serve one entry on a port of its own."""
        serve = partial(self._serve, reader_name)
        self._servers.append(await asyncio.start_server(serve, HOST, port))

    async def _wait_for_heal(self, name: str) -> None:
        while name in self.cut:
            await self._healed.wait()

    def heal(self) -> None:
        """End all cuts."""
        self.cut.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    def put_json(self, table: str, key: str, value: object) -> float:
        """Write a row, as an operator or a runner does; return when it was acknowledged."""
        self._put(table, "", key, b64encode(json.dumps(value).encode()).decode())
        return time.monotonic()

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._put(table, "", key, None)

    def _put(self, table: str, part: str, key: str, value: str | None) -> None:
        self.version += 1
        self.log.append((self.version, table, part, key, value))
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[table, part, key] = self.version, value
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                parts = urlsplit(request.target)
                request.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                await self._wait_for_heal(name)  # The request is under way until then.
                reply = await self._answer(name, parts.path, request)
                await self._wait_for_heal(name)  # And the answer, if the cut began meanwhile.
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # The connection is reset, or the case is over.
        finally:
            writer.close()

    async def _answer(self, name: str, path: str, request: Message) -> bytes:
        await asyncio.sleep(ANSWER_SECONDS)
        if path == "/v1/rows-get":
            return json_answer(200, self._read(request.query))
        if path == "/v1/rows-feed":
            self.read_at[name, request.query["table"]] = time.monotonic()
            return json_answer(200, await self._feed(request.query))
        if path == "/v1/rows-tx" and request.method == "POST":
            await asyncio.sleep(WRITE_SECONDS)
            return json_answer(*self._transact(json.loads(request.body)))
        return answer(404)

    def _now(self) -> dict[str, int]:
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _row(self, at: tuple[str, str, str]) -> dict[str, object]:
        version, value = self.rows.get(at, (0, None))
        table, part, key = at
        row: dict[str, object] = {"table": table, "part": part, "tlsKey": key, "ver": version}
        return row if value is None else {**row, "value": value}

    def _read(self, query: dict[str, str]) -> dict[str, object]:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("rangeStart", ""), query.get("targetVersion")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        keys = sorted(
            each
            for each in self.rows
            if each[:2] == (table, part) and each[2] >= first and (end is None or each[2] < end)
        )
        rows = [self._row(each) for each in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, **self._now()}

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        table, after = query["table"], int(query["afterRev"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while not (rows := self._changes(table, after)):
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                break
        return {"rows": rows, **self._now()}

    def _changes(self, table: str, after: int) -> list[dict[str, object]]:
        return [
            {"table": name, "part": part, "tlsKey": key, "ver": version}
            | ({"gone": True} if value is None else {"value": value})
            for version, name, part, key, value in self.log
            if version > after and name == table
        ]

    def _transact(self, body: dict) -> tuple[int, dict[str, object]]:
        def place(each: dict) -> tuple[str, str, str]:
            return each["table"], each.get("part", ""), each["tlsKey"]

        conditions = body.get("expectedRev", ())
        stale = [each for each in conditions if self.rows.get(place(each), (0,))[0] != each["ver"]]
        if stale:
            return 412, {"rows": [self._row(place(each)) for each in conditions], **self._now()}
        for each in body.get("put", ()):
            self._put(*place(each), each["value"])
        for each in body.get("remove", ()):
            self._put(*place(each), None)
        return 200, self._now()

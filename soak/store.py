"""A stand-in for the platform's store: rows in memory, conditional writes and a change feed."""

import json
from base64 import b64encode
from collections import Counter
from dataclasses import dataclass, field

import trio

from deckcourse.http1.message import IncomingRequest
from deckcourse.http1.server import Exchange
from soak.wire import JSON_HEADERS, parse_target

__all__ = ["StandinStore"]


@dataclass
class StandinStore:
    """Rows by (table, key); `log` holds every change as (version, table, key, value).

    With `keeps_unchanged` a write of a runner that changes nothing is no change, so that reads of
    their table wait. `writes` counts all writes of each row.
    """

    rows: dict[tuple[str, str], tuple[int, str]] = field(default_factory=dict)
    log: list[tuple[int, str, str, str | None]] = field(default_factory=list)
    version: int = 0
    refuses: bool = False
    keeps_unchanged: bool = False
    writes: Counter[tuple[str, str]] = field(default_factory=Counter)
    changed: trio.Event = field(default_factory=trio.Event)

    def put(self, table: str, key: str, value: str | None) -> None:
        """Write a row with an encoded value; None removes it."""
        self.writes[table, key] += 1
        is_unchanged = self.rows.get((table, key), (0, None))[1] == value
        if self.keeps_unchanged and table == "servers" and is_unchanged:
            return
        self.version += 1
        self.log.append((self.version, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = trio.Event()

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row with a JSON value."""
        self.put(table, key, b64encode(json.dumps(value).encode()).decode())

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer a read, a transaction or a feed request."""
        path, fields = parse_target(request)
        if self.refuses:
            await exchange.respond(503, JSON_HEADERS, b"{}")
        elif path == "/v1/rows-tx":
            status, answer = self._transact(json.loads(request.body))
            await exchange.respond(status, JSON_HEADERS, json.dumps(answer).encode())
        elif path == "/v1/rows-feed":
            await self._feed(fields, exchange)
        else:
            await exchange.respond(200, JSON_HEADERS, json.dumps(self._read(fields)).encode())

    def _read(self, fields: dict[str, str]) -> dict[str, object]:
        table, first = fields["table"], fields.get("rangeStart", "")
        keys = sorted(key for row_table, key in self.rows if row_table == table and key >= first)
        limit = int(fields.get("limit", 500))
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, "ver": self.version}

    def _row(self, table: str, key: str) -> dict[str, object]:
        version, value = self.rows.get((table, key), (0, ""))
        return {"table": table, "part": "", "tlsKey": key, "ver": version, "value": value}

    def _transact(self, body: dict) -> tuple[int, dict[str, object]]:
        expected = [(each["table"], each["tlsKey"], each["ver"]) for each in body["expectedRev"]]
        conflicts = [each for each in expected if self.rows.get(each[:2], (0, ""))[0] != each[2]]
        if conflicts:
            rows = [self._row(table, key) for table, key, _ in conflicts]
            return 412, {"rows": rows, "ver": self.version}
        for each in body["put"]:
            self.put(each["table"], each["tlsKey"], each["value"])
        for each in body["remove"]:
            self.put(each["table"], each["tlsKey"], None)
        return 200, {"ver": self.version}

    async def _feed(self, fields: dict[str, str], exchange: Exchange) -> None:
        table, after = fields["table"], int(fields["afterRev"])
        with trio.move_on_after(int(fields["waitMs"]) / 1000):
            while not any(
                version > after and row_table == table for version, row_table, _, _ in self.log
            ):
                await self.changed.wait()
        rows = [
            {"tlsKey": key, "ver": version, "value": value, "gone": value is None}
            for version, row_table, key, value in self.log
            if version > after and row_table == table
        ]
        answer = {"rows": rows, "ver": self.version}
        await exchange.respond(200, JSON_HEADERS, json.dumps(answer).encode())

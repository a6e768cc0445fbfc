"""A stand-in of the platform's store: rows in memory, conditional writes, a feed of changes."""

import json
from base64 import b64encode
from dataclasses import dataclass, field

import trio

from deckcourse.http1.server import Exchange, IncomingRequest
from soak.wire import JSON_TYPE, fields_of

__all__ = ["StandinStore"]


@dataclass
class StandinStore:
    """All rows by (table, key); `log` holds every change as (version, table, key, value)."""

    rows: dict[tuple[str, str], tuple[int, str]] = field(default_factory=dict)
    log: list[tuple[int, str, str, str | None]] = field(default_factory=list)
    version: int = 0
    refuses: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    def put(self, table: str, key: str, value: str | None) -> None:
        """Write a row, encoded; None removes it."""
        self.version += 1
        self.log.append((self.version, table, key, value))
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.changed.set()
        self.changed = trio.Event()

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row that holds JSON."""
        self.put(table, key, b64encode(json.dumps(value).encode()).decode())

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer one call."""
        path, fields = fields_of(request)
        if self.refuses:
            await exchange.respond(503, JSON_TYPE, b"{}")
        elif path == "/v1/rows-tx":
            status, answer = self._transact(json.loads(request.body))
            await exchange.respond(status, JSON_TYPE, json.dumps(answer).encode())
        elif path == "/v1/rows-feed":
            await self._feed(fields, exchange)
        else:
            await exchange.respond(200, JSON_TYPE, json.dumps(self._read(fields)).encode())

    def _read(self, fields: dict[str, str]) -> dict[str, object]:
        table, first = fields["table"], fields.get("rangeStart", "")
        keys = sorted(key for name, key in self.rows if name == table and key >= first)
        limit = int(fields.get("limit", 500))
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, "ver": self.version}

    def _row(self, table: str, key: str) -> dict[str, object]:
        version, value = self.rows.get((table, key), (0, ""))
        return {"table": table, "part": "", "tlsKey": key, "ver": version, "value": value}

    def _transact(self, body: dict) -> tuple[int, dict[str, object]]:
        places = [(each["table"], each["tlsKey"], each["ver"]) for each in body["expectedRev"]]
        wrong = [each for each in places if self.rows.get(each[:2], (0, ""))[0] != each[2]]
        if wrong:
            rows = [self._row(table, key) for table, key, _ in wrong]
            return 412, {"rows": rows, "ver": self.version}
        for each in body["put"]:
            self.put(each["table"], each["tlsKey"], each["value"])
        for each in body["remove"]:
            self.put(each["table"], each["tlsKey"], None)
        return 200, {"ver": self.version}

    async def _feed(self, fields: dict[str, str], exchange: Exchange) -> None:
        table, after = fields["table"], int(fields["afterRev"])
        with trio.move_on_after(int(fields["waitMs"]) / 1000):
            while not any(at > after and name == table for at, name, _, _ in self.log):
                await self.changed.wait()
        rows = [
            {"tlsKey": key, "ver": at, "value": value, "gone": value is None}
            for at, name, key, value in self.log
            if at > after and name == table
        ]
        answer = {"rows": rows, "ver": self.version}
        await exchange.respond(200, JSON_TYPE, json.dumps(answer).encode())

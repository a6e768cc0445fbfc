"""A stand-in for the platform's store: rows, conditional transactions and the feed of changes."""

import asyncio
import json
from base64 import b64encode
from time import monotonic
from urllib.parse import parse_qs

from lab.wire import Request

__all__ = ["Store"]


class Store:
    """The rows by table and key; each change has the next version of one counter."""

    def __init__(self) -> None:
        self._version = 0
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._log: list[tuple[int, str, str, str | None]] = []
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: str | None) -> None:
        """Write a row with its encoded value, or remove it.

        A status report of a runner that changes nothing doesn't change its entry.
        """
        if table == "servers" and self._rows.get((table, key), (0, None))[1] == value:
            return
        self._version += 1
        if value is None:
            self._rows.pop((table, key), None)
        else:
            self._rows[table, key] = self._version, value
        self._log.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a runner does."""
        self.put(table, key, b64encode(json.dumps(value).encode()).decode())

    async def handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        path, _, query = request.target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        status, answer = 404, {}
        if path == "/v1/rows-get":
            status, answer = 200, self._get(fields)
        elif path == "/v1/rows-feed":
            status, answer = 200, await self._feed(fields)
        elif path == "/v1/rows-tx":
            status, answer = self._transact(json.loads(request.body))
        body = json.dumps({**answer, "now_ms": monotonic() * 1000}).encode()
        head = f"HTTP/1.1 {status} .\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    def _get(self, fields: dict[str, str]) -> dict[str, object]:
        table, first = fields["table"], fields.get("rangeStart", "")
        keys = sorted(key for other, key in self._rows if other == table and key >= first)
        limit = int(fields.get("limit", "500"))
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "more": len(keys) > limit, "ver": self._version}

    def _row(self, table: str, key: str) -> dict[str, object]:
        version, value = self._rows.get((table, key), (0, ""))
        return {"table": table, "part": "", "tlsKey": key, "ver": version, "value": value}

    async def _feed(self, fields: dict[str, str]) -> dict[str, object]:
        table, after = fields["table"], int(fields["afterRev"])
        end = monotonic() + int(fields.get("waitMs", "0")) / 1000
        while True:
            rows = [each for each in self._log if each[0] > after and each[1] == table]
            left = end - monotonic()
            if rows or left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue
        changed = [
            {"table": table, "part": "", "tlsKey": key, "ver": version}
            | ({"gone": True} if value is None else {"value": value})
            for version, _, key, value in rows
        ]
        return {"rows": changed, "ver": self._version}

    def _transact(self, body: dict) -> tuple[int, dict[str, object]]:
        named = [(each["table"], each["tlsKey"]) for each in body.get("expectedRev", [])]
        wanted = [each["ver"] for each in body.get("expectedRev", [])]
        found = [self._rows.get(each, (0, ""))[0] for each in named]
        if found != wanted:
            return 412, {"rows": [self._row(*each) for each in named], "ver": self._version}
        for each in body.get("put", []):
            self.put(each["table"], each["tlsKey"], each["value"])
        for each in body.get("remove", []):
            self.put(each["table"], each["tlsKey"], None)
        return 200, {"ver": self._version}

"""A stand-in for one boot of a plain runner, as a process: `python3 -m lab.runner JSON`.

It keeps its row in the store, checks `X-Expected-Instance`, and answers each request after its
work. What it runs and sends is written to standard output, one JSON object a line.
"""

import asyncio
import json
import os
import sys
from base64 import b64encode
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from hashlib import sha256

from lab.wire import Request, serve

__all__ = ["whole_body"]

HEARTBEAT_SECONDS = 1.2
# Told on standard input: the runner leaves (its entry goes, and it serves on), or ends.
LEAVE_LINE = "leave"
END_LINE = "end"


def whole_body(request_id: str, size: int) -> bytes:
    """Return the body that any runner answers to a request, of the given size."""
    pattern = f"answer to {request_id}: {sha256(request_id.encode()).hexdigest()} ".encode()
    return (pattern * (size // len(pattern) + 1))[:size]


class _Runner:
    def __init__(self, spec: dict) -> None:
        self._spec = spec
        self._slots = asyncio.Semaphore(spec["slots"])
        self._is_leaving = False
        self._removal: asyncio.Task | None = None

    def _record(self, **fields: object) -> None:
        os.write(1, json.dumps({"runner": self._spec["id"], **fields}).encode() + b"\n")

    async def run(self) -> None:
        host, port = self._spec["address"].split(":")
        await serve(host, int(port), self._handle, self._queue)
        asyncio.get_running_loop().add_reader(0, self._on_line)
        while True:
            if not self._is_leaving:
                await self._write_row()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _on_line(self) -> None:
        line = sys.stdin.readline().strip()
        if line == LEAVE_LINE:
            self._is_leaving = True
            self._removal = asyncio.create_task(self._remove_row())
        elif line == END_LINE:
            self._record(ends=self._spec["id"])
            os._exit(0)
        elif not line:
            asyncio.get_running_loop().remove_reader(0)

    async def _write_row(self) -> None:
        spec = self._spec
        row = {
            "service": spec["service"],
            "address": spec["address"],
            "zone": spec["zone"],
            "version": "1",
            "slots": spec["slots"],
            "state": "ready",
            "coldLeftMs": 0,
            "sequence": 1,
        }
        value = b64encode(json.dumps(row).encode()).decode()
        await self._transact({"put": [{**self._key, "value": value}], "remove": []})

    async def _remove_row(self) -> None:
        await self._transact({"put": [], "remove": [self._key]})
        self._record(acked="gone")

    @property
    def _key(self) -> dict[str, str]:
        return {"table": "servers", "part": "", "tlsKey": self._spec["id"]}

    async def _transact(self, entries: dict) -> None:
        store = self._spec["store"]
        body = json.dumps({"expectedRev": [], **entries}).encode()
        host, port = store.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /v1/rows-tx HTTP/1.1\r\nHost: {store}\r\n"
        writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await reader.readuntil(b"\r\n\r\n")
        writer.close()

    async def _handle(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers.get("x-request-id", "")
        expected = request.headers.get("x-expected-instance", self._spec["id"])
        if request.target == "/health":
            await self._send(writer, 200, {"X-Instance-Id": self._spec["id"]}, b"")
            return
        if not request_id or expected != self._spec["id"]:
            headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            await self._send(writer, 421 if request_id else 400, headers, b"")
            return
        if self._spec["queues_bodies"]:
            await self._run(request, writer)
            return
        async with self._slots:
            await self._run(request, writer)

    @asynccontextmanager
    async def _queue(self, request: Request) -> AsyncIterator[None]:
        """With `queues_bodies`, the body of a request is read only once it has a slot."""
        request_id = request.headers.get("x-request-id", "")
        if not self._spec["queues_bodies"] or not request_id:
            yield
            return
        self._record(arrives=request_id)
        async with self._slots:
            yield

    async def _run(self, request: Request, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers["x-request-id"]
        self._record(runs=request_id, method=request.method, target=request.target)
        await asyncio.sleep(self._spec["work_s"])
        await self._answer(request_id, writer)

    async def _answer(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        body = whole_body(request_id, self._spec["size"])
        headers = {"X-Request-Id": request_id, "X-Response-Seal": f"seal.{self._spec['id']}"}
        if not self._spec["unframed"]:
            await self._send(writer, 200, headers, body)
            self._record(answered=request_id, bytes=len(body))
            return
        # No length: the answer ends with its connection.
        half = len(body) // 2
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
        writer.write(head.encode() + body[:half])
        await writer.drain()
        self._record(sent=request_id, bytes=half, of=len(body))
        await asyncio.sleep(self._spec["pause_s"])
        writer.write(body[half:])
        await writer.drain()
        writer.close()
        self._record(answered=request_id, bytes=len(body))

    async def _send(
        self, writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        if self._is_leaving:
            lines.append("Connection: close")
        head = "\r\n".join([f"HTTP/1.1 {status} .", *lines, f"Content-Length: {len(body)}", "", ""])
        writer.write(head.encode() + body)
        await writer.drain()
        if self._is_leaving:
            writer.close()


if __name__ == "__main__":
    asyncio.run(_Runner(json.loads(sys.argv[1])).run())

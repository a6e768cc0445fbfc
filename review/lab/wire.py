"""A small HTTP/1.1 server and client over asyncio, with nothing but the standard library."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from contextlib import AbstractAsyncContextManager, nullcontext
from dataclasses import dataclass, field

__all__ = ["Answer", "Caller", "Request", "free_port", "serve"]

MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Request:
    """A request with its body; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Answer:
    """What a caller received: `status` is 0 without a head, `end` tells how it ended."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    end: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether the answer looks complete to a caller."""
        return self.end == "complete"


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]
# Entered with a request before its body is read, left when it is answered or its connection broke.
Gate = Callable[[Request], AbstractAsyncContextManager[None]]


def free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def _serve_connection(
    handler: Handler,
    gate: Gate,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        while (head := await _read_head(reader)) is not None:
            method, target, _ = head[0].split(" ", 2)
            length = int(head[1].get("content-length", "0"))
            async with gate(Request(method, target, head[1], b"")):
                body = await reader.readexactly(length)
                await handler(Request(method, target, head[1], body), writer)
            if writer.is_closing():
                return
    except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
        pass  # The other side is gone, or the run is over.
    finally:
        writer.close()


async def serve(
    host: str, port: int, handler: Handler, gate: Gate = lambda request: nullcontext()
) -> asyncio.Server:
    """Serve requests at an address, one at a time on each connection."""
    return await asyncio.start_server(
        lambda reader, writer: _serve_connection(handler, gate, reader, writer),
        host,
        port,
        limit=MAX_HEAD_BYTES,
        backlog=256,
    )


class Caller:
    """One connection of a caller, for many requests."""

    def __init__(self, host: str, port: int) -> None:
        self._address = host, port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    @property
    def is_open(self) -> bool:
        """Whether the connection of an earlier request is still open, as far as it is known."""
        return self._writer is not None and not self._reader.at_eof()

    async def ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes, seconds: float
    ) -> Answer:
        """Send a request and return what came within a time."""
        answer = Answer()
        try:
            async with asyncio.timeout(seconds):
                await self._ask(method, target, headers, body, answer)
        except TimeoutError:
            answer.end = "no end in time"
            self.close()
        except (ConnectionError, asyncio.IncompleteReadError) as error:
            answer.end = f"cut: {type(error).__name__}"
            self.close()
        return answer

    async def _ask(
        self, method: str, target: str, headers: dict[str, str], body: bytes, answer: Answer
    ) -> None:
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                *self._address, limit=MAX_HEAD_BYTES
            )
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await self._writer.drain()
        head = await _read_head(self._reader)
        if head is None:
            answer.end = "cut: closed without an answer"
            self.close()
            return
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        await self._read_body(answer)

    async def _read_body(self, answer: Answer) -> None:
        reader = self._reader
        if answer.headers.get("transfer-encoding", "") == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).partition(b";")[0], 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            while len(answer.body) < length:
                data = await reader.read(min(65536, length - len(answer.body)))
                if not data:
                    answer.end = "cut: inside the body"
                    self.close()
                    return
                answer.body += data
        else:
            answer.body = await reader.read()
            self.close()
        answer.end = "complete"
        if "close" in answer.headers.get("connection", "").lower():
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

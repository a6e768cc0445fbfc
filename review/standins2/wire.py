"""HTTP/1.1 over asyncio, as far as the stand-ins need it."""

import asyncio
import json
import random
import socket
from dataclasses import dataclass, field

# A loopback address for this run alone, so that runs at the same time share no ports.
HOST = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}.1"
FIRST_PORT = 12_000
END_PORT = 32_000

_given_ports: set[int] = set()


@dataclass
class Message:
    """A request or an answer; `start` is its first line, header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    query: dict[str, str] = field(default_factory=dict)

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.start.split(" ")[1]

    @property
    def is_framed(self) -> bool:
        """Whether the message itself tells where its body ends."""
        return bool(self.headers.keys() & {"content-length", "transfer-encoding"})

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])


def free_port() -> int:
    """Return a port that nobody uses, below those that connections get from the system."""
    while True:
        port = random.randrange(FIRST_PORT, END_PORT)
        if port in _given_ports:
            continue
        _given_ports.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as each:
                    each.bind((HOST, port))
        except OSError:
            continue
        return port


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message of a connection, None once it is closed."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    pairs = (each.partition(":") for each in lines if each)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while size := int(await reader.readline(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(start, headers, body)


def answer(status: int, body: bytes = b"", headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def json_answer(status: int, value: object) -> bytes:
    """Return the bytes of an answer whose body is JSON."""
    return answer(status, json.dumps(value).encode(), {"Content-Type": "application/json"})


async def ask(
    port: int, data: bytes, seconds: float, reader_limit: int = 1 << 20
) -> Message | None:
    """Send a request on a new connection; return its answer, None without one in time."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(HOST, port, limit=reader_limit)
            writer.write(data)
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()

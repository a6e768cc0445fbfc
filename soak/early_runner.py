"""Stand-in runners that answer before they have read a long body, and read the rest later.

They run in the process of the soak and speak HTTP without a library, since what arrives where the
rest of a body is due may belong to another request. Small buffers keep that rest unsent for long.
"""

import json
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

import trio

from soak.configuration import EARLY_SERVICE
from soak.store import StandinStore
from soak.wire import BACKLOG, HOST, free_port

__all__ = ["BODY_BYTES", "BodyCheck", "EarlyRunner", "early_body"]

ROW_WRITE_INTERVAL_SECONDS = 0.4
# Above what the buffers between an entry and a runner hold.
BODY_BYTES = 160 * 1024
SMALL_BUFFER_BYTES = 4096
SMALL_SEGMENT_BYTES = 1400
MAX_READ_BYTES = 16 * 1024
# The share of requests that are answered early, and how long the rest of each body waits.
EARLY_SHARE = 0.8
MAX_REST_WAIT_SECONDS = 1.2
HEAD_END = b"\r\n\r\n"
# How many bytes of a wrong body a message shows.
MAX_SHOWN_BYTES = 80


def early_body(request_id: str, size: int = BODY_BYTES) -> bytes:
    """Return the body of a request, which no other request has in any part of a line's length."""
    line = f"{request_id} ".encode()
    return (line * (size // len(line) + 1))[:size]


@dataclass
class BodyCheck:
    """Compares what a runner receives with the body that is due."""

    due: bytes
    received: int = 0
    wrong_at: int | None = None
    wrong: bytes = b""

    @property
    def is_whole(self) -> bool:
        """Whether as many bytes have come as are due."""
        return self.received >= len(self.due)

    def feed(self, data: bytes) -> None:
        """Compare the next bytes; the first that differ are kept."""
        due = self.due[self.received : self.received + len(data)]
        if self.wrong_at is None and data[: len(due)] != due:
            same = next(
                number
                for number, pair in enumerate(zip(data, due, strict=False))
                if pair[0] != pair[1]
            )
            self.wrong_at = self.received + same
            self.wrong = data[same:][:MAX_SHOWN_BYTES]
        self.received += len(data)


@dataclass
class _Received:
    """The bytes of a connection that no request has consumed yet."""

    stream: trio.SocketStream
    data: bytes = b""

    async def more(self) -> bool:
        """Receive some bytes; return whether the connection is still open."""
        try:
            received = await self.stream.receive_some(MAX_READ_BYTES)
        except trio.BrokenResourceError:  # It was reset, since our answer wasn't read.
            return False
        self.data += received
        return bool(received)

    def take(self, count: int) -> bytes:
        """Remove and return up to a number of the bytes."""
        taken, self.data = self.data[:count], self.data[count:]
        return taken


@dataclass
class EarlyRunner:
    """A runner of the route that gets long bodies.

    Args:
      name: its id in the store.
      domain: its domain.
      store: where its row stands.
      random: chooses what is answered early, and when the rest is read.
    """

    name: str
    domain: str
    store: StandinStore
    random: Random
    violations: list[str] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)
    early_answers: int = 0
    # Early answers whose connections ended before the rest of the body had come.
    given_up: int = 0
    _port: int = field(default_factory=free_port)
    _born: int = field(default_factory=lambda: int(time.time() * 1000))

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve, and write the row, until cancelled."""
        sock = trio.socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)
        await sock.bind((HOST, self._port))
        sock.listen(BACKLOG)
        task_status.started()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._write_rows)
            await trio.serve_listeners(
                self._serve, [trio.SocketListener(sock)], handler_nursery=nursery
            )

    async def _write_rows(self) -> None:
        row = {
            "service": EARLY_SERVICE, "address": f"{HOST}:{self._port}", "zone": self.domain,
            "slots": 24, "state": "ready", "kind": "", "layers": None, "models": [],
            "born": self._born,
        }  # fmt: skip
        while True:
            self.store.put_json("servers", self.name, row)
            await trio.sleep(ROW_WRITE_INTERVAL_SECONDS)

    async def _serve(self, stream: trio.SocketStream) -> None:
        received = _Received(stream)
        try:
            async with stream:
                while await self._answer(received):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def _answer(self, received: _Received) -> bool:
        """Answer the next request; return whether another one may follow."""
        while HEAD_END not in received.data:
            if not await received.more():
                return False
        head = received.take(received.data.index(HEAD_END) + len(HEAD_END))
        request_line, *lines = head.decode("latin-1").split("\r\n")
        fields = {
            name.lower(): value for name, _, value in (each.partition(": ") for each in lines)
        }
        if request_line.startswith("GET "):
            await self._send(received.stream, (), json.dumps(self._report()).encode())
            return True
        request_id = fields.get("x-request-id", "")
        check = BodyCheck(early_body(request_id, int(fields.get("content-length", 0))))
        self.runs.append(request_id)
        is_early = self.random.random() < EARLY_SHARE
        if is_early:
            self.early_answers += 1
            await self._send_answer(received.stream, request_id)
        await trio.sleep(self.random.uniform(0.0, MAX_REST_WAIT_SECONDS))
        is_whole = await self._read_body(received, check)
        if check.wrong_at is not None:
            self.violations.append(
                f"{self.name} received {check.wrong!r} at byte {check.wrong_at} of the body of"
                f" {request_id}{', which it had answered' if is_early else ''}"
            )
            return False
        self.given_up += is_early and not is_whole
        if is_whole and not is_early:
            await self._send_answer(received.stream, request_id)
        return is_whole

    async def _read_body(self, received: _Received, check: BodyCheck) -> bool:
        """Read the body; return whether all of it came before the end of the connection."""
        while True:
            check.feed(received.take(len(check.due) - check.received))
            if check.is_whole or check.wrong_at is not None:
                return check.is_whole
            if not await received.more():
                return False

    def _report(self) -> dict[str, object]:
        return {
            "sequence": 0, "running": 0, "queued": 0, "kvUsed": 0, "kvTotal": 1, "stalled": [],
            "first": 0, "end": 0, "born": self._born, "layers": None, "utilization": False,
        }  # fmt: skip

    async def _send_answer(self, stream: trio.SocketStream, request_id: str) -> None:
        headers = (("X-Request-Id", request_id), ("X-Response-Seal", f"seal-{request_id}"))
        await self._send(stream, headers, f"answer to {request_id}".encode())

    @staticmethod
    async def _send(
        stream: trio.SocketStream, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        lines = [f"{name}: {value}" for name, value in headers]
        lines = ["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(body)}", "", ""]
        await stream.send_all("\r\n".join(lines).encode() + body)

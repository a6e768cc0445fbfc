"""A TCP proxy on the loopback address that delays, cuts, silences or resets what passes it."""

import socket
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from soak.wire import BACKLOG, HOST, reset

__all__ = ["Mode", "Proxy"]

# The most that is read at once, bytes.
CHUNK_BYTES = 64 * 1024
# What a narrow proxy reads and keeps at once, and the longest segment it takes, bytes: the sender
# soon feels a slow reader behind it.
NARROW_BYTES = 4096
NARROW_SEGMENT_BYTES = 1400


class Mode(StrEnum):
    """What a proxy does with bytes."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one-way"


@dataclass
class Proxy:
    """Passes connections to `port` on to `target`; bytes held up by a cut are passed on later.

    A `narrow` one keeps little of what goes outwards, so that a slow reader holds its sender up.
    """

    port: int
    target: int
    narrow: bool = False
    mode: Mode = Mode.PASS
    delay: float = 0.0
    changed: trio.Event = field(default_factory=trio.Event)
    _pairs: set[tuple[trio.SocketStream, trio.SocketStream]] = field(default_factory=set)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{HOST}:{self.port}"

    def set(self, mode: Mode, delay: float = 0.0) -> None:
        """Change what it does from now on."""
        self.mode, self.delay = mode, delay
        self.changed.set()
        self.changed = trio.Event()

    def reset(self) -> None:
        """Reset every connection that passes."""
        for pair in list(self._pairs):
            for stream in pair:
                reset(stream)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Pass connections on until cancelled."""
        (listener,) = await trio.open_tcp_listeners(self.port, host=HOST, backlog=BACKLOG)
        task_status.started()
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._connect, await listener.accept())

    async def _open_far(self) -> trio.SocketStream:
        sock = trio.socket.socket()
        try:
            if self.narrow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BYTES)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, NARROW_SEGMENT_BYTES)
            await sock.connect((HOST, self.target))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def _connect(self, near: trio.SocketStream) -> None:
        await self._let_through(True)
        try:
            far = await self._open_far()
        except OSError:
            reset(near)
            return
        if self.narrow:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, NARROW_BYTES)
        pair = (near, far)
        self._pairs.add(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass_on, near, far, True)
                nursery.start_soon(self._pass_on, far, near, False)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # One side is gone; the other learns of it by the reset below.
        finally:
            self._pairs.discard(pair)
            for stream in pair:
                reset(stream)

    async def _pass_on(
        self, source: trio.SocketStream, sink: trio.SocketStream, inwards: bool
    ) -> None:
        most = NARROW_BYTES if self.narrow else CHUNK_BYTES
        while data := await source.receive_some(most):
            await self._let_through(inwards)
            await sink.send_all(data)
        await self._let_through(inwards)
        await sink.send_eof()

    async def _let_through(self, inwards: bool) -> None:
        """Wait for as long as bytes in a direction are held up."""
        while self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and not inwards):
            await self.changed.wait()
        if self.mode is Mode.DELAY:
            await trio.sleep(self.delay)

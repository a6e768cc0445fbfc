"""A TCP proxy on the loopback address that delays, blocks or resets its connections."""

import socket
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from soak.wire import BACKLOG, HOST, reset

__all__ = ["Mode", "Proxy"]

CHUNK_BYTES = 64 * 1024
# The read size, the socket buffers and the largest segment of a proxy with small buffers, so that a
# slow reader soon blocks the sender.
NARROW_BYTES = 4096
NARROW_SEGMENT_BYTES = 1400


class Mode(StrEnum):
    """What a proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one-way"


@dataclass
class Proxy:
    """Forwards connections from `port` to `target`; blocked bytes are forwarded later.

    With `small_buffers` it buffers little of the output, so that a slow reader blocks its sender.
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
        """The address that the proxy listens on."""
        return f"{HOST}:{self.port}"

    def set(self, mode: Mode, delay: float = 0.0) -> None:
        """Change the mode from now on."""
        self.mode, self.delay = mode, delay
        self.changed.set()
        self.changed = trio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._pairs):
            for stream in pair:
                reset(stream)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept and forward connections until cancelled."""
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
            pass  # One side is closed; the other one is reset below.
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
        """Wait while bytes in a direction are blocked or delayed."""
        while self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and not inwards):
            await self.changed.wait()
        if self.mode is Mode.DELAY:
            await trio.sleep(self.delay)

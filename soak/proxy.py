"""A TCP proxy on the loopback address that delays, blocks or resets its connections."""

import select
import socket
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

import trio

from soak.wire import BACKLOG, HOST, is_listening, reset

__all__ = ["Cut", "Mode", "Opening", "Partition", "Proxy"]

MAX_READ_BYTES = 64 * 1024
# The read size, the socket buffers and the largest segment of a proxy with small buffers, so that a
# slow reader soon blocks the sender.
SMALL_BUFFER_BYTES = 4096
SMALL_SEGMENT_BYTES = 1400
# How often a proxy that follows its target looks for it: while it is gone, and for some time after
# an end of a connection. A process that exits may close its connections before its listener.
TARGET_POLL_SECONDS = 0.005
TARGET_WATCH_SECONDS = 0.3


class Mode(StrEnum):
    """What a proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one-way"


class Cut(StrEnum):
    """What a partition does: to all connections, or only to new ones."""

    SILENT = "silent"
    RESET = "reset"
    NEW_REFUSED = "new connections refused"


@dataclass(eq=False)
class Partition:
    """A partition of some clients; `includes` returns whether a client's port is one of theirs."""

    how: Cut
    includes: Callable[[int], bool]


@dataclass
class Opening:
    """A connection that a client opened, by its port, and whether the target took it."""

    port: int
    at: float
    is_taken: bool = False


@dataclass
class Proxy:
    """Forwards connections from `port` to `target`; blocked bytes are forwarded later.

    With `small_buffers` it buffers little of the output, so that a slow reader blocks its sender.
    With `follows_target` it refuses connections while its target does, as the target's own address
    would; on a link that is silent nothing is refused, since no refusal would arrive.
    """

    port: int
    target: int
    small_buffers: bool = False
    follows_target: bool = False
    mode: Mode = Mode.PASS
    delay_seconds: float = 0.0
    mode_changed: trio.Event = field(default_factory=trio.Event)
    partition: Partition | None = None
    # When the target refused a connection, by the port of its client.
    refused_at: dict[int, float] = field(default_factory=dict)
    openings: list[Opening] = field(default_factory=list)
    # When the latest bytes of a client were passed on to the target, by the port of the client.
    # Bytes that cross the target's close of the connection don't count: it has not read them.
    passed_on_at: dict[int, float] = field(default_factory=dict)
    _connections: set[tuple[trio.SocketStream, trio.SocketStream]] = field(default_factory=set)
    # The connections whose bytes the partition holds back.
    _silenced: set[trio.SocketStream] = field(default_factory=set)
    # The connections that forward nothing any more, not even a close.
    _silent_for_good: set[trio.SocketStream] = field(default_factory=set)
    # The latest request line on each accepted connection.
    _requests: dict[trio.SocketStream, bytes] = field(default_factory=dict)
    # When the latest request came whose line holds certain bytes.
    _noted_at: dict[bytes, float] = field(default_factory=dict)
    _listener: trio.SocketListener | None = None
    # Until when an end of a connection may have been the end of the target, on trio's clock.
    _watch_until: float = float("-inf")
    _connection_ended: trio.Event = field(default_factory=trio.Event)

    @property
    def address(self) -> str:
        """The address that the proxy listens on."""
        return f"{HOST}:{self.port}"

    def set_mode(self, mode: Mode, delay_seconds: float = 0.0) -> None:
        """Change the mode from now on."""
        self.mode, self.delay_seconds = mode, delay_seconds
        self._close_if_target_gone()
        self.mode_changed.set()
        self.mode_changed = trio.Event()

    def begin_partition(self, partition: Partition) -> None:
        """Partition some clients from the target, on open connections and for new ones."""
        self.partition = partition
        for pair in list(self._connections):
            if partition.how is Cut.NEW_REFUSED or not partition.includes(_port_of(pair[0])):
                continue
            if partition.how is Cut.SILENT:
                self._silenced |= set(pair)
                continue
            for stream in pair:
                reset(stream)

    def end_partition(self) -> None:
        """End the partition; bytes that it held back are forwarded now."""
        self.partition = None
        self._silenced.clear()
        self._close_if_target_gone()
        self.mode_changed.set()
        self.mode_changed = trio.Event()

    def note_requests(self, part: bytes) -> None:
        """Note when requests come whose line holds some bytes; see `noted_at`."""
        self._noted_at.setdefault(part, float("-inf"))

    def noted_at(self, part: bytes) -> float:
        """Return when the latest such request came, on trio's clock."""
        return self._noted_at[part]

    def _note_request(self, source: trio.SocketStream, line: bytes) -> None:
        self._requests[source] = line
        for part in self._noted_at:
            if part in line:
                self._noted_at[part] = trio.current_time()

    def silence_open(self, includes: Callable[[bytes], bool]) -> int:
        """Silence open connections for good, while new ones work; return how many.

        Args:
          includes: returns whether to silence a connection, by the latest request line on it.
        """
        found = [each for each in self._connections if includes(self._requests.get(each[0], b""))]
        for pair in found:
            self._silent_for_good |= set(pair)
        return len(found)

    def reset(self) -> None:
        """Reset all open connections."""
        for pair in list(self._connections):
            for stream in pair:
                reset(stream)

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Accept and forward connections until cancelled."""
        async with trio.open_nursery() as nursery:
            if self.follows_target:
                nursery.start_soon(self._watch_target)
                task_status.started()
            while True:
                while self._is_target_gone():
                    await trio.sleep(TARGET_POLL_SECONDS)
                (self._listener,) = await trio.open_tcp_listeners(
                    self.port, host=HOST, backlog=BACKLOG
                )
                if not self.follows_target:
                    task_status.started()
                await self._accept_connections(self._listener, nursery)

    async def _accept_connections(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept connections until the listener is closed."""
        with suppress(trio.ClosedResourceError):
            while True:
                nursery.start_soon(self._forward_connection, await listener.accept())

    async def _watch_target(self) -> None:
        """Look for the target after each end of a connection, until cancelled."""
        while True:
            await self._connection_ended.wait()
            self._connection_ended = trio.Event()
            while trio.current_time() < self._watch_until:
                self._close_if_target_gone()
                await trio.sleep(TARGET_POLL_SECONDS)

    def _note_end(self) -> None:
        """Note that the target ended a connection; called before its client is told."""
        self._close_if_target_gone()
        self._watch_until = trio.current_time() + TARGET_WATCH_SECONDS
        self._connection_ended.set()

    def _close_if_target_gone(self) -> None:
        if self._listener is not None and self._is_target_gone():
            self._listener.socket.close()
            self._listener = None

    def _is_target_gone(self) -> bool:
        is_silent = self.mode in (Mode.SILENT, Mode.ONE_WAY) or (
            self.partition is not None and self.partition.how is Cut.SILENT
        )
        return self.follows_target and not is_silent and not is_listening(self.target)

    async def _connect_to_target(self) -> trio.SocketStream:
        sock = trio.socket.socket()
        try:
            if self.small_buffers:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)
            await sock.connect((HOST, self.target))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def _forward_connection(self, accepted: trio.SocketStream) -> None:
        opening = Opening(_port_of(accepted), trio.current_time())
        self.openings.append(opening)
        partition = self.partition
        if partition is not None and partition.includes(_port_of(accepted)):
            if partition.how is not Cut.SILENT:
                reset(accepted)
                return
            self._silenced.add(accepted)
        await self._wait_while_blocked(True, accepted)
        try:
            target_stream = await self._connect_to_target()
        except OSError:
            self.refused_at[_port_of(accepted)] = trio.current_time()
            self._note_end()
            reset(accepted)
            return
        opening.is_taken = True
        if self.small_buffers:
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        pair = (accepted, target_stream)
        self._connections.add(pair)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward, accepted, target_stream, True)
                nursery.start_soon(self._forward, target_stream, accepted, False)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # One side is closed; the other one is reset below.
        finally:
            self._note_end()
            self._connections.discard(pair)
            self._silenced -= set(pair)
            self._silent_for_good -= set(pair)
            self._requests.pop(accepted, None)
            for stream in pair:
                reset(stream)

    async def _forward(
        self, source: trio.SocketStream, destination: trio.SocketStream, is_inbound: bool
    ) -> None:
        max_bytes = SMALL_BUFFER_BYTES if self.small_buffers else MAX_READ_BYTES
        while data := await source.receive_some(max_bytes):
            if is_inbound and b" HTTP/1.1\r\n" in data:
                self._note_request(source, data.partition(b"\r\n")[0])
            await self._wait_while_blocked(is_inbound, source)
            crosses_close = is_inbound and _has_ended(destination)
            await destination.send_all(data)
            if is_inbound and not crosses_close:
                self.passed_on_at[_port_of(source)] = trio.current_time()
        await self._wait_while_blocked(is_inbound, source)
        if not is_inbound:
            self._note_end()
        await destination.send_eof()

    async def _wait_while_blocked(self, is_inbound: bool, source: trio.SocketStream) -> None:
        """Wait while bytes from a connection in a direction are blocked or delayed."""
        while (
            self.mode is Mode.SILENT
            or (self.mode is Mode.ONE_WAY and not is_inbound)
            or source in self._silenced
            or source in self._silent_for_good
        ):
            await self.mode_changed.wait()
        if self.mode is Mode.DELAY:
            await trio.sleep(self.delay_seconds)


def _port_of(stream: trio.SocketStream) -> int:
    """Return the port of the client of a connection, 0 if it is gone."""
    try:
        return stream.socket.getpeername()[1]
    except OSError:
        return 0


def _has_ended(stream: trio.SocketStream) -> bool:
    """Return whether the other end has closed a connection, also if there are bytes to read."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))

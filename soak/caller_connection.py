"""A caller's connection to one entry: reused, parsed strictly and in some cases read slowly."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import trio

from soak.calls import Call

__all__ = ["CallerConnection", "Manner", "connect"]

READ_BYTES = 4096
# The receive buffer and the largest segment of a caller that reads slowly. Together they limit what
# a sender may have in flight.
NARROW_BYTES = 4096
NARROW_SEGMENT_BYTES = 1400
# How long a caller waits for surplus bytes after an answer with `Connection: close`.
LAST_LOOK_SECONDS = 0.3
CONNECT_SECONDS = 1.0


@dataclass(frozen=True)
class Manner:
    """How a caller reads one answer.

    `pauses` are (bytes, seconds): the caller pauses for this time after this number of bytes. It
    disconnects after `disconnects_after_bytes` or `disconnects_after_seconds`, whichever is first.
    """

    pauses: tuple[tuple[int, float], ...] = ()
    leaves_after: int | None = None
    leaves_in: float = float("inf")

    @classmethod
    def slow(cls, random: Random, most: int, longest: float, size: int) -> "Manner":
        """Draw the pauses in an answer of `answer_bytes` bytes."""
        places = sorted(random.randrange(size) for _ in range(random.randint(1, most)))
        return cls(tuple((each, random.uniform(0.1, longest)) for each in places))

    @classmethod
    def leaving(cls, random: Random, longest: float, size: int) -> "Manner":
        """Draw when the caller disconnects during an answer of `answer_bytes` bytes."""
        return cls((), random.randrange(size), random.uniform(0.0, longest))


class CallerConnection:
    """An open connection; `surplus` holds received bytes that belong to no request."""

    def __init__(self, entry: str, stream: trio.SocketStream) -> None:
        self.entry = entry
        self.surplus = b""
        self._stream = stream
        self._requests = 0

    async def usable(self) -> bool:
        """Return whether neither bytes nor a close arrived after the last answer."""
        if not self._stream.socket.is_readable():
            return True
        with suppress(trio.BrokenResourceError):  # The connection was reset.
            self.surplus = await self._stream.receive_some(READ_BYTES)
        return False

    async def ask(self, request: bytes, call: Call, manner: Manner) -> bool:
        """Send a request and read its answer; return whether the connection is reusable."""
        self._requests += 1
        call.number, call.entry = self._requests, self.entry
        with trio.move_on_after(manner.leaves_in) as leaving:
            try:
                await self._stream.send_all(request)
                await self._read(call, manner)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
        call.left |= leaving.cancelled_caught
        if not call.whole or call.unreadable:
            return False
        if b"close" in call.answer.header(b"connection").lower():
            await self._look_behind(call)
            return False
        return True

    async def _read(self, call: Call, manner: Manner) -> None:
        pauses = list(manner.pauses)
        got = 0
        while not call.whole:
            data = await self._stream.receive_some(READ_BYTES)
            got += len(data)
            if not data or not call.feed(data):
                return
            if manner.leaves_after is not None and got > manner.leaves_after and not call.whole:
                call.left = True
                return
            while pauses and pauses[0][0] < got:
                await trio.sleep(pauses.pop(0)[1])

    async def _look_behind(self, call: Call) -> None:
        """Check that no bytes follow an answer with `Connection: close`."""
        with trio.move_on_after(LAST_LOOK_SECONDS):
            data = await self._stream.receive_some(READ_BYTES)
            if data:
                call.feed(data)

    def close(self) -> None:
        """Close the socket immediately."""
        self._stream.socket.close()


async def connect(entry: str, small_buffers: bool) -> CallerConnection | None:
    """Return a new connection, or None if it can't be opened.

    Args:
      entry: the address, `IP:port`.
      small_buffers: whether to limit the bytes in flight from the sender.
    """
    host, _, port = entry.rpartition(":")
    sock = trio.socket.socket()
    if small_buffers:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, NARROW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, NARROW_SEGMENT_BYTES)
    try:
        with trio.fail_after(CONNECT_SECONDS):
            await sock.connect((host, int(port)))
    except (OSError, trio.TooSlowError):
        sock.close()
        return None
    except BaseException:
        sock.close()
        raise
    return CallerConnection(entry, trio.SocketStream(sock))

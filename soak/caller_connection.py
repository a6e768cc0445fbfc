"""A caller's connection to one entry: kept for many requests, read strictly, at times slowly."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import trio

from soak.calls import Call

__all__ = ["CallerConnection", "Manner", "connect"]

# What is read at once, bytes.
READ_BYTES = 4096
# The receive buffer and the longest segment of a caller that reads slowly, bytes: what a sender may
# have on its way follows from both.
NARROW_BYTES = 4096
NARROW_SEGMENT_BYTES = 1400
# For how long a caller looks for bytes behind an answer that said that it is the last, seconds.
LAST_LOOK_SECONDS = 0.3
CONNECT_SECONDS = 1.0


@dataclass(frozen=True)
class Manner:
    """How a caller reads one answer.

    `pauses` are (bytes, seconds): behind so many bytes it stands still for so long. It goes away
    behind `leaves_after` bytes or `leaves_in` seconds, whichever comes first.
    """

    pauses: tuple[tuple[int, float], ...] = ()
    leaves_after: int | None = None
    leaves_in: float = float("inf")

    @classmethod
    def slow(cls, random: Random, most: int, longest: float, size: int) -> "Manner":
        """Draw one that stands still a few times, in an answer of so many bytes."""
        places = sorted(random.randrange(size) for _ in range(random.randint(1, most)))
        return cls(tuple((each, random.uniform(0.1, longest)) for each in places))

    @classmethod
    def leaving(cls, random: Random, longest: float, size: int) -> "Manner":
        """Draw one that goes away in the middle."""
        return cls((), random.randrange(size), random.uniform(0.0, longest))


class CallerConnection:
    """One open connection; `surplus` is what came on it that belongs to no request."""

    def __init__(self, entry: str, stream: trio.SocketStream) -> None:
        self.entry = entry
        self.surplus = b""
        self._stream = stream
        self._requests = 0

    async def usable(self) -> bool:
        """Return whether nothing came since the last answer, neither bytes nor the end."""
        if not self._stream.socket.is_readable():
            return True
        with suppress(trio.BrokenResourceError):  # It was reset.
            self.surplus = await self._stream.receive_some(READ_BYTES)
        return False

    async def ask(self, request: bytes, call: Call, manner: Manner) -> bool:
        """Send a request and read its answer; return whether the connection may be used again."""
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
        """See that nothing comes behind an answer that said that it is the last one."""
        with trio.move_on_after(LAST_LOOK_SECONDS):
            data = await self._stream.receive_some(READ_BYTES)
            if data:
                call.feed(data)

    def close(self) -> None:
        """Close at once."""
        self._stream.socket.close()


async def connect(entry: str, narrow: bool) -> CallerConnection | None:
    """Return a new connection to `IP:port`, None where there is none to be had.

    Args:
      entry: where to.
      narrow: whether little fits between the sender and this side.
    """
    host, _, port = entry.rpartition(":")
    sock = trio.socket.socket()
    if narrow:
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

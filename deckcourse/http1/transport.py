"""The bytes of a connection to an upstream, over TCP."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from deckcourse.http1.message import ConnectionLostError, FailureKind

__all__ = ["Dial", "Transport", "dial_tcp"]

# An address in the same region answers within 2 ms; one whose first packet was dropped answers
# the second after a second, too late for most calls. Seconds.
CONNECT_SECONDS = 0.4


class Transport(Protocol):
    """The bytes of one connection."""

    async def receive_some(self, most: int) -> bytes:
        """Return the next bytes, none after the other side's end."""

    async def send_all(self, data: bytes) -> None:
        """Send bytes."""

    def readable(self) -> bool:
        """Return whether bytes or the other side's end are here already."""

    def close(self) -> None:
        """Close at once."""


class _TcpTransport:
    """A TCP connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.receive_some = stream.receive_some
        self.send_all = stream.send_all

    def readable(self) -> bool:
        return self._stream.socket.is_readable()

    def close(self) -> None:
        self._stream.socket.close()


Dial = Callable[[str], Awaitable[Transport]]


async def dial_tcp(address: str) -> Transport:
    """Connect to `IP:port`.

    Raises:
      ConnectionLostError: UNSENT, the address can't be reached in time.
    """
    host, _, port = address.rpartition(":")
    socket = trio.socket.socket()
    try:
        with trio.fail_after(CONNECT_SECONDS):
            await socket.connect((host, int(port)))
    except trio.TooSlowError as error:
        socket.close()
        raise ConnectionLostError(
            FailureKind.UNSENT, f"no connection in time: {address}"
        ) from error
    except (OSError, OverflowError, ValueError) as error:
        socket.close()
        raise ConnectionLostError(FailureKind.UNSENT, f"{address}: {error}") from error
    except BaseException:
        socket.close()
        raise
    return _TcpTransport(trio.SocketStream(socket))

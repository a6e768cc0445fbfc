"""The byte transport of a connection to an upstream, and its TCP implementation."""

from collections.abc import Awaitable, Callable
from socket import IPPROTO_TCP, TCP_INFO
from typing import Protocol

import trio

from deckcourse.http1.message import ConnectionLostError, FailureKind

__all__ = ["Dial", "Transport", "dial_tcp"]

# A host in the same region accepts within 2 ms. If the first packet is dropped, it is sent again
# after 1 s, which is too late for most calls.
CONNECT_TIMEOUT_SECONDS = 0.4
# The first byte of the kernel's `struct tcp_info` is the state of the connection (tcp(7)). It
# leaves this one as soon as the peer's close arrives.
TCP_INFO_STATE_BYTES = 1
TCP_ESTABLISHED = 1


class Transport(Protocol):
    """Sends and receives the bytes of one connection."""

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes, at most `max_bytes`; empty after the peer has closed."""

    async def send_all(self, data: bytes) -> None:
        """Send all bytes."""

    def readable(self) -> bool:
        """Return whether received bytes or the peer's close are waiting to be read."""

    def is_open(self) -> bool:
        """Return whether the peer has not closed its end yet, as far as this host knows.

        Unlike `readable`, it tells a close that received bytes precede.
        """

    def close(self) -> None:
        """Close without waiting."""


class _TcpTransport:
    """A TCP connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self.receive_some = stream.receive_some
        self.send_all = stream.send_all

    def readable(self) -> bool:
        return self._stream.socket.is_readable()

    def is_open(self) -> bool:
        socket = self._stream.socket
        if socket.fileno() < 0:
            return False
        try:
            state = socket.getsockopt(IPPROTO_TCP, TCP_INFO, TCP_INFO_STATE_BYTES)[0]
        except OSError:
            return False
        return state == TCP_ESTABLISHED

    def close(self) -> None:
        self._stream.socket.close()


Dial = Callable[[str], Awaitable[Transport]]


async def dial_tcp(address: str) -> Transport:
    """Connect to `IP:port`.

    Raises:
      ConnectionLostError: UNSENT, the connection failed or timed out.
    """
    host, _, port = address.rpartition(":")
    socket = trio.socket.socket()
    try:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
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

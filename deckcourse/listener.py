"""A TCP listener that accepts all waiting connections in one turn of the event loop.

trio's own listener accepts one connection a turn. While turns are long, connections would wait in
the kernel's queue for longer than their clients do.
"""

import socket
from contextlib import suppress
from struct import Struct, pack
from types import TracebackType
from typing import Self

import trio

from deckcourse.settings import Address

__all__ = [
    "RESET_ON_CLOSE",
    "Listener",
    "enlarge_send_buffer",
    "reset",
    "seconds_since_received",
]

# Of the kernel's `struct tcp_info` (tcp(7)): the size of the segments that are sent, which is never
# 0, and the milliseconds since the latest data were received.
_TCP_INFO = Struct("16xI32xI")
# Connections accepted in one turn at most, which bounds its length.
MAX_ACCEPTED_AT_ONCE = 64
# SO_LINGER value that makes a close send a reset: on, with a linger time of 0.
RESET_ON_CLOSE = pack("ii", 1, 0)
# Bytes of each connection that the kernel takes from a process that ends, up to its own maximum:
# what it has reaches the caller after the process has ended.
LAST_SEND_BUFFER_BYTES = 4 * 1024 * 1024


class Listener:
    """Listens on one address; closed at the end of a `with` block.

    Args:
      address: the address to listen on.
      backlog: the length of the kernel's queue of connections that wait to be accepted.

    Raises:
      OSError: the address can't be listened on.
    """

    def __init__(self, address: Address, backlog: int) -> None:
        host, _, port = address.rpartition(":")
        host = host.strip("[]")
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._socket = socket.create_server((host, int(port)), family=family, backlog=backlog)
        self._socket.setblocking(False)
        # When the queue was last found empty, and that time as of the last accept.
        self._empty_at = self._arrived_after = trio.current_time()

    @property
    def longest_wait(self) -> float:
        """The longest time for which the connections accepted last may have waited, seconds."""
        return trio.current_time() - self._arrived_after

    @property
    def address(self) -> tuple[str, int]:
        """The IP address and the port that it listens on."""
        return self._socket.getsockname()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Stop listening; connections that were not accepted are reset."""
        if self._socket.fileno() >= 0:
            trio.lowlevel.notify_closing(self._socket)
            self._socket.close()

    async def accept(self) -> list[socket.socket]:
        """Wait for connections and return those that wait, at least one, as non-blocking sockets.

        Raises:
          OSError: no connection could be accepted, such as for a lack of file descriptors.
          trio.ClosedResourceError: the listener was closed.
        """
        while self._socket.fileno() >= 0:
            await trio.lowlevel.wait_readable(self._socket)
            if accepted := self.accept_waiting():
                return accepted
        raise trio.ClosedResourceError("the listener was closed")

    def accept_waiting(self) -> list[socket.socket]:
        """Return connections that wait, as many as are accepted in a turn; may be empty.

        Raises:
          OSError: no connection could be accepted, such as for a lack of file descriptors.
        """
        accepted: list[socket.socket] = []
        self._arrived_after = self._empty_at
        while len(accepted) < MAX_ACCEPTED_AT_ONCE:
            tried_at = trio.current_time()
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:
                self._empty_at = tried_at
                break
            except ConnectionAbortedError:
                break
            except OSError:
                if accepted:
                    break  # Raised again by the next call, if it lasts.
                raise
            connection.setblocking(False)
            accepted.append(connection)
        return accepted


def seconds_since_received(connection: socket.socket) -> float | None:
    """Return how long ago the latest bytes of a connection arrived, None if that isn't known.

    Without any bytes, it is the time since the connection was established.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return None
    if len(info) < _TCP_INFO.size:
        return None
    segment_bytes, milliseconds = _TCP_INFO.unpack(info)
    return milliseconds / 1000 if segment_bytes else None


def reset(connection: socket.socket) -> None:
    """Close a connection with a reset, which tells its peer that nothing more was read."""
    with suppress(OSError):  # The peer may have reset it already.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    connection.close()


def enlarge_send_buffer(stream: trio.abc.Stream) -> None:
    """Let the kernel take the rest of an answer that is whole here and read slowly."""
    if not isinstance(stream, trio.SocketStream):  # It is in memory.
        return
    with suppress(OSError):  # The connection may be closed.
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, LAST_SEND_BUFFER_BYTES)
        # trio lets the kernel take little that it hasn't sent.
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, LAST_SEND_BUFFER_BYTES)

"""Refuses requests without parsing them, for callers who have waited too long for a reset.

Load pattern: a process that is out of processor time accepts connections late. A request that lies
in the socket by then may count as read, so that its caller is owed an answer. A refusal takes a
read and a write, a small part of what a request takes.
"""

from collections.abc import Callable
from contextlib import suppress
from socket import socket

import trio

from deckcourse.http1.idle_connections import IdleConnections
from deckcourse.http1.message import READ_BYTES

__all__ = ["UnreadRefusals"]

# Connections that are awaited and closed in tasks at the same time. Beyond it, a connection is
# answered and closed at once: a client that still sends may then get a reset.
MAX_REFUSALS = 64
# Size of one read from them, and their number, which bound its part of a turn.
DISCARD_READ_BYTES = 256 * 1024
MAX_READS = 2
# A caller may be sent to a process that has time for it, so that it needn't wait.
RETRY_AFTER_SECONDS = 0.1
# How long sending the response, and reading what the client still sends, may take: a close with
# unread bytes is a reset, at which the client's host drops a response that was not read yet.
CLOSE_TIMEOUT_SECONDS = 1.0
RESPONSE = (
    f"HTTP/1.1 503 Service Unavailable\r\nRetry-After: {RETRY_AFTER_SECONDS}\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n"
).encode()


class UnreadRefusals:
    """The connections that are being refused.

    Args:
      idle_connections: the set that holds a connection while its request is awaited.
      idle_seconds: returns how long a request is awaited on a connection.
    """

    def __init__(
        self, idle_connections: IdleConnections, idle_seconds: Callable[[], float]
    ) -> None:
        self._idle_connections = idle_connections
        self._idle_seconds = idle_seconds
        self._pending = 0

    @property
    def pending(self) -> int:
        """The number of connections that are being refused."""
        return self._pending

    def start(self, connection: socket, nursery: trio.Nursery) -> bool:
        """Refuse the request that comes on a connection, within the nursery.

        Returns:
          Whether it is refused: beyond the bound, only a request that lies in the socket is.
        """
        if self._pending >= MAX_REFUSALS:
            return _refuse_now(connection)
        self._pending += 1
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
        nursery.start_soon(self._refuse, stream)
        return True

    async def _refuse(self, stream: trio.SocketStream) -> None:
        try:
            await self._respond(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass  # The client has disconnected.
        finally:
            self._pending -= 1
            await trio.aclose_forcefully(stream)

    async def _respond(self, stream: trio.SocketStream) -> None:
        """Respond to a request, if there is one: a client doesn't expect a response to none."""
        data = b""
        with (
            self._idle_connections.waiting_for_request(is_fresh=True),
            trio.move_on_after(self._idle_seconds()),
        ):
            data = await stream.receive_some(READ_BYTES)
        if not data and stream.socket.is_readable():
            data = await stream.receive_some(READ_BYTES)
        with trio.move_on_after(CLOSE_TIMEOUT_SECONDS):
            if data:
                await stream.send_all(RESPONSE)
                await stream.send_eof()
            while data:
                data = await stream.receive_some(DISCARD_READ_BYTES)


def _refuse_now(connection: socket) -> bool:
    """Refuse the request that lies in a connection and close it; return whether there is one."""
    data = b""
    connection.setblocking(False)
    with suppress(OSError):  # Nothing more lies in it, or the client has reset it.
        for _ in range(MAX_READS):
            data = connection.recv(DISCARD_READ_BYTES) or data
    if not data:
        return False
    with suppress(OSError):
        connection.send(RESPONSE)
    connection.close()
    return True

"""Connections in memory instead of TCP, for tests: hosts can crash or become unresponsive."""

from collections import defaultdict
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from trio.testing import memory_stream_pair

from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.http1.server import ConnectionLimits, Handler, serve_connection
from deckcourse.http1.transport import Transport

__all__ = ["MemoryNetwork"]

# One-way delay between two hosts of a failure domain.
DELAY_SECONDS = 0.0002

_Serve = Callable[[trio.abc.Stream], Awaitable[None]]


class _MemoryTransport:
    """The client end of a connection in memory."""

    def __init__(
        self,
        stream: trio.StapledStream,
        is_silent: Callable[[], bool],
        is_closed: Callable[[], bool],
        is_open: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._is_silent = is_silent
        self._is_closed = is_closed
        self.is_open = is_open

    async def receive_some(self, max_bytes: int) -> bytes:
        data = await self._stream.receive_some(max_bytes)
        if self._is_silent():
            await trio.sleep_forever()
        return data

    async def send_all(self, data: bytes) -> None:
        await trio.sleep(DELAY_SECONDS)
        if not self._is_silent():
            await self._stream.send_all(data)

    def readable(self) -> bool:
        # Only a close of the server's end can arrive between two calls.
        return self._is_closed()

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


class MemoryNetwork:
    """A network of addresses that answer, refuse connections or stay silent.

    Args:
      nursery: runs the servers.
      limits: returns the limits of the servers.
    """

    def __init__(self, nursery: trio.Nursery, limits: Callable[[], ConnectionLimits]) -> None:
        self._nursery = nursery
        self._limits = limits
        # For each address, the nursery of its server and what that does with a connection.
        self._servers: dict[str, tuple[trio.Nursery, _Serve]] = {}
        self._silent: set[str] = set()
        self._server_streams: dict[str, list[trio.StapledStream]] = defaultdict(list)
        # The streams whose server has closed its end.
        self._ended: set[trio.StapledStream] = set()

    def listen(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], ConnectionLimits] | None = None,
    ) -> None:
        """Serve requests at an address.

        Args:
          address: the address.
          handler: responds to a request.
          limits: returns the limits of this server, by default those of all servers.
        """
        serve = partial(self._serve_requests, handler, limits or self._limits)
        self.accept(address, self._nursery, serve)

    def accept(self, address: str, nursery: trio.Nursery, serve: _Serve) -> None:
        """Let a server of its own serve the connections to an address, in its nursery."""
        self._servers[address] = nursery, serve
        self._silent.discard(address)

    def kill(self, address: str) -> None:
        """Reset all connections to an address, and refuse new ones."""
        self._servers.pop(address, None)
        self.reset(address)

    def reset(self, address: str) -> None:
        """Reset all open connections to an address."""
        for end in self._server_streams.pop(address, []):
            end.send_stream.close()
            end.receive_stream.close()

    def silence(self, address: str) -> None:
        """Make an address silent, on open connections and for new ones."""
        self._silent.add(address)

    async def dial(self, address: str) -> Transport:
        """Connect to an address.

        Raises:
          ConnectionLostError: UNSENT, the address does not accept connections.
        """
        await trio.sleep(2 * DELAY_SECONDS)
        if address in self._silent:
            await trio.sleep_forever()
        if address not in self._servers:
            error = ConnectionLostError(FailureKind.UNSENT, f"{address}: refused")
            raise error from ConnectionRefusedError()
        client_stream, server_stream = memory_stream_pair()
        self._server_streams[address].append(server_stream)
        nursery, serve = self._servers[address]
        nursery.start_soon(self._serve, server_stream, serve)
        return _MemoryTransport(
            client_stream,
            lambda: address in self._silent,
            lambda: server_stream not in self._server_streams.get(address, []),
            lambda: (
                server_stream in self._server_streams.get(address, [])
                and server_stream not in self._ended
            ),
        )

    async def _serve(self, end: trio.StapledStream, serve: _Serve) -> None:
        try:
            await serve(end)
        finally:
            self._ended.add(end)

    async def _serve_requests(
        self, handler: Handler, limits: Callable[[], ConnectionLimits], end: trio.abc.Stream
    ) -> None:
        await serve_connection(end, handler, limits, lambda: False)

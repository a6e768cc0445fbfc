"""Connections in memory in place of TCP, for tests: machines may die or fall silent."""

from collections import defaultdict
from collections.abc import Callable

import trio
from trio.testing import memory_stream_pair

from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.http1.server import ConnectionLimits, Handler, serve_connection
from deckcourse.http1.transport import Transport

__all__ = ["MemoryNetwork"]

# One way between two machines of a failure domain, seconds.
DELAY_SECONDS = 0.0002


class _MemoryTransport:
    """One end of a connection in memory."""

    def __init__(
        self, stream: trio.StapledStream, dark: Callable[[], bool], gone: Callable[[], bool]
    ) -> None:
        self._stream = stream
        self._dark = dark
        self._gone = gone

    async def receive_some(self, most: int) -> bytes:
        data = await self._stream.receive_some(most)
        if self._dark():
            await trio.sleep_forever()
        return data

    async def send_all(self, data: bytes) -> None:
        await trio.sleep(DELAY_SECONDS)
        if not self._dark():
            await self._stream.send_all(data)

    def readable(self) -> bool:
        # Nothing is said between two calls, unless the other side closed its end.
        return self._gone()

    def close(self) -> None:
        self._stream.send_stream.close()
        self._stream.receive_stream.close()


class MemoryNetwork:
    """Addresses that answer, refuse, or say nothing."""

    def __init__(self, nursery: trio.Nursery, limits: Callable[[], ConnectionLimits]) -> None:
        self._nursery = nursery
        self._limits = limits
        self._handlers: dict[str, Handler] = {}
        self._dark: set[str] = set()
        self._ends: dict[str, list[trio.StapledStream]] = defaultdict(list)

    def listen(self, address: str, handler: Handler) -> None:
        """Answer requests at an address."""
        self._handlers[address] = handler
        self._dark.discard(address)

    def kill(self, address: str) -> None:
        """Reset what is open at an address, and refuse what comes."""
        self._handlers.pop(address, None)
        self.reset(address)

    def reset(self, address: str) -> None:
        """Cut every open connection to an address."""
        for end in self._ends.pop(address, []):
            end.send_stream.close()
            end.receive_stream.close()

    def darken(self, address: str) -> None:
        """Let an address say nothing, neither on open connections nor on new ones."""
        self._dark.add(address)

    async def dial(self, address: str) -> Transport:
        """Connect to an address.

        Raises:
          ConnectionLostError: UNSENT, nothing listens there.
        """
        await trio.sleep(2 * DELAY_SECONDS)
        if address in self._dark:
            await trio.sleep_forever()
        handler = self._handlers.get(address)
        if handler is None:
            raise ConnectionLostError(FailureKind.UNSENT, f"{address}: refused")
        near, far = memory_stream_pair()
        self._ends[address].append(far)
        self._nursery.start_soon(self._serve, far, handler)
        return _MemoryTransport(
            near, lambda: address in self._dark, lambda: far not in self._ends.get(address, [])
        )

    async def _serve(self, end: trio.StapledStream, handler: Handler) -> None:
        await serve_connection(end, handler, self._limits, lambda: False)

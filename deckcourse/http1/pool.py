"""The connections to upstreams by address; idle ones are reused."""

from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from weakref import WeakValueDictionary

import trio

from deckcourse.http1.client import DEFAULT_IDLE_TIMEOUT_SECONDS, UpstreamConnection
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.pieces import PieceLane
from deckcourse.http1.transport import Dial, Transport, dial_tcp

__all__ = ["ConnectionPool"]

# A call that ends without a byte of an answer after this long may have used a connection that has
# gone silent.
MIN_SILENT_CALL_SECONDS = 1.0


class ConnectionPool:
    """Idle connections by address. The most recently used is reused first, so that others expire.

    Args:
      count: increments a counter by name.
      dial: opens a connection; by default over TCP.
    """

    def __init__(self, count: Callable[[str], None], dial: Dial | None = None) -> None:
        self._dial = dial or dial_tcp
        self._on_dial_failure: Callable[[str, ConnectionLostError], None] = lambda *_: None
        self._idle: dict[str, list[UpstreamConnection]] = defaultdict(list)
        # All connections in use or idle, in the order in which they were opened.
        self._connections: WeakValueDictionary[int, UpstreamConnection] = WeakValueDictionary()
        self._opened = 0
        self._lane = PieceLane()
        self._count = count

    def set_dial_observer(self, on_failure: Callable[[str, ConnectionLostError], None]) -> None:
        """Register the callback for each failed attempt to connect, with its address.

        Cancelled attempts aren't reported.
        """
        self._on_dial_failure = on_failure

    async def acquire(
        self,
        address: str,
        max_idle_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS,
        without_call: str | None = None,
    ) -> UpstreamConnection:
        """Return a connection to `IP:port`, an idle one if any is usable.

        Args:
          address: the address of the upstream.
          max_idle_seconds: idle connections unused for longer are not taken.
          without_call: idle connections that recently had a call of this name are not taken either:
            a duplicate of its answer would be taken for the answer to this call.

        Raises:
          ConnectionLostError: UNSENT, the address is unreachable.
        """
        connection = self._take_idle(address, max_idle_seconds, without_call)
        if connection is not None:
            self._count("connection.reused")
            return connection
        return await self.open(address)

    async def open(self, address: str) -> UpstreamConnection:
        """Return a new connection to `IP:port`, even if there are idle ones.

        Raises:
          ConnectionLostError: UNSENT, the address is unreachable.
        """
        self._count("connection.opened")
        connection = UpstreamConnection(address, await self.dial(address), self._lane)
        self._opened += 1
        self._connections[self._opened] = connection
        return connection

    def connections(self, address: str) -> list[UpstreamConnection]:
        """Return the connections to an address that are idle or carry a call, the newest first."""
        every = reversed(list(self._connections.values()))
        return [each for each in every if each.address == address]

    async def dial(self, address: str) -> Transport:
        """Return a new connection to `IP:port` that is used without HTTP and not kept here.

        Raises:
          ConnectionLostError: UNSENT, the address is unreachable.
        """
        try:
            return await self._dial(address)
        except ConnectionLostError as failure:
            self._on_dial_failure(address, failure)
            raise

    def _take_idle(
        self, address: str, max_idle_seconds: float, without_call: str | None
    ) -> UpstreamConnection | None:
        idle = self._idle.get(address, [])
        for index in reversed(range(len(idle))):
            connection = idle[index]
            if not connection.is_usable(max_idle_seconds):
                self._count("connection.unsound")
                idle.pop(index).abort()
            elif without_call is None or not connection.has_recent_call(without_call):
                return idle.pop(index)
        return None

    @asynccontextmanager
    async def borrow(
        self,
        address: str,
        max_idle_seconds: float = DEFAULT_IDLE_TIMEOUT_SECONDS,
        without_call: str | None = None,
    ) -> AsyncIterator[UpstreamConnection]:
        """Acquire a connection for one call; close it if the call is interrupted.

        Args:
          address: see `acquire`.
          max_idle_seconds: see `acquire`.
          without_call: see `acquire`.

        Raises:
          ConnectionLostError: UNSENT, the address is unreachable.
        """
        connection = await self.acquire(address, max_idle_seconds, without_call)
        with self.release_after_call(connection):
            yield connection

    @contextmanager
    def release_after_call(self, connection: UpstreamConnection) -> Iterator[None]:
        """Release the connection after the call made inside, or close it if that raises.

        If nothing came on it for long, it may have gone silent, and the idle ones with it: those
        that were quiet all the while are closed, too.

        Args:
          connection: from `acquire`.
        """
        began_at = trio.current_time()
        try:
            yield
        except BaseException:
            connection.abort()
            is_silent = trio.current_time() >= began_at + MIN_SILENT_CALL_SECONDS
            if is_silent and connection.heard_at < began_at:
                self._close_quiet(connection.address, began_at)
            raise
        self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to the pool; close it instead if its call did not end properly."""
        if not connection.is_reusable():
            connection.abort()
            return
        self.add_idle(connection)

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Keep a connection for the next call: its last one is done, or it had none yet."""
        connection.park()
        self._idle[connection.address].append(connection)

    def has_usable_idle(self, address: str, max_idle_seconds: float) -> bool:
        """Return whether an idle connection is open and was used or opened that recently."""
        return any(each.is_usable(max_idle_seconds) for each in self._idle.get(address, ()))

    def idle_count(self, address: str) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    def _close_quiet(self, address: str, since: float) -> None:
        """Close the idle connections to an address that were quiet since a time on trio's clock."""
        idle = self._idle.pop(address, [])
        for connection in idle:
            if connection.heard_at < since:
                self._count("connection.unsound")
                connection.abort()
            else:
                self._idle[address].append(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in self._idle.pop(address, []):
            connection.abort()

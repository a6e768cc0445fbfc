"""The connections that wait for their next request, and the reports on those that are closed."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum

import trio

__all__ = ["CloseReason", "IdleConnections"]


class CloseReason(StrEnum):
    """Why this process closes a connection of which it has not read a request.

    LOAD closes with a reset, REFUSED answers the request that the connection may hold.
    """

    IDLE = "idle"
    LOAD = "load"
    REFUSED = "refused"
    STOPPING = "stopping"


class IdleConnections:
    """The connections without a request in progress, the served and the fresh ones.

    A served connection may be closed at any time. The client of a fresh one, which has not had a
    request yet, is owed an answer to its first.

    Args:
      note_closed: called with each connection that is closed while it waits for a request: why,
        its stream, and how long it has waited, seconds.
    """

    def __init__(
        self,
        note_closed: Callable[[CloseReason, trio.abc.Stream, float], None] = lambda *_: None,
    ) -> None:
        self.note_closed = note_closed
        # The value says whether the connection is fresh.
        self._scopes: dict[trio.CancelScope, bool] = {}
        self._closes_served = False
        self._closes_fresh = False
        self._received = 0
        self._reading: set[trio.SocketStream] = set()

    @property
    def received(self) -> int:
        """How often bytes of a request came, on any of the connections."""
        return self._received

    def note_received(self) -> None:
        """Record that bytes of a request came."""
        self._received += 1

    def close_served(self) -> None:
        """Close the served connections, and from now on each one as soon as it becomes idle."""
        self._closes_served = True
        self._close_due()

    def close_all(self) -> None:
        """Close the fresh connections too."""
        self._closes_served = self._closes_fresh = True
        self._close_due()

    def _close_due(self) -> None:
        for scope, is_fresh in list(self._scopes.items()):
            if self._closes(is_fresh):
                scope.cancel()

    def _closes(self, is_fresh: bool) -> bool:
        return self._closes_fresh if is_fresh else self._closes_served

    @contextmanager
    def reading_request(self, stream: trio.abc.Stream) -> Iterator[None]:
        """Count a connection as one whose request is awaited or read inside."""
        if not isinstance(stream, trio.SocketStream):  # It is in memory.
            yield
            return
        self._reading.add(stream)
        try:
            yield
        finally:
            self._reading.discard(stream)

    def close_reading(self) -> None:
        """Close the connections whose request is not whole, in this turn of the event loop.

        Cancelled, their tasks would close them some turns later, after the rest has come.
        """
        for stream in self._reading:
            stream.socket.close()

    @contextmanager
    def waiting_for_request(self, is_fresh: bool) -> Iterator[trio.CancelScope]:
        """Count a connection as idle while the next request is awaited inside.

        The scope is cancelled, and the wait inside ends, if the connection is to be closed.

        Args:
          is_fresh: whether the connection has not had a request yet.
        """
        with trio.CancelScope() as scope:
            if self._closes(is_fresh):
                scope.cancel()
            self._scopes[scope] = is_fresh
            try:
                yield scope
            finally:
                del self._scopes[scope]

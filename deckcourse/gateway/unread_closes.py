"""Counts and logs the connections that this process closes without having read a request."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from deckcourse.http1.idle_connections import CloseReason

__all__ = ["UnreadCloses"]

# Interval between two reports, which bounds the lines in the log.
REPORT_INTERVAL_SECONDS = 1.0
# Clients that a line of the log names.
MAX_NAMED_CLIENTS = 8


@dataclass
class _Closes:
    """The closes for one reason since the last report."""

    count: int = 0
    readable: int = 0
    longest_wait: float = 0.0
    clients: list[str] = field(default_factory=list)


class UnreadCloses:
    """Reports closes by reason, at most one line of the log for each reason and second.

    Args:
      count: increments a counter by name.
      log: writes an entry to the decision log.
    """

    def __init__(self, count: Callable[[str], None], log: Callable[..., None]) -> None:
        self._count = count
        self._log = log
        self._closes: dict[CloseReason, _Closes] = {}

    def note_stream(self, reason: CloseReason, stream: trio.abc.Stream, waited: float) -> None:
        """Record that a stream will be closed now; see `note`."""
        if isinstance(stream, trio.SocketStream):
            self.note(reason, stream.socket, waited)

    def note(self, reason: CloseReason, socket: trio.socket.SocketType, waited: float) -> None:
        """Record that a connection will be closed now.

        Args:
          reason: why it is closed.
          socket: its socket; readable if bytes, or the client's own close, were not read.
          waited: the longest time for which it may have waited to be read, seconds.
        """
        self._count(f"connection.closed-{reason}")
        closes = self._closes.setdefault(reason, _Closes())
        closes.count += 1
        closes.longest_wait = max(closes.longest_wait, waited)
        if not socket.is_readable():
            return
        closes.readable += 1
        if len(closes.clients) < MAX_NAMED_CLIENTS:
            closes.clients.append(_client_of(socket))

    async def run(self) -> None:
        """Report regularly until cancelled."""
        while True:
            await trio.sleep(REPORT_INTERVAL_SECONDS)
            self.report()

    def report(self) -> None:
        """Log what was recorded since the last report."""
        for reason, closes in self._closes.items():
            self._log(
                "connections-closed",
                reason=str(reason),
                count=closes.count,
                readable=closes.readable,
                longest_wait_ms=round(closes.longest_wait * 1000),
                clients=closes.clients,
            )
        self._closes.clear()


def _client_of(socket: trio.socket.SocketType) -> str:
    """Return the address of a connection's client, empty if it has left."""
    try:
        host, port = socket.getpeername()[:2]
    except OSError:
        return ""
    return f"{host}:{port}"

"""A TCP proxy on loopback whose open connections can go silent for good, while new ones work."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from time import monotonic

__all__ = ["Connection", "Proxy"]

READ_BYTES = 65536


@dataclass(eq=False)
class Connection:
    """An open connection: its latest request line, and since when it waits for the answer."""

    request: str = ""
    asked_at: float = 0.0
    is_waiting: bool = False
    is_silent: bool = False


class Proxy:
    """Forwards connections to a target.

    Args:
      target: IP:port of the target.
    """

    def __init__(self, target: str) -> None:
        self._target = target
        self.connections: set[Connection] = set()

    async def start(self, host: str, port: int) -> None:
        """Accept connections."""
        await asyncio.start_server(self._accept, host, port, backlog=256)

    def silence(self, matches: Callable[[Connection], bool]) -> list[str]:
        """Drop all bytes of some open connections from now on; return their latest requests."""
        found = [each for each in self.connections if not each.is_silent and matches(each)]
        for each in found:
            each.is_silent = True
        return [each.request for each in found]

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port = self._target.split(":")
        connection = Connection()
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self.connections.add(connection)
        try:
            await asyncio.gather(
                self._forward(connection, reader, target_writer, True),
                self._forward(connection, target_reader, writer, False),
            )
        except (ConnectionError, asyncio.CancelledError):
            pass  # One side is gone, or the run is over.
        finally:
            self.connections.discard(connection)
            target_writer.close()
            writer.close()

    async def _forward(
        self,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_request: bool,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if connection.is_silent:
                continue
            if is_request and b" HTTP/1.1\r\n" in data:
                connection.request = data.partition(b"\r\n")[0].decode("latin-1")
                connection.asked_at, connection.is_waiting = monotonic(), True
            elif not is_request:
                connection.is_waiting = False
            writer.write(data)
            await writer.drain()
        if not connection.is_silent or is_request:
            raise ConnectionResetError

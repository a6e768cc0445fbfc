"""A server of hypercorn's connections that ends without losing a request that has arrived.

hypercorn's own loop closes idle connections and its listener at once when it ends, with all that
lies in them, and waits without end for callers that don't read.
"""

from collections.abc import Callable
from contextlib import suppress

import trio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.config import Config
from hypercorn.events import Event, Updated
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState

from deckcourse.listener import Listener, enlarge_send_buffer

__all__ = ["HttpServer"]

BACKLOG = 1024
# Pause after a failure to accept a connection, such as for a lack of file descriptors.
ACCEPT_BACKOFF_SECONDS = 0.1
# Interval between two checks whether all connections have closed.
CLOSE_CHECK_INTERVAL_SECONDS = 0.02
# For this share of the time that requests in flight have at the end, connections are still read.
READ_SHARE = 1 / 2
# Reads of what has arrived on a connection before it is closed; a caller may send without an end.
MAX_LAST_READS = 16


class HttpServer:
    """Serves an ASGI application on one address.

    Args:
      app: the application; it gets no lifespan events.
      config: hypercorn's settings for connections.
      bind: IP:port; port 0 takes a free one.
    """

    def __init__(self, app: Callable, config: Config, bind: str) -> None:
        self._app = ASGIWrapper(app)
        self._config = config
        self._bind = bind
        self._context = WorkerContext(None)
        self._streams: set[trio.SocketStream] = set()

    async def run(
        self, shutdown: trio.Event, graceful_seconds: float, task_status: trio.TaskStatus
    ) -> None:
        """Serve until `shutdown` is set, then until no connection is open or the time is over.

        Args:
          shutdown: set to stop.
          graceful_seconds: how long requests in flight may take then.
          task_status: started with the bound IP:port.
        """
        listener = Listener(self._bind, BACKLOG)
        async with trio.open_nursery() as nursery:
            try:
                with listener:
                    nursery.start_soon(self._accept, listener, nursery)
                    host, port = listener.address[:2]
                    task_status.started(f"[{host}]:{port}" if ":" in host else f"{host}:{port}")
                    await shutdown.wait()
                    self._accept_last(listener, nursery)
                await self._finish(graceful_seconds)
            finally:
                # A write that its caller doesn't read would outlast a cancellation.
                for stream in self._streams:
                    stream.socket.close()
            nursery.cancel_scope.cancel()

    async def _finish(self, seconds: float) -> None:
        with trio.move_on_after(seconds):
            await trio.sleep(seconds * READ_SHARE)
            await self._context.terminated.set()
            while self._streams:
                for stream in self._streams:
                    enlarge_send_buffer(stream)
                await trio.sleep(CLOSE_CHECK_INTERVAL_SECONDS)

    async def _accept(self, listener: Listener, nursery: trio.Nursery) -> None:
        while True:
            try:
                accepted = await listener.accept()
            except OSError:
                await trio.sleep(ACCEPT_BACKOFF_SECONDS)
                continue
            except trio.ClosedResourceError:
                return
            self._start(accepted, nursery)

    def _accept_last(self, listener: Listener, nursery: trio.Nursery) -> None:
        """Take the connections that wait: closing the listener would reset them."""
        count = 0
        with suppress(OSError):  # What was accepted before is served all the same.
            while count < BACKLOG and (accepted := listener.accept_waiting()):
                self._start(accepted, nursery)
                count += len(accepted)

    def _start(self, accepted: list, nursery: trio.Nursery) -> None:
        for connection in accepted:
            stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
            nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: trio.SocketStream) -> None:
        self._streams.add(stream)
        try:
            await _Connection(
                self._app, self._config, self._context, ConnectionState({}), stream
            ).run()
        finally:
            self._streams.discard(stream)


class _Connection(TCPServer):
    """A connection that is read once more before it is closed for being idle."""

    _is_idle = True

    async def protocol_send(self, event: Event) -> None:
        """Take what the protocol sends, and note whether a request is in progress."""
        if isinstance(event, Updated):
            self._is_idle = event.idle
        await super().protocol_send(event)

    async def _idle_timeout(self) -> None:
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
        connection = self.stream.socket
        for _ in range(MAX_LAST_READS):
            await trio.lowlevel.checkpoint()
            if connection.fileno() < 0 or not connection.is_readable():
                break
        if not self._is_idle:  # A request was read meanwhile.
            return
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()

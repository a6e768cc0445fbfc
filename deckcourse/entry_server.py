"""An entry as a server: its listener, its peers, and how it stops without cutting a stream."""

import trio

from deckcourse.asgi import serve
from deckcourse.entry import Entry
from deckcourse.entry_app import CallerLimits, EntryApp
from deckcourse.peer_link import PynngListener

__all__ = ["EntryServer"]

DRAIN_LOOK_SECONDS = 0.05
# After the last stream is done, connections get this long to close.
CLOSE_SECONDS = 1.0


class EntryServer:
    """Serves callers until `stop`."""

    def __init__(
        self,
        entry: Entry,
        limits: CallerLimits,
        listen: str,
        balancer_lag: float,
        longest_stop: float,
    ) -> None:
        self._entry = entry
        self._limits = limits
        self._listen = listen
        self._balancer_lag = balancer_lag
        self._longest_stop = longest_stop
        self._stop = trio.Event()

    def stop(self) -> None:
        """Begin to stop: the balancer is told at once, streams in flight finish."""
        self._stop.set()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve; started with the bound IP:port."""
        shutdown = trio.Event()
        listener = PynngListener(self._entry.node.identity.peer_address)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(listener.run, self._entry.node.gossip.answer)
            nursery.start_soon(self._entry.run)
            app = EntryApp(self._entry, self._limits)
            bound = await nursery.start(serve, app, self._listen, shutdown, CLOSE_SECONDS)
            task_status.started(bound)
            await self._stop.wait()
            await self._drain()
            shutdown.set()
            await trio.sleep(CLOSE_SECONDS)
            nursery.cancel_scope.cancel()

    async def _drain(self) -> None:
        """Turn away the balancer, then new work, then wait for what is in flight."""
        give_up_at = trio.current_time() + self._longest_stop
        self._entry.turn_away()
        await trio.sleep(self._balancer_lag)
        self._entry.node.stopping = True
        while self._entry.unfinished and trio.current_time() < give_up_at:
            await trio.sleep(DRAIN_LOOK_SECONDS)

"""An entry as a server: its listener, its peers, and how it stops without cutting a stream."""

import trio

from deckcourse.asgi import serve
from deckcourse.entry import Entry
from deckcourse.entry_app import CallerLimits, EntryApp
from deckcourse.peer_link import PynngListener

__all__ = ["EntryServer"]

DRAIN_LOOK_SECONDS = 0.05
# After the last stream is done, connections get this long to close. What is in flight ends half of
# it before the process; of that, half is for telling upstreams, the rest for sending the outcomes.
CLOSE_SECONDS = 1.0
OUTCOME_SHARE = 1 / 2
SEND_SHARE = 1 / 4


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
            bound = await nursery.start(
                serve, app, self._listen, shutdown, CLOSE_SECONDS, lambda: self._entry.node.stopping
            )
            task_status.started(bound)
            await self._stop.wait()
            await self._drain()
            shutdown.set()
            await self._end_requests()
            nursery.cancel_scope.cancel()

    async def _end_requests(self) -> None:
        """End what is still in flight with an outcome, and wait until connections have closed."""
        ends_at = trio.current_time() + CLOSE_SECONDS
        answer_by = ends_at - CLOSE_SECONDS * OUTCOME_SHARE
        self._entry.stop_bounds.begin(answer_by, ends_at - CLOSE_SECONDS * SEND_SHARE)
        await trio.sleep_until(answer_by)
        self._entry.stop_bounds.end_all()
        await trio.sleep_until(ends_at)

    async def _drain(self) -> None:
        """Turn away the balancer, then new work, then wait for what is in flight."""
        give_up_at = trio.current_time() + self._longest_stop
        self._entry.turn_away()
        await trio.sleep(self._balancer_lag)
        self._entry.node.stopping = True
        while self._entry.unfinished and trio.current_time() < give_up_at:
            await trio.sleep(DRAIN_LOOK_SECONDS)

"""Reads the events of an answer so that many small ones leave the event loop to other tasks.

An answer may have thousands of events without text, or of comments, in one read. They count as the
pieces of a message do: what is not paid for waits for the lane that all connections share.
"""

from collections.abc import Awaitable, Callable
from time import perf_counter

import trio

from deckcourse.gateway.events import Event, EventReader
from deckcourse.http1.client import UpstreamReply

__all__ = ["MeteredEvents"]


class MeteredEvents:
    """The events of one attempt as they arrive.

    Args:
      last: see `EventReader`.
      reply: the answer.
      receive: returns the next bytes of its body, None after its proper end.
    """

    def __init__(
        self,
        last: int | None,
        reply: UpstreamReply,
        receive: Callable[[], Awaitable[bytes | None]],
    ) -> None:
        self._reader = EventReader(last)
        self._meter = reply.new_meter()
        self._receive = receive

    @property
    def reader(self) -> EventReader:
        """Tells why the latest bytes are malformed, and what follows the last event."""
        return self._reader

    async def next_events(self) -> list[Event] | None:
        """Return the events that are complete now, as `EventReader.feed`; None after the end."""
        await self._meter.let_others_run()
        data = b"" if self._reader.has_more else await self._wait_for_data()
        if data is None:
            return None
        began_at = perf_counter()
        buffered = self._reader.buffered_bytes + len(data)
        events = self._reader.feed(data)
        parsed = buffered - self._reader.buffered_bytes
        if self._reader.blocks:
            self._meter.note(parsed, began_at, self._reader.blocks)
        return events

    async def _wait_for_data(self) -> bytes | None:
        waits_since = trio.current_time()
        data = await self._receive()
        self._meter.note_wait(trio.current_time() - waits_since)
        return data

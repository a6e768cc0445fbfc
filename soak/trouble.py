"""What each kind of trouble can do, and what most of them have in common."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

import trio

from soak.caller_connection import Manner, connect
from soak.callers import ANSWER_GRACE_SECONDS, DEADLINE_SECONDS, Callers
from soak.calls import Call
from soak.interruptions import Interruptions
from soak.site import Site

__all__ = ["SiteTrouble", "Trouble", "send_alone"]


class Trouble(Protocol):
    """Trouble of one kind at one site; `calls` are the requests that it sends itself."""

    calls: list[Call]

    async def run(self, until: float) -> None:
        """Make trouble until a time on trio's clock; return once all of it has ended."""

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return the broken promises that only this trouble shows.

        Args:
          calls: the calls of all callers, without its own.
        """


@dataclass
class SiteTrouble:
    """Trouble at a site that sends no requests of its own and shows nothing by itself.

    Args:
      site: the site to make trouble at.
      callers: its callers, who know the keys and which entries are ready.
      random: chooses what is done, where and when; no other kind of trouble draws from it.
      log_fault: called with a description of each piece of trouble.
      interruptions: where pauses and cut links are recorded.
    """

    site: Site
    callers: Callers
    random: Random
    log_fault: Callable[[str], None]
    interruptions: Interruptions
    calls: list[Call] = field(default_factory=list)

    def find_violations(self, calls: Sequence[Call]) -> list[str]:
        """Return nothing: the judges of all seeds see what there is."""
        return []

    async def repeat(
        self, until: float, act: Callable[[], Awaitable[None]], min_pause: float, max_pause: float
    ) -> None:
        """Act again and again, with a pause behind each time, until a time on trio's clock."""
        while trio.current_time() < until:
            await act()
            await trio.sleep(self.random.uniform(min_pause, max_pause))

    async def start_repeatedly(
        self,
        until: float,
        draw: Callable[[], Callable[[], Awaitable[None]]],
        min_interval: float,
        max_interval: float,
    ) -> None:
        """Start what `draw` returns at intervals until a time; return once all of it has ended."""
        async with trio.open_nursery() as nursery:

            async def start() -> None:
                nursery.start_soon(draw())

            await self.repeat(until, start, min_interval, max_interval)

    @asynccontextmanager
    async def further_callers(
        self, count: int, random: Random | None = None, **options: object
    ) -> AsyncIterator[Callers]:
        """Run further callers, whose calls are judged like those of all callers.

        Args:
          count: how many.
          random: chooses what they do, the trouble's own if it is None.
          options: what distinguishes them from other `Callers`.
        """
        load = Callers(
            self.callers.entries,
            random or self.random,
            self.callers.ready_entries,
            self.callers.keys,
            self.callers.calls,
            **options,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, count)
            yield load
            load.stop()
        self.callers.violations += load.violations

    def draw_entry(self) -> str:
        """Draw the address of an entry that is ready, or of any if none is."""
        return self.random.choice(sorted(self.callers.ready_entries) or self.callers.entries)

    @contextmanager
    def own_call(self, call: Call) -> Iterator[None]:
        """Add a request of the trouble's own; give it up after the time that callers wait."""
        self.calls.append(call)
        with trio.move_on_after(DEADLINE_SECONDS + ANSWER_GRACE_SECONDS):
            yield
        call.duration_seconds = trio.current_time() - call.sent_at


async def send_alone(entry: str, request: bytes, call: Call, manner: Manner | None = None) -> None:
    """Send a request on a connection of its own, and close that with the end of the answer."""
    connection = await connect(entry, small_buffers=False)
    if connection is None:
        return
    try:
        await connection.send_request(request, call, manner or Manner())
    finally:
        connection.close()

"""Work that a request leaves behind, such as recording its result: it outlives the request."""

from collections.abc import Awaitable, Callable

import trio

__all__ = ["Background"]


class Background:
    """Starts work in tasks of its own while `run` runs; what comes after that is dropped."""

    def __init__(self) -> None:
        self._send, self._receive = trio.open_memory_channel[tuple](float("inf"))
        self._unfinished = 0

    @property
    def unfinished(self) -> int:
        """How much work was started and isn't done."""
        return self._unfinished

    def start(self, work: Callable[..., Awaitable[object]], *args: object) -> None:
        """Start work; safe to call at any moment, also while the process stops."""
        self._unfinished += 1
        self._send.send_nowait((work, args))

    async def run(self) -> None:
        """Run the work until cancelled."""
        async with trio.open_nursery() as nursery:
            async for work, args in self._receive:
                nursery.start_soon(self._run_one, work, args)

    async def _run_one(self, work: Callable[..., Awaitable[object]], args: tuple) -> None:
        try:
            await work(*args)
        finally:
            self._unfinished -= 1

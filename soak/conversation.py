"""A stand-in's side of one connection: it can stand still, and send bytes due to nobody."""

from contextlib import suppress

import trio

from soak.wire import reset

__all__ = ["Conversation", "Gate"]


class Gate:
    """Holds up all that wants to go out, and lets it out at once."""

    def __init__(self) -> None:
        self._closed_until = 0.0
        self._opened = trio.Event()

    def close(self, seconds: float) -> None:
        """Hold everything up for so long from now, or until it is opened."""
        self._closed_until = max(self._closed_until, trio.current_time() + seconds)

    def open(self) -> None:
        """Let everything out now."""
        self._closed_until = 0.0
        self._opened.set()
        self._opened = trio.Event()

    async def passed(self) -> None:
        """Return once nothing is held up."""
        while trio.current_time() < self._closed_until:
            with trio.move_on_at(self._closed_until):
                await self._opened.wait()


class Conversation(trio.abc.HalfCloseableStream):
    """Passes one connection's bytes on behind a gate and remembers the last answer.

    Args:
      inner: the connection.
      gate: what all of the process's connections pass.
    """

    def __init__(self, inner: trio.SocketStream, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate
        self._written = b""
        self._answering = False
        self._kept = b""
        self._sending = trio.Lock()

    def begin(self) -> None:
        """Note that the answer to a request begins."""
        self._written = b""
        self._answering = True

    def end(self) -> bytes:
        """Note that the answer is over; return its bytes."""
        self._answering = False
        return self._written

    def keep(self, data: bytes) -> None:
        """Keep bytes that belong to no request until the next one comes."""
        self._kept = data

    async def send_kept(self) -> None:
        """Send what was kept for the place of an answer that is due now."""
        kept, self._kept = self._kept, b""
        if kept:
            await self.send_unasked(kept)

    def reset(self) -> None:
        """Close so that the other side gets a reset."""
        reset(self._inner)

    async def send_unasked(self, data: bytes) -> None:
        """Send bytes that belong to no request, unless an answer is half sent."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self._sending:
                if not (self._answering and self._written):
                    await self._inner.send_all(data)

    async def send_all(self, data: bytes) -> None:
        """Send bytes of an answer."""
        await self._gate.passed()
        async with self._sending:
            self._written += data
            await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until bytes may be sent."""
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, none after the other side's end."""
        return await self._inner.receive_some(max_bytes)

    async def send_eof(self) -> None:
        """End this side."""
        await self._inner.send_eof()

    async def aclose(self) -> None:
        """Close."""
        await self._inner.aclose()

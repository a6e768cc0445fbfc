"""A stand-in's connection that can hold its output back and send unsolicited bytes."""

from contextlib import suppress

import trio

from soak.wire import reset

__all__ = ["GatedConnection", "Gate"]


class Gate:
    """Holds back the output of all connections and releases it at once."""

    def __init__(self) -> None:
        self._closed_until = 0.0
        self._opened = trio.Event()

    def close(self, seconds: float) -> None:
        """Hold output back for a time from now, or until `open`."""
        self._closed_until = max(self._closed_until, trio.current_time() + seconds)

    def open(self) -> None:
        """Release all output now."""
        self._closed_until = 0.0
        self._opened.set()
        self._opened = trio.Event()

    async def wait_until_open(self) -> None:
        """Return once the gate is open."""
        while trio.current_time() < self._closed_until:
            with trio.move_on_at(self._closed_until):
                await self._opened.wait()


class GatedConnection(trio.abc.HalfCloseableStream):
    """Sends a connection's output through a gate and records the last answer.

    Args:
      inner: the connection.
      gate: the gate that all connections of the process share.
    """

    def __init__(self, inner: trio.SocketStream, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate
        self._answer_bytes = b""
        self._is_answering = False
        self._held_bytes = b""
        self._send_lock = trio.Lock()

    def begin_answer(self) -> None:
        """Start to record an answer."""
        self._answer_bytes = b""
        self._is_answering = True

    def end_answer(self) -> bytes:
        """Stop to record and return the bytes of the answer."""
        self._is_answering = False
        return self._answer_bytes

    def hold_until_next_request(self, data: bytes) -> None:
        """Store unsolicited bytes until the next request arrives."""
        self._held_bytes = data

    async def send_held_bytes(self) -> None:
        """Send the stored bytes in place of the answer that is expected now."""
        held_bytes, self._held_bytes = self._held_bytes, b""
        if held_bytes:
            await self.send_unsolicited(held_bytes)

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        reset(self._inner)

    async def send_unsolicited(self, data: bytes) -> None:
        """Send bytes that belong to no request, unless an answer is partly sent."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self._send_lock:
                if not (self._is_answering and self._answer_bytes):
                    await self._inner.send_all(data)

    async def send_all(self, data: bytes) -> None:
        """Send bytes of an answer once the gate is open."""
        await self._gate.wait_until_open()
        async with self._send_lock:
            self._answer_bytes += data
            await self._inner.send_all(data)

    async def send_until_closed(self, head: bytes, piece: bytes) -> None:
        """Send a head and then a piece over and over, until the peer closes the connection."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with self._send_lock:
                await self._inner.send_all(head)
                while True:
                    await self._inner.send_all(piece)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the connection accepts bytes."""
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the next bytes, or none once the peer has closed its side."""
        return await self._inner.receive_some(max_bytes)

    async def send_eof(self) -> None:
        """Close the sending side."""
        await self._inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

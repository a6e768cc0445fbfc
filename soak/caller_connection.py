"""A caller's connection to one entry: reused, parsed strictly and in some cases read slowly."""

import socket
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import trio

from soak.calls import Call, Ending
from soak.sent_request import parse_request

__all__ = ["CallerConnection", "Manner", "connect"]

MAX_READ_BYTES = 4096
# The receive buffer and the largest segment of a caller that reads slowly. Together they limit what
# a sender may have in flight.
SMALL_BUFFER_BYTES = 4096
SMALL_SEGMENT_BYTES = 1400
# How long a caller waits for surplus bytes after an answer with `Connection: close`.
SURPLUS_TIMEOUT_SECONDS = 0.3
CONNECT_TIMEOUT_SECONDS = 1.0
# A caller that waits for bytes for less time found them arrived.
MIN_WAIT_SECONDS = 0.05


@dataclass(frozen=True)
class Manner:
    """How a caller reads one answer.

    `pauses` are (bytes, seconds): the caller pauses for this time after this number of bytes. It
    disconnects after `disconnects_after_bytes`, after `disconnects_after_seconds` or, counted from
    the end of its request, after `disconnects_after_sent_seconds`, whichever is first.
    """

    pauses: tuple[tuple[int, float], ...] = ()
    disconnects_after_bytes: int | None = None
    disconnects_after_seconds: float = float("inf")
    disconnects_after_sent_seconds: float = float("inf")

    @classmethod
    def slow(
        cls, random: Random, max_pauses: int, max_seconds: float, answer_bytes: int
    ) -> "Manner":
        """Draw the pauses in an answer of `answer_bytes` bytes."""
        offsets = sorted(
            random.randrange(answer_bytes) for _ in range(random.randint(1, max_pauses))
        )
        return cls(tuple((each, random.uniform(0.1, max_seconds)) for each in offsets))

    @classmethod
    def disconnecting(cls, random: Random, max_seconds: float, answer_bytes: int) -> "Manner":
        """Draw when the caller disconnects during an answer of `answer_bytes` bytes."""
        return cls((), random.randrange(answer_bytes), random.uniform(0.0, max_seconds))


class CallerConnection:
    """An open connection; `surplus` holds received bytes that belong to no request."""

    def __init__(self, entry: str, stream: trio.SocketStream) -> None:
        self.entry = entry
        self.surplus = b""
        self._stream = stream
        self._port = stream.socket.getsockname()[1]
        self._requests = 0

    async def is_usable(self) -> bool:
        """Return whether neither bytes nor a close arrived after the last answer."""
        if not self._stream.socket.is_readable():
            return True
        with suppress(trio.BrokenResourceError):  # The connection was reset.
            self.surplus = await self._stream.receive_some(MAX_READ_BYTES)
        return False

    async def send_request(self, request: bytes, call: Call, manner: Manner) -> bool:
        """Send a request and read its answer; return whether the connection is reusable."""
        self._requests += 1
        call.number_on_connection, call.entry = self._requests, self.entry
        call.port = self._port
        call.request = parse_request(request)
        with trio.move_on_after(manner.disconnects_after_seconds) as cancel_scope:
            try:
                await self._stream.send_all(request)
                call.whole_sent_at = trio.current_time()
                left_at = call.whole_sent_at + manner.disconnects_after_sent_seconds
                cancel_scope.deadline = min(cancel_scope.deadline, left_at)
                await self._read(call, manner)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                self._end(call, Ending.RESET)
                return False
        call.has_disconnected |= cancel_scope.cancelled_caught
        self._end(call, _ending(call))
        if not call.is_complete or call.parse_error:
            return False
        if b"close" in call.answer.header(b"connection").lower():
            await self._check_for_surplus(call)
            return False
        return True

    @staticmethod
    def _end(call: Call, ending: Ending) -> None:
        call.ending, call.ended_at = ending, trio.current_time()

    async def _read(self, call: Call, manner: Manner) -> None:
        pauses = list(manner.pauses)
        received_bytes = 0
        received_at = call.whole_sent_at
        while not call.is_complete:
            data = await self._receive(call, received_at)
            received_at = trio.current_time()
            received_bytes += len(data)
            call.received_bytes = received_bytes
            if not data or not call.feed(data):
                return
            if (
                manner.disconnects_after_bytes is not None
                and received_bytes > manner.disconnects_after_bytes
                and not call.is_complete
            ):
                call.has_disconnected = True
                return
            while pauses and pauses[0][0] < received_bytes:
                seconds = pauses.pop(0)[1]
                call.paused_seconds += seconds
                await trio.sleep(seconds)

    async def _receive(self, call: Call, since: float) -> bytes:
        """Receive the next bytes of an answer; measure the gap since the ones before.

        If they had arrived during a pause of the caller, their time is unknown and no gap counts.
        """
        began_at = trio.current_time()
        try:
            return await self._stream.receive_some(MAX_READ_BYTES)
        finally:
            now = trio.current_time()
            if now - began_at >= MIN_WAIT_SECONDS:
                call.longest_gap_seconds = max(call.longest_gap_seconds, now - since)

    async def _check_for_surplus(self, call: Call) -> None:
        """Check that no bytes follow an answer with `Connection: close`."""
        # A reset brings no bytes either.
        with trio.move_on_after(SURPLUS_TIMEOUT_SECONDS), suppress(trio.BrokenResourceError):
            data = await self._stream.receive_some(MAX_READ_BYTES)
            if data:
                call.feed(data)

    def close(self) -> None:
        """Close the socket immediately."""
        self._stream.socket.close()


def _ending(call: Call) -> Ending:
    """Return how a call ended whose connection wasn't reset."""
    if call.is_complete:
        return Ending.ANSWERED
    return Ending.DISCONNECTED if call.has_disconnected else Ending.CLOSED


async def connect(entry: str, small_buffers: bool) -> CallerConnection | None:
    """Return a new connection, or None if it can't be opened.

    Args:
      entry: the address, `IP:port`.
      small_buffers: whether to limit the bytes in flight from the sender.
    """
    host, _, port = entry.rpartition(":")
    sock = trio.socket.socket()
    if small_buffers:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)
    try:
        with trio.fail_after(CONNECT_TIMEOUT_SECONDS):
            await sock.connect((host, int(port)))
    except (OSError, trio.TooSlowError):
        sock.close()
        return None
    except BaseException:
        sock.close()
        raise
    return CallerConnection(entry, trio.SocketStream(sock))

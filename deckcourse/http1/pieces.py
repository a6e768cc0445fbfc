"""Bounds the processor time that messages in many small pieces take from other connections.

Load pattern: a peer sends a body in chunks of one byte, or one interim answer after the other. Each
piece costs the parser the same however few bytes it has, so that a bound on bytes alone lets one
peer occupy the event loop.

Pieces are paid for by the bytes that arrive and by a pace at which they may come anyway. What is
not paid for waits for the lane that all such messages of a process share. Waiting for the lane
means not reading, so that the peer is held back by TCP.
"""

from dataclasses import dataclass, field
from time import perf_counter

import trio

from deckcourse.http1.message import MAX_BODY_BYTES

__all__ = ["MAX_UNPAID_PIECES", "PieceLane", "PieceMeter"]

# Largest part of a processor that unpaid pieces take.
LANE_SHARE = 0.125
# Pieces after which a connection lets other tasks run.
PIECES_PER_TURN = 32
# Pieces a second that are always paid for: a model upstream makes an event at each step of its
# engine, and the fastest take about 1 ms for one.
PACE_PER_SECOND = 1000.0
# Paid pieces that may come at once: a quarter of a second of a stream that was held up.
BURST_PIECES = 256
# Bytes that pay for a piece: the payload of a TCP segment on Ethernet.
SEGMENT_BYTES = 1460
# Bytes that a piece of a message must have in the mean unless they come at that pace; HTTP/2 counts
# as many for the overhead of a header field (RFC 9113, 6.5.2).
MIN_MEAN_BYTES = 32
# A message may have as many pieces below that mean as the largest body fills segments.
MAX_UNPAID_PIECES = MAX_BODY_BYTES // SEGMENT_BYTES


class PieceLane:
    """The part of a processor that the unpaid pieces of all connections share, first come first."""

    def __init__(self) -> None:
        self._free_at = float("-inf")

    async def wait(self, seconds: float) -> None:
        """Wait until the lane has had time for work.

        Args:
          seconds: the processor time that the work took.
        """
        self._free_at = max(trio.current_time(), self._free_at) + seconds / LANE_SHARE
        await trio.sleep_until(self._free_at)


@dataclass
class _Balance:
    """Pieces that were paid for and have not come yet; a debt if negative."""

    bytes_per_piece: float
    pieces: float = BURST_PIECES
    updated_at: float = field(default_factory=trio.current_time)

    def take(self, count: int, pieces: int) -> None:
        """Take pieces of some bytes altogether."""
        self.pieces += count / self.bytes_per_piece - pieces
        if self.pieces < 0:
            now = trio.current_time()
            self.pieces += (now - self.updated_at) * PACE_PER_SECOND
            self.updated_at = now
        self.pieces = min(self.pieces, BURST_PIECES)


class PieceMeter:
    """Counts the pieces of the messages that one connection receives.

    Args:
      lane: shared by all connections of the process.
    """

    def __init__(self, lane: PieceLane) -> None:
        self._lane = lane
        self._for_lane = _Balance(SEGMENT_BYTES)
        self._for_message = _Balance(MIN_MEAN_BYTES)
        # Pieces since other tasks ran, and the processor time of those that were not paid for.
        self._turn_pieces = 0
        self._unpaid_seconds = 0.0

    @property
    def is_exceeded(self) -> bool:
        """Whether the message has more small pieces than any sound one."""
        return self._for_message.pieces < -MAX_UNPAID_PIECES

    @property
    def has_unpaid_pieces(self) -> bool:
        """Whether the message has more small pieces so far than its bytes and the pace pay for."""
        return self._for_message.pieces < 0

    @property
    def is_turn_over(self) -> bool:
        """Whether `let_others_run` is due."""
        return self._turn_pieces >= PIECES_PER_TURN

    def start_message(self) -> None:
        """Record the start of another message."""
        self._for_message = _Balance(MIN_MEAN_BYTES)

    def note(self, count: int, began_at: float, pieces: int = 1) -> None:
        """Record pieces.

        Args:
          count: the bytes of the pieces.
          began_at: when their parsing began, by `time.perf_counter`.
          pieces: how many there are.
        """
        self._for_message.take(count, pieces)
        self._for_lane.take(count, pieces)
        self._turn_pieces += pieces
        unpaid = min(pieces, -self._for_lane.pieces)
        if unpaid > 0:
            self._for_lane.pieces += unpaid
            self._unpaid_seconds += (perf_counter() - began_at) * unpaid / pieces

    async def let_others_run(self) -> None:
        """Wait for the lane, or for one turn of the event loop, if enough pieces came."""
        if not self.is_turn_over:
            return
        seconds, self._turn_pieces, self._unpaid_seconds = self._unpaid_seconds, 0, 0.0
        if seconds:
            await self._lane.wait(seconds)
        else:
            await trio.lowlevel.checkpoint()

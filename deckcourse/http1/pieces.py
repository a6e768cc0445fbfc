"""Bounds the processor time that messages in many small pieces take from other connections.

Load pattern: a peer sends a body in chunks of one byte, or one interim answer after the other. Each
piece costs the parser the same however few bytes it has, so that a bound on bytes alone lets one
peer occupy the event loop.

Pieces are paid for by the bytes that arrive and by a pace while a connection waits for its peer.
What is not paid for waits for the lane that all such messages of a process share. Waiting for the
lane means not reading, so that the peer is held back by TCP.
"""

from time import perf_counter

import trio

from deckcourse.http1.message import MAX_BODY_BYTES

__all__ = ["MAX_UNPAID_PIECES", "PieceLane", "PieceMeter"]

# Part of a processor that unpaid pieces take, and that while other tasks want it.
MAX_LANE_SHARE = 0.25
MIN_LANE_SHARE = 0.125
# A wait that ends this much too late shows that others want the processor: the event loop waits
# for whole milliseconds.
CONTENTION_SECONDS = 0.002
# Pieces after which a connection lets other tasks run.
PIECES_PER_TURN = 32
# Pieces that each second of waiting for the peer pays for: a model upstream makes an event at each
# step of its engine, and the fastest take about 1 ms for one.
PACE_PER_SECOND = 1000.0
# Paid pieces that may come at once: a quarter of a second of a stream that was held up.
BURST_PIECES = 256
# Bytes that pay for a piece: the payload of a TCP segment on Ethernet.
SEGMENT_BYTES = 1460
# Bytes that pieces of a message must have in the mean unless they come at that pace: a chunk has
# as many for its size and line ends at least, so that less is mostly framing.
MIN_MEAN_BYTES = 5
# A message may have as many pieces below that mean as the largest body fills segments.
MAX_UNPAID_PIECES = MAX_BODY_BYTES // SEGMENT_BYTES


class PieceLane:
    """The part of a processor that the unpaid pieces of all connections share, first come first."""

    def __init__(self) -> None:
        self._free_at = float("-inf")

    def reserve(self, seconds: float) -> float:
        """Return until when a connection has to wait, on trio's clock.

        Args:
          seconds: how much longer the lane is taken.
        """
        self._free_at = max(trio.current_time(), self._free_at) + seconds
        return self._free_at

    async def wait(self, seconds: float) -> None:
        """Wait until the lane has had time for work that took some seconds of the processor."""
        await trio.sleep_until(self.reserve(seconds / MIN_LANE_SHARE))


class _Balance:
    """Pieces that were paid for and have not come yet; a debt if negative."""

    def __init__(self, bytes_per_piece: float) -> None:
        self._bytes_per_piece = bytes_per_piece
        self.pieces: float = BURST_PIECES

    def take(self, count: int, pieces: int) -> None:
        """Take pieces of some bytes altogether."""
        self._add(count / self._bytes_per_piece - pieces)

    def note_wait(self, seconds: float) -> None:
        """Add what a wait for the peer pays for."""
        self._add(seconds * PACE_PER_SECOND)

    def _add(self, pieces: float) -> None:
        self.pieces = min(self.pieces + pieces, BURST_PIECES)


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
        # Until when the lane is awaited, None if it isn't; kept when the wait is given up.
        self._due_at: float | None = None

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
        """Record the start of another message, which owes nothing for the one before."""
        self._for_message = _Balance(MIN_MEAN_BYTES)
        self._end_turn()

    def note_wait(self, seconds: float) -> None:
        """Record a wait for bytes of the peer."""
        self._for_lane.note_wait(seconds)
        self._for_message.note_wait(seconds)

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
        if self._unpaid_seconds:
            await self._wait_for_lane(self._unpaid_seconds)
        else:
            await trio.lowlevel.checkpoint()
        self._end_turn()

    async def _wait_for_lane(self, seconds: float) -> None:
        """Wait for the lane, for longer if other tasks wanted the processor meanwhile."""
        if self._due_at is None:
            self._due_at = self._lane.reserve(seconds / MAX_LANE_SHARE)
        await trio.sleep_until(self._due_at)
        if trio.current_time() - self._due_at > CONTENTION_SECONDS:
            self._due_at = self._lane.reserve(seconds / MIN_LANE_SHARE)
            await trio.sleep_until(self._due_at)

    def _end_turn(self) -> None:
        self._turn_pieces = 0
        self._unpaid_seconds = 0.0
        self._due_at = None

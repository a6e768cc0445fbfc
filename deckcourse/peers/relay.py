"""The relay of changes between processes: a server for subscribers and a client for one source.

A subscription is one HTTP request with an endless response body. Frames are sent as changes occur,
and empty frames in between, so that the subscriber can detect a silent source.
"""

from collections.abc import Callable
from enum import StrEnum
from time import perf_counter

import trio

from deckcourse.http1.client import UpstreamReply
from deckcourse.http1.message import ConnectionLostError, IncomingRequest
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import Exchange
from deckcourse.peers.frames import (
    ChangesRequest,
    FrameReader,
    MalformedFrameError,
    decode_request,
    encode_frame,
    encode_request,
)
from deckcourse.peers.knowledge import SharedState, Subscriber

__all__ = ["RELAY_PATH", "RelayClient", "RelayEnd", "RelayServer"]

RELAY_PATH = b"/changes"
# A source sends a frame at least this often, seconds. Changed rows are sent at once; loads wait for
# the next frame, since one arrives every 0.05 s on a site with 40 first-stage upstreams.
MAX_FRAME_INTERVAL_SECONDS = 0.25
# A source that is silent for longer is left, seconds; allows for a loaded machine or a lost packet.
SILENCE_TIMEOUT_SECONDS = 1.3
# Changes within this time are sent together, seconds.
COALESCING_SECONDS = 0.05
# The response ends if a frame cannot be sent within this time, seconds.
SEND_TIMEOUT_SECONDS = 2.0
# A source whose frame is not complete after this time is left, seconds: a sound one has ended its
# response, or what it has sent arrives before it counts as silent.
FRAME_TIMEOUT_SECONDS = SEND_TIMEOUT_SECONDS + SILENCE_TIMEOUT_SECONDS
OK = 200


class RelayEnd(StrEnum):
    """The reason for leaving a source."""

    UNREACHABLE = "unreachable"
    BROKE_OFF = "broke-off"
    MALFORMED = "malformed"
    SILENT = "silent"
    STALE = "behind"
    NOT_NEEDED = "not-needed"


class RelayServer:
    """Sends frames to subscribers.

    Args:
      shared_state: the state to relay.
      is_cut_off: returns whether this process cannot reach the store and got nothing newer from
        other processes.
    """

    def __init__(self, shared_state: SharedState, is_cut_off: Callable[[], bool]) -> None:
        self._shared_state = shared_state
        self._is_cut_off = is_cut_off
        self._subscriber_count = 0
        self._stopped = False

    @property
    def subscriber_count(self) -> int:
        """The number of processes that receive frames from this one."""
        return self._subscriber_count

    def stop(self) -> None:
        """End all responses; the subscribers switch to another source."""
        self._stopped = True
        self._shared_state.notify_waiters()

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Serve one subscriber until it disconnects or the server stops."""
        changes_request = decode_request(request.body)
        if request.target != RELAY_PATH or changes_request is None or self._stopped:
            await exchange.respond(503 if self._stopped else 404, (), b"")
            return
        origin = trio.current_time()
        self._subscriber_count += 1
        try:
            await exchange.start(OK, ())
            await self._send_frames(Subscriber(origin, dict(changes_request.versions)), exchange)
        finally:
            self._subscriber_count -= 1

    async def _send_frames(self, subscriber: Subscriber, exchange: Exchange) -> None:
        while not self._stopped:
            frame = self._shared_state.next_frame(subscriber, self._is_cut_off())
            with trio.move_on_after(SEND_TIMEOUT_SECONDS) as sending:
                await exchange.send(encode_frame(frame))
            if sending.cancelled_caught:
                return
            await trio.sleep(COALESCING_SECONDS)
            with trio.move_on_after(MAX_FRAME_INTERVAL_SECONDS - COALESCING_SECONDS):
                await self._shared_state.wait_for_update()


class RelayClient:
    """Receives changes from another process.

    Args:
      name: the name of this process.
      shared_state: the state that frames are merged into.
      pool: opens connections.
    """

    def __init__(self, name: str, shared_state: SharedState, pool: ConnectionPool) -> None:
        self._name = name
        self._shared_state = shared_state
        self._pool = pool

    async def follow(
        self, address: str, reason_to_leave: Callable[[bool], RelayEnd | None]
    ) -> RelayEnd:
        """Merge the frames of a source until it fails or should be left; return the reason.

        Args:
          address: the address of the source.
          reason_to_leave: called after each frame with whether the source is cut off; returns why
            the source should be left, None to continue.
        """
        changes_request = encode_request(ChangesRequest(self._name, self._shared_state.versions))
        headers = (
            (b"host", address.encode()),
            (b"content-length", str(len(changes_request)).encode()),
        )
        try:
            connection = await self._pool.acquire(address, 0.0)
        except ConnectionLostError:
            return RelayEnd.UNREACHABLE
        try:
            # The source reads the request later than this, so no time is taken for too late.
            origin = trio.current_time()
            with trio.move_on_after(SILENCE_TIMEOUT_SECONDS) as waiting:
                reply = await connection.call(b"POST", RELAY_PATH, headers, changes_request)
            if waiting.cancelled_caught:
                return RelayEnd.SILENT
            if reply.status != OK:
                return RelayEnd.UNREACHABLE
            return await self._receive_frames(reply, origin, reason_to_leave)
        except ConnectionLostError:
            return RelayEnd.BROKE_OFF
        except MalformedFrameError:
            return RelayEnd.MALFORMED
        finally:
            connection.abort()

    async def _receive_frames(
        self,
        reply: UpstreamReply,
        origin: float,
        reason_to_leave: Callable[[bool], RelayEnd | None],
    ) -> RelayEnd:
        reader = FrameReader()
        meter = reply.new_meter()
        frame_began_at = float("inf")
        while True:
            data: bytes | None = None
            waits_since = trio.current_time()
            silent_at = waits_since + SILENCE_TIMEOUT_SECONDS
            with trio.move_on_at(min(silent_at, frame_began_at + FRAME_TIMEOUT_SECONDS)) as waiting:
                data = await reply.next_data()
            if waiting.cancelled_caught:
                return RelayEnd.SILENT
            if data is None:
                return RelayEnd.BROKE_OFF
            meter.note_wait(trio.current_time() - waits_since)
            if not reader.is_incomplete:
                frame_began_at = trio.current_time()
            began_at = perf_counter()
            for frame in reader.feed(data):
                self._shared_state.merge(frame, origin)
                end = reason_to_leave(frame.is_cut_off)
                if end is not None:
                    return end
                meter.note(reader.frame_bytes, began_at)
                await meter.let_others_run()
                frame_began_at = trio.current_time()
                began_at = perf_counter()
            if not reader.is_incomplete:
                frame_began_at = float("inf")

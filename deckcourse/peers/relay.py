"""Passing changes on between processes: one answers questions, the other asks one source at a time.

A question is one HTTP request whose answer doesn't end: frames come as there is news, and empty
ones in between, so that silence is noticed.
"""

from collections.abc import Callable
from enum import StrEnum

import trio

from deckcourse.http1.client import ConnectionPool, UpstreamReply
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.server import Exchange, IncomingRequest
from deckcourse.peers.frames import (
    FrameReader,
    MalformedFrameError,
    Question,
    decode_question,
    encode_frame,
    encode_question,
)
from deckcourse.peers.knowledge import Knowledge, Listener

__all__ = ["RELAY_PATH", "RelayClient", "RelayEnd", "RelayServer"]

RELAY_PATH = b"/changes"
# A source says something at least this often, seconds. Changed rows go at once; loads, of which one
# comes each 0.05 s on a site of 40 first upstreams, go with the next frame.
BEAT_SECONDS = 0.25
# One that says nothing for longer is left, seconds: what a loaded machine or a lost packet takes.
SILENCE_SECONDS = 1.3
# Changes that come in quick succession are sent together, seconds.
PAUSE_SECONDS = 0.05
# A connection that takes nothing for so long is closed, seconds.
SEND_SECONDS = 2.0
OK = 200


class RelayEnd(StrEnum):
    """Why a source is left."""

    UNREACHABLE = "unreachable"
    BROKE_OFF = "broke-off"
    MALFORMED = "malformed"
    SILENT = "silent"
    BEHIND = "behind"
    NOT_NEEDED = "not-needed"


class RelayServer:
    """Answers the questions of other processes.

    Args:
      knowledge: what is passed on.
      lost: returns whether this process lost the store and heard nothing newer from others.
    """

    def __init__(self, knowledge: Knowledge, lost: Callable[[], bool]) -> None:
        self._knowledge = knowledge
        self._lost = lost
        self._serving = 0
        self._stopped = False

    @property
    def serving(self) -> int:
        """How many processes ask this one."""
        return self._serving

    def stop(self) -> None:
        """Send everybody away; they turn to another source."""
        self._stopped = True
        self._knowledge.note_progress()

    async def handle(self, request: IncomingRequest, exchange: Exchange) -> None:
        """Answer one question for as long as its sender listens."""
        question = decode_question(request.body)
        if request.target != RELAY_PATH or question is None or self._stopped:
            await exchange.whole(503 if self._stopped else 404, (), b"")
            return
        origin = trio.current_time()
        self._serving += 1
        try:
            await exchange.start(OK, ())
            await self._send_frames(Listener(origin, dict(question.versions)), exchange)
        finally:
            self._serving -= 1

    async def _send_frames(self, listener: Listener, exchange: Exchange) -> None:
        while not self._stopped:
            frame = self._knowledge.frame(listener, self._lost())
            with trio.move_on_after(SEND_SECONDS) as sending:
                await exchange.send(encode_frame(frame))
            if sending.cancelled_caught:
                return
            await trio.sleep(PAUSE_SECONDS)
            with trio.move_on_after(BEAT_SECONDS - PAUSE_SECONDS):
                await self._knowledge.wait()


class RelayClient:
    """Asks another process for changes.

    Args:
      name: who asks.
      knowledge: what frames are taken into.
      pool: opens connections.
    """

    def __init__(self, name: str, knowledge: Knowledge, pool: ConnectionPool) -> None:
        self._name = name
        self._knowledge = knowledge
        self._pool = pool

    async def follow(self, address: str, wanted: Callable[[bool], RelayEnd | None]) -> RelayEnd:
        """Take in what a source says until it is lost or no longer wanted; return why.

        Args:
          address: the source.
          wanted: returns why the source should be left, None where it shouldn't; asked with
            each frame, and told whether the source lost the store.
        """
        question = encode_question(Question(self._name, self._knowledge.versions))
        headers = (
            (b"host", address.encode()),
            (b"content-length", str(len(question)).encode()),
        )
        try:
            connection = await self._pool.acquire(address, 0.0)
        except ConnectionLostError:
            return RelayEnd.UNREACHABLE
        try:
            # The source reads the question later than this: no moment counts for too late.
            origin = trio.current_time()
            with trio.move_on_after(SILENCE_SECONDS) as waiting:
                reply = await connection.call(b"POST", RELAY_PATH, headers, question)
            if waiting.cancelled_caught:
                return RelayEnd.SILENT
            if reply.status != OK:
                return RelayEnd.UNREACHABLE
            return await self._take_frames(reply, origin, wanted)
        except ConnectionLostError:
            return RelayEnd.BROKE_OFF
        except MalformedFrameError:
            return RelayEnd.MALFORMED
        finally:
            connection.abort()

    async def _take_frames(
        self, reply: UpstreamReply, origin: float, wanted: Callable[[bool], RelayEnd | None]
    ) -> RelayEnd:
        reader = FrameReader()
        while True:
            data: bytes | None = None
            with trio.move_on_after(SILENCE_SECONDS) as waiting:
                data = await reply.next_data()
            if waiting.cancelled_caught:
                return RelayEnd.SILENT
            if data is None:
                return RelayEnd.BROKE_OFF
            for frame in reader.feed(data):
                self._knowledge.take(frame, origin)
                end = wanted(frame.lost)
                if end is not None:
                    return end

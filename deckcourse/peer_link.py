"""The exchange between two of the system's processes: its messages, its port and its links."""

from collections.abc import Awaitable, Callable
from dataclasses import astuple, dataclass, field
from typing import Protocol

import msgspec
import pynng
import trio

from deckcourse.configuration import Change, Configuration
from deckcourse.engine import EngineLoad

__all__ = [
    "Digest",
    "Exchange",
    "LoadRow",
    "PeerLink",
    "PynngLink",
    "PynngListener",
    "decode_exchange",
    "load_of",
    "row_of",
]

MAX_MESSAGE_BYTES = 8 * 1024 * 1024
_encode = msgspec.msgpack.Encoder().encode


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """A load report without the names of its fields, which would be two thirds of its bytes."""

    instance: str
    incarnation: int
    model: str
    first: int
    end: int
    streams: int
    slots: int
    layer_rate: float
    layer_room: int
    leaving: bool
    fence_epoch: int
    fence_sequence: int
    checks_fence: bool
    step_seconds: float
    as_of: int


def row_of(load: EngineLoad) -> LoadRow:
    """Return a load report as it's sent to peers."""
    return LoadRow(*astuple(load))


def load_of(row: LoadRow) -> EngineLoad:
    """Return a load report as it came from a peer."""
    return EngineLoad(*msgspec.structs.astuple(row))


@dataclass(frozen=True)
class Digest:
    """What a process says of itself and of the upstreams that it polled.

    `demand` is what it was asked for, by client account, in tokens a second; `loads` are its
    freshest load reports; `leaving` the incarnations that get no new work.
    """

    name: str
    address: str
    incarnation: str
    role: str
    domain: str
    version: int
    confirmed: bool
    stopping: bool = False
    leaving: tuple[str, ...] = ()
    demand: dict[str, float] = field(default_factory=dict)
    loads: tuple[LoadRow, ...] = ()


@dataclass(frozen=True)
class Exchange:
    """One message of an exchange; changes are sent to a peer that is known to be behind."""

    digest: Digest
    changes: tuple[Change, ...] = ()
    snapshot: Configuration | None = None


decode_exchange = msgspec.msgpack.Decoder(Exchange).decode


class PeerLink(Protocol):
    """The way to one peer."""

    async def exchange(self, message: Exchange) -> Exchange | None:
        """Send a message and return the peer's, None where it can't be had in time."""


Answer = Callable[[Exchange], Awaitable[Exchange]]


class PynngLink:
    """A peer reached by a pynng request socket at `address` (IP:port)."""

    def __init__(self, address: str, seconds: float) -> None:
        self._address = address
        self._seconds = seconds
        self._socket: pynng.Req0 | None = None

    async def exchange(self, message: Exchange) -> Exchange | None:
        """Send a message and return the peer's, None where it can't be had in time."""
        try:
            with trio.move_on_after(self._seconds):
                return await self._exchange(message)
        except (pynng.NNGException, msgspec.MsgspecError):
            pass
        self.close()
        return None

    async def _exchange(self, message: Exchange) -> Exchange:
        if self._socket is None:
            self._socket = pynng.Req0(recv_max_size=MAX_MESSAGE_BYTES)
            self._socket.dial(f"tcp://{self._address}", block=False)
        await self._socket.asend(_encode(message))
        return decode_exchange(await self._socket.arecv())

    def close(self) -> None:
        """Close the socket; the next exchange opens another."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


class PynngListener:
    """Answers the exchanges of all peers on one pynng reply socket."""

    def __init__(self, address: str) -> None:
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.listen(f"tcp://{address}")

    async def run(self, answer: Answer) -> None:
        """Answer until cancelled."""
        try:
            while True:
                await self._answer_one(answer)
        finally:
            self._socket.close()

    async def _answer_one(self, answer: Answer) -> None:
        received = await self._socket.arecv()
        try:
            message = decode_exchange(received)
        except msgspec.MsgspecError:
            # The peer's socket waits for some reply; an empty one is no exchange to it.
            await self._socket.asend(b"")
            return
        await self._socket.asend(_encode(await answer(message)))

"""The engine port over HTTP: all that the router knows of an engine's wire form."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import httpcore
import msgspec
import trio

from deckcourse.engine import (
    EngineFailure,
    EngineLoad,
    EngineRefusal,
    FinishFrame,
    Frame,
    LoadOrder,
    Lost,
    Order,
    OrderReply,
    Refused,
    StreamLostError,
    StreamStart,
    TokenFrame,
    Unreachable,
)
from deckcourse.http_client import (
    CONNECT_SECONDS,
    LOST_ERRORS,
    NOT_SENT_ERRORS,
    HttpReply,
    NotSent,
    http_call,
    read_body,
)

__all__ = [
    "CANCEL_PATH",
    "LOAD_MODEL_PATH",
    "LOAD_PATH",
    "REFUSED_STATUS",
    "STREAMS_PATH",
    "UNLOAD_PATH",
    "EngineRefusal",
    "HttpEngine",
    "decode_frames",
    "encode_frame",
]

STREAMS_PATH = "/v1/streams"
LOAD_PATH = "/v1/load"
LOAD_MODEL_PATH = "/v1/orders/load"
UNLOAD_PATH = "/v1/orders/unload"
CANCEL_PATH = "/v1/cancel"
ACTION_HEADER = "x-deckcourse-action"
OK = 200
# The engine's word that it did not run the call.
REFUSED_STATUS = 409
CALL_SECONDS = 1.0
MAX_FRAME_BYTES = 64 * 1024
TOKEN_TAG = "t"
FINISH_TAG = "f"
LOST_TAG = "x"


class _WireFrame(msgspec.Struct, array_like=True):
    """Any frame on the wire: tag, attempt, index or count, token, text or reason, trace."""

    tag: str
    attempt: int
    number: int
    token: int = 0
    text: str = ""
    trace: str = ""


_decode_wire = msgspec.json.Decoder(_WireFrame).decode
_encode = msgspec.json.Encoder().encode


def encode_frame(frame: Frame | Lost) -> bytes:
    """Return a frame as one line; `Lost` names the stage that the engine lost."""
    if isinstance(frame, TokenFrame):
        wire = _WireFrame(
            TOKEN_TAG, frame.attempt, frame.index, frame.token, frame.text, frame.trace
        )
    elif isinstance(frame, FinishFrame):
        wire = _WireFrame(FINISH_TAG, frame.attempt, frame.count, 0, frame.reason)
    else:
        wire = _WireFrame(LOST_TAG, 0, 0, 0, frame.message, frame.instance)
    return _encode(wire) + b"\n"


def decode_frames(lines: list[bytes]) -> tuple[Frame, ...]:
    """Return the frames of whole lines.

    Raises:
      StreamLostError: the engine said that a stage was lost.
      msgspec.MsgspecError: a line is no frame.
    """
    return tuple(_frame(_decode_wire(line)) for line in lines)


def _frame(wire: _WireFrame) -> Frame:
    if wire.tag == TOKEN_TAG:
        return TokenFrame(wire.attempt, wire.number, wire.token, wire.text, wire.trace)
    if wire.tag == FINISH_TAG:
        return FinishFrame(wire.attempt, wire.number, wire.text)
    raise StreamLostError(Lost(wire.trace, wire.text))


class HttpEngine:
    """An engine reached by HTTP at `address` (IP:port)."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, instance: str, address: str) -> None:
        self._pool = pool
        self._instance = instance
        self._base = f"http://{address}"

    @asynccontextmanager
    async def stream(
        self, start: StreamStart
    ) -> AsyncIterator[AsyncIterator[tuple[Frame, ...]] | EngineFailure]:
        """Start or resume a stream; frames that are there together come together."""
        async with AsyncExitStack() as stack:
            response = await self._open(stack, start)
            yield await self._opened(response)

    async def _open(self, stack: AsyncExitStack, start: StreamStart):
        opening = self._pool.stream(
            "POST",
            self._base + STREAMS_PATH,
            headers=[(ACTION_HEADER, start.action)],
            content=_encode(start),
            extensions={"timeout": {"connect": CONNECT_SECONDS}},
        )
        try:
            return await stack.enter_async_context(opening)
        except NOT_SENT_ERRORS as error:
            return Unreachable(self._instance, str(error) or type(error).__name__)
        except LOST_ERRORS as error:
            return Lost(self._instance, str(error) or type(error).__name__)

    async def _opened(self, response) -> AsyncIterator[tuple[Frame, ...]] | EngineFailure:
        if isinstance(response, Unreachable | Lost):
            return response
        if response.status == OK:
            return self._frames(response)
        try:
            body = await read_body(response)
        except LOST_ERRORS as error:
            return Lost(self._instance, str(error) or type(error).__name__)
        return self._failure(response.status, body)

    async def _frames(self, response) -> AsyncIterator[tuple[Frame, ...]]:
        rest = b""
        try:
            async for chunk in response.aiter_stream():
                *lines, rest = (rest + chunk).split(b"\n")
                if len(rest) > MAX_FRAME_BYTES:
                    raise StreamLostError(Lost(self._instance, "a frame is too long"))
                if lines:
                    yield decode_frames(lines)
        except LOST_ERRORS as error:
            message = str(error) or type(error).__name__
            raise StreamLostError(Lost(self._instance, message)) from error
        except msgspec.MsgspecError as error:
            raise StreamLostError(Lost(self._instance, f"no frame: {error}")) from error

    def _failure(self, status: int, body: bytes) -> Refused | Lost:
        if status == REFUSED_STATUS:
            try:
                refused = msgspec.json.decode(body, type=Refused)
            except msgspec.MsgspecError:
                return Lost(self._instance, "refusal without a reason")
            return refused
        return Lost(self._instance, f"status {status}")

    async def load(self) -> EngineLoad | EngineFailure:
        """Return the engine's report of itself."""
        return await self._call("GET", LOAD_PATH, b"", EngineLoad)

    async def order(self, order: Order) -> OrderReply | EngineFailure:
        """Give a fenced order; a repeated one is answered from what was done."""
        path = LOAD_MODEL_PATH if isinstance(order, LoadOrder) else UNLOAD_PATH
        return await self._call("POST", path, _encode(order), OrderReply)

    async def cancel(self, request: str, attempt: int) -> None:
        """Stop a stream for good and let go of what it holds; unknown ones are ignored."""
        deadline = trio.current_time() + CALL_SECONDS
        body = _encode({"request": request, "attempt": attempt})
        await http_call(self._pool, "POST", self._base + CANCEL_PATH, body, (), deadline)

    async def _call(self, method: str, path: str, body: bytes, kind: type):
        deadline = trio.current_time() + CALL_SECONDS
        reply = await http_call(self._pool, method, self._base + path, body, (), deadline)
        if isinstance(reply, NotSent):
            return Unreachable(self._instance, reply.message)
        if not isinstance(reply, HttpReply):
            return Lost(self._instance, reply.message)
        if reply.status != OK:
            return self._failure(reply.status, reply.body)
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.MsgspecError as error:
            return Lost(self._instance, f"{path}: {error}")

"""The stand-in engine behind an HTTP listener, and the way from one to the next."""

from contextlib import aclosing

import httpcore
import msgspec
import trio

from deckcourse.asgi import (
    BodyTooLarge,
    Request,
    cancel_when_gone,
    read_body,
    send_json,
    send_whole,
)
from deckcourse.engine import (
    EngineFailure,
    Hop,
    LoadOrder,
    Lost,
    Refused,
    StreamLostError,
    StreamStart,
    UnloadOrder,
    Unreachable,
)
from deckcourse.engine_http import (
    CANCEL_PATH,
    LOAD_MODEL_PATH,
    LOAD_PATH,
    REFUSED_STATUS,
    STREAMS_PATH,
    UNLOAD_PATH,
    encode_frame,
)
from deckcourse.http_client import HttpReply, NotSent, http_call
from deckcourse.plain_service import ServiceCall, ServiceReply
from deckcourse.plain_service_http import REQUEST_HEADER
from deckcourse.standin_engine import StandinEngine
from deckcourse.standin_service import StandinService
from deckcourse.standin_stage import StandinStage, StepCall, StepMissing, StepReply

__all__ = ["EngineApp", "HttpStage", "ServiceApp"]

STEP_PATH = "/standin/step"
FINISH_PATH = "/standin/finish"
LEAVE_PATH = "/standin/leave"
RUNS_PATH = "/standin/runs"
LARGEST_BODY = 4 * 1024 * 1024
NOT_FOUND = 404
MISSING_STATUS = 410
LOST_STATUS = 502
STEP_SECONDS = 30.0
FINISH_SECONDS = 0.5


class HttpStage(StandinStage):
    """The next stage of a route, reached by HTTP."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, hop: Hop) -> None:
        self._pool = pool
        self._hop = hop
        self._base = f"http://{hop.address}"

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run this stage's layers, and those of the stages after it."""
        deadline = trio.current_time() + STEP_SECONDS
        body = msgspec.json.encode(call)
        reply = await http_call(self._pool, "POST", self._base + STEP_PATH, body, (), deadline)
        if isinstance(reply, NotSent):
            return Unreachable(self._hop.instance, reply.message)
        if not isinstance(reply, HttpReply):
            return Lost(self._hop.instance, reply.message)
        kinds = {200: StepReply, MISSING_STATUS: StepMissing, REFUSED_STATUS: Refused}
        return msgspec.json.decode(reply.body, type=kinds.get(reply.status, Lost))

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Let go of what this stage, and those after it, hold of a request."""
        deadline = trio.current_time() + FINISH_SECONDS
        body = msgspec.json.encode({"request": request, "attempt": attempt, "hops": hops})
        await http_call(self._pool, "POST", self._base + FINISH_PATH, body, (), deadline)


class EngineApp:
    """Answers the engine's callers."""

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine
        self._handlers = {
            STREAMS_PATH: self._stream,
            LOAD_PATH: self._load,
            LOAD_MODEL_PATH: self._order_load,
            UNLOAD_PATH: self._order_unload,
            CANCEL_PATH: self._cancel,
            STEP_PATH: self._step,
            FINISH_PATH: self._finish,
            LEAVE_PATH: self._leave,
            RUNS_PATH: self._runs,
        }

    async def __call__(self, request: Request) -> None:
        """Answer one request."""
        body = await read_body(request, LARGEST_BODY)
        handler = self._handlers.get(request.path)
        if handler is None or isinstance(body, BodyTooLarge):
            await send_whole(request, NOT_FOUND, b"")
            return
        await handler(request, body)

    async def _load(self, request: Request, body: bytes) -> None:
        await self._send(request, await self._engine.load())

    async def _order_load(self, request: Request, body: bytes) -> None:
        order = msgspec.json.decode(body, type=LoadOrder)
        await self._send(request, await self._engine.order(order))

    async def _order_unload(self, request: Request, body: bytes) -> None:
        order = msgspec.json.decode(body, type=UnloadOrder)
        await self._send(request, await self._engine.order(order))

    async def _cancel(self, request: Request, body: bytes) -> None:
        fields = msgspec.json.decode(body)
        await self._engine.cancel(fields["request"], fields["attempt"])
        await send_json(request, 200, {})

    async def _step(self, request: Request, body: bytes) -> None:
        call = msgspec.json.decode(body, type=StepCall)
        await self._send(request, await self._engine.step(call))

    async def _finish(self, request: Request, body: bytes) -> None:
        fields = msgspec.json.decode(body)
        hops = msgspec.convert(fields["hops"], tuple[Hop, ...])
        await self._engine.finish(fields["request"], fields["attempt"], hops)
        await send_json(request, 200, {})

    async def _leave(self, request: Request, body: bytes) -> None:
        self._engine.leave()
        await send_json(request, 200, {})

    async def _runs(self, request: Request, body: bytes) -> None:
        await send_json(request, 200, self._engine.runs)

    async def _send(self, request: Request, reply) -> None:
        status = 200
        if isinstance(reply, Refused):
            status = REFUSED_STATUS
        elif isinstance(reply, StepMissing):
            status = MISSING_STATUS
        elif isinstance(reply, Lost | Unreachable):
            status = LOST_STATUS
        await send_json(request, status, reply)

    async def _stream(self, request: Request, body: bytes) -> None:
        start = msgspec.json.decode(body, type=StreamStart)
        async with self._engine.stream(start) as frames:
            if isinstance(frames, Refused | Lost | Unreachable):
                await self._send(request, frames)
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_when_gone, request, nursery.cancel_scope)
                await self._send_frames(request, frames)
                nursery.cancel_scope.cancel()

    async def _send_frames(self, request: Request, frames) -> None:
        headers = [(b"content-type", b"application/x-ndjson")]
        await request.send({"type": "http.response.start", "status": 200, "headers": headers})
        try:
            async with aclosing(frames):
                async for batch in frames:
                    lines = b"".join([encode_frame(frame) for frame in batch])
                    await request.send(
                        {"type": "http.response.body", "body": lines, "more_body": True}
                    )
        except StreamLostError as lost:
            failure = lost.failure
            line = encode_frame(Lost(failure.instance, failure.message))
            await request.send({"type": "http.response.body", "body": line, "more_body": True})
        await request.send({"type": "http.response.body", "body": b""})


class ServiceApp:
    """Answers the callers of a stand-in service."""

    def __init__(self, service: StandinService) -> None:
        self._service = service

    async def __call__(self, request: Request) -> None:
        """Answer one request."""
        body = await read_body(request, LARGEST_BODY)
        if isinstance(body, BodyTooLarge):
            await send_whole(request, 413, b"")
            return
        if request.path == RUNS_PATH:
            await send_json(request, 200, self._service.runs)
            return
        call = ServiceCall(
            request.header(REQUEST_HEADER),
            request.method,
            request.target,
            body,
            request.header("content-type"),
        )
        reply = await self._service.call(call)
        if isinstance(reply, ServiceReply):
            kind = reply.content_type.encode("latin-1")
            await send_whole(request, reply.status, reply.body, kind)
        else:
            await send_whole(request, LOST_STATUS, b"")

"""HTTP handlers of the simulated engine and service, and the HTTP client of the next stage."""

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
MAX_BODY_BYTES = 4 * 1024 * 1024
NOT_FOUND_STATUS = 404
MISSING_STATUS = 410
LOST_STATUS = 502
STEP_TIMEOUT_SECONDS = 30.0
FINISH_TIMEOUT_SECONDS = 0.5


class HttpStage(StandinStage):
    """An HTTP connection to the next stage of a route."""

    def __init__(self, pool: httpcore.AsyncConnectionPool, hop: Hop) -> None:
        self._pool = pool
        self._hop = hop
        self._base_url = f"http://{hop.address}"

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run the layers of that stage and of the following ones."""
        deadline = trio.current_time() + STEP_TIMEOUT_SECONDS
        body = msgspec.json.encode(call)
        reply = await http_call(self._pool, "POST", self._base_url + STEP_PATH, body, (), deadline)
        if isinstance(reply, NotSent):
            return Unreachable(self._hop.instance, reply.message)
        if not isinstance(reply, HttpReply):
            return Lost(self._hop.instance, reply.message)
        reply_types = {200: StepReply, MISSING_STATUS: StepMissing, REFUSED_STATUS: Refused}
        return msgspec.json.decode(reply.body, type=reply_types.get(reply.status, Lost))

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Release the request's session at that stage and the following ones."""
        deadline = trio.current_time() + FINISH_TIMEOUT_SECONDS
        body = msgspec.json.encode({"request": request, "attempt": attempt, "hops": hops})
        await http_call(self._pool, "POST", self._base_url + FINISH_PATH, body, (), deadline)


class EngineApp:
    """The HTTP handlers of a simulated engine."""

    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine
        self._handlers = {
            STREAMS_PATH: self._handle_stream,
            LOAD_PATH: self._handle_load,
            LOAD_MODEL_PATH: self._handle_load_order,
            UNLOAD_PATH: self._handle_unload_order,
            CANCEL_PATH: self._handle_cancel,
            STEP_PATH: self._handle_step,
            FINISH_PATH: self._handle_finish,
            LEAVE_PATH: self._handle_leave,
            RUNS_PATH: self._handle_runs,
        }

    async def __call__(self, request: Request) -> None:
        """Handle one HTTP request."""
        body = await read_body(request, MAX_BODY_BYTES)
        handler = self._handlers.get(request.path)
        if handler is None or isinstance(body, BodyTooLarge):
            await send_whole(request, NOT_FOUND_STATUS, b"")
            return
        await handler(request, body)

    async def _handle_load(self, request: Request, body: bytes) -> None:
        await self._send_reply(request, await self._engine.load())

    async def _handle_load_order(self, request: Request, body: bytes) -> None:
        order = msgspec.json.decode(body, type=LoadOrder)
        await self._send_reply(request, await self._engine.order(order))

    async def _handle_unload_order(self, request: Request, body: bytes) -> None:
        order = msgspec.json.decode(body, type=UnloadOrder)
        await self._send_reply(request, await self._engine.order(order))

    async def _handle_cancel(self, request: Request, body: bytes) -> None:
        fields = msgspec.json.decode(body)
        await self._engine.cancel(fields["request"], fields["attempt"])
        await send_json(request, 200, {})

    async def _handle_step(self, request: Request, body: bytes) -> None:
        call = msgspec.json.decode(body, type=StepCall)
        await self._send_reply(request, await self._engine.step(call))

    async def _handle_finish(self, request: Request, body: bytes) -> None:
        fields = msgspec.json.decode(body)
        hops = msgspec.convert(fields["hops"], tuple[Hop, ...])
        await self._engine.finish(fields["request"], fields["attempt"], hops)
        await send_json(request, 200, {})

    async def _handle_leave(self, request: Request, body: bytes) -> None:
        self._engine.leave()
        await send_json(request, 200, {})

    async def _handle_runs(self, request: Request, body: bytes) -> None:
        await send_json(request, 200, self._engine.runs)

    async def _send_reply(self, request: Request, reply) -> None:
        status = 200
        if isinstance(reply, Refused):
            status = REFUSED_STATUS
        elif isinstance(reply, StepMissing):
            status = MISSING_STATUS
        elif isinstance(reply, Lost | Unreachable):
            status = LOST_STATUS
        await send_json(request, status, reply)

    async def _handle_stream(self, request: Request, body: bytes) -> None:
        start = msgspec.json.decode(body, type=StreamStart)
        async with self._engine.stream(start) as frames:
            if isinstance(frames, Refused | Lost | Unreachable):
                await self._send_reply(request, frames)
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
    """The HTTP handlers of a simulated service."""

    def __init__(self, service: StandinService) -> None:
        self._service = service

    async def __call__(self, request: Request) -> None:
        """Handle one HTTP request."""
        body = await read_body(request, MAX_BODY_BYTES)
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
            content_type = reply.content_type.encode("latin-1")
            await send_whole(request, reply.status, reply.body, content_type)
        else:
            await send_whole(request, LOST_STATUS, b"")

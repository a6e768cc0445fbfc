"""A simulated model engine that holds a layer range: the in-memory implementation of `Engine`.

It gives the guarantees that docs/ASSUMPTIONS.md lists for real engines: a superseded attempt is
refused, a repeated step is answered from stored outputs, orders are fenced, and every execution
of layers is recorded. Faults are injected with `kill`, `freeze`, `thaw`, `refuse` and `leave`.
"""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import trio

from deckcourse.engine import (
    EngineFailure,
    EngineLoad,
    EngineRefusal,
    Fence,
    FinishFrame,
    Frame,
    Hop,
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
from deckcourse.standin_model import prompt_inputs, run_layer, token_text
from deckcourse.standin_stage import (
    EngineSpec,
    LayerRun,
    StandinStage,
    StepCall,
    StepMissing,
    StepReply,
)

__all__ = ["StandinEngine"]

FINISH_REASON_LENGTH = "length"
# Cost of a prompt position relative to a generated one: prefill runs in large batches.
PREFILL_COST_SHARE = 0.05
FINISH_TIMEOUT_SECONDS = 1.0
# A session is dropped after this long without a step.
SESSION_IDLE_TIMEOUT_SECONDS = 30.0
# Ended requests are kept, so that a delayed call of an ended attempt doesn't start it again.
MAX_ENDED_REQUESTS = 10_000


class _Session:
    """The state of one request at an engine: a KV cache per layer, an output per position."""

    def __init__(self, first: int, end: int) -> None:
        self.layers = (first, end)
        self.attempt = 0
        self.idle_deadline = 0.0
        self.caches = [0] * (end - first)
        self.outputs: list[int] = []


class StandinEngine(StandinStage):
    """A simulated engine; `dial` returns a connection to the stage at a hop of the route."""

    def __init__(
        self,
        spec: EngineSpec,
        dial: Callable[[Hop], StandinStage],
        record: Callable[[LayerRun], None] | None = None,
    ) -> None:
        self._spec = spec
        self._dial = dial
        self._runs: list[LayerRun] = []
        self._record = record or self._runs.append
        self._sessions: dict[str, _Session] = {}
        self._ended_attempts: dict[str, int] = {}
        self._stream_attempts: dict[str, int] = {}
        self._model = ""
        self._first_layer = 0
        self._end_layer = 0
        self._newest_fence = Fence(0, 0)
        self._leaving = False
        self._report_count = 0
        self._busy_until = 0.0
        self._killed = trio.Event()
        self._thawed = trio.Event()
        self._thawed.set()
        self._executed_orders: list[Order] = []
        self._forced_refusal: EngineRefusal | None = None

    @property
    def spec(self) -> EngineSpec:
        """The simulated machine's properties."""
        return self._spec

    @property
    def alive(self) -> bool:
        """Whether the engine hasn't been killed; a frozen one is alive."""
        return not self._killed.is_set()

    @property
    def runs(self) -> tuple[LayerRun, ...]:
        """All recorded layer runs, empty where another `record` function was given."""
        return tuple(self._runs)

    @property
    def orders(self) -> tuple[Order, ...]:
        """The orders that were executed, in sequence."""
        return tuple(self._executed_orders)

    @property
    def held(self) -> tuple[str, int, int]:
        """The loaded model, its first layer and the end of its range; ("", 0, 0) for none."""
        return (self._model, self._first_layer, self._end_layer)

    @property
    def stream_count(self) -> int:
        """The number of streams that have a session at this engine."""
        return len(self._sessions)

    def kill(self) -> None:
        """Simulate a crash: running calls are lost, later ones find the engine unreachable."""
        self._killed.set()
        self._thawed.set()

    def freeze(self) -> None:
        """Stop answering; running calls are suspended until `thaw`."""
        if not self._killed.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Resume after `freeze`."""
        self._thawed.set()

    def refuse(self, refusal: EngineRefusal | None) -> None:
        """Refuse every new stream with `refusal`; None ends this."""
        self._forced_refusal = refusal

    def leave(self) -> None:
        """Report the engine as leaving and refuse new streams."""
        self._leaving = True

    @asynccontextmanager
    async def stream(
        self, start: StreamStart
    ) -> AsyncIterator[AsyncIterator[tuple[Frame, ...]] | EngineFailure]:
        """Start or resume a stream; each batch holds one frame."""
        opened = await self._run_call(self._open, start)
        try:
            yield opened
        finally:
            if isinstance(opened, AsyncGenerator):
                await opened.aclose()

    async def _open(self, start: StreamStart) -> AsyncIterator[tuple[Frame, ...]] | EngineFailure:
        refusal = self._refusal(start)
        if refusal is not None:
            return Refused(self._spec.name, refusal, f"{self._spec.name}: {refusal}")
        if start.attempt <= self._newest_attempt(start.request):
            return Refused(self._spec.name, EngineRefusal.FENCED, "a newer attempt was seen")
        session = self._get_or_create_session(start.request)
        session.attempt = start.attempt
        return self._generate(start, session)

    def _refusal(self, start: StreamStart) -> EngineRefusal | None:
        if not start.route or start.max_tokens < 1:
            return EngineRefusal.BAD_REQUEST
        if start.request in self._sessions:
            return None
        if self._forced_refusal is not None:
            return self._forced_refusal
        if self._leaving:
            return EngineRefusal.LEAVING
        if not self._holds(start.model, start.route[0]):
            return EngineRefusal.NOT_LOADED
        if len(self._sessions) >= self._spec.slots:
            return EngineRefusal.BUSY
        return None

    def _holds(self, model: str, hop: Hop) -> bool:
        return self.held == (model, hop.first, hop.end)

    def _can_run(self, call: StepCall, hop: Hop) -> bool:
        """Return whether the hop's layer range is the one held.

        For a request with a session it's the range that was loaded when the session started.
        """
        session = self._sessions.get(call.request)
        if session is None:
            return self._holds(call.model, hop)
        return session.layers == (hop.first, hop.end)

    def _newest_attempt(self, request: str) -> int:
        session = self._sessions.get(request)
        current = 0 if session is None else session.attempt
        return max(current, self._ended_attempts.get(request, 0))

    def _has_ended(self, call: StepCall) -> bool:
        return call.attempt <= self._ended_attempts.get(call.request, 0)

    def _get_or_create_session(self, request: str) -> _Session:
        if request not in self._sessions:
            session = self._sessions[request] = _Session(self._first_layer, self._end_layer)
            session.idle_deadline = trio.current_time() + SESSION_IDLE_TIMEOUT_SECONDS
        return self._sessions[request]

    async def _generate(
        self, start: StreamStart, session: _Session
    ) -> AsyncIterator[tuple[Frame, ...]]:
        inputs = prompt_inputs(start.prompt) + start.delivered
        first = 0
        is_complete = False
        self._stream_attempts[start.request] = start.attempt
        try:
            for index in range(len(start.delivered), start.max_tokens):
                call = StepCall(
                    start.request, start.attempt, start.model, start.route, first, inputs
                )
                reply = await self.step(call)
                if self._stream_attempts.get(start.request) != start.attempt:
                    raise StreamLostError(Lost(self._spec.name, "cancelled"))
                if not isinstance(reply, StepReply):
                    raise StreamLostError(_as_loss(self._spec.name, reply))
                text = token_text(reply.output)
                yield (TokenFrame(start.attempt, index, reply.output, text, reply.trace),)
                first += len(inputs)
                inputs = (reply.output,)
            is_complete = True
            yield (FinishFrame(start.attempt, start.max_tokens, FINISH_REASON_LENGTH),)
        finally:
            if self._stream_attempts.get(start.request) == start.attempt:
                del self._stream_attempts[start.request]
            if is_complete:
                # The caller stops reading at the finish frame, so sessions are released when the
                # generator is closed.
                with trio.move_on_after(FINISH_TIMEOUT_SECONDS, shield=True):
                    await self.finish(start.request, start.attempt, start.route)

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Release the request's session at this stage and the following ones."""
        await self._run_call(self._finish, request, attempt, hops)

    async def _finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        session = self._sessions.get(request)
        if session is not None and session.attempt > attempt:
            return
        self._sessions.pop(request, None)
        self._ended_attempts[request] = max(attempt, self._ended_attempts.get(request, 0))
        if len(self._ended_attempts) > MAX_ENDED_REQUESTS:
            self._ended_attempts.pop(next(iter(self._ended_attempts)))
        if len(hops) > 1:
            await self._dial(hops[1]).finish(request, attempt, hops[1:])

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run the layers of this stage and of the following ones."""
        return await self._run_call(self._step, call)

    async def _step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        hop = call.hops[0]
        if not self._can_run(call, hop):
            message = f"{self._spec.name} does not hold {hop.first}-{hop.end}"
            return Refused(self._spec.name, EngineRefusal.NOT_LOADED, message)
        if call.attempt < self._newest_attempt(call.request) or self._has_ended(call):
            return Refused(self._spec.name, EngineRefusal.FENCED, "a newer attempt was seen")
        session = self._get_or_create_session(call.request)
        session.attempt = call.attempt
        session.idle_deadline = trio.current_time() + SESSION_IDLE_TIMEOUT_SECONDS
        if call.first > len(session.outputs):
            return StepMissing(len(session.outputs))
        await self._simulate_compute(call, session)
        if call.attempt < session.attempt or self._has_ended(call):
            return Refused(self._spec.name, EngineRefusal.FENCED, "a newer attempt was seen")
        self._run_new_positions(call, session)
        return await self._forward(call, session)

    async def _simulate_compute(self, call: StepCall, session: _Session) -> None:
        new_positions = call.first + len(call.inputs) - len(session.outputs)
        if new_positions <= 0:
            return
        cost = 1 + (new_positions - 1) * PREFILL_COST_SHARE
        seconds = cost * len(session.caches) / self._spec.layer_rate
        now = trio.current_time()
        self._busy_until = max(now, self._busy_until) + seconds
        await trio.sleep_until(max(self._busy_until, now + self._spec.batch * seconds))
        await self._thawed.wait()

    def _run_new_positions(self, call: StepCall, session: _Session) -> None:
        hop = call.hops[0]
        for position in range(len(session.outputs), call.first + len(call.inputs)):
            value = call.inputs[position - call.first]
            for index, layer in enumerate(range(hop.first, hop.end)):
                value, session.caches[index] = run_layer(layer, value, session.caches[index])
            session.outputs.append(value)
            self._record(
                LayerRun(self._spec.name, call.request, call.attempt, position, hop.first, hop.end)
            )

    async def _forward(self, call: StepCall, session: _Session) -> StepReply | EngineFailure:
        hop = call.hops[0]
        end = call.first + len(call.inputs)
        own_trace = f"{self._spec.name}:{hop.first}-{hop.end}"
        if len(call.hops) == 1:
            return StepReply(session.outputs[end - 1], own_trace)
        next_stage = self._dial(call.hops[1])
        first = call.first
        reply = await next_stage.step(_next_call(call, session, first, end))
        if isinstance(reply, StepMissing):
            first = min(first, reply.position)
            reply = await next_stage.step(_next_call(call, session, first, end))
        if isinstance(reply, StepReply):
            return replace(reply, trace=f"{own_trace},{reply.trace}")
        return _as_loss(call.hops[1].instance, reply)

    async def _run_call(self, handler: Callable[..., Awaitable], *args):
        """Run one call with the faults applied.

        Returns:
          Unreachable when the engine was killed before the call, Lost when it's killed during
          the call, else the call's result. While the engine is frozen, the call is held back.
        """
        if self._killed.is_set():
            return Unreachable(self._spec.name, "connection refused")
        await self._thawed.wait()
        result = Lost(self._spec.name, "connection reset")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_kill, nursery.cancel_scope)
            reply = await handler(*args)
            await self._thawed.wait()
            if not self._killed.is_set():
                result = reply
            nursery.cancel_scope.cancel()
        return result

    async def _cancel_on_kill(self, scope: trio.CancelScope) -> None:
        await self._killed.wait()
        scope.cancel()

    async def load(self) -> EngineLoad | EngineFailure:
        """Return the engine's load report."""
        return await self._run_call(self._load)

    async def _load(self) -> EngineLoad:
        self._report_count += 1
        self._drop_idle()
        spec = self._spec
        return EngineLoad(
            instance=spec.name,
            incarnation=spec.incarnation,
            model=self._model,
            first=self._first_layer,
            end=self._end_layer,
            streams=len(self._sessions),
            slots=spec.slots,
            layer_rate=spec.layer_rate,
            layer_room=spec.layer_room,
            leaving=self._leaving,
            fence_epoch=self._newest_fence.epoch,
            fence_sequence=self._newest_fence.sequence,
            checks_fence=spec.checks_fence,
            step_seconds=spec.batch * (self._end_layer - self._first_layer) / spec.layer_rate,
            as_of=self._report_count,
        )

    def _drop_idle(self) -> None:
        now = trio.current_time()
        idle = [request for request, each in self._sessions.items() if each.idle_deadline < now]
        for request in idle:
            del self._sessions[request]

    async def order(self, order: Order) -> OrderReply | EngineFailure:
        """Execute a fenced order; a repeated one is acknowledged without executing it again."""
        return await self._run_call(self._order, order)

    async def _order(self, order: Order) -> OrderReply:
        if self._spec.checks_fence and order.fence <= self._newest_fence:
            return OrderReply(order.fence == self._newest_fence, await self._load())
        self._newest_fence = max(order.fence, self._newest_fence)
        await trio.sleep(self._spec.load_seconds)
        await self._thawed.wait()
        self._executed_orders.append(order)
        if isinstance(order, LoadOrder):
            self._model, self._first_layer, self._end_layer = order.model, order.first, order.end
        else:
            self._model, self._first_layer, self._end_layer = "", 0, 0
        return OrderReply(True, await self._load())

    async def cancel(self, request: str, attempt: int) -> None:
        """Cancel a stream and release its session; an unknown stream is ignored."""
        if self._stream_attempts.get(request, attempt + 1) <= attempt:
            del self._stream_attempts[request]
        await self.finish(request, attempt, ())


def _next_call(call: StepCall, session: _Session, first: int, end: int) -> StepCall:
    return replace(call, hops=call.hops[1:], first=first, inputs=tuple(session.outputs[first:end]))


def _as_loss(instance: str, reply: EngineFailure | StepMissing) -> Lost | Refused:
    if isinstance(reply, Lost | Refused):
        return reply
    if isinstance(reply, Unreachable):
        return Lost(reply.instance, reply.message)
    return Lost(instance, f"positions from {reply.position} on are missing")

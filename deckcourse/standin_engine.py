"""A stand-in for a model engine that holds a range of layers: the engine port's memory twin.

It keeps the promises that docs/ASSUMPTIONS.md lists of the real ones: a lower attempt is
dropped, a repeated step is answered from what was computed, orders are fenced, and every layer
run is recorded. Faults are switched on it from outside: `kill`, `freeze`, `thaw`.
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

FINISH_LENGTH = "length"
# A position of a prompt costs this much of a generated one: prefill is done in large batches.
PREFILL_COST = 0.05
FINISH_SECONDS = 1.0
# What a request left behind is dropped after this long without a step.
IDLE_SECONDS = 30.0
# Ended requests are remembered, so that an attempt that wakes late starts nothing anew.
ENDED_KEPT = 10_000


class _Session:
    """What an engine holds of one request: its KV caches and each position's output."""

    def __init__(self, first: int, end: int) -> None:
        self.layers = (first, end)
        self.attempt = 0
        self.idle_deadline = 0.0
        self.caches = [0] * (end - first)
        self.outputs: list[int] = []


class StandinEngine(StandinStage):
    """The engine itself; `dial` gives the stage behind a hop of the route."""

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
        self._ended: dict[str, int] = {}
        self._streams: dict[str, int] = {}
        self._model = ""
        self._first = 0
        self._end = 0
        self._fence = Fence(0, 0)
        self._leaving = False
        self._reports = 0
        self._busy_until = 0.0
        self._dead = trio.Event()
        self._thawed = trio.Event()
        self._thawed.set()
        self._orders: list[Order] = []
        self._refuse_with: EngineRefusal | None = None

    @property
    def spec(self) -> EngineSpec:
        """What kind of machine this is."""
        return self._spec

    @property
    def alive(self) -> bool:
        """Whether the machine is there, frozen or not."""
        return not self._dead.is_set()

    @property
    def runs(self) -> tuple[LayerRun, ...]:
        """The record of every layer run."""
        return tuple(self._runs)

    @property
    def orders(self) -> tuple[Order, ...]:
        """The orders that changed something, in sequence."""
        return tuple(self._orders)

    @property
    def held(self) -> tuple[str, int, int]:
        """Model, first layer and end of what is loaded; an empty name for nothing."""
        return (self._model, self._first, self._end)

    @property
    def stream_count(self) -> int:
        """How many streams go through this engine at this moment."""
        return len(self._sessions)

    def kill(self) -> None:
        """Die at once: running calls break, later ones find nobody."""
        self._dead.set()
        self._thawed.set()

    def freeze(self) -> None:
        """Stop answering; what runs stays where it is until `thaw`."""
        if not self._dead.is_set():
            self._thawed = trio.Event()

    def thaw(self) -> None:
        """Go on after `freeze`."""
        self._thawed.set()

    def refuse(self, refusal: EngineRefusal | None) -> None:
        """Refuse every new stream, None for none."""
        self._refuse_with = refusal

    def leave(self) -> None:
        """Show the sign of an instance that is being taken back."""
        self._leaving = True

    @asynccontextmanager
    async def stream(
        self, start: StreamStart
    ) -> AsyncIterator[AsyncIterator[tuple[Frame, ...]] | EngineFailure]:
        """Start or resume a stream; frames come one by one."""
        opened = await self._guarded(self._open, start)
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
        session = self._session(start.request)
        session.attempt = start.attempt
        return self._generate(start, session)

    def _refusal(self, start: StreamStart) -> EngineRefusal | None:
        if not start.route or start.max_tokens < 1:
            return EngineRefusal.BAD_REQUEST
        if start.request in self._sessions:
            return None
        if self._refuse_with is not None:
            return self._refuse_with
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
        """Return whether the layers wanted are those that are held, for this request or at all."""
        session = self._sessions.get(call.request)
        if session is None:
            return self._holds(call.model, hop)
        return session.layers == (hop.first, hop.end)

    def _newest_attempt(self, request: str) -> int:
        session = self._sessions.get(request)
        held = 0 if session is None else session.attempt
        return max(held, self._ended.get(request, 0))

    def _has_ended(self, call: StepCall) -> bool:
        return call.attempt <= self._ended.get(call.request, 0)

    def _session(self, request: str) -> _Session:
        if request not in self._sessions:
            session = self._sessions[request] = _Session(self._first, self._end)
            session.idle_deadline = trio.current_time() + IDLE_SECONDS
        return self._sessions[request]

    async def _generate(
        self, start: StreamStart, session: _Session
    ) -> AsyncIterator[tuple[Frame, ...]]:
        inputs = prompt_inputs(start.prompt) + start.delivered
        first = 0
        whole = False
        self._streams[start.request] = start.attempt
        try:
            for index in range(len(start.delivered), start.max_tokens):
                call = StepCall(
                    start.request, start.attempt, start.model, start.route, first, inputs
                )
                reply = await self.step(call)
                if self._streams.get(start.request) != start.attempt:
                    raise StreamLostError(Lost(self._spec.name, "cancelled"))
                if not isinstance(reply, StepReply):
                    raise StreamLostError(_as_loss(self._spec.name, reply))
                text = token_text(reply.output)
                yield (TokenFrame(start.attempt, index, reply.output, text, reply.trace),)
                first += len(inputs)
                inputs = (reply.output,)
            whole = True
            yield (FinishFrame(start.attempt, start.max_tokens, FINISH_LENGTH),)
        finally:
            if self._streams.get(start.request) == start.attempt:
                del self._streams[start.request]
            if whole:
                # Whoever has the finish frame reads no further, so this is done on closing.
                with trio.move_on_after(FINISH_SECONDS, shield=True):
                    await self.finish(start.request, start.attempt, start.route)

    async def finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        """Let go of what this stage, and those after it, hold of a request."""
        await self._guarded(self._finish, request, attempt, hops)

    async def _finish(self, request: str, attempt: int, hops: tuple[Hop, ...]) -> None:
        session = self._sessions.get(request)
        if session is not None and session.attempt > attempt:
            return
        self._sessions.pop(request, None)
        self._ended[request] = max(attempt, self._ended.get(request, 0))
        if len(self._ended) > ENDED_KEPT:
            self._ended.pop(next(iter(self._ended)))
        if len(hops) > 1:
            await self._dial(hops[1]).finish(request, attempt, hops[1:])

    async def step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        """Run this stage's layers, and those of the stages after it."""
        return await self._guarded(self._step, call)

    async def _step(self, call: StepCall) -> StepReply | StepMissing | EngineFailure:
        hop = call.hops[0]
        if not self._can_run(call, hop):
            message = f"{self._spec.name} does not hold {hop.first}-{hop.end}"
            return Refused(self._spec.name, EngineRefusal.NOT_LOADED, message)
        if call.attempt < self._newest_attempt(call.request) or self._has_ended(call):
            return Refused(self._spec.name, EngineRefusal.FENCED, "a newer attempt was seen")
        session = self._session(call.request)
        session.attempt = call.attempt
        session.idle_deadline = trio.current_time() + IDLE_SECONDS
        if call.first > len(session.outputs):
            return StepMissing(len(session.outputs))
        await self._work(call, session)
        if call.attempt < session.attempt or self._has_ended(call):
            return Refused(self._spec.name, EngineRefusal.FENCED, "a newer attempt was seen")
        self._run_missing(call, session)
        return await self._forward(call, session)

    async def _work(self, call: StepCall, session: _Session) -> None:
        new = call.first + len(call.inputs) - len(session.outputs)
        if new <= 0:
            return
        positions = 1 + (new - 1) * PREFILL_COST
        seconds = positions * len(session.caches) / self._spec.layer_rate
        now = trio.current_time()
        self._busy_until = max(now, self._busy_until) + seconds
        await trio.sleep_until(max(self._busy_until, now + self._spec.batch * seconds))
        await self._thawed.wait()

    def _run_missing(self, call: StepCall, session: _Session) -> None:
        hop = call.hops[0]
        for position in range(len(session.outputs), call.first + len(call.inputs)):
            value = call.inputs[position - call.first]
            for place, layer in enumerate(range(hop.first, hop.end)):
                value, session.caches[place] = run_layer(layer, value, session.caches[place])
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
        following = self._dial(call.hops[1])
        first = call.first
        reply = await following.step(_next_call(call, session, first, end))
        if isinstance(reply, StepMissing):
            first = min(first, reply.position)
            reply = await following.step(_next_call(call, session, first, end))
        if isinstance(reply, StepReply):
            return replace(reply, trace=f"{own_trace},{reply.trace}")
        return _as_loss(call.hops[1].instance, reply)

    async def _guarded(self, work: Callable[..., Awaitable], *args):
        """Run one call under the machine's state: dead, frozen, or at work."""
        if self._dead.is_set():
            return Unreachable(self._spec.name, "connection refused")
        await self._thawed.wait()
        result = Lost(self._spec.name, "connection reset")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_death, nursery.cancel_scope)
            done = await work(*args)
            await self._thawed.wait()
            if not self._dead.is_set():
                result = done
            nursery.cancel_scope.cancel()
        return result

    async def _cancel_on_death(self, scope: trio.CancelScope) -> None:
        await self._dead.wait()
        scope.cancel()

    async def load(self) -> EngineLoad | EngineFailure:
        """Return the engine's report of itself."""
        return await self._guarded(self._load)

    async def _load(self) -> EngineLoad:
        self._reports += 1
        self._drop_idle()
        spec = self._spec
        return EngineLoad(
            instance=spec.name,
            incarnation=spec.incarnation,
            model=self._model,
            first=self._first,
            end=self._end,
            streams=len(self._sessions),
            slots=spec.slots,
            layer_rate=spec.layer_rate,
            layer_room=spec.layer_room,
            leaving=self._leaving,
            fence_epoch=self._fence.epoch,
            fence_sequence=self._fence.sequence,
            checks_fence=spec.checks_fence,
            step_seconds=spec.batch * (self._end - self._first) / spec.layer_rate,
            as_of=self._reports,
        )

    def _drop_idle(self) -> None:
        now = trio.current_time()
        idle = [name for name, each in self._sessions.items() if each.idle_deadline < now]
        for name in idle:
            del self._sessions[name]

    async def order(self, order: Order) -> OrderReply | EngineFailure:
        """Give a fenced order; a repeated one is answered from what was done."""
        return await self._guarded(self._order, order)

    async def _order(self, order: Order) -> OrderReply:
        if self._spec.checks_fence and order.fence <= self._fence:
            return OrderReply(order.fence == self._fence, await self._load())
        self._fence = max(order.fence, self._fence)
        await trio.sleep(self._spec.load_seconds)
        await self._thawed.wait()
        self._orders.append(order)
        if isinstance(order, LoadOrder):
            self._model, self._first, self._end = order.model, order.first, order.end
        else:
            self._model, self._first, self._end = "", 0, 0
        return OrderReply(True, await self._load())

    async def cancel(self, request: str, attempt: int) -> None:
        """Stop a stream for good and let go of what it holds; unknown ones are ignored."""
        if self._streams.get(request, attempt + 1) <= attempt:
            del self._streams[request]
        await self.finish(request, attempt, ())


def _next_call(call: StepCall, session: _Session, first: int, end: int) -> StepCall:
    return replace(call, hops=call.hops[1:], first=first, inputs=tuple(session.outputs[first:end]))


def _as_loss(instance: str, reply: EngineFailure | StepMissing) -> Lost | Refused:
    if isinstance(reply, Lost | Refused):
        return reply
    if isinstance(reply, Unreachable):
        return Lost(reply.instance, reply.message)
    return Lost(instance, f"positions from {reply.position} on are missing")

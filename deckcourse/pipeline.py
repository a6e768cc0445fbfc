"""One completion over as many attempts as it takes: route, relay, detect, resume."""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, replace

import trio

from deckcourse.configuration import Configuration
from deckcourse.counters import Counters
from deckcourse.engine import (
    Engine,
    EngineLoad,
    EngineRefusal,
    Hop,
    Lost,
    Refused,
    StreamLostError,
    StreamStart,
    TokenFrame,
    Unreachable,
)
from deckcourse.gateway.stop_bounds import StopBounds
from deckcourse.membership import Membership
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason
from deckcourse.relay import Relay
from deckcourse.retry_budget import RetryBudget
from deckcourse.route import Route, Stage
from deckcourse.router import Avoid, RouteChooser
from deckcourse.token_gap import TokenGap

__all__ = ["Completion", "Pipeline", "TokenSink"]

# How long a probe of a suspected stage may take.
PROBE_SECONDS = 0.3
# Between two looks for a route while none is usable: a replacement may be on its way.
ROUTE_WAIT_SECONDS = 0.1
CANCEL_SECONDS = 1.0
# A deadline that is acted on this much too late says that this process was paused: whether the
# upstream was silent isn't known.
LATE_SECONDS = 0.1

TokenSink = Callable[[Sequence[TokenFrame]], Awaitable[None]]


@dataclass(frozen=True)
class Completion:
    """One request for tokens; `deadline` is on trio's clock."""

    request: str
    account: str
    model: str
    prompt: str
    max_tokens: int
    deadline: float
    priority: int = 0
    action: str = ""


@dataclass(frozen=True)
class _Stalled:
    """No frame came before the deadline; `late` if this process itself looked late."""

    late: bool


@dataclass(frozen=True)
class _BadFrame:
    """The stream sent what no correct attempt sends."""

    message: str


_AttemptEnd = Unreachable | Refused | Lost | _Stalled | _BadFrame | None


class Pipeline:
    """Runs completions for one entry."""

    def __init__(
        self,
        router: RouteChooser,
        membership: Membership,
        configuration: Callable[[], Configuration],
        dial: Callable[[str, str], Engine],
        budget: RetryBudget,
        counters: Counters,
        stop_bounds: StopBounds | None = None,
    ) -> None:
        self._stop_bounds = stop_bounds or StopBounds()
        self._router = router
        self._membership = membership
        self._configuration = configuration
        self._dial = dial
        self._budget = budget
        self._counters = counters
        self._gaps: dict[str, TokenGap] = {}

    async def run(self, completion: Completion, sink: TokenSink) -> Outcome:
        """Run one completion.

        Args:
          completion: what is asked for.
          sink: gets the tokens in order, each once.

        Returns:
          The outcome; after Answered, the sink had every token.
        """
        return await _Run(self, completion, sink).run()


class _Run:
    """The state of one completion over its attempts."""

    def __init__(self, pipeline: Pipeline, completion: Completion, sink: TokenSink) -> None:
        self._pipeline = pipeline
        self._completion = completion
        self._sink = sink
        self._relay = Relay(completion.max_tokens)
        self._attempt = 0
        self._may_have_run = False
        self._avoid = Avoid()
        self._stages: dict[str, Stage] = {}
        self._last_end: _AttemptEnd = None
        self._progress = -1
        self._parity = 0
        self._gap = pipeline._gaps.setdefault(completion.model, TokenGap())

    async def run(self) -> Outcome:
        self._pipeline._budget.earn()
        whole = False
        try:
            with self._pipeline._stop_bounds.until(self._completion.deadline):
                outcome = await self._attempts()
                whole = isinstance(outcome, Answered)
                return outcome
        finally:
            if not whole and self._may_have_run:
                await self._cancel_all()
        if self._pipeline._stop_bounds.ended:
            return self._given_up(
                NotRunReason.STOPPING, UnknownReason.STOPPING, "this entry has stopped"
            )
        return self._given_up(
            NotRunReason.DEADLINE, UnknownReason.DEADLINE_PASSED, "the deadline passed"
        )

    async def _attempts(self) -> Outcome:
        while True:
            route = await self._route()
            if route is None:
                return self._no_route()
            self._attempt += 1
            self._last_end = end = await self._try(route)
            if end is None:
                return Answered(len(self._relay.delivered))
            self._avoid = replace(self._avoid, keep=route.stage_traces)
            reason = await self._learn(route, end)
            self._pipeline._counters.count(f"retry.{reason}")
            if not self._pipeline._budget.spend():
                return self._given_up(
                    NotRunReason.RETRY_BUDGET, UnknownReason.RETRY_BUDGET, "too many retries"
                )

    def _no_route(self) -> Outcome:
        model = self._completion.model
        match self._last_end:
            case Refused(message=message):
                return NotRun(NotRunReason.UPSTREAM_REFUSED, f"{model}: {message}")
            case Unreachable(message=message):
                return NotRun(NotRunReason.UPSTREAM_UNREACHABLE, f"{model}: {message}")
        return NotRun(NotRunReason.NO_ROUTE, f"no usable upstreams cover every layer of {model}")

    async def _route(self) -> Route | None:
        """Choose a route; one that began is waited for, since a replacement may be on its way."""
        route = self._choose(self._avoid)
        while route is None and self._may_have_run:
            # What was avoided may have come back; better it than nothing.
            route = self._choose(Avoid(keep=self._avoid.keep))
            if route is None:
                await trio.sleep(ROUTE_WAIT_SECONDS)
        return route

    def _choose(self, avoid: Avoid) -> Route | None:
        pipeline = self._pipeline
        return pipeline._router.choose(
            pipeline._configuration(), self._completion.model, trio.current_time(), avoid
        )

    async def _try(self, route: Route) -> _AttemptEnd:
        self._pipeline._router.begin(route)
        self._stages |= {stage.trace: stage for stage in route.stages}
        try:
            return await self._relay_attempt(route)
        except StreamLostError as lost:
            return lost.failure
        finally:
            self._pipeline._router.end(route)

    async def _relay_attempt(self, route: Route) -> _AttemptEnd:
        self._relay.begin(self._attempt, route.trace)
        engine = self._dial(route.stages[0])
        due = self._gap.first_deadline(trio.current_time())
        ran_before, self._may_have_run = self._may_have_run, True
        async with AsyncExitStack() as stack:
            frames = None
            with trio.move_on_at(due):
                frames = await stack.enter_async_context(engine.stream(self._start(route)))
            if isinstance(frames, Unreachable | Refused):
                self._may_have_run = ran_before
            if frames is None or isinstance(frames, Unreachable | Refused | Lost):
                return frames or _stalled(due)
            return await self._relay_frames(frames, due)

    async def _relay_frames(self, frames, due: float) -> _AttemptEnd:
        relay = self._relay
        last = trio.current_time()
        while True:
            batch = None
            # Only the wait is bounded: tokens that are here always get to the caller.
            with trio.move_on_at(due) as scope:
                batch = await anext(frames, None)
            if scope.cancelled_caught:
                return _stalled(due)
            if batch is None:
                return _BadFrame("the stream ended without a finish frame")
            now = trio.current_time()
            ready = relay.accept(batch)
            if ready:
                await self._sink(ready)
                if ready[0].index > 0:
                    self._gap.observe((now - last) / len(ready))
            if relay.fault is not None:
                return _BadFrame(relay.fault.message)
            if relay.finished:
                return None
            last = trio.current_time()
            due = self._gap.next_deadline(last)

    def _start(self, route: Route) -> StreamStart:
        completion = self._completion
        return StreamStart(
            request=completion.request,
            attempt=self._attempt,
            model=completion.model,
            route=tuple(_hop(stage) for stage in route.stages),
            prompt=completion.prompt,
            delivered=self._relay.delivered,
            max_tokens=completion.max_tokens,
            priority=completion.priority,
            action=completion.action,
        )

    def _dial(self, stage: Stage) -> Engine:
        return self._pipeline._dial(stage.instance, stage.address)

    async def _cancel_all(self) -> None:
        """Tell every upstream that was given a part to let go of it, as far as they answer."""
        give_up_at = trio.current_time() + CANCEL_SECONDS
        # The outcome is sent after it.
        give_up_at = min(give_up_at, self._pipeline._stop_bounds.end_by)
        with trio.CancelScope(deadline=give_up_at, shield=True):
            async with trio.open_nursery() as nursery:
                for stage in self._stages.values():
                    engine = self._dial(stage)
                    nursery.start_soon(engine.cancel, self._completion.request, self._attempt)

    async def _learn(self, route: Route, end: _AttemptEnd) -> RetryReason:
        """Add to what later attempts avoid; return why there is one.

        Upstreams that answer a probe keep what they computed, so the next attempt goes on with
        them; only where the same route fails again without a token are they given up.
        """
        if isinstance(end, Refused):
            return self._learn_refusal(end)
        if isinstance(end, _BadFrame):
            self._blame(route, route.stages[0].instance)
            return RetryReason.BAD_FRAME
        silent = await self._silent_stages(route)
        if len(silent) == len(route.stages) > 1:
            # More likely this process is cut off than all of them at once.
            await self._wait_for_any(route)
        elif silent:
            for instance in silent:
                self._blame(route, instance)
        elif isinstance(end, _Stalled):
            if not end.late:
                self._avoid_links(route)
        elif not self._progressed():
            self._blame(route, end.instance)
        return _retry_reason(end)

    def _progressed(self) -> bool:
        """Return whether a token came since the last time that this was asked."""
        before, self._progress = self._progress, len(self._relay.delivered)
        return self._progress > before

    async def _wait_for_any(self, route: Route) -> None:
        while len(await self._silent_stages(route)) == len(route.stages):
            await trio.sleep(ROUTE_WAIT_SECONDS)

    def _learn_refusal(self, end: Refused) -> RetryReason:
        if end.refusal == EngineRefusal.FENCED:
            return RetryReason.FENCED
        self._give_up_on(frozenset((end.instance,)))
        return RetryReason.REFUSED

    def _blame(self, route: Route, instance: str) -> None:
        domains = {each.domain for each in route.stages if each.instance == instance}
        self._avoid = replace(self._avoid, domains=self._avoid.domains | domains)
        self._give_up_on(frozenset((instance,)))
        self._pipeline._membership.forget_load(instance)

    def _avoid_links(self, route: Route) -> None:
        """Leave every link between stages by replacing as few of them as possible.

        All answer this process, so a link between two of them is at fault, and nobody says
        which: every second stage has a part in each link. The other half is next.
        """
        self._parity = 1 - self._parity
        chosen = route.stages[self._parity :: 2] or route.stages
        instances = frozenset(stage.instance for stage in chosen)
        self._give_up_on(instances)

    def _give_up_on(self, instances: frozenset[str]) -> None:
        avoided = self._avoid.instances | instances
        gone = {stage.trace for stage in self._stages.values() if stage.instance in instances}
        self._avoid = replace(self._avoid, instances=avoided, keep=self._avoid.keep - gone)

    async def _silent_stages(self, route: Route) -> list[str]:
        """Ask each stage for its load at once; return those that don't answer in time."""
        answered: set[str] = set()

        async def probe(stage: Stage) -> None:
            if isinstance(await self._dial(stage).load(), EngineLoad):
                answered.add(stage.instance)
                if len(answered) == len(route.stages):
                    nursery.cancel_scope.cancel()

        with trio.move_on_after(PROBE_SECONDS):
            async with trio.open_nursery() as nursery:
                for stage in route.stages:
                    nursery.start_soon(probe, stage)
        return [each.instance for each in route.stages if each.instance not in answered]

    def _given_up(self, not_run: NotRunReason, unknown: UnknownReason, message: str) -> Outcome:
        if self._may_have_run:
            return Unknown(unknown, message)
        return NotRun(not_run, message)


def _stalled(due: float) -> _Stalled:
    return _Stalled(trio.current_time() - due > LATE_SECONDS)


def _retry_reason(end: _AttemptEnd) -> RetryReason:
    match end:
        case Unreachable():
            return RetryReason.UNREACHABLE
        case _Stalled():
            return RetryReason.STAGE_STALLED
    return RetryReason.STAGE_LOST


def _hop(stage: Stage) -> Hop:
    return Hop(stage.instance, stage.address, stage.layers.first, stage.layers.end)

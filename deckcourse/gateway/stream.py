"""Serves one event stream: forwards each event immediately, exactly once and in order.

Only complete events are forwarded. If an upstream fails and the route is resumable, the stream
resumes on another path after the last forwarded event; the caller sees a single response.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio

from deckcourse.decisions.domain_choice import RouteLimits
from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.active_stream import (
    ActiveStream,
    Interruption,
    StreamInterruptedError,
)
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.calls import (
    WaitsFor,
    Withheld,
    check_single_response,
    is_withheld,
    log_deadline,
    refuse_quarantined,
    schedule_retry_after,
    send_request,
    within_deadline,
)
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.dialect import Dispatch, ReplyFacts
from deckcourse.gateway.end_check import AnswerSource
from deckcourse.gateway.events import Event
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.handover import HandedOver
from deckcourse.gateway.loss_notices import evidence_of
from deckcourse.gateway.metered_events import MeteredEvents
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.gateway.reachability import MIN_UNREACHABLE
from deckcourse.gateway.stream_admission import (
    FULL_RETRY_AFTER_SECONDS,
    Refusal,
    StreamAdmission,
)
from deckcourse.gateway.stream_retries import MAX_PAUSE_SECONDS, StreamRetries
from deckcourse.gateway.whole_messages import read_whole
from deckcourse.http1.client import UpstreamConnection, UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind, Headers, end_to_end
from deckcourse.layers.paths import LayerPath
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason

__all__ = ["StreamCall"]

# Attempts after which a request that no upstream has executed is refused.
MAX_ATTEMPTS = 5
# Interval between two searches for a path for a stream whose response has started.
PATH_SEARCH_INTERVAL_SECONDS = 0.03
# Retry-after value while some layers of a model are unavailable: neighbouring upstreams load them
# within this time.
NO_PATH_RETRY_AFTER_SECONDS = 1.0
# How long an upstream that resets or refuses connections gets no new requests.
UNREACHABLE_COOLDOWN_SECONDS = 2.0
OK = 200
SERVER_ERROR = 500
# Statuses of a refusal by an upstream that may be gone: it doesn't hold its layers (421), or it is
# dead, giving them up or full (503).
LOSS_STATUSES = (421, 503)


@dataclass(frozen=True)
class _Response:
    """A complete response of an upstream that is no stream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class _Finished:
    """The complete response was delivered to the caller."""

    status: int


@dataclass(frozen=True)
class _Refused:
    """No upstream executed the request: no capacity, or layers missing or unreachable."""

    reason: RetryReason
    message: str


@dataclass(frozen=True)
class _Broken:
    """The request was executed at least in part and can't continue on its path."""

    message: str


_AttemptResult = _Finished | _Refused | _Broken | Withheld


class StreamCall:
    """Serves one stream request from admission to its outcome."""

    def __init__(self, context: GatewayContext, admitted: Admitted) -> None:
        self._context = context
        self._admitted = admitted
        self._choice = context.path_choice(admitted.service.name)
        self._avoided: set[str] = set()
        # Upstreams whose runs failed without an event: they aren't tried again.
        self._failed: set[str] = set()
        self._executions = Executions(
            admitted.route.attempts, context.upstreams.has_ended_since, admitted.earlier
        )
        self._handover = context.new_handover(admitted)
        self._unreachable_attempts = 0
        # Whether any attempt has returned events.
        self._has_received_events = False
        # The last failure that an upstream answered: told unless another attempt has an answer.
        self._failed_response: _Response | None = None
        self._retries = StreamRetries(context, admitted)
        self._admission = StreamAdmission(
            context,
            admitted,
            self._retries,
            lambda: self._choose_path(frozenset(self._avoided)),
            lambda: frozenset(self._avoided),
        )
        self._last_event = admitted.caller.last_event
        self._last_progress_at = trio.current_time()
        self._arrived_at = trio.current_time()
        # The current attempt, None between attempts, and since when that holds.
        self._current: ActiveStream | None = None
        self._since = trio.current_time()
        # Since when events are being written to the caller, None if none are.
        self._writing_since: float | None = None
        self._choice.load_watch.note_request()

    @property
    def _has_started(self) -> bool:
        return self._admitted.exchange.started

    async def run(self) -> Outcome:
        """Serve the stream; an Answered outcome means that the caller has the full response."""
        self._retries.earn()
        try:
            outcome = await within_deadline(
                self._admitted, self._run_attempts, self._may_have_run, self._log_deadline
            )
        finally:
            self._retries.close()
        failed = self._failed_response
        if isinstance(outcome, Answered) or failed is None or self._has_started:
            return outcome
        return Answered(0, (await self._respond(failed)).status)

    def _may_have_run(self) -> bool:
        return self._executions.runs > 0 or self._handover.may_run

    def _log_deadline(self) -> None:
        waits_for, instance, since = WaitsFor.ENTRY, "", self._since
        if self._current is not None:
            waits_for, since = WaitsFor.UPSTREAM, self._current.progress_at
            instance = self._current.path.stages[0].instance
        if self._writing_since is not None:
            waits_for, since = WaitsFor.CALLER, self._writing_since
        log_deadline(self._context, self._admitted, waits_for, instance, since)

    async def _run_attempts(self) -> Outcome:
        last_failure: _Refused | _Broken | None = None
        attempts = 0
        while True:
            refusal = refuse_quarantined(self._context, self._admitted, self._executions.runs > 0)
            if refusal is not None and not self._has_received_events:
                return refusal
            if (
                attempts
                and self._executions.runs
                and not await self._retries.wait(self._last_progress_at)
            ):
                return self._give_up(
                    last_failure, NotRunReason.RETRY_BUDGET, FULL_RETRY_AFTER_SECONDS
                )
            path = None if self._is_partitioned else await self._find_path()
            if path is None:
                handed = await self._hand_over()
                if isinstance(handed, _Broken):
                    last_failure = handed
                    attempts += 1
                    if self._may_run_again:
                        continue
                    break
                if handed is not None:
                    return handed
                if self._is_partitioned and self._may_wait_for_path:
                    if attempts:
                        self._retries.reserve_unused()
                    await trio.sleep(PATH_SEARCH_INTERVAL_SECONDS)
                    continue
                path = await self._find_path() if self._is_partitioned else None
            if path is None:
                return self._no_path_outcome(last_failure)
            if not self._executions.runs:
                path = await self._admission.admit(path, attempts)
                if isinstance(path, Refusal):
                    return self._refused_outcome(path, last_failure)
            if not self._context.may_send():
                return self._give_up(last_failure, NotRunReason.NOT_READY, FULL_RETRY_AFTER_SECONDS)
            if await self._context.crashes.wait_for_trial(self._admitted, path.stages[0].instance):
                if attempts:
                    self._retries.reserve_unused()
                continue
            result = await self._attempt_with_token(path)
            if isinstance(result, Withheld):
                if attempts:
                    self._retries.reserve_unused()
                await trio.lowlevel.checkpoint()
                continue
            attempts += 1
            if isinstance(result, _Finished):
                self._context.return_schedule(self._admitted.service.name).note_answered()
                return Answered(0, result.status)
            last_failure = result
            self._log_attempt(path, result)
            if isinstance(result, _Broken) and not self._may_run_again:
                break
            if not self._executions.runs and attempts == MAX_ATTEMPTS:
                break
            if self._unreachable_attempts >= MIN_UNREACHABLE:
                await self._context.reachability.confirm_contact(self._admitted.service.name)
            if isinstance(result, _Broken) and not self._has_received_events:
                first = path.stages[0].instance
                await self._context.crashes.wait_for_preceding_suspects(self._admitted, first)
        return self._give_up(last_failure, NotRunReason.UPSTREAM_REFUSED, FULL_RETRY_AFTER_SECONDS)

    @property
    def _is_partitioned(self) -> bool:
        return self._context.reachability.is_partitioned(self._admitted.service.name)

    @property
    def _may_run_again(self) -> bool:
        """Whether some upstream may execute the stream from now on."""
        candidates = self._executions.candidates
        return self._admitted.route.repeatable and (
            candidates is None or bool(candidates - self._failed)
        )

    @property
    def _is_bound(self) -> bool:
        """Whether only upstreams that may have executed the stream may do so again."""
        return self._executions.candidates is not None

    @property
    def _may_wait_for_path(self) -> bool:
        """Whether its caller waits for longer, once a response has started or may have."""
        search_ends_at = self._last_progress_at + MAX_PAUSE_SECONDS
        may_start_late = self._has_started or self._is_bound
        return may_start_late and trio.current_time() < search_ends_at

    def _reserve_retry(self, why: Interruption, when_granted: Callable[[], object]) -> bool:
        """Reserve a retry if the stream may leave its upstream; see `StreamRetries.reserve`."""
        return self._may_leave(why) and self._retries.reserve(when_granted)

    def _may_leave(self, why: Interruption) -> bool:
        """Return whether the stream may be detached from its upstream.

        Silence is no reason to end it: unless there is another path, it stays, since its upstream
        may still go on. It doesn't return to an upstream only for a better path.
        """
        if self._current is None or not self._admitted.route.repeatable:
            return False
        instance = self._current.path.stages[0].instance
        if self._has_started and not self._is_bound:
            return True
        if self._is_bound and why is Interruption.BETTER_ELSEWHERE:
            return False
        if instance not in self._executions.instances:
            # It has ended, or the request wasn't sent there yet.
            return self._may_run_again
        return self._choose_path(frozenset(self._avoided | {instance})) is not None

    async def _hand_over(self) -> Outcome | _Broken | None:
        """Let a peer serve the stream; return None if none takes it."""
        is_backing_off = self._choice.accepts_at(self._admitted.service.model) is not None
        if not self._is_partitioned and (is_backing_off or self._retries.was_refused):
            return None  # It holds for peers as well.
        if self._failed_response is not None and not self._has_started:
            return None
        if self._is_bound and not self._is_partitioned:
            return None  # Peers may use the same upstreams only.
        is_unspent_retry = self._retries.was_refused and not self._executions.runs
        if is_unspent_retry and not await self._retries.acquire(was_executed=False):
            return None
        result = await self._handover.serve(self._last_event, self._executions)
        if isinstance(result, HandedOver):
            if isinstance(result.outcome, Answered):
                self._context.return_schedule(self._admitted.service.name).note_answered()
            return result.outcome
        if result is None:
            return None
        if self._handover.last_event != self._last_event:
            self._last_event = self._handover.last_event
            self._last_progress_at = trio.current_time()
            self._has_received_events = True
        return _Broken(result.message)

    def _refused_outcome(
        self, refusal: Refusal, last_failure: _Refused | _Broken | None
    ) -> Outcome:
        """Return the outcome of a stream that was not admitted and not executed."""
        if refusal.reason is NotRunReason.NO_ROUTE:
            return self._no_path_outcome(last_failure)
        if not refusal.message:
            return self._give_up(last_failure, refusal.reason, refusal.retry_after)
        return NotRun(refusal.reason, refusal.message, self._retry_after(refusal.retry_after))

    def _give_up(
        self, last_failure: _Refused | _Broken | None, reason: NotRunReason, retry_after: float
    ) -> Outcome:
        message = (
            last_failure.message
            if last_failure is not None
            else "no usable upstreams hold every layer"
        )
        if self._executions.runs:
            return Unknown(UnknownReason.UPSTREAM_LOST, f"{message}; given up: {reason}")
        return NotRun(reason, message, self._retry_after(retry_after))

    def _no_path_outcome(self, last_failure: _Refused | _Broken | None) -> Outcome:
        """Return the outcome if no path is usable, with the end of the backoffs as retry-after."""
        accepts_at = self._choice.accepts_at(self._admitted.service.model)
        if self._executions.runs or accepts_at is None:
            return self._give_up(last_failure, NotRunReason.NO_ROUTE, NO_PATH_RETRY_AFTER_SECONDS)
        # Refused immediately: waiting here would not serve the caller sooner.
        seconds = max(0.0, accepts_at - trio.current_time())
        message = f"every path begins at an upstream that takes no request for {seconds:.2f} s"
        return NotRun(NotRunReason.UPSTREAM_BACKOFF, message, self._retry_after(seconds))

    def _retry_after(self, seconds: float) -> float:
        """Return a retry-after value of at least `seconds` from the schedule of refused callers."""
        return schedule_retry_after(self._context, self._admitted, seconds)

    async def _find_path(self) -> LayerPath | None:
        """Return a path, None if there is none; waits for one if the response has started."""
        while True:
            avoid = frozenset(self._avoided)
            path = self._choose_path(avoid)
            if path is None and avoid and (self._has_started or self._is_bound):
                path = self._choose_path(frozenset())
            if path is not None or not self._may_wait_for_path:
                return path
            await trio.sleep(PATH_SEARCH_INTERVAL_SECONDS)

    def _choose_path(self, avoid: frozenset[str]) -> LayerPath | None:
        """Return a path, if possible one without upstreams that are executing suspect requests.

        With as many upstreams as its route allows, it begins at one of these.
        """
        model = self._admitted.service.model
        trials = self._context.crashes.trial_upstreams()
        route, caller = self._admitted.route, self._admitted.caller
        choose = partial(
            self._choice.choose,
            limits=RouteLimits(route.objective, route.gap_objective),
            prompt_tokens=caller.prompt_tokens,
        )
        if self._context.crashes.crash_count(self._admitted):
            choose = self._choice.choose_least_busy
        candidates = self._executions.candidates
        if candidates is not None:
            choose = partial(self._choice.choose_from, candidates - self._failed)
        path = choose(model, avoid | trials) if trials else None
        return path or choose(model, avoid)

    async def _attempt_with_token(self, path: LayerPath) -> _AttemptResult:
        """Attempt a path with a token for its first upstream; gives an unused token back."""
        token = await self._context.rates.acquire(path.stages[0].instance)
        if token is None:
            return Withheld()
        try:
            result = await self._attempt(path, token)
        finally:
            await self._context.rates.return_token(token)
        self._current, self._since = None, trio.current_time()
        return result

    async def _attempt(self, path: LayerPath, token: SendingToken) -> _AttemptResult:
        context = self._context
        first = path.stages[0]
        stream = ActiveStream(
            self._admitted.caller.request_id,
            self._admitted.service.name,
            self._admitted.service.model,
            path,
            trio.current_time(),
            self._admitted.route.gap_objective,
            prompt_tokens=self._admitted.caller.prompt_tokens,
            events=self._last_event or 0,
            event_at=self._last_progress_at if self._has_started else 0.0,
            reserve_retry=self._reserve_retry,
            upstream=context.upstreams.last_known(first.instance),
        )
        self._current = stream
        context.upstreams.begin_request(first.instance)
        context.monitor.add(stream)
        runs = self._executions.runs
        try:
            with stream.interruptible():
                connection = await context.pool.acquire(
                    first.address, without_call=stream.request_id
                )
            with context.pool.release_after_call(connection):
                result = await self._exchange(connection, stream, token)
        except ConnectionLostError as failure:
            result = await self._on_failure(stream, failure)
        except StreamInterruptedError:
            return await self._on_interruption(stream)
        finally:
            context.monitor.discard(stream)
            context.crashes.end_attempt(self._admitted, first.instance)
            context.upstreams.end_request(first.instance)
            if self._executions.runs > runs:
                context.admission.note_ended(stream.service, first.instance)
        if isinstance(result, _Finished | _Broken):
            context.upstreams.record_outcome(first.instance, isinstance(result, _Broken))
        return result

    async def _on_interruption(self, stream: ActiveStream) -> _AttemptResult:
        if stream.interruption is not Interruption.BETTER_ELSEWHERE:
            self._avoided.add(stream.path.stages[0].instance)
        if stream.interruption is Interruption.FIRST_SILENT:
            await self._report_interrupted(stream)
        self._context.count(f"retry.{RetryReason.STAGE_STALLED}")
        exchange = self._admitted.exchange
        self._context.log(
            "try-interrupted",
            request=self._admitted.caller.request_id,
            instance=stream.path.stages[0].instance,
            why=str(stream.interruption),
            begun=exchange.started,
            torn=exchange.torn,
            last_event=self._last_event,
        )
        return _Broken(str(stream.interruption))

    async def _on_failure(
        self, stream: ActiveStream, failure: ConnectionLostError
    ) -> _AttemptResult:
        instance = stream.path.stages[0].instance
        self._avoided.add(instance)
        evidence = evidence_of(failure)
        if evidence is not None:
            self._context.report_loss(instance, evidence)
        if failure.kind is FailureKind.UNSENT:
            self._context.upstreams.suspect(instance, UNREACHABLE_COOLDOWN_SECONDS, lost=True)
            self._context.pool.close_idle(stream.path.stages[0].address)
            self._unreachable_attempts += 1
            self._context.count(f"retry.{RetryReason.UNREACHABLE}")
            return _Refused(RetryReason.UNREACHABLE, failure.message)
        if not stream.has_events:
            self._failed.add(instance)
        await self._report_interrupted(stream)
        self._context.count(f"retry.{RetryReason.STAGE_LOST}")
        return _Broken(failure.message)

    async def _report_interrupted(self, stream: ActiveStream) -> None:
        """Report an interrupted execution unless events came, which clear the request."""
        upstream = stream.upstream
        if upstream is not None and not stream.has_events and not self._has_received_events:
            await self._context.crashes.record_broken_attempt(
                self._admitted, upstream, stream.execution
            )

    async def _exchange(
        self, connection: UpstreamConnection, stream: ActiveStream, token: SendingToken
    ) -> _AttemptResult:
        """Send the request and forward its response."""
        admitted = self._admitted
        if is_withheld(self._context, token):
            return Withheld()
        dispatch = Dispatch(
            stream.path.stages[0].instance,
            admitted.work_deadline - trio.current_time(),
            admitted.account_name,
            admitted.priority,
            stream.path,
            self._last_event,
        )
        stream.progress_at = trio.current_time()
        self._log_repeat(dispatch.instance)
        self._executions.note_sent(dispatch.instance)
        stream.execution = self._context.crashes.begin_attempt(admitted, dispatch.instance)
        self._admission.note_sent(stream.path)
        meter = admitted.exchange.meter
        meter.note_handed_on()
        meter.note_response_end()  # That of an earlier attempt.
        meter.note_body_waiting(len(admitted.caller.message.body))
        try:
            with stream.interruptible():
                reply, facts = await send_request(
                    self._context, admitted, connection, dispatch, meter.note_body_sent
                )
        except ConnectionLostError as failure:
            if failure.kind is FailureKind.UNSENT:
                self._executions.note_not_executed(dispatch.instance)
            raise
        if reply.status == OK:
            return await self._relay(reply, stream)
        stream.is_waiting = False
        with stream.interruptible():
            body = await read_whole(reply.next_data, reply.headers, meter)
        if facts.not_executed:
            self._executions.note_not_executed(dispatch.instance)
            self._retries.note_refused()
            return self._on_refusal(stream, reply.status, facts)
        await check_single_response(reply, body)
        await self._check_end(reply, stream)
        return await self._on_other_response(reply, body, dispatch.instance)

    async def _on_other_response(
        self, reply: UpstreamReply, body: bytes, instance: str
    ) -> _AttemptResult:
        response = _Response(reply.status, end_to_end(reply.headers), body)
        may_run_elsewhere = self._admitted.route.repeatable and not self._is_bound
        if self._has_started or (reply.status >= SERVER_ERROR and may_run_elsewhere):
            self._avoided.add(instance)
            self._failed.add(instance)
            self._failed_response = response
            return _Broken(f"upstream answered {reply.status}")
        return await self._respond(response)

    async def _respond(self, response: _Response) -> _Finished:
        exchange = self._admitted.exchange
        await exchange.respond(response.status, response.headers, response.body)
        return _Finished(response.status)

    def _on_refusal(self, stream: ActiveStream, status: int, facts: ReplyFacts) -> _AttemptResult:
        """Record which upstream of the path refused: it is full, lost or lacks its layers."""
        refusing_instance = stream.path.stages[0].instance
        if facts.failed_address:
            row = self._context.upstreams.at_address(facts.failed_address, stream.service)
            refusing_instance = row.instance if row is not None else refusing_instance
            if row is not None and status in LOSS_STATUSES:
                self._context.report_loss(row.instance, Evidence.REFUSED)
        self._avoided.add(refusing_instance)
        self._choice.note_full(refusing_instance)
        self._admission.note_refused()
        self._context.count(f"retry.{RetryReason.REFUSED}.{status}")
        return _Refused(RetryReason.REFUSED, f"{refusing_instance} answered {status}")

    async def _relay(self, reply: UpstreamReply, stream: ActiveStream) -> _AttemptResult:
        source = MeteredEvents(self._last_event, reply, partial(self._receive, reply, stream))
        reader = source.reader
        while (events := await source.next_events()) is not None:
            if events:
                self._record_events(stream)
                await self._forward_events(reply, stream, events)
                stream.note_event(trio.current_time(), len(events))
            if reader.fault:
                self._context.count("event.malformed")
                raise ConnectionLostError(FailureKind.MALFORMED, reader.fault)
        if reader.incomplete:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended inside an event")
        if self._last_event is None:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended before its first event")
        await self._check_end(reply, stream)
        await self._finish_response(reply, reader.trailing)
        return _Finished(OK)

    async def _receive(self, reply: UpstreamReply, stream: ActiveStream) -> bytes | None:
        stream.is_waiting = True
        with stream.interruptible():
            data = await reply.next_data()
        stream.is_waiting = False
        return data

    async def _check_end(self, reply: UpstreamReply, stream: ActiveStream) -> None:
        """Check that the end of a response isn't the end of its upstream.

        Raises:
          ConnectionLostError: it may be.
        """
        first = stream.path.stages[0].instance
        with stream.interruptible():
            await self._context.ends.check(
                reply,
                AnswerSource(self._admitted.caller.request_id, first, accepts_queries=True),
            )

    def _record_events(self, stream: ActiveStream) -> None:
        """Record that events came, which clears the request of crashing its upstreams."""
        if not self._has_received_events:
            self._has_received_events = True
            first = stream.path.stages[0].instance
            self._context.crashes.record_success(self._admitted, first, stream.execution)
            self._context.crashes.end_attempt(self._admitted, first)

    async def _finish_response(self, reply: UpstreamReply, trailing: bytes) -> None:
        await self._start_response(reply)
        if trailing:
            await self._admitted.exchange.send(trailing)
        await self._admitted.exchange.finish()

    def _record_wait(self, stream: ActiveStream, event: Event) -> None:
        """Record how long the caller waited for an event; log it if the objective was missed."""
        has_started = self._has_started
        waited = trio.current_time() - (self._last_progress_at if has_started else self._arrived_at)
        route = self._admitted.route
        objective = route.gap_objective if has_started else route.objective
        self._context.timing("gap" if has_started else "first-event", waited)
        if objective and waited > objective:
            self._context.log(
                "late-event",
                request=self._admitted.caller.request_id,
                event=event.id,
                waited_ms=round(waited * 1000),
                instance=stream.path.stages[0].instance,
                runs=self._executions.runs,
            )

    async def _forward_events(
        self, reply: UpstreamReply, stream: ActiveStream, events: list[Event]
    ) -> None:
        self._record_wait(stream, events[0])
        self._writing_since = trio.current_time()
        await self._start_response(reply)
        await self._admitted.exchange.send(b"".join(each.data for each in events))
        self._writing_since = None
        self._last_progress_at = trio.current_time()
        self._last_event = events[-1].id

    async def _start_response(self, reply: UpstreamReply) -> None:
        if not self._has_started:
            headers = tuple(
                each for each in end_to_end(reply.headers) if each[0] != b"content-length"
            )
            await self._admitted.exchange.start(OK, headers)

    def _log_repeat(self, instance: str) -> None:
        """Log where the stream may have run before it is sent to an upstream again."""
        if self._executions.runs:
            self._context.log(
                "run-again",
                request=self._admitted.caller.request_id,
                instance=instance,
                executed_by=self._executions.instances,
                allowance=self._executions.allowance,
            )

    def _log_attempt(self, path: LayerPath, result: _Refused | _Broken) -> None:
        self._context.log(
            "try-failed",
            request=self._admitted.caller.request_id,
            instance=path.stages[0].instance,
            parts=len(path.stages),
            kind=type(result).__name__.strip("_").lower(),
            what=result.message,
            last_event=self._last_event,
            runs=self._executions.runs,
            identity=self._admitted.identity if isinstance(result, _Broken) else "",
        )

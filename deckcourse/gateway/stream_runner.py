"""Makes one attempt of a stream: sends it to an upstream and forwards the events that come."""

from collections.abc import Callable
from functools import partial
from typing import Protocol

import trio

from deckcourse.decisions.loss_reports import Evidence
from deckcourse.gateway.active_stream import (
    ActiveStream,
    Interruption,
    StreamInterruptedError,
)
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.calls import (
    Withheld,
    check_single_response,
    is_withheld,
    send_request,
)
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.dialect import Dispatch, ReplyFacts
from deckcourse.gateway.end_check import AnswerSource
from deckcourse.gateway.events import Event
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.loss_notices import evidence_of
from deckcourse.gateway.metered_events import MeteredEvents
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.gateway.stream_admission import StreamAdmission
from deckcourse.gateway.stream_attempts import StreamAttempts
from deckcourse.gateway.stream_paths import StreamPaths
from deckcourse.gateway.stream_retries import StreamRetries
from deckcourse.gateway.stream_state import (
    Attempt,
    AttemptResult,
    Broken,
    Finished,
    Refused,
    Response,
    StreamState,
)
from deckcourse.gateway.whole_messages import read_whole
from deckcourse.http1.client import UpstreamConnection, UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind, end_to_end
from deckcourse.reasons import RetryReason

__all__ = ["AttemptObserver", "AttemptRunner"]

# How long an upstream that resets or refuses connections gets no new requests.
UNREACHABLE_COOLDOWN_SECONDS = 2.0
OK = 200
SERVER_ERROR = 500
# Statuses of a refusal by an upstream that may be gone: it doesn't hold its layers (421), or it is
# dead, giving them up or full (503).
LOSS_STATUSES = (421, 503)


class AttemptObserver(Protocol):
    """Decides what an attempt may do beside the other attempts of its stream."""

    def reserve_retry(
        self, instance: str, why: Interruption, when_granted: Callable[[], object]
    ) -> bool:
        """Reserve a retry if the stream may leave an upstream; see `StreamRetries.reserve`."""

    def on_detached(self, attempt: Attempt) -> None:
        """Record that another attempt is to take the place of one."""

    def note_interruption(self, attempt: Attempt) -> Broken:
        """Record that an attempt was interrupted; return that as its result."""

    async def take_over(self, attempt: Attempt, at_end: bool = False) -> None:
        """Let an attempt continue the response, since it has the next event or the end."""


class AttemptRunner:
    """Makes the attempts of one stream.

    Args:
      context: the objects that requests share.
      admitted: the stream's request.
      state: what is known of the stream.
      executions: the upstreams that may have executed it.
      attempts: its attempts in progress.
      paths: finds its paths.
      retries: its retries.
      admission: records what is sent.
      observer: decides between the attempts.
    """

    def __init__(
        self,
        context: GatewayContext,
        admitted: Admitted,
        state: StreamState,
        executions: Executions,
        attempts: StreamAttempts[AttemptResult],
        paths: StreamPaths,
        retries: StreamRetries,
        admission: StreamAdmission,
        observer: AttemptObserver,
    ) -> None:
        self._context = context
        self._admitted = admitted
        self._choice = context.path_choice(admitted.service.name)
        self._state = state
        self._executions = executions
        self._attempts = attempts
        self._paths = paths
        self._retries = retries
        self._admission = admission
        self._observer = observer

    @property
    def _has_started(self) -> bool:
        return self._admitted.exchange.started

    async def run(self, attempt: Attempt) -> AttemptResult:
        """Make an attempt with a token for its first upstream; gives an unused token back."""
        token = await self._context.rates.acquire(attempt.instance)
        if token is None:
            return Withheld()
        try:
            return await self._attempt(attempt, token)
        finally:
            await self._context.rates.return_token(token)

    async def _attempt(self, attempt: Attempt, token: SendingToken) -> AttemptResult:
        context, path = self._context, attempt.path
        first = path.stages[0]
        stream = ActiveStream(
            self._admitted.caller.request_id,
            self._admitted.service.name,
            self._admitted.service.model,
            path,
            trio.current_time(),
            self._admitted.route.gap_objective,
            prompt_tokens=self._admitted.caller.prompt_tokens,
            events=self._state.last_event or 0,
            event_at=self._state.progress_at if self._has_started else 0.0,
            reserve_retry=partial(self._observer.reserve_retry, first.instance),
            on_detached=partial(self._observer.on_detached, attempt),
            upstream=context.upstreams.last_known(first.instance),
        )
        attempt.stream = stream
        context.upstreams.begin_request(first.instance)
        context.monitor.add(stream)
        try:
            with stream.interruptible():
                connection = await context.pool.acquire(
                    first.address, without_call=stream.request_id
                )
            with context.pool.release_after_call(connection):
                result = await self._exchange(connection, attempt, token)
        except ConnectionLostError as failure:
            result = await self._on_failure(stream, failure)
        except StreamInterruptedError:
            return self._observer.note_interruption(attempt)
        finally:
            context.monitor.discard(stream)
            context.crashes.end_attempt(self._admitted, first.instance)
            context.upstreams.end_request(first.instance)
            if attempt.has_run:
                context.admission.note_ended(stream.service, first.instance)
        if isinstance(result, Finished | Broken):
            context.upstreams.record_outcome(first.instance, isinstance(result, Broken))
        return result

    async def _on_failure(
        self, stream: ActiveStream, failure: ConnectionLostError
    ) -> AttemptResult:
        instance = stream.path.stages[0].instance
        self._state.avoided.add(instance)
        evidence = evidence_of(failure)
        if evidence is not None:
            self._context.report_loss(instance, evidence)
        if failure.kind is FailureKind.UNSENT:
            self._context.upstreams.suspect(instance, UNREACHABLE_COOLDOWN_SECONDS, lost=True)
            self._context.pool.close_idle(stream.path.stages[0].address)
            self._state.unreachable_attempts += 1
            self._context.count(f"retry.{RetryReason.UNREACHABLE}")
            return Refused(RetryReason.UNREACHABLE, failure.message)
        if not stream.has_events:
            self._state.failed.add(instance)
        await self.report_interrupted(stream)
        self._context.count(f"retry.{RetryReason.STAGE_LOST}")
        return Broken(failure.message)

    async def report_interrupted(self, stream: ActiveStream) -> None:
        """Report an interrupted execution unless events came, which clear the request."""
        upstream = stream.upstream
        if upstream is not None and not stream.has_events and not self._state.has_events:
            await self._context.crashes.record_broken_attempt(
                self._admitted, upstream, stream.execution
            )

    async def _exchange(
        self, connection: UpstreamConnection, attempt: Attempt, token: SendingToken
    ) -> AttemptResult:
        """Send the request and forward its response."""
        admitted, stream = self._admitted, attempt.stream
        if is_withheld(self._context, token):
            return Withheld()
        dispatch = Dispatch(
            stream.path.stages[0].instance,
            admitted.work_deadline - trio.current_time(),
            admitted.account_name,
            admitted.priority,
            stream.path,
            self._state.last_event,
        )
        stream.progress_at = trio.current_time()
        self._log_repeat(dispatch.instance)
        self._executions.note_sent(dispatch.instance)
        attempt.has_run = True
        stream.execution = self._context.crashes.begin_attempt(admitted, dispatch.instance)
        self._admission.note_sent(stream.path)
        meter = admitted.exchange.meter
        meter.note_handed_on()
        meter.note_response_end()  # That of an earlier attempt.
        meter.note_body_waiting(len(admitted.caller.message.body))
        try:
            with stream.awaiting_upstream():
                reply, facts = await send_request(
                    self._context, admitted, connection, dispatch, meter.note_body_sent
                )
        except ConnectionLostError as failure:
            if failure.kind is FailureKind.UNSENT:
                self._note_not_executed(attempt)
            raise
        if reply.status == OK:
            self._attempts.note_accepted(attempt)
            return await self._relay(reply, attempt)
        stream.is_waiting = False
        with stream.awaiting_upstream():
            body = await read_whole(reply.next_data, reply.headers, meter)
        if facts.not_executed:
            self._note_not_executed(attempt)
            self._retries.note_refused()
            return self._on_refusal(stream, reply.status, facts)
        await check_single_response(reply, body)
        await self._check_end(reply, stream)
        return await self._on_other_response(reply, body, attempt)

    def _note_not_executed(self, attempt: Attempt) -> None:
        self._executions.note_not_executed(attempt.instance)
        attempt.has_run = False

    async def _on_other_response(
        self, reply: UpstreamReply, body: bytes, attempt: Attempt
    ) -> AttemptResult:
        response = Response(reply.status, end_to_end(reply.headers), body)
        may_run_elsewhere = self._admitted.route.repeatable and not self._paths.is_bound
        is_other_in_progress = len(self._attempts.live) > 1
        if self._has_started or (
            reply.status >= SERVER_ERROR and (may_run_elsewhere or is_other_in_progress)
        ):
            self._state.avoided.add(attempt.instance)
            self._state.failed.add(attempt.instance)
            self._state.failed_response = response
            return Broken(f"upstream answered {reply.status}")
        await self._observer.take_over(attempt)
        return await self.respond(response)

    async def respond(self, response: Response) -> Finished:
        """Send a complete response to the caller."""
        exchange = self._admitted.exchange
        await exchange.respond(response.status, response.headers, response.body)
        return Finished(response.status)

    def _on_refusal(self, stream: ActiveStream, status: int, facts: ReplyFacts) -> AttemptResult:
        """Record which upstream of the path refused: it is full, lost or lacks its layers."""
        refusing_instance = stream.path.stages[0].instance
        if facts.failed_address:
            row = self._context.upstreams.at_address(facts.failed_address, stream.service)
            refusing_instance = row.instance if row is not None else refusing_instance
            if row is not None and status in LOSS_STATUSES:
                self._context.report_loss(row.instance, Evidence.REFUSED)
        self._state.avoided.add(refusing_instance)
        self._choice.note_full(refusing_instance)
        self._admission.note_refused()
        self._context.count(f"retry.{RetryReason.REFUSED}.{status}")
        return Refused(RetryReason.REFUSED, f"{refusing_instance} answered {status}")

    async def _relay(self, reply: UpstreamReply, attempt: Attempt) -> AttemptResult:
        stream = attempt.stream
        source = MeteredEvents(self._state.last_event, reply, partial(self._receive, reply, stream))
        reader = source.reader
        while (events := await source.next_events()) is not None:
            if events:
                await self._observer.take_over(attempt)
                self._record_events(stream)
                await self._forward_events(reply, stream, events)
                stream.note_event(trio.current_time(), len(events))
            if reader.fault:
                self._context.count("event.malformed")
                raise ConnectionLostError(FailureKind.MALFORMED, reader.fault)
        if reader.incomplete:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended inside an event")
        if self._state.last_event is None:
            raise ConnectionLostError(FailureKind.LOST, "the stream ended before its first event")
        await self._check_end(reply, stream)
        await self._observer.take_over(attempt, at_end=True)
        await self._finish_response(reply, reader.trailing)
        return Finished(OK)

    async def _receive(self, reply: UpstreamReply, stream: ActiveStream) -> bytes | None:
        stream.is_waiting = True
        with stream.awaiting_upstream():
            data = await reply.next_data()
        stream.is_waiting = False
        return data

    async def _check_end(self, reply: UpstreamReply, stream: ActiveStream) -> None:
        """Check that the end of a response isn't the end of its upstream.

        Raises:
          ConnectionLostError: it may be.
        """
        first = stream.path.stages[0].instance
        with stream.awaiting_upstream():
            await self._context.ends.check(
                reply,
                AnswerSource(self._admitted.caller.request_id, first, accepts_queries=True),
            )

    def _record_events(self, stream: ActiveStream) -> None:
        """Record that events came, which clears the request of crashing its upstreams."""
        if not self._state.has_events:
            self._state.has_events = True
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
        since = self._state.progress_at if has_started else self._state.arrived_at
        waited = trio.current_time() - since
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
        self._state.writing_since = trio.current_time()
        await self._start_response(reply)
        await self._admitted.exchange.send(b"".join(each.data for each in events))
        self._state.writing_since = None
        self._state.progress_at = trio.current_time()
        self._state.last_event = events[-1].id

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

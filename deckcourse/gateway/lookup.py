"""One call to a plain service, retried only if the route and the upstream's response allow it."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.call_attempts import CallAttempts
from deckcourse.gateway.call_give_up import give_up
from deckcourse.gateway.call_load import CallLoad
from deckcourse.gateway.call_results import LostAnswer, RefusedCall, UpstreamResponse
from deckcourse.gateway.call_retry import CallRetry
from deckcourse.gateway.calls import (
    WaitsFor,
    Withheld,
    check_single_response,
    is_withheld,
    log_deadline,
    refuse_quarantined,
    send_request,
    within_deadline,
)
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.crash_watch import AttemptStart
from deckcourse.gateway.dialect import Dispatch
from deckcourse.gateway.end_check import AnswerSource
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.handover import HandedOver
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.gateway.reachability import MIN_UNREACHABLE
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.whole_messages import read_whole
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.message import ConnectionLostError, FailureKind, end_to_end
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, RetryReason

__all__ = ["ServiceCall"]

# Attempts after which a request is refused.
MAX_ATTEMPTS = 4
# Retry-after value of a process whose configuration may be out of date.
NOT_READY_RETRY_AFTER_SECONDS = 0.2
# Longest idle time of a connection for a call that must not be executed twice: if the upstream had
# closed the connection, it would be unknown whether the call was executed.
MAX_IDLE_ONCE_SECONDS = 1.0
# Other calls use any idle connection: none is kept for this long.
MAX_IDLE_SECONDS = 60.0
SERVER_ERROR = 500
# Share of the remaining time for which the end of an answer may be checked if the request may be
# sent to another upstream afterwards.
RETRYABLE_QUERY_SHARE = 0.5


_Ended = UpstreamResponse | RefusedCall | LostAnswer
_AttemptResult = _Ended | Withheld


class ServiceCall:
    """Serves one call to a plain service from admission to its outcome."""

    def __init__(self, context: GatewayContext, admitted: Admitted, domain: str) -> None:
        self._context = context
        self._admitted = admitted
        self._load = CallLoad(context.upstreams, domain)
        self._attempted: set[str] = set()
        self._attempted_names: set[str] = set()
        self._unreached: set[str] = set()
        self._executions = Executions(admitted.route.attempts, earlier=admitted.earlier)
        self._handover = context.new_handover(admitted)
        self._unreachable_attempts = 0
        self._was_refused = False
        # The last failure that an upstream answered: told unless another attempt has an answer.
        self._failed_response: UpstreamResponse | None = None
        self._last_failure: RefusedCall | LostAnswer | None = None
        self._attempts = 0
        self._retry = CallRetry(context.budget(admitted.service.name))
        self._in_progress = CallAttempts(self._run_others, lambda: self._is_partitioned)
        # The upstreams that have the call now and since when, and since when none has it.
        self._waits: dict[str, float] = {}
        self._since = trio.current_time()

    async def run(self) -> Outcome:
        """Serve the call; after an Answered outcome the response has been sent to the caller."""
        if self._admitted.earlier is None:
            self._context.budget(self._admitted.service.name).earn()
        try:
            outcome = await within_deadline(
                self._admitted, self._run_attempts, self._may_have_run, self._log_deadline
            )
        finally:
            self._retry.close()
        failed = self._failed_response
        if isinstance(outcome, Answered) or failed is None or self._admitted.exchange.started:
            return outcome
        return await self._deliver(failed)

    def _may_have_run(self) -> bool:
        return self._executions.runs > 0 or self._handover.may_run

    def _log_deadline(self) -> None:
        # The upstream that has had the call for longest, if any.
        instance, since = next(iter(self._waits.items()), ("", self._since))
        waits_for = WaitsFor.ENTRY
        if self._admitted.exchange.started:
            waits_for = WaitsFor.CALLER
        elif instance or self._handover.may_run:
            waits_for = WaitsFor.UPSTREAM
        log_deadline(self._context, self._admitted, waits_for, instance, since)

    async def _run_attempts(self) -> Outcome:
        while self._attempts < MAX_ATTEMPTS:
            refusal = refuse_quarantined(self._context, self._admitted, self._executions.runs > 0)
            if refusal is not None:
                return refusal
            upstream = None if self._is_partitioned else self._choose()
            if upstream is None:
                handed = await self._hand_over()
                if isinstance(handed, LostAnswer):
                    self._last_failure = handed
                    self._attempts += 1
                    if self._may_execute_again():
                        continue
                    break
                if handed is not None:
                    return handed
                if self._is_partitioned and self._may_send:
                    upstream = self._choose()
            if upstream is None:
                break
            if self._attempts and not await self._retry.acquire():
                break
            if not self._context.may_send():
                message = "the configuration may be out of date"
                return NotRun(NotRunReason.NOT_READY, message, NOT_READY_RETRY_AFTER_SECONDS)
            if await self._context.crashes.wait_for_trial(self._admitted, upstream.instance):
                continue
            self._attempts += 1
            result = await self._in_progress.run(
                partial(self._send_with_token, upstream), self._is_answer
            )
            if isinstance(result, Withheld):
                self._attempts -= 1
                continue
            if isinstance(result, Answered | NotRun | Unknown):
                return result
            self._attempted_names.add(upstream.name)
            if self._is_answer(result):
                return await self._deliver(result)
            await self._note_failure(result, upstream)
            if isinstance(result, LostAnswer) and not self._may_execute_again():
                break
        return self._give_up()

    async def _run_others(self) -> Outcome:
        """Make attempts beside one in progress; what was out of reach before is tried again."""
        self._attempted -= self._unreached
        self._attempts -= len(self._unreached)
        self._unreached.clear()
        return await self._run_attempts()

    async def _note_failure(self, result: _Ended, upstream: Upstream) -> None:
        """Record an attempt without an answer for the caller; wait where the next must wait."""
        if isinstance(result, UpstreamResponse):
            self._failed_response = result
            return
        self._last_failure = result
        if isinstance(result, RefusedCall):
            self._context.count(f"retry.{result.reason}")
            self._was_refused |= result.reason is RetryReason.REFUSED
            if result.reason is RetryReason.UNREACHABLE:
                self._unreached.add(upstream.instance)
                self._unreachable_attempts += 1
            if self._unreachable_attempts >= MIN_UNREACHABLE:
                reachability = self._context.reachability
                await reachability.confirm_contact(self._admitted.service.name)
        elif self._may_execute_again():
            self._context.count(f"retry.{RetryReason.REPLY_LOST}")
            crashes = self._context.crashes
            await crashes.wait_for_preceding_suspects(self._admitted, upstream.instance)

    @property
    def _is_partitioned(self) -> bool:
        return self._context.reachability.is_partitioned(self._admitted.service.name)

    @property
    def _may_send(self) -> bool:
        return self._context.reachability.may_send(self._admitted.service.name)

    async def _hand_over(self) -> Outcome | LostAnswer | None:
        """Let a peer serve the call; return None if none takes it."""
        service = self._admitted.service.name
        is_backing_off = self._context.upstreams.accepts_at(service) is not None
        if not self._is_partitioned and (is_backing_off or self._was_refused):
            return None  # It holds for peers as well.
        if self._failed_response is not None:
            return None
        is_retry = self._attempts > 0 and (self._executions.runs > 0 or self._was_refused)
        if is_retry and not await self._retry.acquire():
            return None
        # Not after the handover: it may be cancelled while the peer has the call.
        is_paid = self._retry.use()
        result = await self._handover.serve(
            None, self._executions, self._in_progress.take_over, self._retry.spend
        )
        if result is None and is_paid:
            self._retry.hold()
        if not isinstance(result, HandedOver):
            return LostAnswer(result.message) if result is not None else None
        if isinstance(result.outcome, Answered):
            self._context.return_schedule(service).note_answered()
        return result.outcome

    def _may_execute_again(self) -> bool:
        return self._admitted.route.repeatable and self._executions.allowance > 0

    def _is_answer(self, result: _AttemptResult) -> bool:
        """Return whether a result is what the caller gets."""
        if not isinstance(result, UpstreamResponse):
            return False
        if result.status < SERVER_ERROR:
            return True
        return not self._may_execute_again() and not self._in_progress.has_others

    def _give_up(self) -> Outcome:
        has_run = self._executions.runs > 0
        return give_up(self._context, self._admitted, has_run, self._last_failure)

    def _choose(self) -> Upstream | None:
        upstreams = self._context.upstreams
        name = self._admitted.service.name
        candidates = self._accepting(upstreams.usable(name))
        candidates = candidates or self._accepting(upstreams.of_service(name))
        allowed = self._executions.candidates
        if allowed is not None:
            candidates = [each for each in candidates if each.instance in allowed]
        candidates = self._not_attempted(candidates)
        trials = self._context.crashes.trial_upstreams()
        candidates = [each for each in candidates if each.instance not in trials] or candidates
        return self._context.call_balances.choose(
            name, candidates, self._load.load, self._load.penalty
        )

    def _not_attempted(self, rows: list[Upstream]) -> list[Upstream]:
        """Return the upstreams that the call wasn't sent to, if possible under other names."""
        rows = [each for each in rows if each.instance not in self._attempted]
        # A new incarnation may have got the call already, before its row came.
        return [each for each in rows if each.name not in self._attempted_names] or rows

    def _accepting(self, rows: list[Upstream]) -> list[Upstream]:
        # Even if no row remains: an upstream's refusal would use up the caller's only attempt.
        return [each for each in rows if self._context.upstreams.is_available(each.instance)]

    async def _send_with_token(
        self, upstream: Upstream, on_unreachable: Callable[[], None]
    ) -> _AttemptResult:
        """Send the call with a token for the upstream; gives an unused token back."""
        token = await self._context.rates.acquire(upstream.instance)
        if token is None:
            return Withheld()
        self._attempted.add(upstream.instance)
        self._waits[upstream.instance] = trio.current_time()
        try:
            result = await self._send(upstream, token, on_unreachable)
        finally:
            await self._context.rates.return_token(token)
        # Not after a cancellation: the log then says what the call waited for.
        self._waits.pop(upstream.instance, None)
        self._since = trio.current_time()
        return result

    async def _send(
        self, upstream: Upstream, token: SendingToken, on_unreachable: Callable[[], None]
    ) -> _AttemptResult:
        context = self._context
        began_at = trio.current_time()
        context.upstreams.begin_request(upstream.instance)
        run = context.crashes.begin_attempt(self._admitted, upstream.instance)
        max_idle_seconds = (
            MAX_IDLE_SECONDS if self._admitted.route.repeatable else MAX_IDLE_ONCE_SECONDS
        )
        request_id = self._admitted.caller.request_id
        try:
            async with context.pool.borrow(
                upstream.address, max_idle_seconds, request_id
            ) as connection:
                with self._noting_unpaid_answer(connection, upstream):
                    result = await self._exchange(connection, upstream, token, run, on_unreachable)
        except ConnectionLostError as failure:
            result = await self._on_failure(upstream, failure, run)
        finally:
            context.crashes.end_attempt(self._admitted, upstream.instance)
            context.upstreams.end_request(upstream.instance)
        if isinstance(result, Withheld):
            return result
        failed = not isinstance(result, UpstreamResponse) or result.status >= SERVER_ERROR
        context.upstreams.record_outcome(upstream.instance, failed)
        if not failed:
            seconds = trio.current_time() - began_at
            context.call_balances.record(upstream.service, upstream.instance, seconds)
        else:
            self._log_failed_attempt(upstream, result)
        return result

    @contextmanager
    def _noting_unpaid_answer(
        self, connection: UpstreamConnection, upstream: Upstream
    ) -> Iterator[None]:
        """Count an answer that is cancelled while its pieces wait as a failure of its upstream.

        Many answers without an end wait for each other until their deadlines pass; their upstream
        would get calls as one that never failed.
        """
        try:
            yield
        except trio.Cancelled:
            if connection.has_unpaid_pieces:
                self._context.upstreams.record_outcome(upstream.instance, failed=True)
            raise

    async def _on_failure(
        self, upstream: Upstream, failure: ConnectionLostError, run: AttemptStart
    ) -> RefusedCall | LostAnswer:
        if failure.kind is FailureKind.UNSENT:
            self._context.pool.close_idle(upstream.address)
            return RefusedCall(RetryReason.UNREACHABLE, failure.message)
        await self._context.crashes.record_broken_attempt(self._admitted, upstream, run)
        return LostAnswer(failure.message)

    async def _exchange(
        self,
        connection: UpstreamConnection,
        upstream: Upstream,
        token: SendingToken,
        run: AttemptStart,
        on_unreachable: Callable[[], None],
    ) -> _AttemptResult:
        if is_withheld(self._context, token):
            return Withheld()
        admitted = self._admitted
        dispatch = Dispatch(
            upstream.instance,
            admitted.work_deadline - trio.current_time(),
            admitted.account_name,
            admitted.priority,
        )
        self._retry.use()
        self._executions.note_sent(upstream.instance)
        meter = admitted.exchange.meter
        meter.note_handed_on()
        meter.note_body_waiting(len(admitted.caller.message.body))
        with self._context.reachability.waiting(
            upstream.service,
            upstream.instance,
            on_unreachable if self._may_execute_again() else None,
        ):
            try:
                reply, facts = await send_request(
                    self._context, admitted, connection, dispatch, meter.note_body_sent
                )
            except ConnectionLostError as failure:
                if failure.kind is FailureKind.UNSENT:
                    self._executions.note_not_executed(upstream.instance)
                raise
            body = await read_whole(reply.next_data, reply.headers, meter)
        if facts.not_executed:
            self._executions.note_not_executed(upstream.instance)
            return RefusedCall(RetryReason.REFUSED, f"upstream answered {reply.status}")
        await check_single_response(reply, body)
        await self._context.ends.check(reply, self._answer_source(upstream))
        if reply.status < SERVER_ERROR:
            self._context.crashes.record_success(self._admitted, upstream.instance, run)
        return UpstreamResponse(reply.status, end_to_end(reply.headers), body)

    def _answer_source(self, upstream: Upstream) -> AnswerSource:
        """Return where an answer that has just been read came from."""
        now = trio.current_time()
        # Another attempt needs time of its own.
        share = RETRYABLE_QUERY_SHARE if self._may_execute_again() else 1.0
        return AnswerSource(
            self._admitted.caller.request_id,
            upstream.instance,
            accepts_queries=False,
            health_path=self._admitted.service.health_path,
            query_deadline=now + share * (self._admitted.deadline - now),
        )

    async def _deliver(self, response: UpstreamResponse) -> Outcome:
        await self._in_progress.take_over()
        self._waits.clear()
        await self._admitted.exchange.respond(response.status, response.headers, response.body)
        self._context.return_schedule(self._admitted.service.name).note_answered()
        return Answered(0, response.status)

    def _log_failed_attempt(self, upstream: Upstream, result: _Ended) -> None:
        is_response = isinstance(result, UpstreamResponse)
        description = f"status {result.status}" if is_response else result.message
        self._context.log(
            "try-failed",
            request=self._admitted.caller.request_id,
            instance=upstream.instance,
            what=description,
            runs=self._executions.runs,
            identity=self._admitted.identity if isinstance(result, LostAnswer) else "",
        )

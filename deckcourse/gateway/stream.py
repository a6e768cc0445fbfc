"""Serves one event stream: forwards each event immediately, exactly once and in order.

Only complete events are forwarded. If an upstream fails and the route is resumable, the stream
resumes on another path after the last forwarded event; the caller sees a single response.
"""

from collections.abc import Callable
from functools import partial

import trio

from deckcourse.gateway.active_stream import Interruption
from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.calls import (
    WaitsFor,
    Withheld,
    log_deadline,
    refuse_quarantined,
    schedule_retry_after,
    within_deadline,
)
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.executions import Executions
from deckcourse.gateway.handover import HandedOver
from deckcourse.gateway.reachability import MIN_UNREACHABLE
from deckcourse.gateway.repeated_search import RepeatedSearch
from deckcourse.gateway.stream_admission import (
    FULL_RETRY_AFTER_SECONDS,
    Refusal,
    StreamAdmission,
)
from deckcourse.gateway.stream_attempts import StreamAttempts
from deckcourse.gateway.stream_paths import PATH_SEARCH_INTERVAL_SECONDS, StreamPaths
from deckcourse.gateway.stream_retries import StreamRetries
from deckcourse.gateway.stream_runner import AttemptRunner
from deckcourse.gateway.stream_state import (
    Attempt,
    AttemptResult,
    Broken,
    Finished,
    Refused,
    StreamState,
)
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason

__all__ = ["StreamCall"]

# Attempts after which a request that no upstream has executed is refused.
MAX_ATTEMPTS = 5
# Why a stream is interrupted at an upstream that it may be sent to again.
LEAVING_A_SOUND_UPSTREAM = (Interruption.BETTER_ELSEWHERE, Interruption.CONNECTION_SILENT)
# Retry-after value while some layers of a model are unavailable: neighbouring upstreams load them
# within this time.
NO_PATH_RETRY_AFTER_SECONDS = 1.0


class StreamCall:
    """Serves one stream request from admission to its outcome."""

    def __init__(self, context: GatewayContext, admitted: Admitted) -> None:
        self._context = context
        self._admitted = admitted
        self._choice = context.path_choice(admitted.service.name)
        self._state = StreamState(admitted.caller.last_event)
        self._executions = Executions(
            admitted.route.attempts, context.upstreams.has_ended_since, admitted.earlier
        )
        self._attempts: StreamAttempts[AttemptResult] = StreamAttempts()
        self._paths = StreamPaths(context, admitted, self._state, self._executions, self._attempts)
        self._handover = context.new_handover(admitted)
        self._repeated_search = RepeatedSearch(lambda: self._paths.may_be_found)
        self._retries = StreamRetries(context, admitted)
        self._admission = StreamAdmission(
            context,
            admitted,
            self._retries,
            lambda: self._paths.choose(frozenset(self._state.avoided)),
            lambda: frozenset(self._state.avoided),
        )
        self._runner = AttemptRunner(
            context,
            admitted,
            self._state,
            self._executions,
            self._attempts,
            self._paths,
            self._retries,
            self._admission,
            self,
        )
        # How often an attempt failed or was detached, and how the last one did.
        self._tries = 0
        self._last_failure: Refused | Broken | None = None
        # Attempts that were detached since the last change was handled.
        self._detached: list[Attempt] = []
        # When the last attempt ended.
        self._since = trio.current_time()
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
        failed = self._state.failed_response
        if isinstance(outcome, Answered) or failed is None or self._has_started:
            return outcome
        return Answered(0, (await self._runner.respond(failed)).status)

    def _may_have_run(self) -> bool:
        return self._executions.runs > 0 or self._handover.may_run

    def _log_deadline(self) -> None:
        waits_for, instance, since = WaitsFor.ENTRY, "", self._since
        current = self._attempts.live[-1] if self._attempts.live else None
        if current is not None and current.stream is not None:
            waits_for, since = WaitsFor.UPSTREAM, current.stream.progress_at
            instance = current.instance
        if self._state.writing_since is not None:
            waits_for, since = WaitsFor.CALLER, self._state.writing_since
        log_deadline(self._context, self._admitted, waits_for, instance, since)

    async def _run_attempts(self) -> Outcome:
        async with self._attempts.running():
            return await self._continue_attempts()

    async def _continue_attempts(self) -> Outcome:
        """Make attempts until one has the outcome, or none can be made and none is in progress."""
        needs_attempt = True
        # The outcome unless an attempt that is in progress goes on.
        given_up: Outcome | None = None
        while True:
            if needs_attempt:
                given_up = await self._search(given_up)
            if given_up is not None and (_is_final(given_up) or not self._attempts.live):
                return given_up
            needs_attempt = await self._wait_for_change(given_up is not None)
            while self._detached:
                attempt = self._detached.pop(0)
                if attempt.is_detached:
                    await self._note_detached(attempt)
                needs_attempt = not self._attempts.is_any_attached
                given_up = None if needs_attempt else given_up
            while (ended := self._attempts.take_ended()) is not None:
                given_up = await self._note_end(ended)
                if isinstance(given_up, Answered):
                    return given_up
                needs_attempt = given_up is None and not self._attempts.is_any_attached

    async def _search(self, given_up: Outcome | None) -> Outcome | None:
        """Start a further attempt, unless one that is in progress goes on before.

        A retry that it didn't use is returned: other streams may need it.

        Args:
          given_up: the outcome of the search that failed before, None if this one isn't repeated.

        Returns:
          The outcome if no attempt can be made, or if a peer has served the stream.
        """
        outcome: Outcome | None = None
        with self._attempts.searching() as scope:
            if given_up is None or await self._retries.reserve_spare():
                outcome = await self._start_attempt()
            else:
                outcome = given_up
        if scope.cancelled_caught or outcome is not None:
            self._retries.close()
        return outcome

    async def _start_attempt(self) -> Outcome | None:
        while True:
            refusal = refuse_quarantined(self._context, self._admitted, self._executions.runs > 0)
            if refusal is not None and not self._state.has_events:
                return refusal
            if (
                self._tries
                and self._executions.runs
                and not await self._retries.wait(self._state.progress_at)
            ):
                return self._give_up(NotRunReason.RETRY_BUDGET, FULL_RETRY_AFTER_SECONDS)
            path = None if self._is_partitioned else await self._paths.find()
            if path is None:
                handed = await self._hand_over()
                if isinstance(handed, Broken):
                    self._last_failure = handed
                    self._tries += 1
                    if self._paths.may_run_again:
                        continue
                    return self._give_up(NotRunReason.UPSTREAM_REFUSED, FULL_RETRY_AFTER_SECONDS)
                if handed is not None:
                    return handed
                if self._is_partitioned and self._paths.may_wait:
                    await trio.sleep(PATH_SEARCH_INTERVAL_SECONDS)
                    continue
                if self._is_partitioned and self._may_send:
                    path = await self._paths.find()
            if path is None:
                return self._no_path_outcome()
            if not self._executions.runs:
                path = await self._admission.admit(path, self._tries)
                if isinstance(path, Refusal):
                    return self._refused_outcome(path)
            if not self._context.may_send():
                return self._give_up(NotRunReason.NOT_READY, FULL_RETRY_AFTER_SECONDS)
            if await self._context.crashes.wait_for_trial(self._admitted, path.stages[0].instance):
                continue
            # An attempt that is in progress may have gone on since the last checkpoint.
            await trio.lowlevel.checkpoint_if_cancelled()
            self._retries.use()
            self._attempts.start(path, self._runner.run)
            return None

    async def _wait_for_change(self, has_given_up: bool) -> bool:
        """Wait until an attempt was detached, has taken over or has ended.

        If no further one could be made, those are ended whose upstreams have ended, and those whose
        upstreams answer again are monitored again.

        Returns:
          Whether a further attempt is to be sought again.
        """
        poll_seconds = float("inf")
        if has_given_up:
            for attempt in self._attempts.live:
                if not attempt.is_detached:
                    continue
                if attempt.instance not in self._executions.instances:
                    self._attempts.cancel(attempt)
                    self._repeated_search.note_upstream_ended()
                elif not self._context.upstreams.is_suspected(attempt.instance):
                    attempt.stream.attach()
                poll_seconds = PATH_SEARCH_INTERVAL_SECONDS
        if not self._detached and not self._attempts.has_ended:
            with trio.move_on_after(poll_seconds):
                await self._attempts.wait_for_change()
        return has_given_up and self._may_search_again

    @property
    def _may_search_again(self) -> bool:
        is_settled = not self._detached and not self._attempts.has_ended
        is_waiting = is_settled and not self._attempts.is_any_attached
        if self._is_partitioned or not is_waiting or not self._repeated_search.is_due():
            return False
        # An upstream that refused the stream may have room by now.
        self._state.avoided &= self._state.failed
        self._context.count("retry.sought-again")
        return True

    async def _note_detached(self, attempt: Attempt) -> None:
        """Prepare for the attempt that is to take the place of a detached one."""
        self._tries += 1
        self._log_attempt(attempt, self.note_interruption(attempt))
        if attempt.stream.interruption is Interruption.FIRST_SILENT:
            await self._runner.report_interrupted(attempt.stream)
        self._context.crashes.end_attempt(self._admitted, attempt.instance)
        await self._wait_for_preceding_suspects(attempt)

    async def _note_end(self, attempt: Attempt) -> Outcome | None:
        """Record the end of an attempt; return the outcome if no other one may be made."""
        result = attempt.result
        self._since = trio.current_time()
        if isinstance(result, Withheld):
            if self._tries:
                self._retries.reserve_unused()
            await trio.lowlevel.checkpoint()
            return None
        self._tries += 1
        if isinstance(result, Finished):
            self._context.return_schedule(self._admitted.service.name).note_answered()
            return Answered(0, result.status)
        self._last_failure = result
        self._log_attempt(attempt, result)
        is_broken = isinstance(result, Broken)
        is_last = not self._executions.runs and self._tries >= MAX_ATTEMPTS
        if is_last or (is_broken and not self._paths.may_run_again):
            return self._give_up(NotRunReason.UPSTREAM_REFUSED, FULL_RETRY_AFTER_SECONDS)
        if self._state.unreachable_attempts >= MIN_UNREACHABLE:
            await self._context.reachability.confirm_contact(self._admitted.service.name)
        if is_broken:
            await self._wait_for_preceding_suspects(attempt)
        return None

    async def _wait_for_preceding_suspects(self, attempt: Attempt) -> None:
        if not self._state.has_events:
            crashes = self._context.crashes
            await crashes.wait_for_preceding_suspects(self._admitted, attempt.instance)

    @property
    def _is_partitioned(self) -> bool:
        return self._context.reachability.is_partitioned(self._admitted.service.name)

    @property
    def _may_send(self) -> bool:
        return self._context.reachability.may_send(self._admitted.service.name)

    def reserve_retry(
        self, instance: str, why: Interruption, when_granted: Callable[[], object]
    ) -> bool:
        """Reserve a retry if the stream may leave an upstream; see `StreamRetries.reserve`."""
        return self._paths.may_leave(instance, why) and self._retries.reserve(when_granted)

    async def _hand_over(self) -> Outcome | Broken | None:
        """Let a peer serve the stream; return None if none takes it."""
        is_backing_off = self._choice.accepts_at(self._admitted.service.model) is not None
        if not self._is_partitioned and (is_backing_off or self._retries.was_refused):
            return None  # It holds for peers as well.
        if self._state.failed_response is not None and not self._has_started:
            return None
        if self._paths.is_bound and not self._is_partitioned:
            return None  # Peers may use the same upstreams only.
        is_unspent_retry = self._retries.was_refused and not self._executions.runs
        if is_unspent_retry and not await self._retries.acquire(was_executed=False):
            return None
        is_paid = self._retries.use()
        result = await self._handover.serve(
            self._state.last_event,
            self._executions,
            self._give_up_attempts,
            partial(self._retries.acquire, was_executed=False),
        )
        if result is None and is_paid:
            self._retries.reserve_unused()
        if isinstance(result, HandedOver):
            if isinstance(result.outcome, Answered):
                self._context.return_schedule(self._admitted.service.name).note_answered()
            return result.outcome
        if result is None:
            return None
        if self._handover.last_event != self._state.last_event:
            self._state.last_event = self._handover.last_event
            self._state.progress_at = trio.current_time()
            self._state.has_events = True
        return Broken(result.message)

    def _refused_outcome(self, refusal: Refusal) -> Outcome:
        """Return the outcome of a stream that was not admitted and not executed."""
        if refusal.reason is NotRunReason.NO_ROUTE:
            return self._no_path_outcome()
        if not refusal.message:
            return self._give_up(refusal.reason, refusal.retry_after)
        return NotRun(refusal.reason, refusal.message, self._retry_after(refusal.retry_after))

    def _give_up(self, reason: NotRunReason, retry_after: float) -> Outcome:
        message = (
            self._last_failure.message
            if self._last_failure is not None
            else "no usable upstreams hold every layer"
        )
        if self._executions.runs:
            return Unknown(UnknownReason.UPSTREAM_LOST, f"{message}; given up: {reason}")
        return NotRun(reason, message, self._retry_after(retry_after))

    def _no_path_outcome(self) -> Outcome:
        """Return the outcome if no path is usable, with the end of the backoffs as retry-after."""
        accepts_at = self._choice.accepts_at(self._admitted.service.model)
        if self._executions.runs or accepts_at is None:
            return self._give_up(NotRunReason.NO_ROUTE, NO_PATH_RETRY_AFTER_SECONDS)
        # Refused immediately: waiting here would not serve the caller sooner.
        seconds = max(0.0, accepts_at - trio.current_time())
        message = f"every path begins at an upstream that takes no request for {seconds:.2f} s"
        return NotRun(NotRunReason.UPSTREAM_BACKOFF, message, self._retry_after(seconds))

    def _retry_after(self, seconds: float) -> float:
        """Return a retry-after value of at least `seconds` from the schedule of refused callers."""
        return schedule_retry_after(self._context, self._admitted, seconds)

    def on_detached(self, attempt: Attempt) -> None:
        """Record that another attempt is to take the place of one; see `AttemptObserver`."""
        self._detached.append(attempt)
        self._attempts.note_change()

    def note_interruption(self, attempt: Attempt) -> Broken:
        """Record that an attempt was interrupted; see `AttemptObserver`."""
        interruption, exchange = attempt.stream.interruption, self._admitted.exchange
        if interruption not in LEAVING_A_SOUND_UPSTREAM:
            self._state.avoided.add(attempt.instance)
        self._context.count(f"retry.{RetryReason.STAGE_STALLED}")
        self._context.log(
            "try-interrupted",
            request=self._admitted.caller.request_id,
            instance=attempt.instance,
            why=str(interruption),
            begun=exchange.started,
            torn=exchange.torn,
            last_event=self._state.last_event,
        )
        self._last_failure = Broken(str(interruption))
        return self._last_failure

    async def take_over(self, attempt: Attempt, at_end: bool = False) -> None:
        """Let an attempt continue the response, since it has the next event or the end."""
        # Another one may have taken over in the tick in which this one received it.
        await trio.lowlevel.checkpoint_if_cancelled()
        if at_end and attempt in self._detached:  # No other attempt is needed.
            self._detached.remove(attempt)
            attempt.stream.attach()
        if attempt.is_detached:
            if attempt in self._detached:
                self._detached.remove(attempt)
                self.note_interruption(attempt)
            self._retries.close()
            self._state.avoided.discard(attempt.instance)
            self._context.log(
                "try-continues",
                request=self._admitted.caller.request_id,
                instance=attempt.instance,
                silent_ms=round((trio.current_time() - attempt.stream.progress_at) * 1000),
                last_event=self._state.last_event,
            )
        self._attempts.take_over(attempt)

    async def _give_up_attempts(self) -> None:
        """End all attempts, since a peer has the next event."""
        await trio.lowlevel.checkpoint_if_cancelled()
        for attempt in self._attempts.live:
            self._attempts.cancel(attempt)

    def _log_attempt(self, attempt: Attempt, result: Refused | Broken) -> None:
        self._context.log(
            "try-failed",
            request=self._admitted.caller.request_id,
            instance=attempt.instance,
            parts=len(attempt.path.stages),
            kind=type(result).__name__.strip("_").lower(),
            what=result.message,
            last_event=self._state.last_event,
            runs=self._executions.runs,
            identity=self._admitted.identity if isinstance(result, Broken) else "",
        )


def _is_final(outcome: Outcome) -> bool:
    """Return whether an outcome holds though an upstream may still go on.

    A request that ends its upstreams must not wait for them.
    """
    if isinstance(outcome, Answered):
        return True
    return outcome.reason in (NotRunReason.ENDS_UPSTREAMS, UnknownReason.ENDS_UPSTREAMS)

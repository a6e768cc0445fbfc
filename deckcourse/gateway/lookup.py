"""One call to a plain service: tried again only where the route and the upstream allow it."""

from dataclasses import dataclass

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.calls import (
    Withheld,
    is_withheld,
    refuse_joined,
    refuse_quarantined,
    send_request,
    time_to_return,
    within_deadline,
)
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.crash_watch import RunStart
from deckcourse.gateway.dialect import Dispatch
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.message import ConnectionLostError, FailureKind, Headers, end_to_end
from deckcourse.outcomes import Answered, NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, RetryReason, UnknownReason

__all__ = ["Lookup"]

# Refusals and failed connections that one request may meet before it is refused itself.
MOST_TRIES = 4
# When to come back after every upstream refused, seconds: their calls take some 60 ms.
RETRY_SECONDS = 0.1
# When to come back to a process whose configuration may be out of date, seconds.
NOT_READY_RETRY_SECONDS = 0.2
# When to come back while no upstream is listed as usable, seconds.
NO_ROUTE_RETRY_SECONDS = 0.5
# Calls in flight are weighed against an upstream with so many places: what both sites state.
REFERENCE_SLOTS = 6.0
# What another failure domain counts for against calls in flight.
REMOTE_PENALTY = 0.5
# What an upstream whose calls all failed of late counts for against calls in flight.
FAILURE_PENALTY = 20.0
# A call that must not run twice takes no connection that rested longer, seconds: one that the
# upstream closed meanwhile would leave it open whether the call ran.
FRESH_SECONDS = 1.0
# Any other call takes every idle connection: none is kept for this long, seconds.
ANY_AGE_SECONDS = 60.0
SERVER_ERROR = 500


@dataclass(frozen=True)
class _Whole:
    """A whole answer of an upstream."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class _Refused:
    """Nobody ran the call."""

    reason: RetryReason
    message: str


@dataclass(frozen=True)
class _Lost:
    """The call may have run."""

    message: str


class Lookup:
    """One call from admission to its outcome."""

    def __init__(self, context: GatewayContext, admitted: Admitted, domain: str) -> None:
        self._context = context
        self._admitted = admitted
        self._domain = domain
        self._tried: set[str] = set()
        self._runs = 0
        self._failure: _Whole | None = None

    async def run(self) -> Outcome:
        """Return the outcome; an answer has been sent to the caller."""
        self._context.budget(self._admitted.service.name).earn()
        return await within_deadline(self._admitted, self._tries, lambda: self._runs > 0)

    async def _tries(self) -> Outcome:
        last: _Refused | _Lost | None = None
        budget = self._context.budget(self._admitted.service.name)
        number = 0
        while number < MOST_TRIES:
            refusal = refuse_quarantined(self._context, self._admitted, self._runs > 0)
            if refusal is not None:
                return refusal
            upstream = self._choose()
            if upstream is None:
                break
            if number and not budget.spend():
                break
            if not self._context.may_send():
                message = "the configuration may be out of date"
                return NotRun(NotRunReason.NOT_READY, message, NOT_READY_RETRY_SECONDS)
            if await self._context.crashes.wait_for_turn(self._admitted, upstream.instance):
                if number:
                    budget.give_back()
                continue
            result = await self._send_with_token(upstream)
            if isinstance(result, Withheld):
                if number:
                    budget.give_back()
                continue
            number += 1
            if isinstance(result, _Whole):
                if not self._worth_another(result):
                    return await self._deliver(result)
                self._failure = result
            elif isinstance(result, _Refused):
                last = result
                self._context.count(f"retry.{result.reason}")
            else:
                last = result
                if not self._may_repeat():
                    break
                self._context.count(f"retry.{RetryReason.REPLY_LOST}")
                crashes = self._context.crashes
                await crashes.wait_behind_others(self._admitted, upstream.instance)
        return await self._give_up(last)

    def _may_repeat(self) -> bool:
        route = self._admitted.route
        return route.repeatable and self._runs < route.attempts

    def _worth_another(self, answer: _Whole) -> bool:
        return answer.status >= SERVER_ERROR and self._may_repeat()

    async def _give_up(self, last: _Refused | _Lost | None) -> Outcome:
        if self._failure is not None:
            return await self._deliver(self._failure)
        if self._runs:
            message = last.message if last is not None else "the answer was lost"
            return Unknown(UnknownReason.UPSTREAM_LOST, message)
        opens_at = self._context.upstreams.accepts_at(self._admitted.service.name)
        if opens_at is not None:
            least = max(RETRY_SECONDS, opens_at - trio.current_time())
            later = time_to_return(self._context, self._admitted, least)
            message = f"no upstream takes a request for {least:.2f} s"
            return NotRun(NotRunReason.UPSTREAM_BACKOFF, message, later)
        if isinstance(last, _Refused):
            return NotRun(NotRunReason.UPSTREAM_REFUSED, last.message, RETRY_SECONDS)
        return NotRun(NotRunReason.NO_ROUTE, "no usable upstream", NO_ROUTE_RETRY_SECONDS)

    def _choose(self) -> Upstream | None:
        upstreams = self._context.upstreams
        name = self._admitted.service.name
        options = self._accepting(upstreams.usable(name))
        options = options or self._accepting(upstreams.of_service(name))
        options = [each for each in options if each.instance not in self._tried]
        trials = self._context.crashes.trial_upstreams()
        options = [each for each in options if each.instance not in trials] or options
        return min(options, key=self._load, default=None)

    def _accepting(self, rows: list[Upstream]) -> list[Upstream]:
        # Even if none remains: a refusal would use up the caller's only attempt.
        return [each for each in rows if self._context.upstreams.may_begin(each.instance)]

    def _load(self, upstream: Upstream) -> float:
        upstreams = self._context.upstreams
        load = upstreams.in_flight(upstream.instance) * REFERENCE_SLOTS / max(1, upstream.slots)
        if upstream.domain != self._domain:
            load += REMOTE_PENALTY
        return load + FAILURE_PENALTY * upstreams.failure_share(upstream.instance) ** 2

    async def _send_with_token(self, upstream: Upstream) -> _Whole | _Refused | _Lost | Withheld:
        """Send the call with a token for the upstream; returns the token if unspent."""
        token = await self._context.rates.acquire(upstream.instance)
        if token is None:
            return Withheld()
        self._tried.add(upstream.instance)
        try:
            return await self._send(upstream, token)
        finally:
            await self._context.rates.give_back(token)

    async def _send(
        self, upstream: Upstream, token: SendingToken
    ) -> _Whole | _Refused | _Lost | Withheld:
        context = self._context
        context.upstreams.begin(upstream.instance)
        run = context.crashes.begin_run(self._admitted, upstream.instance)
        longest_idle = ANY_AGE_SECONDS if self._admitted.route.repeatable else FRESH_SECONDS
        request_id = self._admitted.caller.request_id
        try:
            async with context.pool.lent(upstream.address, longest_idle, request_id) as connection:
                result = await self._exchange(connection, upstream, token)
        except ConnectionLostError as failure:
            result = await self._on_failure(upstream, failure, run)
        finally:
            context.crashes.end_run(self._admitted, upstream.instance)
            context.upstreams.end(upstream.instance)
        if isinstance(result, Withheld):
            return result
        failed = not isinstance(result, _Whole) or result.status >= SERVER_ERROR
        context.upstreams.note(upstream.instance, failed)
        if failed:
            self._log_try(upstream, result)
        return result

    async def _on_failure(
        self, upstream: Upstream, failure: ConnectionLostError, run: RunStart
    ) -> _Refused | _Lost:
        if failure.kind is FailureKind.UNSENT:
            self._context.pool.forget(upstream.address)
            return _Refused(RetryReason.UNREACHABLE, failure.message)
        await self._context.crashes.note_broken(self._admitted, upstream, run)
        return _Lost(failure.message)

    async def _exchange(
        self, connection: UpstreamConnection, upstream: Upstream, token: SendingToken
    ) -> _Whole | _Refused | _Lost | Withheld:
        if is_withheld(self._context, token):
            return Withheld()
        admitted = self._admitted
        dispatch = Dispatch(
            upstream.instance,
            admitted.deadline - trio.current_time(),
            admitted.account_name,
            admitted.priority,
        )
        self._runs += 1
        try:
            reply, facts = await send_request(self._context, admitted, connection, dispatch)
        except ConnectionLostError as failure:
            self._runs -= failure.kind is FailureKind.UNSENT
            raise
        body = await reply.whole_body()
        if facts.not_run:
            self._runs -= 1
            return _Refused(RetryReason.REFUSED, f"upstream answered {reply.status}")
        refuse_joined(reply, body)
        if reply.status < SERVER_ERROR:
            self._context.crashes.note_ran(self._admitted, upstream.instance)
        return _Whole(reply.status, end_to_end(reply.headers), body)

    async def _deliver(self, answer: _Whole) -> Outcome:
        await self._admitted.exchange.whole(answer.status, answer.headers, answer.body)
        self._context.returns(self._admitted.service.name).note_answered()
        return Answered(0, answer.status)

    def _log_try(self, upstream: Upstream, result: _Whole | _Refused | _Lost) -> None:
        what = f"status {result.status}" if isinstance(result, _Whole) else result.message
        self._context.log(
            "try-failed",
            request=self._admitted.caller.request_id,
            instance=upstream.instance,
            what=what,
            runs=self._runs,
            identity=self._admitted.identity if isinstance(result, _Lost) else "",
        )

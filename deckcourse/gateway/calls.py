"""Functions shared by plain calls and streams: deadlines, refusals and sending a request."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.dialect import Dispatch, ReplyFacts
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.gateway.upstream_notice import NoticeOrigin
from deckcourse.http1.client import (
    MAX_REMEMBERED_CALLS,
    UNNAMED_CALL,
    UpstreamConnection,
    UpstreamReply,
)
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.outcomes import NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = [
    "Withheld",
    "WaitsFor",
    "STOPPING_RETRY_AFTER_SECONDS",
    "check_single_response",
    "is_withheld",
    "log_deadline",
    "refuse_quarantined",
    "schedule_retry_after",
    "send_request",
    "within_deadline",
]

# A status line that begins at any position in its line, and the proper end of the line if it has
# one. It takes the rest of the line in any case: a search that began again at each further status
# of a line would take seconds for some 60 KB.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}[^\r\n]*+(\r\n)?")
# Lines that are checked before other tasks run.
LINES_PER_TURN = 1024
# Largest retry-after value as a share of the request's remaining time. By the platform's
# definition, callers honour values up to a third of it.
MAX_RETRY_AFTER_SHARE = 0.3
# Retry-after value of a process that stops: others are ready.
STOPPING_RETRY_AFTER_SECONDS = 0.1


class WaitsFor(StrEnum):
    """What a request waits for: its caller to read, an upstream, or this process to send it."""

    CALLER = "caller"
    UPSTREAM = "upstream"
    ENTRY = "entry"


@dataclass(frozen=True)
class Withheld:
    """The request was not sent: its upstream began to back off, throttle or leave meanwhile."""


def is_withheld(context: GatewayContext, token: SendingToken) -> bool:
    """Return whether a request may no longer be sent to the upstream that was chosen for it.

    The upstream may begin to back off, throttle or leave while the connection is being opened.
    """
    if context.upstreams.accepts(token.instance) and context.rates.may_send(token):
        return False
    context.count("withheld")
    return True


def refuse_quarantined(
    context: GatewayContext, admitted: Admitted, has_run: bool
) -> Outcome | None:
    """Return the refusal of a quarantined request, None for any other.

    A quarantined request crashes the upstreams that execute it: another attempt would crash one
    more, with all other streams on it.

    Args:
      context: holds the quarantine.
      admitted: the request.
      has_run: whether an upstream may have executed it while this call was handled.
    """
    until = context.crashes.quarantined_until(admitted)
    if until is None:
        return None
    message = "upstreams ended under this request or a part of its prompt"
    if has_run:
        return Unknown(UnknownReason.ENDS_UPSTREAMS, message)
    return NotRun(NotRunReason.ENDS_UPSTREAMS, message, until - trio.current_time())


async def within_deadline(
    admitted: Admitted,
    attempts: Callable[[], Awaitable[Outcome]],
    may_have_run: Callable[[], bool],
    on_passed: Callable[[], None],
) -> Outcome:
    """Return the outcome of all attempts, or that the deadline or that of a stop passed first.

    Args:
      admitted: the request.
      attempts: makes attempts until there is an outcome; cancelled at the deadline.
      may_have_run: returns whether an upstream may have executed the request so far.
      on_passed: called if the deadline passed first, or this process ends the request.
    """
    outcome: Outcome | None = None
    try:
        with admitted.stop.until(admitted.limit, admitted.exchange):
            outcome = await attempts()
    except BaseException as error:
        is_cancelled = not isinstance(error, Exception)
        if is_cancelled and not admitted.exchange.client_gone:
            on_passed()
        raise
    if outcome is not None:
        return outcome
    on_passed()
    if trio.current_time() < admitted.limit:
        return _stopped(may_have_run())
    if may_have_run():
        return Unknown(UnknownReason.DEADLINE_PASSED, "the time for the answer is over")
    return NotRun(NotRunReason.DEADLINE, "the time was over before an upstream took it")


def _stopped(may_have_run: bool) -> Outcome:
    """Return the outcome of a request whose time ended since this process stops."""
    message = "this entry stops before there is an answer"
    if may_have_run:
        return Unknown(UnknownReason.STOPPING, message, retry_after=STOPPING_RETRY_AFTER_SECONDS)
    return NotRun(NotRunReason.STOPPING, message, STOPPING_RETRY_AFTER_SECONDS)


def log_deadline(
    context: GatewayContext, admitted: Admitted, waits_for: WaitsFor, instance: str, since: float
) -> None:
    """Log what a request waited for when its deadline passed, or it was cancelled before.

    The line also tells its route, and whether that route or the caller set the deadline.

    Args:
      context: writes the decision log.
      admitted: the request.
      waits_for: what it waited for.
      instance: the upstream that it was at, empty if it was at none.
      since: the start of that wait or the last event, on trio's clock.
    """
    context.log(
        "deadline" if trio.current_time() >= admitted.limit else "interrupted",
        request=admitted.caller.request_id,
        waits_for=str(waits_for),
        instance=instance,
        begun=admitted.exchange.started,
        route=admitted.route.name,
        limit="route" if admitted.is_limited_by_route else "caller",
        timeout_ms=round(admitted.timeout_seconds * 1000),
        waited_ms=round((trio.current_time() - since) * 1000),
    )


def schedule_retry_after(context: GatewayContext, admitted: Admitted, min_seconds: float) -> float:
    """Return the seconds after which a refused caller may retry, by the schedule of its service.

    Args:
      context: holds the schedule.
      admitted: the refused request.
      min_seconds: the smallest value to return.
    """
    remaining = admitted.deadline - trio.current_time()
    max_seconds = max(min_seconds, remaining * MAX_RETRY_AFTER_SHARE)
    schedule = context.return_schedule(admitted.service.name)
    if admitted.service.model is not None and context.admission.is_on(admitted.service.name):
        return schedule.take_ranked_slot(
            admitted.priority, min_seconds, context.admission.jitter(), max_seconds
        )
    return schedule.take_slot(min_seconds, max_seconds)


async def send_request(
    context: GatewayContext,
    admitted: Admitted,
    connection: UpstreamConnection,
    dispatch: Dispatch,
    on_sent: Callable[[], None] = lambda: None,
) -> tuple[UpstreamReply, ReplyFacts]:
    """Send a request to an upstream; return the head of the response and the facts in its headers.

    Args:
      context: provides the dialect that encodes and decodes headers.
      admitted: the request.
      connection: a connection without an earlier call with this request id: an upstream may
        repeat a refusal, which would be taken for the response while it executes the request.
      dispatch: the upstream, and the values that the request's headers carry.
      on_sent: called once the upstream's host has taken the whole request.

    Raises:
      ConnectionLostError: the call failed, or the response belongs to another request.
    """
    caller = admitted.caller
    message = caller.message
    headers = context.dialect.headers_for(caller, dispatch)
    connection.record_call(caller.request_id)
    if caller.request_id == UNNAMED_CALL:
        # A repeated response without an id could be taken for the response to a control message.
        connection.close_after_call()
    accepts_queries = admitted.service.model is not None
    can_be_asked = accepts_queries or bool(admitted.service.health_path)
    context.ends.note_request(connection, can_be_asked)
    sent_at = trio.current_time()
    try:
        reply = await connection.call(
            message.method, message.target, headers, message.body, on_sent
        )
    except ConnectionLostError as failure:
        if failure.kind is FailureKind.LOST:
            context.reachability.note_broken(dispatch.instance, connection.opened_at)
        raise
    facts = context.dialect.facts(reply)
    for _ in range(MAX_REMEMBERED_CALLS):
        if facts.request_id == caller.request_id or not connection.has_recent_call(
            facts.request_id
        ):
            break
        context.count("answer.surplus")
        reply = await connection.next_reply()
        facts = context.dialect.facts(reply)
    if facts.request_id != caller.request_id:
        raise ConnectionLostError(FailureKind.MALFORMED, "the answer is another request's")
    context.reachability.note_answer(dispatch.instance, connection.opened_at)
    if not facts.not_executed:
        context.ends.note_answer(reply)
    origin = NoticeOrigin(sent_at, connection.opened_at)
    context.notices.apply(dispatch.instance, facts.notice, origin)
    return reply, facts


async def check_single_response(reply: UpstreamReply, body: bytes) -> None:
    """Check that a body doesn't contain the start of another response.

    That can happen if only the end of the connection delimits the body, or if bytes follow the body
    on the connection: the start of the other response then filled up the declared length.

    Raises:
      ConnectionLostError: it does, so that the end of the first response is unknown.
    """
    if reply.is_framed and not reply.has_trailing_bytes:
        return
    for count, match in enumerate(_STATUS_LINE.finditer(body), start=1):
        if match[1]:
            raise ConnectionLostError(FailureKind.MALFORMED, "another answer stands in the body")
        if count % LINES_PER_TURN == 0:
            await trio.lowlevel.checkpoint()

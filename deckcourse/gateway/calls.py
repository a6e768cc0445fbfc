"""What plain calls and streams have in common: their time, and how a request is sent."""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from deckcourse.gateway.admitted import Admitted
from deckcourse.gateway.context import GatewayContext
from deckcourse.gateway.dialect import Dispatch, ReplyFacts
from deckcourse.gateway.rate_gate import SendingToken
from deckcourse.http1.client import (
    NAMELESS,
    REMEMBERED_CALLS,
    UpstreamConnection,
    UpstreamReply,
)
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.outcomes import NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = [
    "Withheld",
    "is_withheld",
    "refuse_joined",
    "refuse_quarantined",
    "send_request",
    "time_to_return",
    "within_deadline",
]

# The beginning of an answer, wherever it stands.
_STATUS = re.compile(rb"HTTP/1\.[01] \d{3}")
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})
# Callers wait until a time to come back only where it is no longer than this part of the time that
# they have left; the platform says a third.
HONOURED_SHARE = 0.3


@dataclass(frozen=True)
class Withheld:
    """The request was not sent: the upstream paused, throttled or began to leave meanwhile."""


def is_withheld(context: GatewayContext, token: SendingToken) -> bool:
    """Return whether a request may no longer be sent to the upstream that was chosen for it.

    Opening a connection takes time, in which the upstream may pause, throttle or begin to leave.
    """
    if context.upstreams.accepts(token.instance) and context.rates.may_send(token):
        return False
    context.count("withheld")
    return True


def refuse_quarantined(
    context: GatewayContext, admitted: Admitted, has_run: bool
) -> Outcome | None:
    """Return the refusal of a request that ends the upstreams that run it, None for any other.

    Its next try would end the next upstream, with the streams of everybody else on it.

    Args:
      context: who knows of such requests.
      admitted: the request.
      has_run: whether an upstream may have run it in this attempt.
    """
    until = context.crashes.refused_until(admitted)
    if until is None:
        return None
    message = "upstreams ended under this request"
    if has_run:
        return Unknown(UnknownReason.ENDS_UPSTREAMS, message)
    return NotRun(NotRunReason.ENDS_UPSTREAMS, message, until - trio.current_time())


async def within_deadline(
    admitted: Admitted, tries: Callable[[], Awaitable[Outcome]], may_have_run: Callable[[], bool]
) -> Outcome:
    """Return the outcome of all tries, or that the time was over before.

    Args:
      admitted: the request.
      tries: looks for an upstream until there is an outcome; cancelled at the deadline.
      may_have_run: tells whether an upstream may have run the request so far.
    """
    outcome: Outcome | None = None
    with trio.move_on_at(admitted.deadline):
        outcome = await tries()
    if outcome is not None:
        return outcome
    if may_have_run():
        return Unknown(UnknownReason.DEADLINE_PASSED, "the time for the answer is over")
    return NotRun(NotRunReason.DEADLINE, "the time was over before an upstream took it")


def time_to_return(context: GatewayContext, admitted: Admitted, least: float) -> float:
    """Return when a refused caller may come back, when its turn among the refused comes, seconds.

    Args:
      context: who has the schedule.
      admitted: the request.
      least: no earlier than this, seconds.
    """
    left = admitted.deadline - trio.current_time()
    return context.returns(admitted.service.name).take(least, max(least, left * HONOURED_SHARE))


async def send_request(
    context: GatewayContext, admitted: Admitted, connection: UpstreamConnection, dispatch: Dispatch
) -> tuple[UpstreamReply, ReplyFacts]:
    """Send a request to an upstream; return the head of its answer and what that says.

    Args:
      context: whose dialect is spoken.
      admitted: the request.
      connection: one that had no call with the request's id: an upstream may send a refusal a
        second time, which would else be taken for the answer while it runs the request.
      dispatch: where it goes, and what the upstream is told of it.

    Raises:
      ConnectionLostError: the call failed, or its answer belongs to another request.
    """
    caller = admitted.caller
    message = caller.message
    headers = context.dialect.headers_for(caller, dispatch)
    connection.note_call(caller.request_id)
    if caller.request_id == NAMELESS:
        # A second answer without an id could be taken for the one to a question of the gateway's.
        connection.retire()
    sent_at = trio.current_time()
    reply = await connection.call(message.method, message.target, headers, message.body)
    facts = context.dialect.facts(reply)
    for _ in range(REMEMBERED_CALLS):
        if facts.request_id == caller.request_id or not connection.had_call(facts.request_id):
            break
        context.count("answer.surplus")
        reply = await connection.next_reply()
        facts = context.dialect.facts(reply)
    if facts.request_id != caller.request_id:
        raise ConnectionLostError(FailureKind.MALFORMED, "the answer is another request's")
    context.notices.apply(dispatch.instance, facts.notice, sent_at)
    return reply, facts


def refuse_joined(reply: UpstreamReply, body: bytes) -> None:
    """Check that no other answer stands in a body.

    It may where only the connection's end bounds the body, and where bytes are left behind its
    length: the other answer's beginning took their place.

    Raises:
      ConnectionLostError: one does; where the first one ended nobody knows.
    """
    framed = any(name in _FRAMING for name, _ in reply.headers)
    if (not framed or reply.followed) and _holds_status_line(body):
        raise ConnectionLostError(FailureKind.MALFORMED, "another answer stands in the body")


def _holds_status_line(body: bytes) -> bool:
    # Line by line: a pattern with a line's end begins anew at each status, 1.7 s for 60 KB of them.
    lines = body.splitlines(keepends=True)
    return any(each.endswith(b"\r\n") and _STATUS.search(each) for each in lines)

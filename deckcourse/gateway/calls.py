"""What plain calls and streams have in common: their time, and how a request is sent."""

import re
from collections.abc import Awaitable, Callable

import trio

from deckcourse.gateway.context import Admitted, GatewayContext
from deckcourse.gateway.dialect import Dispatch, ReplyFacts
from deckcourse.http1.client import NAMELESS, UpstreamConnection, UpstreamReply
from deckcourse.http1.message import ConnectionLostError, FailureKind
from deckcourse.outcomes import NotRun, Outcome, Unknown
from deckcourse.reasons import NotRunReason, UnknownReason

__all__ = ["refuse_joined", "send_request", "within_deadline"]

# The first line of an answer, wherever it stands.
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}[^\r\n]*\r\n")
_FRAMING = frozenset({b"content-length", b"transfer-encoding"})


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
    reply = await connection.call(message.method, message.target, headers, message.body)
    facts = context.dialect.facts(reply)
    while facts.request_id != caller.request_id and connection.had_call(facts.request_id):
        context.count("answer.surplus")
        reply = await connection.next_reply()
        facts = context.dialect.facts(reply)
    if facts.request_id != caller.request_id:
        raise ConnectionLostError(FailureKind.MALFORMED, "the answer is another request's")
    return reply, facts


def refuse_joined(reply: UpstreamReply, body: bytes) -> None:
    """Check that no other answer stands in a body that only its connection's end bounds.

    Raises:
      ConnectionLostError: one does; where the first one ended nobody knows.
    """
    framed = any(name in _FRAMING for name, _ in reply.headers)
    if not framed and _STATUS_LINE.search(body):
        raise ConnectionLostError(FailureKind.MALFORMED, "another answer stands in the body")

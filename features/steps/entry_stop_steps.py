"""Steps about the outcomes that an entry gives as it stops."""

import trio
from behave import given, then, when
from entry_stop_world import (
    IDLE_SECONDS,
    arrive_at_end,
    on_a_site,
    play_stop,
    read_at_end,
    send_at_idle_timeout,
)

from deckcourse import asgi


@given("a small site whose entry has {seconds:g} s to stop")
def small_site(context, seconds):
    context.longest_stop = seconds


@given("the entry can accept no connection as it ends")
def no_accept(context):
    context.can_accept = False


@when("the entry is stopped beside these requests")
def stopped_beside(context):
    context.wanted = {row["request"]: row["gets"] for row in context.table}
    context.got, context.stop_seconds = on_a_site(context.longest_stop, play_stop, context.wanted)


@then("each caller gets what the table says")
def gets(context):
    assert context.got == context.wanted, context.got


@then("the entry ends at most {seconds:g} s after it was stopped")
def ends(context, seconds):
    assert context.stop_seconds <= seconds, context.stop_seconds


@when("a caller with {connection} sends a call {after} s after the last request of the stop")
def sends_at_end(context, connection, after):
    seconds, _, late = after.partition(" ")
    context.got, context.stop_seconds = on_a_site(
        context.longest_stop, arrive_at_end, connection, float(seconds), bool(late)
    )


@then("it gets 503 not-run stopping and a close")
def refused(context):
    for answer in context.got:
        head, _, body = answer.lower().partition(b"\r\n\r\n")
        assert head.startswith(b"http/1.1 503") and b"connection: close" in head, context.got
        assert b"deckcourse-outcome: not-run" in head, context.got
        assert b"deckcourse-reason: stopping" in head, context.got
        assert body.endswith(b"}") and not body.endswith(b"{reset}"), context.got


@when("a caller gets an answer of {size:d} bytes and reads it once the entry has ended")
def reads_at_end(context, size):
    context.size = size
    can_accept = getattr(context, "can_accept", True)
    context.got, context.stop_seconds = on_a_site(
        context.longest_stop, read_at_end, size, can_accept
    )


@then("it gets the whole answer of the entry")
def whole(context):
    head, _, body = context.got.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200") and len(body) == context.size, (head, len(body))


@when("{count:d} callers send requests in the turn in which the idle timeout of an entry passes")
def send_as_idle_timeout_passes(context, count):
    usual, asgi.KEEPALIVE_SECONDS = asgi.KEEPALIVE_SECONDS, IDLE_SECONDS
    try:
        context.got = trio.run(send_at_idle_timeout, count)
    finally:
        asgi.KEEPALIVE_SECONDS = usual


@then("each of them gets an answer")
def each_answered(context):
    assert all(each.startswith(b"HTTP/1.1 200") for each in context.got), context.got

"""Steps for writes to a caller that are cancelled before they are complete.

They guard against an interruption of a stream that also cancels a write to its caller. A stream was
detached from its upstream in the scheduler tick in which its first event came: the response head
counted as sent but never was, so that the next upstream's first event went out as a chunk without a
head, which is malformed. The log said

    try-interrupted instance=x1 why=first-silent begun=True torn=True last_event=None

"begun" without a last event shows that the head counted as sent, "torn" that its bytes were not
sent. When an event was cut, the caller read `f, id: 1, d` and then `f, id: 1, data: a` in one
response; when a deadline cut the end, it read the response to its next request after it.
"""

import trio
from behave import given, then, when
from connection_world import BOUNDS, read_until_end, virtually
from gateway_story import expected_events, two_chains
from gateway_world import Got
from interruption_world import (
    HalfWriteStream,
    TriggeredInterruption,
    play_blocked_caller,
    watch_streams,
)

from deckcourse.gateway.active_stream import Interruption
from deckcourse.http1.server import serve_connection

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
GIVEN_UP_SECONDS = 1.0
HEAD = b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"f\r\n" + EVENT + b"\r\n"
# The bytes of each part of a response.
WIRE = {
    "the head": HEAD,
    "an event": CHUNK,
    "the end": b"0\r\n\r\n",
    "a whole answer": b"HTTP/1.1 200 \r\ncontent-length: 15\r\n\r\n" + EVENT,
}
LOGGED_KINDS = ("try-interrupted", "connection-failed")


def trigger_bytes(site, what):
    number = {"the 1st event": 1, "the 2nd event": 2, "the last event": site.events}.get(what)
    return b"0\r\n\r\n" if number is None else f"id: {number}\n".encode()


def ask_with_interruption(site, what):
    """Play one stream that is detached from its first upstream as `what` arrives from it."""
    interruption = TriggeredInterruption(Interruption.FIRST_SILENT)

    async def dial(address):
        transport = await site.network.dial(address)
        return interruption.on(transport, trigger_bytes(site, what))

    async def story(site):
        watch_streams(site, interruption.streams)
        site.got = await site.ask()

    site.dial = dial
    site.got = Got()
    try:
        site.play(story)
    except ExceptionGroup as fault:
        site.note("connection-failed", what=repr(fault.exceptions))
    assert interruption.happened, f"no upstream ever sent {what}"
    return site.got, site.lines


@when("a stream is detached from its upstream in the scheduler tick in which it receives")
def detach_in_a_tick(context):
    context.plays = []
    for row in context.table:
        two_chains(context)
        context.plays.append((row["what"], *ask_with_interruption(context.site, row["what"])))


@then("each time the caller got every event once")
def every_event_once(context):
    wrong = {
        what: (got.status, got.whole, got.body, [each for each in lines if each[0] in LOGGED_KINDS])
        for what, got, lines in context.plays
        if (got.status, got.whole, got.body)
        != (200, True, expected_events(context.site, "r1", context.site.events))
    }
    assert not wrong, wrong


@then("each time the log records the interruption and that no write was torn")
def logged(context):
    for what, _, lines in context.plays:
        logged = [fields for kind, fields in lines if kind == "try-interrupted"]
        # A stream whose end has arrived can no longer be detached.
        assert len(logged) == (what != "its end"), (what, logged)
        assert not any(fields["torn"] for fields in logged), (what, logged)


async def write(exchange, part):
    """Write one part of a response, as `WIRE` lists them."""
    if part == "the head":
        await exchange.start(200, ())
    elif part == "an event":
        await exchange.send(EVENT)
    elif part == "the end":
        await exchange.finish()
    else:
        await exchange.respond(200, (), EVENT)


PARTS_BEFORE = {"an event": ["the head"], "the end": ["the head", "an event"]}


async def read_with(handler, near, far):
    """Serve a connection with two pipelined requests; return all bytes that the caller reads."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, far, handler, lambda: BOUNDS, lambda: False)
        await near.send_all(REQUEST + REQUEST)
        return await read_until_end(near)


@given("a caller whose connection accepts half of a write and then blocks")
def half_write_caller(context):
    context.reads = {}


@when("a handler continues after a write was cancelled, with another request pipelined, in")
def cancel_while_writing(context):
    context.asked = {}
    for row in context.table:
        part = row["part"]
        near, inner = trio.testing.memory_stream_pair()
        far = HalfWriteStream(inner)

        async def handler(request, exchange, part=part, far=far):
            context.asked[part] = context.asked.get(part, 0) + 1
            for earlier in PARTS_BEFORE.get(part, ()):
                await write(exchange, earlier)
            far.is_blocked = True
            with trio.move_on_after(GIVEN_UP_SECONDS):
                await write(exchange, part)
            far.is_blocked = False
            await continue_response(exchange, part)

        context.reads[part] = virtually(lambda: read_with(handler, near, far))  # noqa: B023


async def continue_response(exchange, part):
    """Continue as a handler does that takes a cancelled write for a complete one."""
    if part in ("the head", "an event"):
        await exchange.send(EVENT)
        await exchange.finish()


@then("each time the caller reads the beginning of one response, and then the connection's end")
def beginning_of_one(context):
    before = {"an event": HEAD, "the end": HEAD + CHUNK}
    for part, data in context.reads.items():
        cut = WIRE[part][: len(WIRE[part]) // 2]
        assert data == before.get(part, b"") + cut, (part, data)
        # If the pipelined request ran, it could not be answered.
        assert context.asked[part] == 1, (part, context.asked)


@when("a handler responds with 504 after it was cancelled before it wrote")
def cut_before(context):
    context.reads = {}
    for row in context.table:
        near, far = trio.testing.memory_stream_pair()

        async def handler(request, exchange, part=row["part"]):
            with trio.CancelScope() as scope:
                scope.cancel()
                await write(exchange, part)
            if not exchange.started:
                await exchange.respond(504, (), b"late")

        context.reads[row["part"]] = virtually(lambda: read_with(handler, near, far))  # noqa: B023


@then("each time the caller reads 504 for both its requests")
def reads_504(context):
    for part, data in context.reads.items():
        statuses = [each[:3] for each in data.split(b"HTTP/1.1 ")[1:]]
        assert statuses == [b"504", b"504"], (part, data)


@when(
    "a stream is detached from its upstream while its caller reads half of an event and "
    "then pauses"
)
def detach_while_blocked(context):
    play_blocked_caller(context)
    assert [kind for kind, _ in context.site.lines if kind == "try-interrupted"]


async def end_over_tcp(version, how):
    """Return how a caller's connection ends when its handler returns."""

    async def handler(request, exchange):
        await exchange.start(200, ())
        await exchange.send(EVENT)
        if how == "when it is done":
            await exchange.finish()

    async def serve(stream):
        await serve_connection(stream, handler, lambda: BOUNDS, lambda: False)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        async with await trio.open_tcp_stream("127.0.0.1", port) as caller:
            await caller.send_all(REQUEST.replace(b"HTTP/1.1", f"HTTP/{version}".encode()))
            try:
                await read_until_end(caller)
                end = "closed"
            except trio.BrokenResourceError:
                end = "reset"
        nursery.cancel_scope.cancel()
    return end


@when("a handler returns over TCP")
def return_over_tcp(context):
    context.ends = [
        (row["version"], row["how"], row["end"], trio.run(end_over_tcp, row["version"], row["how"]))
        for row in context.table
    ]


@then("each time the caller's connection ended as expected")
def ended_so(context):
    wrong = [each for each in context.ends if each[2] != each[3]]
    assert not wrong, wrong

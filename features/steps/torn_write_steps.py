"""Steps about writes to a caller that something cuts short.

A stream was taken from its upstream in the tick in which its first event came. The interruption
also cancelled the writing to the caller: the head counted as sent and never left, so the next
upstream's first event went out as a chunk without a head, which is no answer. The log said

    try-interrupted instance=x1 why=first-silent begun=True torn=True last_event=None

"begun" without a last event: the head was taken for sent; "torn": its bytes did not leave. In a cut
event the caller read, in one answer, `f, id: 1, d` and then `f, id: 1, data: a`; and behind an end
that a deadline cut, the answer to its next request.
"""

import trio
from behave import given, then, when
from connection_world import BOUNDS, read_until_end, virtually
from gateway_story import expected_events, two_chains
from gateway_world import Got
from interruption_world import HalfWay, Meeting, ask_held_up, watch_streams

from deckcourse.gateway.active_stream import Interruption
from deckcourse.http1.server import serve_connection

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
EVENT = b"id: 1\ndata: a\n\n"
GIVEN_UP_SECONDS = 1.0
HEAD = b"HTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"f\r\n" + EVENT + b"\r\n"
# Each part of an answer as it goes over the wire.
WIRE = {
    "the head": HEAD,
    "an event": CHUNK,
    "the end": b"0\r\n\r\n",
    "a whole answer": b"HTTP/1.1 200 \r\ncontent-length: 15\r\n\r\n" + EVENT,
}
TOLD = ("try-interrupted", "connection-failed")


def sought_bytes(site, what):
    number = {"the 1st event": 1, "the 2nd event": 2, "the last event": site.events}.get(what)
    return b"0\r\n\r\n" if number is None else f"id: {number}\n".encode()


def ask_with_interruption(site, what):
    """Play one stream whose first upstream brings `what` as the stream is taken from it."""
    meeting = Meeting(Interruption.FIRST_SILENT)

    async def dial(address):
        transport = await site.network.dial(address)
        return meeting.on(transport, sought_bytes(site, what))

    async def story(site):
        watch_streams(site, meeting.streams)
        site.got = await site.ask()

    site.dial = dial
    site.got = Got()
    try:
        site.play(story)
    except ExceptionGroup as fault:
        site.note("connection-failed", what=repr(fault.exceptions))
    assert meeting.happened, f"no upstream ever brought {what}"
    return site.got, site.lines


@when("a stream is detached from its upstream in the scheduler tick in which it receives")
def taken_in_a_tick(context):
    context.plays = []
    for row in context.table:
        two_chains(context)
        context.plays.append((row["what"], *ask_with_interruption(context.site, row["what"])))


@then("each time the caller got every event once")
def every_event_once(context):
    wrong = {
        what: (got.status, got.whole, got.body, [each for each in lines if each[0] in TOLD])
        for what, got, lines in context.plays
        if (got.status, got.whole, got.body)
        != (200, True, expected_events(context.site, "r1", context.site.events))
    }
    assert not wrong, wrong


@then("each time the log records the interruption and that no write was torn")
def told(context):
    for what, _, lines in context.plays:
        told = [fields for kind, fields in lines if kind == "try-interrupted"]
        # A stream whose end is here has nothing left that could be taken away.
        assert len(told) == (what != "its end"), (what, told)
        assert not any(fields["torn"] for fields in told), (what, told)


async def write(exchange, part):
    """Write one part of an answer, as `WIRE` has it."""
    if part == "the head":
        await exchange.start(200, ())
    elif part == "an event":
        await exchange.send(EVENT)
    elif part == "the end":
        await exchange.finish()
    else:
        await exchange.whole(200, (), EVENT)


PARTS_BEFORE = {"an event": ["the head"], "the end": ["the head", "an event"]}


async def read_with(handler, near, far):
    """Serve a connection on which two requests came; return all that the caller reads."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_connection, far, handler, lambda: BOUNDS, lambda: False)
        await near.send_all(REQUEST + REQUEST)
        return await read_until_end(near)


@given("a caller whose connection accepts half of a write and then blocks")
def half_way(context):
    context.reads = {}


@when("a handler continues after a write was cancelled, with another request pipelined, in")
def cut_in_writing(context):
    context.asked = {}
    for row in context.table:
        part = row["part"]
        near, inner = trio.testing.memory_stream_pair()
        far = HalfWay(inner)

        async def handler(request, exchange, part=part, far=far):
            context.asked[part] = context.asked.get(part, 0) + 1
            for earlier in PARTS_BEFORE.get(part, ()):
                await write(exchange, earlier)
            far.stuck = True
            with trio.move_on_after(GIVEN_UP_SECONDS):
                await write(exchange, part)
            far.stuck = False
            await go_on(exchange, part)

        context.reads[part] = virtually(lambda: read_with(handler, near, far))  # noqa: B023


async def go_on(exchange, part):
    """Go on as a handler does that takes what was cut for written."""
    if part in ("the head", "an event"):
        await exchange.send(EVENT)
        await exchange.finish()


@then("each time the caller reads the beginning of one response, and then the connection's end")
def beginning_of_one(context):
    before = {"an event": HEAD, "the end": HEAD + CHUNK}
    for part, data in context.reads.items():
        cut = WIRE[part][: len(WIRE[part]) // 2]
        assert data == before.get(part, b"") + cut, (part, data)
        # The request behind it could run, but not be answered.
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
                await exchange.whole(504, (), b"late")

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
def taken_while_held_up(context):
    ask_held_up(context)
    assert [kind for kind, _ in context.site.lines if kind == "try-interrupted"]


async def end_over_tcp(version, how):
    """Return how a caller's connection ends whose handler leaves off."""

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
def leaves_off(context):
    context.ends = [
        (row["version"], row["how"], row["end"], trio.run(end_over_tcp, row["version"], row["how"]))
        for row in context.table
    ]


@then("each time the caller's connection ended as expected")
def ended_so(context):
    wrong = [each for each in context.ends if each[2] != each[3]]
    assert not wrong, wrong

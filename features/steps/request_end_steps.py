"""Steps about requests without an end and requests in small pieces."""

from functools import partial

import trio
from behave import given, then, when
from connection_world import virtually
from piece_streams import CallerStream, TurnCounter, raw_cell

from deckcourse.gateway.desired import CallerBounds
from deckcourse.http1 import server

BOUNDS = CallerBounds(body_bytes=4 * 1024 * 1024, header_seconds=1.0, idle_seconds=5.0)
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
NAMES = {
    b"{chunked head}": CHUNKED_HEAD,
    b"{long head}": b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000000\r\n\r\n",
    b"{3000000}": b"x" * 3_000_000,
    b"{5000000}": b"x" * 5_000_000,
}
GIVE_UP_SECONDS = 60.0


def raw(text):
    """Return the bytes of a table cell."""
    return raw_cell(text, NAMES)


async def serve(context, stream):
    """Serve a connection while another task takes turns."""
    parser_class = server.h11.Connection
    counter = context.counter = TurnCounter()
    server.h11.Connection = lambda *args, **kwargs: counter.watch(parser_class(*args, **kwargs))
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(counter.run)
            await server.serve_connection(stream, context.handle, lambda: BOUNDS, lambda: True)
            nursery.cancel_scope.cancel()
    finally:
        server.h11.Connection = parser_class


@given("a caller whose request begins with {start} and goes on with {piece} without an end")
def endless_request(context, start, piece):
    context.stream_of = lambda: CallerStream(raw(start), raw(piece))


@given("a caller that sends {count:d} chunks of {size:d} bytes, {pace:d} a second")
def small_chunks(context, count, size, pace):
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    context.whole = b"x" * size * count
    context.stream_of = lambda: CallerStream(CHUNKED_HEAD, chunk, count, pace)


@when("it is served while another task takes turns")
@when("it is served beside another task")
def serve_request(context):
    context.body = None

    async def handle(request, exchange):
        context.body = request.body
        context.body_seconds = trio.current_time() - context.began_at
        await exchange.respond(200, (), b"")

    async def work():
        context.stream = context.stream_of()
        context.began_at = trio.current_time()
        with trio.fail_after(GIVE_UP_SECONDS):
            await serve(context, context.stream)
        context.ended_at = trio.current_time()

    context.handle = handle
    trio.run(work)


@then("it is answered with {status} after at most 80 KiB, with turns of at most {most:d} pieces")
def refused(context, status, most):
    stream = context.stream
    assert stream.answer.startswith(b"HTTP/1.1 " + status.encode()), stream.answer
    assert b"connection: close" in stream.answer.lower(), stream.answer
    assert stream.handed_out_before_answer <= 80 * 1024, stream.handed_out_before_answer
    assert context.counter.longest_turn <= most, context.counter.longest_turn


@then("the connection is closed at most {seconds:g} seconds after the answer")
def closed_after_answer(context, seconds):
    taken = context.ended_at - context.stream.answered_at
    assert taken <= seconds, taken


@then("the handler gets the whole body within {seconds:g} seconds")
def whole_body(context, seconds):
    assert context.body == context.whole, context.stream.answer
    assert context.body_seconds <= seconds, context.body_seconds


@then("a caller that sends {text} and then reads gets {status} over TCP")
def refused_over_tcp(context, text, status):
    async def handle(request, exchange):
        await exchange.respond(200, (), b"")

    async def accept(listener):
        stream = await listener.accept()
        await server.serve_connection(stream, handle, lambda: BOUNDS, lambda: False)

    async def work():
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(accept, listener)
            address = listener.socket.getsockname()
            with trio.fail_after(GIVE_UP_SECONDS):
                caller = await trio.open_tcp_stream(*address)
                await caller.send_all(raw(text))
                # The answer has arrived by now; a reset would come no later.
                await trio.sleep(0.2)
                return await caller.receive_some(4096)

    answer = trio.run(work)
    assert answer.startswith(b"HTTP/1.1 " + status.encode()), answer


class RecordingLane:
    """A lane that grants all time at once."""

    def __init__(self):
        self.seconds = 0.0

    async def wait(self, seconds):
        self.seconds += seconds


@when("a caller sends a request with {count:d} times {field} in its {part}")
def send_fields(context, count, field, part):
    fields = (field.replace("{text}", "x" * 30).encode() + b"\r\n") * count
    in_head, in_trailer = (fields, b"") if part == "head" else (b"", fields)
    request = CHUNKED_HEAD[:-2] + in_head + b"\r\n0\r\n" + in_trailer + b"\r\n"
    context.lane = RecordingLane()

    async def handle(request, exchange):
        await exchange.respond(200, (), b"")

    async def work():
        caller, stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            serve = partial(server.serve_connection, lane=context.lane)
            nursery.start_soon(serve, stream, handle, lambda: BOUNDS, lambda: False)
            await caller.send_all(request)
            context.answer = await caller.receive_some(4096)
            await caller.aclose()

    virtually(work)


@then("it gets {status}, and the lane has {time} for it")
def fields_bounded(context, status, time):
    assert context.answer.startswith(b"HTTP/1.1 " + status.encode()), context.answer
    assert (context.lane.seconds > 0) == (time == "time"), context.lane.seconds


@when("a caller sends a head of {count:d} fields of a byte")
def many_fields(context, count):
    parser_class = server.h11.Connection
    parsers = context.parsers = []

    def make_parser(*args, **kwargs):
        parsers.append(parser_class(*args, **kwargs))
        return parsers[0]

    async def handle(request, exchange):
        await exchange.respond(200, (), b"")

    async def work():
        stream = CallerStream(b"GET / HTTP/1.1\r\nHost: h\r\n", b"a:\r\n", count)
        await server.serve_connection(stream, handle, lambda: BOUNDS, lambda: True)
        return stream.answer

    server.h11.Connection = make_parser
    try:
        context.answer = trio.run(work)
    finally:
        server.h11.Connection = parser_class


@then("it gets {status}, and the parser has seen no whole head")
def refused_unparsed(context, status):
    assert context.answer.startswith(b"HTTP/1.1 " + status.encode()), context.answer
    assert context.parsers[0].their_state is server.h11.IDLE, context.parsers[0].their_state

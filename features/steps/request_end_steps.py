"""Steps about requests without an end and requests in small pieces."""

from functools import partial

import trio
from behave import given, then, when
from connection_world import virtually

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
# What an endless request hands out before its answer.
MAX_HANDED_OUT_BYTES = 1024 * 1024
GIVE_UP_SECONDS = 60.0


def raw(text):
    """Return the bytes of a table cell."""
    data = text.replace("\\r", "\r").replace("\\n", "\n").encode()
    for name, value in NAMES.items():
        data = data.replace(name, value)
    return data


class CallerStream(trio.abc.HalfCloseableStream):
    """The server's end of a connection whose caller sends pieces, as many as fit into a read.

    Args:
      start: sent first.
      piece: sent again and again.
      count: how many pieces there are, None without an end.
      pace: pieces a second that can be sent.
    """

    def __init__(self, start, piece, count=None, pace=1_000_000):
        self._unread = start
        self._piece = piece
        self._count = count
        self._pace = pace
        self._began_at = trio.current_time()
        self._sent_pieces = 0
        self._handed_out = 0
        self.answer = b""
        self.answered_at = None
        self.handed_out_before_answer = 0

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()
        if not self.answer:
            self.handed_out_before_answer = self._handed_out
            self.answered_at = trio.current_time()
        self.answer += data

    async def receive_some(self, max_bytes=None):
        await trio.lowlevel.checkpoint()
        if self._handed_out > MAX_HANDED_OUT_BYTES and self._count is None and not self.answer:
            raise trio.BrokenResourceError("not refused")
        while not self._unread:
            await self._produce(max_bytes)
        data, self._unread = self._unread[:max_bytes], self._unread[max_bytes:]
        self._handed_out += len(data)
        return data

    async def _produce(self, max_bytes):
        if self._count is not None and self._sent_pieces >= self._count:
            if self._sent_pieces > self._count:
                await trio.sleep_forever()
            self._sent_pieces += 1
            self._unread = b"0\r\n\r\n"
            return
        due = int((trio.current_time() - self._began_at) * self._pace) + 1
        wanted = min(due, self._count or due) - self._sent_pieces
        fitting = min(wanted, max_bytes // len(self._piece) + 1)
        if fitting <= 0:
            await trio.sleep(1 / self._pace)
            return
        self._sent_pieces += fitting
        self._unread = self._piece * fitting

    async def wait_send_all_might_not_block(self):
        await trio.lowlevel.checkpoint()

    async def send_eof(self):
        await trio.lowlevel.checkpoint()

    async def aclose(self):
        await trio.lowlevel.checkpoint()


class TurnCounter:
    """Counts the pieces that are parsed between two turns of another task."""

    def __init__(self, make_parser):
        self._make_parser = make_parser
        self.longest_turn = 0
        self._pieces = 0

    def make_parser(self, *args, **kwargs):
        """Return a parser whose events are counted."""
        parser = self._make_parser(*args, **kwargs)
        parse = parser.next_event

        def next_event():
            self._pieces += 1
            return parse()

        parser.next_event = next_event
        return parser

    async def run(self):
        """Take turns until cancelled."""
        while True:
            self.longest_turn = max(self.longest_turn, self._pieces)
            self._pieces = 0
            await trio.lowlevel.checkpoint()


async def serve(context, stream):
    """Serve a connection while another task takes turns."""
    parser_class = server.h11.Connection
    counter = context.counter = TurnCounter(parser_class)
    server.h11.Connection = counter.make_parser
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

"""Steps about messages without an end and messages in small pieces."""

import json
from base64 import b64encode
from collections import Counter
from contextlib import suppress
from itertools import count

import trio
from behave import given, then, when
from gateway_story import two_chains
from gateway_world import GatewayWorld
from piece_streams import CHUNKED_HEAD, PiecesTransport, TurnCounter, raw_cell
from raw_upstream import HEAD, Answer, RawUpstream

from deckcourse.gateway.events import EventReader
from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.message import MAX_BODY_BYTES, READ_BYTES, ConnectionLostError
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import Exchange
from deckcourse.http_client import ReplyLost, http_call, kept_pool
from deckcourse.layers.hosts import Assignment
from deckcourse.peers.frames import Frame, encode_frame
from deckcourse.peers.relay import RelayClient
from deckcourse.platform.runners import RunnerControl
from deckcourse.platform.store import Store

FRAME = encode_frame(Frame((), {}))
NAMES = {
    b"{chunked head}": CHUNKED_HEAD,
    b"{started head}": b"HTTP/1.1 200 OK\r\n",
    b"{nothing}": b"",
    b"{duplicate}": CHUNKED_HEAD + b"5\r\nhello\r\n" * 200 + b"0\r\n\r\n" + CHUNKED_HEAD,
    b"{large chunk}": b"%x\r\n%s\r\n" % (READ_BYTES, b"x" * READ_BYTES),
    b"{100 frames}": b"%x\r\n%s\r\n" % (len(FRAME) * 100, FRAME * 100),
    b"{start of a frame}": b"4\r\n\x00\x10\x00\x00\r\n",
}
GIVE_UP_SECONDS = 60.0


def raw(text):
    """Return the bytes of a table cell."""
    return raw_cell(text, NAMES)


async def read(context, transport, reader):
    """Read an answer, or the one after a duplicate, beside another task; return body or failure."""
    connection = UpstreamConnection("u:1", transport)
    counter = context.counter = TurnCounter()
    counter.watch(connection._h11)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(counter.run)
        try:
            reply = await connection.call(b"GET", b"/", ((b"host", b"h"),), b"")
            if reader == "a duplicate":
                reply = await connection.next_reply()
            return await reply.read_body()
        except ConnectionLostError as failure:
            return failure
        finally:
            nursery.cancel_scope.cancel()


@given("an upstream whose answer begins with {start} and goes on with {piece} without an end")
def endless_answer(context, start, piece):
    context.transport_of = lambda: PiecesTransport(raw(start), raw(piece))


@given("an upstream whose answer begins with {start} and goes on with {piece}, {pace:d} a second")
def trickling_answer(context, start, piece, pace):
    context.transport_of = lambda: PiecesTransport(raw(start), raw(piece), None, pace)


@given("an upstream that answers with {start} and then {count:d} chunks of {size:d} bytes")
def answer_after(context, start, count, size):
    small_chunks(context, count, size, 1_000_000)
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    context.transport_of = lambda: PiecesTransport(raw(start), chunk, count)


@given("an upstream that answers with {count:d} chunks of {size:d} bytes, {pace:d} a second")
def small_chunks(context, count, size, pace):
    chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
    context.whole = b"x" * size * count
    context.transport_of = lambda: PiecesTransport(CHUNKED_HEAD, chunk, count, pace)


@when("it is read as {reader} while another task takes turns")
@when("its answer is read as {reader} beside another task")
def read_answer(context, reader):
    async def work():
        context.transport = context.transport_of()
        began_at = trio.current_time()
        with trio.fail_after(GIVE_UP_SECONDS):
            context.result = await read(context, context.transport, reader)
        context.seconds = trio.current_time() - began_at

    trio.run(work)


@then("it is given up as malformed after at most 64 KiB, with turns of at most {most:d} pieces")
def given_up(context, most):
    assert isinstance(context.result, ConnectionLostError), context.result
    assert context.result.kind == "malformed", context.result
    assert context.transport.handed_out <= 64 * 1024, context.transport.handed_out
    assert context.counter.longest_turn <= most, context.counter.longest_turn


@then("the whole body is read within {seconds:g} seconds")
def whole_body(context, seconds):
    assert context.result == context.whole, context.result
    assert context.seconds <= seconds, context.seconds


class StepCounter(trio.abc.Instrument):
    """Counts the blocks of events that a step of a task parses, and the writes to callers."""

    def __init__(self, context):
        self.longest_step = 0
        self.writes = 0
        self._blocks = 0
        parse, send = EventReader._parse_event, Exchange.send

        def counted_parse(reader, block):
            self._blocks += 1
            return parse(reader, block)

        async def counted_send(exchange, data):
            self.writes += 1
            await send(exchange, data)

        EventReader._parse_event, Exchange.send = counted_parse, counted_send
        context.add_cleanup(setattr, EventReader, "_parse_event", parse)
        context.add_cleanup(setattr, Exchange, "send", send)

    def after_task_step(self, task):
        self.longest_step = max(self.longest_step, self._blocks)
        self._blocks = 0


@given("a first upstream that streams {count:d} times {piece}, {number:d} a chunk")
def streamed_pieces(context, count, piece, number):
    pieces = [raw(piece.replace("{n}", str(each))) for each in range(1, count + 1)]
    if "{n}" not in piece:
        pieces.append(b"id: 1\n\n")
    chunks = [b"".join(pieces[at : at + number]) for at in range(0, len(pieces), number)]
    on_wire = b"".join(Answer("chunked", tuple(chunks)).reads())
    reads = [on_wire[at : at + READ_BYTES] for at in range(0, len(on_wire), READ_BYTES)]
    context.whole = b"".join(pieces)
    two_chains(context)
    RawUpstream(context.site, "x1:1", reads, "stays open")


@when("a caller requests that stream while the parsing is counted")
def stream_counted(context):
    counter = context.counter = StepCounter(context)

    async def story(site):
        trio.lowlevel.add_instrument(counter)
        context.got = await site.ask()

    context.site.play(story)


@then(
    "the caller received exactly these bytes, and a step of a task parsed at most {most:d} of them"
)
def parsed_in_turns(context, most):
    got = context.got
    assert (got.status, got.whole) == (200, True), (got.status, got.whole, context.site.lines)
    assert got.body == context.whole, (len(got.body), len(context.whole))
    assert 0 < context.counter.longest_step <= most, context.counter.longest_step


@then("they were passed on in at most {most:d} writes")
def passed_on_together(context, most):
    assert context.counter.writes <= most, context.counter.writes


class FollowedSource:
    """The state that a source's frames are merged into, and the pool that connects to it."""

    def __init__(self, transport):
        self._transport = transport
        self.versions = {}
        self.merged = 0
        self.longest_step = 0
        self._in_step = 0

    async def acquire(self, address, max_idle_seconds):
        return UpstreamConnection(address, self._transport)

    def merge(self, frame, origin):
        self.merged += 1
        self._in_step += 1
        self.longest_step = max(self.longest_step, self._in_step)

    async def count_steps(self):
        while True:
            self._in_step = 0
            await trio.lowlevel.checkpoint()


@when("that source of frames is followed for {seconds:g} seconds")
def followed(context, seconds):
    async def work():
        source = context.source = FollowedSource(context.transport_of())
        client = RelayClient("a", source, source)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(source.count_steps)
            context.end = None
            with trio.move_on_after(seconds):
                context.end = await client.follow("s:1", lambda is_cut_off: None)
            nursery.cancel_scope.cancel()

    trio.run(work)


@then("a turn merges at most {most:d} of {least:d} or more frames")
def merged_in_turns(context, most, least):
    source = context.source
    assert source.merged >= least, (source.merged, context.end)
    assert source.longest_step <= most, source.longest_step


@then("the source is left as {end}")
def source_left(context, end):
    assert context.end == end, context.end


# The calls that a process makes of its own accord, by their names in the tables.
UPSTREAM = Upstream("i-0", "llm", "u:1", "z0")
QUERIES = {
    "query for its load": lambda pool: RunnerControl(pool).query_load(UPSTREAM),
    "query by health": lambda pool: RunnerControl(pool).probe_health(UPSTREAM, "/health", 0.5),
    "order": lambda pool: RunnerControl(pool).place(UPSTREAM, Assignment("i-0", 0, 4, "copy"), 1),
    "read of a table": lambda pool: Store(pool, "s:1").snapshot("t"),
}


@given("a store whose page of 500 rows and 1 MB comes in {framing}")
def page_of_rows(context, framing):
    value = b64encode(b"x" * 1500).decode()
    rows = [{"tlsKey": f"k{n:04}", "ver": n, "table": "t", "value": value} for n in range(1, 501)]
    page = json.dumps({"rows": rows, "ver": 500}).encode()
    if framing == "one piece":
        head, pieces = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page), [page]
    else:
        size = int(framing.removeprefix("chunks of "))
        parts = [page[at : at + size] for at in range(0, len(page), size)]
        pieces = [b"%x\r\n%s\r\n" % (len(each), each) for each in [*parts, b""]]
        head = CHUNKED_HEAD
    context.transport_of = lambda: PiecesTransport(head + b"".join(pieces), b"", 0)


@when("it gets the {query}")
def queried(context, query):
    async def work():
        async def dial(address):
            transport = context.transport_of()
            transport.max_bytes = 2 * MAX_BODY_BYTES
            return transport

        began_at = trio.current_time()
        with trio.move_on_after(GIVE_UP_SECONDS):
            context.result = await QUERIES[query](ConnectionPool(lambda name: None, dial))
        context.seconds = trio.current_time() - began_at

    trio.run(work)


@then("the query fails as {result} within {seconds:g} seconds")
def query_failed(context, result, seconds):
    assert str(context.result).strip("<").startswith(result), context.result
    assert context.seconds <= seconds, context.seconds


@then("the whole page came within {seconds:g} seconds")
def page_came(context, seconds):
    assert len(context.result.unwrap().rows) == 500, context.result
    assert context.seconds <= seconds, context.seconds


@given("three plain upstreams, the first of which fails each call")
def plain_upstreams(context):
    context.site = GatewayWorld()
    for number, behaviour in enumerate(["foreign", "", ""], start=1):
        runner = context.site.add(f"p{number}", "crm", "x")
        runner.behaviour, runner.work = behaviour, 0.2


@when("{callers:d} callers call them without a pause for {seconds:d} seconds")
def call_them(context, callers, seconds):
    context.statuses = Counter()

    async def story(site):
        async def call_on(caller):
            calls = count()
            while trio.current_time() < ends_at:
                got = await site.ask("once", f"{caller}-{next(calls)}")
                context.statuses[got.status] += 1

        ends_at = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            for caller in range(callers):
                nursery.start_soon(call_on, caller)

    context.site.play(story)


@then("at most {most:d} of {least:d} or more calls fail, and the others share the rest evenly")
def few_fail(context, most, least):
    statuses = context.statuses
    assert statuses.total() >= least, statuses
    assert statuses.total() - statuses[200] <= most, statuses
    served = Counter(each.instance for each in context.site.runs)
    assert abs(served["p2"] - served["p3"]) <= 0.1 * statuses[200], served


@given("a plain upstream whose answer is chunks of a byte without an end")
def plain_endless(context):
    context.site = GatewayWorld()
    context.site.add("p1", "crm", "x")
    chunks = b"1\r\nx\r\n" * 20_000
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    RawUpstream(context.site, "p1:1", [head + chunks], "stays open")


@when("a caller with {remaining:d} ms left calls it")
def call_with(context, remaining):
    async def story(site):
        context.got = await site.ask("once", headers=[("X-Deadline-Ms", str(remaining))])
        context.share = site.node.gateway.context.upstreams.failure_share("p1")

    context.site.play(story)


@then("the caller gets {status:d}, and the upstream counts as failing")
def counts_as_failing(context, status):
    assert context.got.status == status, (context.got, context.site.lines)
    assert context.share > 0.4, context.share


@given("a server whose reply begins with {start} and goes on with {piece} without an end")
def endless_server(context, start, piece):
    async def serve(stream):
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await stream.receive_some()
            await stream.send_all(raw(start))
            while True:
                await stream.send_all(raw(piece) * 100)

    context.serve = serve


@when("it is called with {seconds:d} seconds for the reply")
def call_server(context, seconds):
    async def work():
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listener.socket.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, context.serve, [listener])
            deadline = trio.current_time() + seconds
            context.result = await http_call(
                kept_pool(), "GET", f"http://{host}:{port}/", deadline=deadline
            )
            nursery.cancel_scope.cancel()

    trio.run(work)


@then("the reply is lost as one that does not end")
def reply_lost(context):
    assert isinstance(context.result, ReplyLost), context.result
    assert "does not end" in context.result.message, context.result

"""Steps for messages that wait for room in memory."""

from contextlib import ExitStack

import trio
from behave import given, then, when
from connection_world import virtually
from gateway_runner import StandinRunner
from gateway_story import expected_events
from gateway_world import GATEWAY, KEY, LAYERS, GatewayWorld, default_config
from interruption_world import connect, record_peak

from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.gateway.holder import EndReason
from deckcourse.http1.message import header_value
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import serve_connection
from deckcourse.settings import Duration, LoadSettings, Size

TAKING_SECONDS = 0.1
PART_BYTES = 10_000
# More than a request without a body.
LARGE_BYTES = 1000


class QueuedBodies:
    """A connection to an upstream that reads a body once it has a slot."""

    def __init__(self, transport, context):
        self._transport, self._context = transport, context
        self.receive_some = transport.receive_some
        self.readable, self.is_open = transport.readable, transport.is_open
        self.close = transport.close

    async def send_all(self, data):
        if len(data) > LARGE_BYTES:
            self._context.began.append(data.partition(b"\r\n")[0])
            if not self._context.slots:
                await trio.sleep_forever()
            async with self._context.limiter:
                await trio.sleep(TAKING_SECONDS)
        await self._transport.send_all(data)


async def answer_large(self, run, exchange, answer):
    """Answer with as many bytes as a header tells, in parts."""
    size = int(run.headers["x-answer-bytes"])
    await trio.sleep(TAKING_SECONDS)
    status = 500 if "x-fail" in run.headers else 200
    is_chunked = "x-chunks" in run.headers
    length = () if is_chunked else ((b"content-length", str(size).encode()),)
    await exchange.start(status, (*answer, *length))
    for at in range(0, size, PART_BYTES):
        await exchange.send(b"a" * min(PART_BYTES, size - at))
        if "x-stops" in run.headers:
            await trio.sleep_forever()
    await exchange.finish()
    run.ended = "answered"


@given(
    "a process that may hold {bound:d} bytes, and an upstream that takes {slots:d} bodies at a time"
)
def process_and_upstream(context, bound, slots):
    site = context.site = GatewayWorld()
    site.load = LoadSettings(held_bytes=Size(bound))
    site.config = default_config(limits={"maxHeaderBytes": 16384, "maxBodyBytes": 500000})
    for route in site.config["routes"]:
        route["timeoutMs"] = 20000
    site.add("x1", "llm", "x", 0, LAYERS // 2)
    site.add("x2", "llm", "x", LAYERS // 2, LAYERS)
    runner = site.add("v1", "crm")
    runner.answer = answer_large.__get__(runner, StandinRunner)
    context.slots, context.began, context.peak = slots, [], [0]

    async def dial(address):
        return QueuedBodies(await site.network.dial(address), context)

    site.dial = dial


async def call(site, context, name, body, headers=(), route="once"):
    """Call over a connection of its own that counts; return the response and the seconds."""
    async with trio.open_nursery() as nursery:
        dial, _, _ = await connect(site, nursery)
        got = await site.ask(route, name, headers, body, dial=dial)
        nursery.cancel_scope.cancel()
    context.got[name] = got


@when("{count:d} callers at once send {what} of {size:d} bytes")
def callers_send(context, count, what, size):
    is_answer = "answers" in what
    headers = [("x-answer-bytes", str(size if is_answer else 10))]
    headers += [("x-fail", "1")] if "failing" in what else []
    chunks = "transfer-encoding" if not is_answer else "x-chunks"
    headers += [(chunks, "chunked")] if "chunks" in what else []
    context.got, context.answer_bytes = {}, size if is_answer else 10
    context.status = 500 if "failing" in what else 200

    async def story(site):
        context.limiter = trio.CapacityLimiter(context.slots)
        record_peak(site, context.peak)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                body = b"b" if is_answer else b"b" * size
                nursery.start_soon(call, site, context, f"r{number}", body, headers)
        context.total = site.node.held.total

    context.count = count
    context.site.play(story)


@then("each of them is answered, each request ran once, and at most {most:d} bytes were held")
def all_answered(context, most):
    ends = [(each.status, each.whole, len(each.body)) for each in context.got.values()]
    assert ends == [(context.status, True, context.answer_bytes)] * context.count, ends
    runs = sorted(each.request for each in context.site.runs)
    assert runs == sorted(context.got), runs
    assert not [each for each in context.site.lines if each[0] == "connection-ended"]
    assert max(context.peak) <= most, max(context.peak)
    assert context.total == 0, context.total


@when("{count:d} streams at once begin with bodies of {size:d} bytes")
def streams_begin(context, count, size):
    context.got = {}

    async def story(site):
        context.limiter = trio.CapacityLimiter(context.slots)
        record_peak(site, context.peak)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(call, site, context, f"r{number}", b"b" * size, (), "stream")
        context.total = site.node.held.total

    context.count = count
    context.site.play(story)


@then("each stream is whole, and at most {most:d} bytes were held")
def streams_whole(context, most):
    assert len(context.got) == context.count
    for name, got in context.got.items():
        assert got.whole and got.body == expected_events(context.site, name, 20), (name, got)
    assert max(context.peak) <= most and context.total == 0, (max(context.peak), context.total)


def head_of(name, size, seconds):
    """Return the headers of a request."""
    return (
        (b"host", b"h.example"),
        (b"x-request-id", name.encode()),
        (b"x-deadline-ms", b"%d" % (seconds * 1000)),
        (b"authorization", f"Token {KEY}".encode()),
        (b"content-length", b"%d" % size),
        (b"x-answer-bytes", b"10"),
    )


@when(
    "{count:d} callers at once send bodies of {size:d} bytes with {seconds:d} seconds, and one a "
    "small one later"
)
def send_kept(context, count, size, seconds):
    context.replies, context.second = [], []

    async def kept_call(site, number):
        async with trio.open_nursery() as nursery:
            dial, _, _ = await connect(site, nursery)
            connection = await ConnectionPool(lambda what: None, dial).acquire(GATEWAY)
            for name, sent in ((f"r{number}", size), (f"s{number}", 10)):
                began_at = trio.current_time()
                headers = head_of(name, sent, seconds)
                reply = await connection.call(b"POST", b"/once/a", headers, b"b" * sent)
                await reply.read_body()
                took = round(trio.current_time() - began_at, 1)
                retry_after = float(header_value(reply.headers, b"retry-after") or 0)
                context.replies.append((name, reply.status, retry_after, took))
                if reply.status != 503 or not connection.is_reusable():
                    break
                connection.park()
            nursery.cancel_scope.cancel()

    async def story(site):
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(kept_call, site, number)

    context.site.play(story)


@then(
    "{count:d} of them get 503 with a time to come back after {seconds:d} seconds, and no upstream "
    "saw them"
)
def refused(context, count, seconds):
    refused = [each for each in context.replies if each[1] == 503]
    assert len(refused) == count, context.replies
    assert all(each[2] > 0 and each[3] == seconds for each in refused), refused
    assert len(context.began) == 2, context.began
    assert {each.request for each in context.site.runs} == {"s" + each[0][1:] for each in refused}


@then("their connections take another request")
def kept(context):
    later = [each for each in context.replies if each[0].startswith("s")]
    assert len(later) == 4 and all(each[1] == 200 for each in later), later


@when(
    "{count:d} callers send a byte a second of bodies of {size:d} bytes with {seconds:d} seconds, "
    "and another a body after {pause:g} seconds"
)
def send_slowly(context, count, size, seconds, pause):
    context.got, context.statuses = {}, []

    async def slow_call(site, number):
        near, far = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_slow, site, far)
            headers = b"".join(
                b"%s: %s\r\n" % each for each in head_of(f"r{number}", size, seconds)
            )
            await near.send_all(b"POST /once/a HTTP/1.1\r\n" + headers + b"\r\n")
            with trio.move_on_after(10):
                nursery.start_soon(trickle, near)
                data = await near.receive_some(4096)
                context.statuses.append(data.partition(b"\r\n")[0].split()[1])
            nursery.cancel_scope.cancel()

    async def serve_slow(site, far):
        with site.node.held.connection() as meter:
            handle, limits = site.node.gateway.handle, lambda: site.node.bounds
            await serve_connection(far, handle, limits, lambda: False, None, meter)

    async def trickle(near):
        while True:
            await near.send_all(b"b")
            await trio.sleep(1)

    async def story(site):
        context.limiter = trio.CapacityLimiter(context.slots)
        async with trio.open_nursery() as watching:
            watching.start_soon(site.node.watch_readers)
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(slow_call, site, number)
                # Nobody waits for their room at the end of their time.
                await trio.sleep(pause)
                await call(site, context, "r9", b"b" * size, [("x-answer-bytes", "10")])
            watching.cancel_scope.cancel()

    context.site.play(story)


@then("that one is served within {seconds:g} seconds, and they get 408")
def served_meanwhile(context, seconds):
    got = context.got["r9"]
    assert got.status == 200 and got.seconds <= seconds, got
    assert context.statuses == [b"408", b"408"], context.statuses


@when(
    "{stopped:d} answers of {size:d} bytes stop after {part:d}, and {count:d} answers of "
    "{later_size:d} bytes come later"
)
def answers_stop(context, stopped, size, part, count, later_size):
    context.got = {}
    assert part == PART_BYTES

    async def story(site):
        with trio.move_on_after(5):
            async with trio.open_nursery() as nursery:
                for number in range(stopped):
                    headers = [("x-answer-bytes", str(size)), ("x-stops", "1")]
                    nursery.start_soon(call, site, context, f"s{number}", b"b", headers)
                await trio.sleep(0.5)
                for number in range(count):
                    headers = [("x-answer-bytes", str(later_size))]
                    nursery.start_soon(call, site, context, f"r{number}", b"b", headers)

    context.site.play(story)


@then("the later ones are served within a second")
def later_served(context):
    ends = [(each.status, each.whole, each.seconds < 1) for each in context.got.values()]
    assert ends == [(200, True, True)] * 6, ends


@when("one of two responses that wait to grow belongs to a connection that is ended")
def ended_while_waiting(context):
    async def grow(holder):
        holder.note_response(60_000)
        await holder.wait_for_response_room(None, 4_000_000)

    async def wait_until_ended(held, ended, may_grow):
        with held.connection() as holder:
            ended.append(holder)
            await grow(holder)
            await may_grow.wait()
            await grow(holder)

    async def story():
        settings = LoadSettings(held_bytes=Size(600_000), reader_timeout=Duration(0.5))
        held = HeldBytes(lambda: settings, lambda *_: None, lambda *_: None, lambda *_, **__: None)
        ended, may_grow = [], trio.Event()
        with held.connection() as filler, held.connection() as first, held.connection() as third:
            filler.note_body_waiting(160_000)
            await grow(first)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait_until_ended, held, ended, may_grow)
                await trio.testing.wait_all_tasks_blocked()
                await grow(first)
                may_grow.set()
                await trio.testing.wait_all_tasks_blocked()
                filler.note_body_waiting(600_000)
                held._end(ended[0], EndReason.CALLER_SLOW, 1.0)
                first.note_response_end()
            with trio.move_on_after(1) as scope:
                await grow(third)
                await grow(third)
            context.is_stuck = scope.cancelled_caught

    virtually(story)


@then("a third one still gets room")
def third_gets_room(context):
    assert not context.is_stuck


@given("connections with unread answers of {sizes} bytes")
def unread_answers(context, sizes):
    context.unread = [int(each) for each in sizes.replace(" and ", ", ").split(", ")]


@given("one that holds {size:d} bytes and waits for its answer")
def awaits_answer(context, size):
    context.awaiting = size


@when("all of these exceed the bound of {bound:d} bytes")
def exceed(context, bound):
    async def story():
        settings, context.lines = LoadSettings(held_bytes=Size(bound)), []

        def log(decision, /, **fields):
            context.lines.append((decision, fields))

        held = HeldBytes(lambda: settings, lambda *_: None, lambda *_: None, log)
        with ExitStack() as stack:
            waiting = stack.enter_context(held.connection())
            waiting.note_request("r0")
            waiting.note_handed_on()
            waiting.note_body_waiting(context.awaiting)
            holders = [stack.enter_context(held.connection()) for _ in context.unread]
            for holder, size in zip(holders, context.unread, strict=True):
                holder.note_request(f"r{size}")
                holder.note_handed_on()
                holder.note_writing(size)
            ended = zip(holders, context.unread, strict=True)
            context.ended = [size for holder, size in ended if holder.end_reason is not None]
            context.is_waiting_ended = waiting.end_reason is not None

    trio.run(story)


@then("only the connections with {sizes} unread bytes are ended, and the log names their requests")
def only_these_ended(context, sizes):
    sizes = [] if sizes == "no" else [int(sizes)]
    assert context.ended == sizes and not context.is_waiting_ended, context.ended
    lines = [("connection-ended", "held-bytes", f"r{size}", True) for size in sizes]
    assert lines == [
        (decision, fields["reason"], fields["request"], fields["handed_on"])
        for decision, fields in context.lines
    ], context.lines

"""Steps about connections, the decision log, the metrics and the store client."""

import json
import os
import re
from dataclasses import replace
from functools import partial

import trio
from behave import given, then, when
from connection_world import BOUNDS, read_until_end, virtually
from returns.result import Failure, Success

from deckcourse.decision_log import MAX_BURST_LINES, DecisionLog
from deckcourse.gateway.desired import CallerBounds
from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.idle_connections import IdleConnections
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http1.server import serve_connection
from deckcourse.metrics import RegistryCounters
from deckcourse.platform.store import Store
from deckcourse.table import Committed, Conflict, TableFailure, Write


def raw(text):
    """Return the bytes of a table cell; {N} stands for N characters."""
    data = text.replace("\\r", "\r").replace("\\n", "\n")
    for size in (2000, 3000):
        data = data.replace(f"{{{size}}}", "x" * size)
    return data.encode()


async def echo(request, exchange):
    await exchange.respond(200, (), request.target + b" " + request.body)


@when("a client writes {text}")
def sender_writes(context, text):
    async def work():
        client_stream, server_stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connection, server_stream, echo, lambda: BOUNDS, lambda: False)
            await client_stream.send_all(raw(text))
            context.read = await read_until_end(client_stream)

    virtually(work)


@when(
    "the limits triple after {seconds:g} second on a connection that {state}, and a client "
    "writes {text}"
)
def limits_change(context, seconds, state, text):
    limits = BOUNDS

    async def work():
        nonlocal limits
        client_stream, server_stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_connection, server_stream, echo, lambda: limits, lambda: False)
            if state != "was never used":
                await client_stream.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            await trio.sleep(seconds)
            limits = replace(
                limits, header_bytes=3 * limits.header_bytes, body_bytes=3 * limits.body_bytes
            )
            await trio.sleep(seconds)
            await client_stream.send_all(raw(text))
            context.read = await read_until_end(client_stream)

    virtually(work)


@when("a server that closes its connections is sent {text}")
def sender_writes_at_stop(context, text):
    async def echo_late(request, exchange):
        await trio.sleep(1)
        await echo(request, exchange)

    async def work():
        client_stream, server_stream = trio.testing.memory_stream_pair()
        idle_connections = IdleConnections()
        idle_connections.close_served()
        serve = partial(serve_connection, idle_connections=idle_connections)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, server_stream, echo_late, lambda: BOUNDS, lambda: True)
            for part in text.split("{later}"):
                await client_stream.send_all(raw(part))
                await trio.sleep(0.5)
            context.read = await read_until_end(client_stream)

    virtually(work)


@then("only the last answer announces the close")
def last_answer_closes(context):
    closes = [b"connection: close" in each for each in context.read.split(b"HTTP/1.1 ")[1:]]
    assert closes == [False] * (len(closes) - 1) + [True], context.read


@then("it reads {answers}")
def reads(context, answers):
    answers = raw(answers).decode()
    result = []
    for part in context.read.split(b"HTTP/1.1 ")[1:]:
        head, _, body = part.partition(b"\r\n\r\n")
        result.append(f"{head[:3].decode()} {body.decode()}".strip())
    assert ", ".join(result) == answers, context.read


@when("an idle connection {state} and the server {does} after 1 second")
def idle_connection(context, state, does):
    request = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
    limits = BOUNDS

    async def act(idle_connections):
        nonlocal limits
        await trio.sleep(1)
        if idle := re.search(r"idle for (\d+) s", does):
            limits = replace(limits, idle_seconds=float(idle[1]))
        if "drains" in does:
            idle_connections.close_served()
        if "ends" in does:
            idle_connections.close_all()

    async def ask(client_stream):
        if asks := re.fullmatch(r"asks after (\d+) seconds", state):
            await trio.sleep(int(asks[1]))
        if state != "was never used":
            await client_stream.send_all(request)

    async def work():
        client_stream, server_stream = trio.testing.memory_stream_pair()
        idle_connections = IdleConnections()
        started = trio.current_time()
        serve = partial(serve_connection, idle_connections=idle_connections)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, server_stream, echo, lambda: limits, lambda: False)
            nursery.start_soon(act, idle_connections)
            nursery.start_soon(ask, client_stream)
            context.read = await read_until_end(client_stream)
            context.seconds = trio.current_time() - started

    virtually(work)


@then("it is closed after {seconds:g} seconds, with {count:d} answers")
def idle_connection_closes(context, seconds, count):
    assert abs(context.seconds - seconds) < 0.01, context.seconds
    assert context.read.count(b"HTTP/1.1 200") == count, context.read


@then("a stream whose handler returns early ends without its last chunk")
def response_is_cut_off(context):
    async def stop_early(request, exchange):
        await exchange.start(200, ())
        await exchange.send(b"half")

    async def work():
        client_stream, server_stream = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve_connection, server_stream, stop_early, lambda: BOUNDS, lambda: False
            )
            await client_stream.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            return await read_until_end(client_stream)

    data = virtually(work)
    assert data.endswith(b"4\r\nhalf\r\n") and not data.endswith(b"0\r\n\r\n"), data


class ScriptedTransport:
    """An upstream that answers with given bytes, then stays silent or closes."""

    def __init__(self, data):
        self.data, _, end = data.partition(b"{end}")
        self.ends = b"{end}" in data
        self.closed = False

    async def send_all(self, data):
        await trio.sleep(0)

    async def receive_some(self, most):
        data, self.data = self.data, b""
        if not data and not self.ends:
            await trio.sleep_forever()
        return data

    def readable(self):
        return bool(self.data)

    def is_open(self):
        return not self.closed

    def close(self):
        self.closed = True


@given("an upstream that writes {text}")
def upstream_writes(context, text):
    context.transport = ScriptedTransport(raw(text))


@then("the call ends as {end} and the connection is {kept}")
def call_ends(context, end, kept):
    async def work():
        pool = ConnectionPool(lambda what: None)
        connection = UpstreamConnection("u:1", context.transport)
        try:
            reply = await connection.call(b"GET", b"/", ((b"host", b"h"),), b"")
            result = f"{reply.status} {(await reply.read_body()).decode()}".strip()
        except ConnectionLostError as lost:
            connection.abort()
            return str(lost.kind)
        pool.release(connection)
        return result

    result = virtually(work)
    assert result == end, result
    assert context.transport.closed == (kept == "closed"), result


@then(
    "{count:d} simultaneous decisions write at most {most:d} lines, and the next entry reports "
    "what was dropped"
)
def log_is_bounded(context, count, most):
    reader, writer = os.pipe()
    now = [0.0]
    log = DecisionLog("n", writer, lambda: now[0])
    log.start()
    try:
        for number in range(count):
            log.log("decided", request=str(number))
        lines = read_lines(reader)
        assert most == MAX_BURST_LINES and len(lines) <= most, len(lines)
        left_out = count - len(lines)
        assert log.dropped_lines == {"decided": left_out}
        now[0] = 1.0
        log.log("later")
        summary, later = read_lines(reader)
        assert summary["left_out"] == {"decided": left_out} and later["message_type"] == "later"
    finally:
        log.stop()
        os.close(reader)
        os.close(writer)


def read_lines(reader):
    os.set_blocking(reader, False)
    data = b""
    try:
        while part := os.read(reader, 1 << 20):
            data += part
    except BlockingIOError:
        pass
    return [json.loads(line) for line in data.splitlines()]


@then("with a stalled reader no call blocks, and complete lines follow once it reads")
def log_never_blocks(context):
    reader, writer = os.pipe()
    now = [0.0]
    log = DecisionLog("n", writer, lambda: now[0])
    log.start()
    try:
        for _ in range(400):
            now[0] += 1.0
            log.log("decided", text="x" * 1000)
        assert log.dropped_lines["decided"] > 100
        first = len(read_lines_partly(reader))
        log.log("later")
        assert first > 10
        assert read_lines(reader)[-1]["message_type"] == "later"
    finally:
        log.stop()
        os.close(reader)
        os.close(writer)


def read_lines_partly(reader):
    """Read the available bytes; the last line may be incomplete and continue in the next read."""
    data = os.read(reader, 1 << 20)
    complete, _, _ = data.rpartition(b"\n")
    return complete.splitlines()


@then("the text contains the counters and durations")
def metrics_text(context):
    counters = RegistryCounters()
    counters.count("refused.no-route")
    counters.timing("first-event", 0.04)
    text = counters.text().decode()
    assert 'deckcourse_events_total{name="refused.no-route"} 1.0' in text, text
    assert 'deckcourse_seconds_bucket{le="0.05",name="first-event"} 1.0' in text, text


@given("a store that answers {status:d} with {body}")
def store_answers(context, status, body):
    context.store_answer = (status, body.encode())


@then("a {call} gives {result}")
def store_gives(context, call, result):
    status, body = context.store_answer

    async def answer(request, exchange):
        if status == 0:
            await trio.sleep_forever()
        await exchange.respond(status, (), body)

    async def work():
        async with trio.open_nursery() as nursery:
            network = MemoryNetwork(nursery, CallerBounds)
            network.listen("s:1", answer)
            store = Store(ConnectionPool(lambda what: None, network.dial), "s:1")
            if call == "read":
                outcome = await store.read(["t/k"])
            elif call == "feed":
                outcome = await store.changes("t", 3, 1.0)
            else:
                outcome = await store.transact([Write("t/k", b"x", 4)])
            nursery.cancel_scope.cancel()
        return outcome

    assert describe(virtually(work)) == result, virtually(work)


def describe(outcome):
    match outcome:
        case Success((None,)):
            return "nothing"
        case Success((row,)):
            return f"{row.value.decode()} at {row.version}"
        case Success(Committed((version,))):
            return f"version {version}"
        case Success(Conflict(("t/k",))):
            return "conflict"
        case Failure(TableFailure.UNAVAILABLE):
            return "unavailable"
        case Failure(TableFailure.UNKNOWN):
            return "unknown"
        case Success(changes) if not changes.complete:
            return "incomplete"
    return repr(outcome)

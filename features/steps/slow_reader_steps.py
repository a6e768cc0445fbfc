"""Steps for callers and upstreams that read slowly."""

import trio
from behave import then, when
from connection_world import BOUNDS, read_until_end
from gateway_runner import EVENT_SECONDS, StandinRunner
from gateway_story import expected_events, two_chains
from gateway_world import GatewayWorld
from interruption_world import connect, record_peak

from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.http1.server import serve_connection
from deckcourse.settings import Duration, LoadSettings, Size

EVENTS = 300
PAUSE_SECONDS = 0.5
TAIL_BYTES = 10


@when(
    "one caller of four, which may take {timeout:g} seconds for an event, stops reading for "
    "{seconds:g}"
)
def stops_reading(context, timeout, seconds):
    two_chains(context)
    context.site.events, context.got = EVENTS, {}
    context.site.load = LoadSettings(reader_timeout=Duration(timeout))

    async def ask(site, name, dial=None):
        context.got[name] = await site.ask(name=name, dial=dial)

    async def story(site):
        async with trio.open_nursery() as watching:
            watching.start_soon(site.node.watch_readers)
            async with trio.open_nursery() as nursery:
                dial, far, ended_at = await connect(site, nursery)
                for each in (("o1",), ("o2",), ("o3",), ("slow", dial)):
                    nursery.start_soon(ask, site, *each)
                await trio.sleep(10.5 * EVENT_SECONDS)
                far.is_blocked, blocked_at = True, trio.current_time()
                with trio.move_on_after(seconds):
                    while not ended_at:
                        await trio.sleep(0.01)
                context.seconds = trio.current_time() - blocked_at
                far.unblock()
            watching.cancel_scope.cancel()

    context.site.play(story)


@then("after {seconds:g} seconds its stream has {end}, and the others got each event in time")
def stream_ended(context, seconds, end):
    is_cancelled = end == "been cancelled"
    assert seconds <= context.seconds <= seconds + 0.15, context.seconds
    (run,) = [each for each in context.site.runs if each.request == "slow"]
    assert (run.ended == "cancelled") == is_cancelled != context.got.pop("slow").whole, run
    assert not is_cancelled or len(run.events) <= 12 + seconds / EVENT_SECONDS, run
    assert context.site.counters.counts.get("unknown.caller-slow", 0) == is_cancelled
    for name, got in context.got.items():
        assert got.body == expected_events(context.site, name, EVENTS), got
        assert got.max_pause <= EVENT_SECONDS + 0.005, got.max_pause


async def end_over_tcp(reads, timeout):
    """Return how a caller's connection ends, which reads at once or after all events."""
    settings = LoadSettings(reader_timeout=Duration(timeout))
    held = HeldBytes(lambda: settings, lambda *_: None, lambda *_: None, lambda *_, **__: None)

    async def handler(request, exchange):
        await exchange.start(200, ())
        for _ in range(200):
            await exchange.send(b"x" * 40)
            await trio.sleep(0.005)
        await exchange.finish()

    async def serve(stream):
        with held.connection() as meter:
            await serve_connection(stream, handler, lambda: BOUNDS, lambda: False, None, meter)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(held.run)
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        socket = trio.socket.socket()
        # The smallest buffer, as on a device that is short of memory.
        socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 2048)
        await socket.connect(("127.0.0.1", listeners[0].socket.getsockname()[1]))
        caller = trio.SocketStream(socket)
        await caller.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        await trio.sleep(0 if reads else 1.0)
        try:
            end = "whole" if (await read_until_end(caller)).endswith(b"0\r\n\r\n") else "cut"
        except trio.BrokenResourceError:
            end = "reset"
        nursery.cancel_scope.cancel()
    return end


@when("callers over TCP may take {timeout:g} seconds for an event")
def tcp_callers(context, timeout):
    context.ends = [trio.run(end_over_tcp, reads, timeout) for reads in (True, False)]


@then("one that reads gets the whole response, and one that reads nothing a reset")
def tcp_ended(context):
    assert context.ends == ["whole", "reset"], context.ends


async def answer_slowly(self, run, exchange, answer):
    """Answer with as many bytes as the call's name tells, the last ones after a pause."""
    length = (b"content-length", run.request.encode())
    await exchange.start(200, (*answer, length))
    await exchange.send(b"a" * (int(run.request) - TAIL_BYTES))
    await trio.sleep(PAUSE_SECONDS)
    await exchange.send(b"a" * TAIL_BYTES)
    await exchange.finish()


@when("a process that may hold {bound:d} bytes gets calls whose {what} take {sizes}")
def calls_come(context, bound, what, sizes):
    site = context.site = GatewayWorld()
    site.load = LoadSettings(held_bytes=Size(bound))
    context.bound, context.peak = bound, []
    runner, context.served = site.add("v1", "crm"), []

    async def slow_dial(address):
        await trio.sleep(PAUSE_SECONDS)
        return await site.network.dial(address)

    if what == "bodies":
        site.dial = slow_dial
    else:
        runner.answer = answer_slowly.__get__(runner, StandinRunner)

    async def call(size):
        async with trio.open_nursery() as nursery:
            dial, _, _ = await connect(site, nursery)
            body = b"b" * (size if what == "bodies" else 1)
            if (await site.ask("again", str(size), body=body, dial=dial)).status == 200:
                context.served.append(size)
            nursery.cancel_scope.cancel()

    async def story(site):
        record_peak(site, context.peak)
        async with trio.open_nursery() as nursery:
            for size in sizes.replace(" and ", ", ").split(", "):
                nursery.start_soon(call, int(size))
        context.total = site.node.held.total

    site.play(story)


@then("calls {served} are served, and nothing is held in the end")
def calls_served(context, served):
    assert sorted(context.served) == [int(each) for each in served.split()], context.served
    ended = [fields for kind, fields in context.site.lines if kind == "connection-ended"]
    assert [each["reason"] for each in ended] == ["held-bytes"] * (3 - len(context.served)), ended
    # One message more than the bound, since one that comes alone is read whatever its size.
    assert not context.bound or max(context.peak) <= context.bound + 4000, max(context.peak)
    assert context.total == 0, context.total


@when(
    "a process whose callers may take {timeout:g} second is paused for {pause:g} with a write "
    "under way"
)
def paused_process(context, timeout, pause):
    clock, context.ended = trio.testing.MockClock(rate=0.0, autojump_threshold=0), []

    async def story():
        settings = LoadSettings(reader_timeout=Duration(timeout))
        held = HeldBytes(lambda: settings, lambda *_: None, lambda *_: None, lambda *_, **__: None)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(held.run)
            with held.connection() as holder:
                holder.attach(lambda: 0)
                holder.note_writing(100)
                await trio.sleep(timeout / 2)
                clock.jump(pause)
                for seconds in (timeout / 2, timeout):
                    with trio.CancelScope(shield=True):
                        await trio.sleep(seconds)
                    context.ended.append(holder.end_reason is not None)
            nursery.cancel_scope.cancel()

    trio.run(story, clock=clock)


@then("the caller is not ended on waking, but a second later if it still takes nothing")
def not_on_waking(context):
    assert context.ended == [False, True], context.ended


async def check_beside_closed_connection():
    """Check readers while a connection is closed and still registered."""
    settings = LoadSettings(reader_timeout=Duration(0.4))
    held = HeldBytes(lambda: settings, lambda *_: None, lambda *_: None, lambda *_, **__: None)

    async def handler(request, exchange):
        await exchange.start(200, ())
        await exchange.send(b"x" * 40)

    async def serve(stream):
        with held.connection() as meter:
            await serve_connection(stream, handler, lambda: BOUNDS, lambda: False, None, meter)
            await trio.sleep(0.2)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        caller = await trio.open_tcp_stream("127.0.0.1", listeners[0].socket.getsockname()[1])
        await caller.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        with trio.move_on_after(0.3):
            await held.run()
        nursery.cancel_scope.cancel()


@when("a caller leaves with a write under way while readers are checked")
def check_readers(context):
    context.error = None
    try:
        trio.run(check_beside_closed_connection)
    except* ValueError as error:
        context.error = error


@then("the check of readers goes on")
def readers_checked(context):
    assert context.error is None, context.error

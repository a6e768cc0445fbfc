"""Steps for callers and upstreams that read slowly."""

import trio
from behave import given, then, when
from connection_world import BOUNDS, read_until_end
from gateway_runner import EVENT_SECONDS, StandinRunner
from gateway_story import expected_events, two_chains
from gateway_world import Got
from interruption_world import HalfWriteStream, NearEnd

from deckcourse.gateway.held_bytes import HeldBytes
from deckcourse.http1.server import serve_connection
from deckcourse.settings import Duration, LoadSettings, Size

LONG_ANSWER = 200
BLOCKED_AFTER_EVENTS = 10.5
# How late an event may be on the virtual clock, which stands still while code runs.
EVENT_TOLERANCE_SECONDS = 0.005
# Bodies end after this time, and upstreams begin to read.
PAUSE_SECONDS = 0.5
BODY_TAIL = 10


@given("two chains of runners with long answers")
def long_answers(context):
    two_chains(context)
    context.site.events = LONG_ANSWER


@given("two chains of runners and a plain service")
def with_service(context):
    two_chains(context)
    context.site.add("v1", "crm")


@given("callers may take {seconds:g} seconds for an event")
def reader_timeout(context, seconds):
    context.site.load = LoadSettings(reader_timeout=Duration(seconds))


@given("the process may hold {count:d} bytes")
def bound(context, count):
    context.site.load = LoadSettings(held_bytes=Size(count))


class BlockableCaller:
    """A caller's connection that stops taking bytes while it is told to."""

    def __init__(self, site, nursery):
        near, inner = trio.testing.memory_stream_pair()
        self.far, self._near, self.ended_at = HalfWriteStream(inner), near, None
        nursery.start_soon(self._serve, site)

    async def _serve(self, site):
        with site.node.held.connection() as meter:
            await serve_connection(
                self.far, site.node.gateway.handle, lambda: site.node.bounds, lambda: False,
                None, meter,
            )  # fmt: skip
        self.ended_at = trio.current_time()

    async def dial(self, address):
        return NearEnd(self._near)


def run_of(site, name):
    return next(each for each in site.runs if each.request == name)


@when("a caller stops reading within an event while three others read")
def stops_reading(context):
    async def story(site):
        async def other(number):
            await trio.sleep(number * EVENT_SECONDS / 3)
            context.others[f"o{number}"] = await site.ask(name=f"o{number}")

        async def stop_reading(caller):
            await trio.sleep(BLOCKED_AFTER_EVENTS * EVENT_SECONDS)
            caller.far.is_blocked = True
            blocked_at = trio.current_time()
            with trio.move_on_after(3.0):
                while caller.ended_at is None:
                    await trio.sleep(0.01)
            context.seconds = trio.current_time() - blocked_at
            await trio.sleep(0.5)
            context.events_run = len(run_of(site, "r1").events)
            caller.far.unblock()

        context.others = {}
        async with trio.open_nursery() as watching:
            watching.start_soon(site.node.watch_readers)
            async with trio.open_nursery() as nursery:
                caller = BlockableCaller(site, nursery)
                for number in range(3):
                    nursery.start_soon(other, number)
                nursery.start_soon(lambda: site.ask(name="r1", dial=caller.dial))
                nursery.start_soon(stop_reading, caller)
            watching.cancel_scope.cancel()
        context.site = site

    context.site.play(story)


@then("its stream runs for {seconds:g} seconds after that, and its upstream's work {ends}")
def runs_for(context, seconds, ends):
    assert abs(context.seconds - seconds) <= 0.15, context.seconds
    if ends == "is cancelled":
        # Half a second later it has no more events than at the end.
        most = BLOCKED_AFTER_EVENTS + (context.seconds + 0.1) / EVENT_SECONDS
        assert run_of(context.site, "r1").ended == "cancelled"
        assert context.events_run <= most, (context.events_run, most)
        assert context.site.counters.counts["unknown.caller-slow"] == 1
    else:
        assert run_of(context.site, "r1").ended == "answered"


@then("each of the others gets every event, none of them late")
def others_on_time(context):
    assert len(context.others) == 3
    for name, got in context.others.items():
        assert got.whole and got.body == expected_events(context.site, name, LONG_ANSWER), name
        assert got.max_pause <= EVENT_SECONDS + EVENT_TOLERANCE_SECONDS, got.max_pause


def ended(context, reason):
    lines = [fields for kind, fields in context.site.lines if kind == "connection-ended"]
    return [each for each in lines if each["reason"] == reason]


@then("the log tells that {count:d} connection was ended for {reason}")
def log_tells(context, count, reason):
    assert len(ended(context, reason)) == count, context.site.lines


@when("a caller stops reading for {seconds:g} seconds, three times")
def pauses(context, seconds):
    async def story(site):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.node.watch_readers)
            caller = BlockableCaller(site, nursery)

            async def block():
                for _ in range(3):
                    await trio.sleep(BLOCKED_AFTER_EVENTS * EVENT_SECONDS)
                    caller.far.is_blocked = True
                    await trio.sleep(seconds)
                    caller.far.unblock()
                    caller.far._unblocked = trio.Event()

            nursery.start_soon(block)
            context.got = await site.ask(dial=caller.dial)
            nursery.cancel_scope.cancel()

    context.site.play(story)


@then("it gets every event")
def every_event(context):
    assert context.got.whole, context.got
    assert context.got.body == expected_events(context.site, "r1", LONG_ANSWER)


async def over_tcp(reads, size, interval, timeout):
    """Return how a TCP caller's connection ends: "whole", or "reset" before the last event."""
    settings = LoadSettings(reader_timeout=Duration(timeout))
    held = HeldBytes(lambda: settings, lambda *_: None, lambda *_: None, lambda *_, **__: None)

    async def handler(request, exchange):
        await exchange.start(200, ())
        for _ in range(round(1.0 / interval)):
            await exchange.send(b"x" * size)
            await trio.sleep(interval)
        await exchange.finish()

    async def serve(stream):
        with held.connection() as meter:
            await serve_connection(stream, handler, lambda: BOUNDS, lambda: False, None, meter)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(held.run)
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        socket = trio.socket.socket()
        # A caller with the smallest buffer, as on a device that is short of memory.
        socket.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, 2048)
        await socket.connect(("127.0.0.1", listeners[0].socket.getsockname()[1]))
        caller = trio.SocketStream(socket)
        await caller.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        if not reads:
            await trio.sleep(0.9)
        try:
            whole = (await read_until_end(caller)).endswith(b"0\r\n\r\n")
            end = "whole" if whole else "cut"
        except trio.BrokenResourceError:
            end = "reset"
        nursery.cancel_scope.cancel()
    return end


@when(
    "a caller over TCP, with events of {size:d} bytes each {interval:d} ms and a timeout of "
    "{timeout:g} seconds, <does>"
)
def tcp_callers(context, size, interval, timeout):
    context.ends = [
        (row["does"], row["end"],
         trio.run(over_tcp, row["does"] == "reads", size, interval / 1000, timeout))
        for row in context.table
    ]  # fmt: skip


@then("each time its connection ends as expected")
def tcp_ended(context):
    wrong = [each for each in context.ends if each[1] != each[2]]
    assert not wrong, wrong


class SlowTransport:
    """A connection whose upstream reads nothing for some time."""

    def __init__(self, inner):
        self._inner = inner
        self.receive_some, self.readable, self.close = (
            inner.receive_some, inner.readable, inner.close,
        )  # fmt: skip

    async def send_all(self, data):
        await trio.sleep(PAUSE_SECONDS)
        await self._inner.send_all(data)


class SlowCaller(NearEnd):
    """A caller's connection that sends the last bytes of a body after a pause."""

    async def send_all(self, data):
        await self._send(data[:-BODY_TAIL])
        await trio.sleep(PAUSE_SECONDS)
        await self._send(data[-BODY_TAIL:])

    def __init__(self, stream):
        super().__init__(stream)
        self._send, self.send_all = self.send_all, self.__class__.send_all.__get__(self)


async def ask_plain(context, site, name, body, slow_caller=False):
    async with trio.open_nursery() as nursery:
        caller = BlockableCaller(site, nursery)

        async def dial(address):
            return (SlowCaller if slow_caller else NearEnd)(caller._near)

        try:
            context.got[name] = await site.ask("again", name, body=body, dial=dial)
        except trio.BrokenResourceError:
            context.got[name] = Got()
        nursery.cancel_scope.cancel()


@when("callers' bodies of 3000, 4000 and 2500 bytes {where}")
def bodies(context, where):
    context.got = {}
    slow_caller = "have come" in where

    async def story(site):
        if not slow_caller:

            async def dial(address):
                return SlowTransport(await site.network.dial(address))

            site.dial = dial
        async with trio.open_nursery() as nursery:
            for size in (3000, 4000, 2500):
                body = b"b" * size
                nursery.start_soon(ask_plain, context, site, str(size), body, slow_caller)
                await trio.sleep(0.01)
        context.total = site.node.held.total

    context.site.play(story)


@then("the one of 4000 bytes is ended for held-bytes, and the others are served")
def largest_ended(context):
    assert {name for name, got in context.got.items() if got.status == 200} == {"3000", "2500"}
    (line,) = ended(context, "held-bytes")
    assert 3900 <= line["held"] <= 4200, line


@when("two callers ask for answers of 6000 bytes, which come in two parts")
def long_answers_of_service(context):
    context.got = {}

    async def answer(self, run, exchange, answer):
        await exchange.start(200, (*answer, (b"content-length", b"6000")))
        await exchange.send(b"a" * 5000)
        await trio.sleep(PAUSE_SECONDS)
        await exchange.send(b"a" * 1000)
        await exchange.finish()

    async def story(site):
        for runner in site.runners.values():
            runner.answer = answer.__get__(runner, StandinRunner)
        async with trio.open_nursery() as nursery:
            for name in ("first", "second"):
                nursery.start_soon(ask_plain, context, site, name, b"{}")
                await trio.sleep(0.01)
        context.total = site.node.held.total

    context.site.play(story)


@then("one of them is ended for held-bytes, and the other is served")
def one_ended(context):
    assert sorted(got.status for got in context.got.values()) == [0, 200], context.got
    assert len(ended(context, "held-bytes")) == 1


@then("all of them are served")
def all_served(context):
    assert {got.status for got in context.got.values()} == {200}, context.got


@then("nothing is held in the end")
def nothing_held(context):
    assert context.total == 0, context.total

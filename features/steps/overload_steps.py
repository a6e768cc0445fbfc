"""Steps about a process that is out of processor time."""

import socket

import trio
from behave import then, when
from connection_world import virtually

from deckcourse.decisions.concurrency_limit import ConcurrencyLimit
from deckcourse.gateway.overload import OverloadWatch
from deckcourse.gateway.unread_closes import UnreadCloses
from deckcourse.http1.idle_connections import CloseReason
from deckcourse.listener import Listener
from deckcourse.loop_monitor import LoopMonitor, LoopSample

TURN_PERIOD_SECONDS = 0.01
TURNS = 100


class Clock:
    """A clock that is set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def sample_of(busy_seconds):
    """Return the sample of a loop that is busy for some seconds in each period."""
    clock = Clock()
    monitor = LoopMonitor(clock)
    for _ in range(TURNS):
        clock.now += busy_seconds
        monitor.before_io_wait(0.0)
        clock.now += TURN_PERIOD_SECONDS - busy_seconds
        monitor.after_io_wait(0.0)
    return monitor.sample()


@when("the event loop is busy for some of every 10 milliseconds")
def measure_loop(context):
    context.samples = [
        (sample_of(float(row["busy"]) / 1000), float(row["busy"]) / 1000, float(row["share"]))
        for row in context.table
    ]


@then("each sample tells the share and the length of a turn")
def check_samples(context):
    for sample, turn, share in context.samples:
        assert abs(sample.busy_share - share) < 1e-6, sample
        assert abs(sample.mean_turn - turn) < 1e-6, sample
        assert abs(sample.longest_turn - turn) < 1e-6, sample


@when(
    "samples of the event loop are busy for {first:g}, then {count:d} times for {high:g},"
    " then {last:d} times for {low:g} of the time"
)
def note_samples(context, first, count, high, last, low):
    lines = context.lines = []
    noted = []
    watch = OverloadWatch(
        lambda: 3,
        lambda name: None,
        lambda name, seconds: None,
        lambda name, value: None,
        lambda kind, **fields: lines.append((len(noted), kind)),
    )

    async def work():
        for busy in [first, *[high] * count, *[low] * last]:
            noted.append(busy)
            watch.note(LoopSample(busy, 0.001, 0.002))

    virtually(work)


@then('the log says "{first}" after the {at:d}th and "{second}" after the {then_at:d}th sample')
def check_lines(context, first, at, second, then_at):
    assert context.lines == [(at, first), (then_at, second)], context.lines


@when("{count:d} clients connect while the event loop is busy")
def connect_clients(context, count):
    async def work():
        with Listener("127.0.0.1:0", 64) as listener:
            address = listener.address
            clients = [socket.create_connection(address) for _ in range(count)]
            context.first_accepted = await listener.accept()
            clients.append(socket.create_connection(address))
            context.later_accepted = await listener.accept()
            for each in (*clients, *context.first_accepted, *context.later_accepted):
                each.close()

    context.count = count
    trio.run(work)


@then("one turn accepts all of them, and later ones are accepted as they come")
def check_accepted(context):
    assert len(context.first_accepted) == context.count, len(context.first_accepted)
    assert len(context.later_accepted) == 1, len(context.later_accepted)


@when("a process with {requests:d} requests in flight has samples of the event loop {samples}")
def note_given_samples(context, requests, samples):
    turned_away = context.turned_away = []
    watch = context.watch = OverloadWatch(
        lambda: requests,
        turned_away.append,
        lambda name, seconds: None,
        lambda name, value: None,
        lambda kind, **fields: None,
    )

    async def work():
        watch.admit_connection()
        for each in samples.split():
            busy, turn = (float(number) for number in each.split("/"))
            watch.note(LoopSample(busy, turn / 1000, turn / 1000))
            await trio.sleep(0.1)
        await trio.sleep(1.0)
        context.admitted = sum(watch.admit_connection() for _ in range(20))

    virtually(work)


@then("{admitted:d} of 20 connections that come at once are admitted")
def check_admitted(context, admitted):
    assert context.admitted == admitted, context.admitted
    assert context.turned_away == ["connection.turned-away"] * (20 - admitted)


@when(
    "{requests:d} requests are in flight, the event loop is overloaded for {overloaded:g} seconds"
    " and has little room for {room:g}"
)
def play_overload(context, requests, overloaded, room):
    limit = ConcurrencyLimit()
    context.bounds = []
    for tick in range(round((overloaded + room) * 10)):
        now = tick / 10
        is_overloaded = now < overloaded
        sample = LoopSample(1.0, 0.02, 0.03) if is_overloaded else LoopSample(0.8, 0.001, 0.002)
        limit.note(sample, requests, now)
        context.bounds.append(limit.limit)


@then("the bound falls below {low:d} and then rises above {high:d}")
def check_bounds(context, low, high):
    lowest = min(each for each in context.bounds if each is not None)
    assert lowest < low, context.bounds
    assert context.bounds[-1] > high, context.bounds


@when(
    '{count:d} connections are closed unread for "{reason}",'
    " {asked:d} of them with a request in the socket"
)
def close_unread(context, count, reason, asked):
    context.closes, context.counted = [], []

    async def work():
        closes = UnreadCloses(
            context.counted.append, lambda kind, **fields: context.closes.append((kind, fields))
        )
        with Listener("127.0.0.1:0", 64) as listener:
            clients = [socket.create_connection(listener.address) for _ in range(count)]
            for each in clients[:asked]:
                each.sendall(b"GET / HTTP/1.1\r\n\r\n")
            for number, each in enumerate(await listener.accept()):
                accepted = trio.socket.from_stdlib_socket(each)
                closes.note(CloseReason(reason), accepted, number / 100)
                accepted.close()
            closes.report()
            closes.report()
            for each in clients:
                each.close()

    trio.run(work)


@then(
    'one line of the log tells the reason "{reason}", {count:d} connections,'
    " {asked:d} with something to read and {named:d} clients"
)
def check_closes(context, reason, count, asked, named):
    assert context.counted == [f"connection.closed-{reason}"] * count, context.counted
    ((kind, fields),) = context.closes
    assert kind == "connections-closed" and fields["reason"] == reason, context.closes
    assert (fields["count"], fields["readable"]) == (count, asked), fields
    assert len(fields["clients"]) == named, fields
    assert fields["longest_wait_ms"] == 10 * (count - 1), fields

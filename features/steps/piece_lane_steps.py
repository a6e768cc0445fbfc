"""Steps about the lane that messages in small pieces share."""

import statistics
import time
from contextlib import suppress

import trio
from behave import then, when
from piece_streams import CHUNKED_HEAD, PiecesTransport

from deckcourse.http1.client import UpstreamConnection
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.pieces import PieceLane

BYTE_CHUNK = b"1\r\nx\r\n"
# The upstreams begin before what is measured, so that their paid pieces are used up.
BEGIN_SECONDS = 0.5
TICK_SECONDS = 0.005
ANSWER_BYTES = 800
ANSWER_CHUNK_BYTES = 10
# How long one message is read, by a reader that waits and by one that gives up.
READ_SECONDS = 1.0


class Endless(PiecesTransport):
    """Sends chunks of a byte for as long as they are read."""

    def __init__(self):
        super().__init__(CHUNKED_HEAD, BYTE_CHUNK, count=10**9)


async def ask(connection):
    """Send a request; return the head of the answer."""
    return await connection.call(b"GET", b"/", ((b"host", b"h"),), b"")


async def read_on(lane):
    """Read answers without an end, one after the other."""
    while True:
        with suppress(ConnectionLostError):
            await (await ask(UpstreamConnection("u:1", Endless(), lane))).read_body()


async def measure_lateness(late):
    """Record by how much a task that sleeps is late."""
    while True:
        due = trio.current_time() + TICK_SECONDS
        await trio.sleep_until(due)
        late.append(trio.current_time() - due)


@when(
    "{count:d} connections of a pool read chunks of a byte without an end for {seconds:g} seconds"
)
def read_endless(context, count, seconds):
    context.late = []

    async def work():
        lane = PieceLane()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(read_on, lane)
            await trio.sleep(BEGIN_SECONDS)
            nursery.start_soon(measure_lateness, context.late)
            began_at, used = trio.current_time(), time.thread_time()
            chunk = b"%x\r\n%s\r\n" % (ANSWER_CHUNK_BYTES, b"x" * ANSWER_CHUNK_BYTES)
            chunk_count = ANSWER_BYTES // ANSWER_CHUNK_BYTES
            transport = PiecesTransport(CHUNKED_HEAD, chunk, chunk_count)
            reply = await ask(UpstreamConnection("u:2", transport, lane))
            context.body = await reply.read_body()
            context.answer_seconds = trio.current_time() - began_at
            await trio.sleep_until(began_at + seconds)
            context.share = (time.thread_time() - used) / (trio.current_time() - began_at)
            nursery.cancel_scope.cancel()

    trio.run(work)


@then(
    "they use at most half of a processor, and another task is late by at most {most:d}"
    " milliseconds in the median"
)
def others_run(context, most):
    assert context.share <= 0.5, context.share
    assert statistics.median(context.late) <= most / 1000, statistics.median(context.late)


@then("an answer of 800 bytes in 80 chunks is read within {seconds:g} seconds meanwhile")
def sound_answer(context, seconds):
    assert context.body == b"x" * ANSWER_BYTES, context.body
    assert context.answer_seconds <= seconds, context.answer_seconds


@then("the next message of a connection waits for nothing")
def next_message(context):
    async def work():
        # Leaves less than a turn of unpaid pieces behind.
        connection = UpstreamConnection("u:1", PiecesTransport(CHUNKED_HEAD, BYTE_CHUNK, 300))
        await (await ask(connection)).read_body()
        connection.park()
        connection._transport = PiecesTransport(CHUNKED_HEAD, BYTE_CHUNK, 1)
        connection._lane._free_at = trio.current_time() + 60.0
        with trio.fail_after(1.0):
            await (await ask(connection)).read_body()

    trio.run(work)


async def count_read(patience):
    """Return the bytes of an endless answer read by one who gives up each wait after a time."""
    transport = Endless()
    reply = await ask(UpstreamConnection("u:1", transport))
    read = 0
    with trio.move_on_after(READ_SECONDS), suppress(ConnectionLostError):
        while True:
            with trio.move_on_after(patience):
                read += len(await reply.next_data())
    return read


@then("a wait that ends each millisecond reads no more than one that goes on")
def giving_up(context):
    waiting = trio.run(count_read, float("inf"))
    impatient = trio.run(count_read, 0.001)
    assert impatient <= 1.5 * waiting, (impatient, waiting)

"""Steps for what other connections to an address show about the process there."""

from contextlib import suppress
from functools import partial

import trio
from behave import then
from connection_world import virtually

from deckcourse.gateway.sibling_connections import SiblingConnections
from deckcourse.http1.message import ConnectionLostError
from deckcourse.http1.pool import ConnectionPool

ANSWER = b"HTTP/1.1 200 OK\r\n\r\nanswer"


class Endpoint:
    """A transport whose other end closes at a time, and may answer right before."""

    def __init__(self, closes_at=float("inf"), answers=False, readable_at=float("inf")):
        self.closes_at = closes_at
        self.answers = answers
        self.readable_at = readable_at

    async def send_all(self, data):
        await trio.lowlevel.checkpoint()

    async def receive_some(self, max_bytes):
        await trio.sleep_until(self.closes_at)
        data, self.answers = (ANSWER if self.answers else b""), False
        return data

    def is_open(self):
        return trio.current_time() < self.closes_at

    def readable(self):
        return not self.is_open() or trio.current_time() >= self.readable_at

    def close(self):
        self.closes_at = 0.0


async def shown(what):
    """Return whether the connection beside an answered one shows that the process goes on."""
    closes_at = trio.current_time() + 3.0
    closes = []

    async def dial(address):
        return Endpoint(*closes.pop(0))

    pool = ConnectionPool(lambda what: None, dial)
    siblings = SiblingConnections(pool, lambda what: None)

    async def open_one(at=float("inf"), answers=False, readable_at=float("inf")):
        closes.append((at, answers, readable_at))
        return await pool.open("a:1")

    other = second = None
    if what == "was closed before it was opened":
        other = await open_one(closes_at - 2.5)
    if what == "was quiet for long":
        other = await open_one()
    await trio.sleep(2.0)
    answered = await open_one(closes_at)
    if what == "was open with it and stays open":
        other = await open_one()
    elif what == "closes with it":
        other = await open_one(closes_at)
    elif what == "closes 20 ms later":
        other = await open_one(closes_at + 0.02)
    elif what == "closes 0.2 s later":
        # The packet with its close is lost, and sent again.
        other = await open_one(closes_at + 0.2)
    elif what == "is one of two, and the other one closes":
        other, second = await open_one(), await open_one(closes_at + 0.005)
    elif what == "closes 0.2 s after another one":
        other, second = await open_one(closes_at + 0.2), await open_one(closes_at + 0.005)
    elif what == "answers 0.1 s after another one closes":
        other, second = await open_one(closes_at + 0.1, True), await open_one(closes_at + 0.005)
    elif what == "has answered just before":
        other, second = await open_one(closes_at, True), await open_one(closes_at + 0.005)
    elif what == "has an answer unread, and then closes":
        # It came with the close of the answered one, and is read when this process gets to it.
        other = await open_one(closes_at + 0.1, True, closes_at)
        second = await open_one(closes_at + 0.005)
    elif what == "this process has closed":
        other = await open_one()
    siblings.note_unframed_answer(answered)
    async with trio.open_nursery() as nursery:
        if "answer" in what:
            nursery.start_soon(call, other)
        await trio.sleep_until(closes_at)
        result = await end_of(what, siblings, open_one, answered, other)
        nursery.cancel_scope.cancel()
    del second
    return result


async def call(connection):
    """Make a call whose answer may be cut."""
    with suppress(ConnectionLostError):
        await connection.call(b"GET", b"/", ((b"host", b"h"),), b"")


async def end_of(what, siblings, open_one, answered, other):
    """Return what the other connection shows at the end of the answered one."""
    if what == "was opened after its close":
        other = await open_one()
        siblings.note_request(other)
    if what == "this process has closed":
        other.abort()
    return await siblings.outlive(answered)


@then("another connection that {what} shows that the process goes on: {shows}")
def other_connection(context, what, shows):
    assert virtually(partial(shown, what)) == (shows == "yes")

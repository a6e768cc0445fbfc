"""Steps for what other connections to an address show about the process there."""

from functools import partial

import trio
from behave import then
from connection_world import virtually

from deckcourse.gateway.sibling_connections import SiblingConnections
from deckcourse.http1.client import ConnectionPool


class Endpoint:
    """A transport whose other end closes at a time."""

    def __init__(self, closes_at=float("inf")):
        self.closes_at = closes_at

    async def receive_some(self, max_bytes):
        await trio.sleep_until(self.closes_at)
        return b""

    def is_open(self):
        return trio.current_time() < self.closes_at

    def readable(self):
        return not self.is_open()

    def close(self):
        self.closes_at = 0.0


async def shown(what):
    """Return whether the connection beside an answered one shows that the process goes on."""
    closes_at = trio.current_time() + 6.0
    closes = []

    async def dial(address):
        return Endpoint(closes.pop(0))

    pool = ConnectionPool(lambda what: None, dial)
    siblings = SiblingConnections(pool, lambda what: None)

    async def open_one(at=float("inf")):
        closes.append(at)
        return await pool.open("a:1")

    other = second = None
    if what == "was closed before it was opened":
        other = await open_one(closes_at - 5.0)
        await trio.sleep(1.5)
    if what == "was quiet for long before the request":
        other = await open_one()
        await trio.sleep(4.0)
    answered = await open_one(closes_at)
    if what == "was open with it and stays open":
        other = await open_one()
    elif what == "closes with it":
        other = await open_one(closes_at)
    elif what == "closes 20 ms later":
        other = await open_one(closes_at + 0.02)
    elif what == "is one of two, and the other one closes":
        other, second = await open_one(), await open_one(closes_at + 0.005)
    elif what == "closes 0.2 s after another one":
        other, second = await open_one(closes_at + 0.2), await open_one(closes_at + 0.005)
    elif what == "this process has closed":
        other = await open_one()
    requested_at = trio.current_time()
    siblings.note_unframed_answer(answered)
    await trio.sleep_until(closes_at)
    if what == "was opened after its close":
        other = await open_one()
        siblings.note_request(other)
    if what == "this process has closed":
        other.abort()
    result = await siblings.outlive(answered, requested_at)
    del other, second
    return result


@then("another connection that {what} shows that the process goes on: {shows}")
def other_connection(context, what, shows):
    assert virtually(partial(shown, what)) == (shows == "yes")

"""Clients on loopback whose first of two calls is answered after the client gave it up."""

import socket
from contextlib import aclosing
from dataclasses import replace
from functools import partial
from itertools import count

import msgspec
import trio
from returns.result import Success

from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http_client import HttpReply, http_call, kept_pool
from deckcourse.peer_link import Digest, Exchange, PynngLink, PynngListener
from deckcourse.platform.runners import RunnerControl
from deckcourse.platform.store import Store
from deckcourse.table import Write

# Delay of the response to the first call: longer than any deadline here.
LATE_SECONDS = 1.2
DIGEST = Digest("peer", "", "1", "entry", "hall-a", 0, True)


def answer_bytes(body):
    return b"HTTP/1.1 200 \r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def answer_late(numbers, stream):
    """Answer each call with its sequence number, the first one late."""
    async with stream:
        while await stream.receive_some():
            number = next(numbers)
            if number == 1:
                await trio.sleep(LATE_SECONDS)
            fields = {"ver": number, "sequence": number, "running": 0, "queued": 0}
            await stream.send_all(answer_bytes(msgspec.json.encode(fields)))


async def ask_store(address):
    """Yield the version that each of two transactions was given."""
    store = Store(ConnectionPool(lambda name: None), address)
    for _ in range(2):
        yield (await store.transact([Write("t/k", b"v", None)])).map(lambda each: each.versions[0])


async def ask_runner(address):
    control = RunnerControl(ConnectionPool(lambda name: None))
    runner = Upstream("runner-1", "s", address, "hall-a")
    for _ in range(2):
        yield Success(await control.order_count(runner))


async def ask_kept(address):
    pool = kept_pool()
    for _ in range(2):
        deadline = trio.current_time() + LATE_SECONDS / 2
        reply = await http_call(pool, "GET", f"http://{address}/", deadline=deadline)
        whole = isinstance(reply, HttpReply)
        yield Success(msgspec.json.decode(reply.body)["ver"] if whole else None)


async def ask_peer(address):
    link = PynngLink(address, LATE_SECONDS / 2)
    for _ in range(2):
        reply = await link.exchange(Exchange(DIGEST))
        yield Success(None if reply is None else reply.digest.version)
    link.close()


CLIENTS = {
    "the store": ask_store,
    "a runner's control": ask_runner,
    "a kept HTTP client": ask_kept,
    "a link to a peer": ask_peer,
}


async def answer_peer(numbers, message):
    """Answer a peer with its message's sequence number as the version, the first one late."""
    number = next(numbers)
    if number == 1:
        await trio.sleep(LATE_SECONDS)
    return Exchange(replace(DIGEST, version=number))


async def give_up_once(client):
    """Return the results of a client's two calls, and how often it asked.

    There is time for the late response between the calls. A client whose process was paused at the
    timeout asks once more within a call, since the response may wait unread in its socket.
    """
    numbers = count(1)
    got = []
    async with trio.open_nursery() as nursery:
        if client == "a link to a peer":
            with socket.create_server(("127.0.0.1", 0)) as free:
                port = free.getsockname()[1]
            nursery.start_soon(
                PynngListener(f"127.0.0.1:{port}").run, partial(answer_peer, numbers)
            )
        else:
            listeners = await nursery.start(trio.serve_tcp, partial(answer_late, numbers), 0)
            port = listeners[0].socket.getsockname()[1]
        async with aclosing(CLIENTS[client](f"127.0.0.1:{port}")) as answers:
            async for answer in answers:
                got.append(answer.value_or(None))
                await trio.sleep(LATE_SECONDS)
        nursery.cancel_scope.cancel()
    return got, next(numbers) - 1

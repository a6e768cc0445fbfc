"""Steps for answers whose status is a number that HTTP doesn't have."""

import trio
from behave import given, then, when
from gateway_story import two_chains
from gateway_world import GatewayWorld
from partition_world import Cut, PartitionWorld
from piece_streams import PiecesTransport
from raw_upstream import Answer, RawUpstream

from deckcourse.gateway.handover import KIND_HEADER, ReplyKind
from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.pool import ConnectionPool
from deckcourse.http_client import http_call, kept_pool
from deckcourse.peers.handover_message import HANDOVER_PATH
from deckcourse.platform.runners import RunnerControl
from deckcourse.platform.store import Store
from deckcourse.table import Write

BODY = b"not an answer"
ADDRESSES = {"fragile": "x1:1", "once": "p1:1", "again": "p1:1"}
PEER_STATUS = 999
UPSTREAM = Upstream("i-0", "llm", "u:1", "z0")


def answer_with(status, framing, extra=b""):
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: r1\r\nX-Response-Seal: seal-r1\r\n".encode()
    return Answer(framing, (BODY,), head=head + extra)


def site_for(context, route, count=1):
    """Make a site for requests of a route, with one or two plain upstreams for a plain one."""
    context.route = route
    if route == "fragile":
        two_chains(context)
        return
    context.site = GatewayWorld()
    for number in range(1, count + 1):
        context.site.add(f"p{number}", "crm", "xy"[number - 1])


def use_answer(context, answer):
    address = ADDRESSES[context.route]
    context.raw = RawUpstream(context.site, address, answer.reads(), answer.end)


@given("an upstream whose answer to a {route} request has the status {status}, {framing}")
def odd_answer(context, route, status, framing):
    site_for(context, route)
    use_answer(context, answer_with(status, framing))


@given("an upstream whose refusal of a {route} request has the status {status}")
def odd_refusal(context, route, status):
    site_for(context, route)
    use_answer(context, answer_with(status, "sized", b"X-Not-Executed: 1\r\n"))


@given("two upstreams, the first of which answers an {route} request with the status {status}")
def odd_first(context, route, status):
    site_for(context, route, 2)
    use_answer(context, answer_with(status, "sized"))


@when("a caller asks for it")
def asks(context):
    async def story(site):
        context.got = await site.ask(context.route)

    context.site.play(story)


@then("the caller gets 502, not that answer")
def bad_gateway(context):
    assert context.raw.asked, "the odd answer was not given"
    assert context.got.status == 502, context.got.status
    assert BODY not in context.got.body


@then("the caller gets 200 from the other one")
def served_elsewhere(context):
    assert context.got.status == 200, context.got.status
    assert BODY not in context.got.body


@given("a server whose answers have the status {status}")
def odd_server(context, status):
    context.status = status
    context.answer = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()


async def call_httpcore(answer):
    async def serve(stream):
        await stream.receive_some(4096)
        await stream.send_all(answer)

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, serve, 0)
        port = listeners[0].socket.getsockname()[1]
        async with kept_pool() as pool:
            reply = await http_call(pool, "GET", f"http://127.0.0.1:{port}/")
        nursery.cancel_scope.cancel()
    return reply


def query(call):
    """Return a function that makes a call over connections which get the given answer."""

    async def ask(answer):
        async def dial(address):
            return PiecesTransport(answer, b"", 0)

        return await call(ConnectionPool(lambda name: None, dial))

    return ask


QUERIES = {
    "health probe": query(lambda pool: RunnerControl(pool).probe_health(UPSTREAM, "/health", 0.5)),
    "query for its load": query(lambda pool: RunnerControl(pool).query_load(UPSTREAM)),
    "read of the store": query(lambda pool: Store(pool, "s:1").snapshot("t")),
    "write to the store": query(lambda pool: Store(pool, "s:1").transact([Write("t/k", b"x", 4)])),
    "call over httpcore": call_httpcore,
}


@then("the {what} to it fails as {result}")
def query_fails(context, what, result):
    found = trio.run(QUERIES[what], context.answer)
    assert result.lower() in repr(found).lower(), found


@given("a partitioned process whose peers answer with the status 999")
def odd_peers(context):
    context.site = PartitionWorld(2)


@when("a caller asks it for a call that may not be repeated")
def asks_partitioned(context):
    async def story(site):
        entry, peer = site.processes
        site.cut(["g0"], Cut.SILENT)
        await entry.node._reach.own.confirm_contact("crm")
        context.handed = []

        async def answer(request, exchange):
            if request.target != HANDOVER_PATH:
                await peer.node.handle_peer(request, exchange)
                return
            context.handed.append(request)
            kind = (KIND_HEADER, ReplyKind.UPSTREAM.value.encode())
            await exchange.respond(PEER_STATUS, (kind,), BODY)

        site.network.listen(peer.peer_address, answer)
        context.got = await site.ask_at(entry, "once", "r1", b"x")

    context.site.play(story)


@then("the request was handed over, and the caller gets 502, not that answer")
def handed_over(context):
    assert context.handed
    assert context.got.status == 502, context.got.status
    assert BODY not in context.got.body

"""Steps for responses that an upstream repeats late on a kept-alive connection.

They guard against taking a repeated response for the response to the next call. A faulty upstream
may repeat a response some milliseconds later. A connection is checked for unread bytes only when it
is taken from the pool, so that a later copy comes where the next response is expected.

A request that may run only once was refused by its first upstream because of the second one, and
was sent there again with another path on the same connection. The copy of the refusal was taken for
its response while the upstream executed it, so that it was sent a third time and ran twice:

    r1 x1 path x1:1=0-4,x3:1=4-8 answered
    r1 x1 path x1:1=0-4,x3:1=4-8 answered

Control calls carried no id and accepted any response: the copy of a report's 200 as "held" for an
order that was answered 409, and the copy of an order's 200 as a report of no orders. A caller that
sent no id got the copy of a report, {"sequence": 0, "running": 0, ...}, as its response.
"""

import json
import re
from types import SimpleNamespace

import trio
from behave import given, then, when
from connection_world import virtually
from gateway_story import expected_events, two_chains
from gateway_world import LAYERS, GatewayWorld
from stutter import AT_ONCE, SurplusSender, is_callers, once, repeat_response, with_surplus

from deckcourse.counters import MemoryCounters
from deckcourse.gateway.calls import send_request
from deckcourse.gateway.desired import CallerBounds
from deckcourse.gateway.dialect import Dispatch
from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.message import IncomingRequest, header_value
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.hosts import Assignment
from deckcourse.layers.paths import LayerPath, PathStage
from deckcourse.platform.dialect import PlatformDialect
from deckcourse.platform.runners import RunnerControl

MAY_HAVE_RUN_STATUS = 502
REPEATABLE = ("stream", "again")
STREAMING = ("stream", "fragile")
# Pause between a call and the next one, which receives the copy.
PAUSE_BETWEEN_CALLS_SECONDS = 0.01
ANSWER_SECONDS = 0.01
ADDRESS = "u:1"


def seconds_of(when):
    """Return how many seconds after the next request a copy comes."""
    if when == "before the next request":
        return AT_ONCE
    found = re.fullmatch(r"(\d+) ms after the next request", when)
    return int(found[1]) / 1000 if found else 0.0


def send_surplus_from(surplus_sender, site, names):
    """Send surplus bytes on the gateway's connections to some runners."""
    addresses = {site.runners[name].address for name in names}

    async def dial(address):
        return await with_surplus(site.network.dial, surplus_sender, addresses)(address)

    site.dial = dial


def play_two(context, surplus_sender, first, second, names=("r1", "r2"), bodies=(b"{}", b"{}")):
    """Play two calls, one after the other; return what the second caller got."""
    two_chains(context)
    site = context.site
    for name in ("p1", "p2"):
        site.add(name, "crm")
    send_surplus_from(surplus_sender, site, ("x1", "p1"))

    async def story(site):
        await site.ask(first, names[0], body=bodies[0])
        await trio.sleep(PAUSE_BETWEEN_CALLS_SECONDS)
        site.got = await site.ask(second, names[1], body=bodies[1])

    site.play(story)
    return site


def is_own(site, route, name):
    got = site.got
    if route in STREAMING:
        return got.body == expected_events(site, name, site.events)
    return got.body == f"answer to {name}".encode()


@when("two callers in turn use one kept-alive connection and the first one's response is repeated")
def use_connection_in_turn(context):
    context.plays = []
    for row in context.table:
        surplus_sender = SurplusSender(once(repeat_response), seconds_of(row["when"]), is_callers)
        site = play_two(context, surplus_sender, row["first"], row["second"])
        # A copy before the next request is noticed when the connection is taken from the pool.
        noticed = site.counters.counts.get("connection.unsound", 0)
        assert (noticed, surplus_sender.late) in ((0, 1), (1, 0)), (row, site.counters.counts)
        context.plays.append((row["second"], site))


@then("each time the second caller got its own complete response, or learned that it may have run")
def own_or_may_have_run(context):
    for route, site in context.plays:
        got = site.got
        if got.status == 200 and got.whole:
            assert is_own(site, route, "r2"), (route, got)
            assert site.header(got, "x-response-seal") == "seal-r2", (route, got)
        elif got.status == 200:
            whole = expected_events(site, "r2", site.events)
            assert route == "fragile" and whole.startswith(got.body), (route, got)
        else:
            assert route not in REPEATABLE and got.status == MAY_HAVE_RUN_STATUS, (route, got)


@then("each time no call that may run only once ran twice")
def none_twice(context):
    for route, site in context.plays:
        runs = [each for each in site.runs if each.request == "r2"]
        assert len(runs) == 1 or (route in REPEATABLE and len(runs) == 2), (route, site.runs)


@then(
    "each time the second caller got its own complete response, in one run and on that "
    "connection"
)
def own_in_one_run(context):
    wrong = []
    for route, site in context.plays:
        runs = [each for each in site.runs if each.request == "r2"]
        if site.got.status != 200 or not is_own(site, route, "r2") or len(runs) != 1:
            wrong.append((route, [each.instance for each in runs], site.got))
    assert not wrong, wrong


@then("each time the outcome was known within {seconds:g} seconds, or {longer:g} with another run")
def known_soon(context, seconds, longer):
    for late, route, site in context.plays:
        # A stream takes as long as its events, so that its duration doesn't show when it began.
        if route not in STREAMING:
            limit = longer if route in REPEATABLE else seconds
            assert site.got.seconds < limit, (late, route, site.got)


def refusing_once(runner, at_fault):
    """Let a runner refuse its first request because of an upstream of the request's path."""
    kept, refused = runner.run, []

    async def run(request, exchange):
        if refused:
            await kept(request, exchange)
            return
        refused.append(request)
        path = header_value(request.headers, b"path").decode().split(",")
        at = path[at_fault].partition("=")[0].encode()
        name = header_value(request.headers, b"x-request-id")
        head = ((b"x-request-id", name), (b"x-not-executed", b"1"), (b"at-server", at))
        await exchange.respond(503, head, b"")

    runner.run = run
    return refused


@given("chains whose first upstream refuses a request once because of {part} and then runs it")
def refuses_once(context, part):
    two_chains(context)
    site = context.site
    site.add("x3", "llm", "x", 4, LAYERS)
    if part == "its next":
        del site.runners["y1"], site.runners["y2"]
    context.refused = refusing_once(site.runners["x1"], ("itself", "its next").index(part))


@when("a caller asks for a {route} stream and the refusal is repeated {when}")
def repeat_refusal(context, route, when):
    surplus_sender = SurplusSender(once(repeat_response), seconds_of(when), is_callers)
    send_surplus_from(surplus_sender, context.site, ("x1",))

    async def story(site):
        context.got = await site.ask(route)

    context.site.play(story)
    assert context.refused, "the first upstream received no request"


@then("the request ran once, at {name}")
def ran_once(context, name):
    assert [each.instance for each in context.site.runs] == [name], context.site.runs


async def answer_to_body(run, exchange, answer):
    await trio.sleep(0.05)
    await exchange.respond(200, answer, b"answer to " + run.body)


@when("two callers with the same id call one after the other and the first response is repeated")
def same_id(context):
    context.plays = []
    for row in context.table:
        surplus_sender = SurplusSender(once(repeat_response), seconds_of(row["when"]))
        site = GatewayWorld()
        runner = site.add("p1", "crm")
        runner.answer = answer_to_body
        send_surplus_from(surplus_sender, site, ("p1",))

        async def story(site):
            for body in (b"first", b"second"):
                site.got = await site.ask("once", "r1", body=body)
                await trio.sleep(PAUSE_BETWEEN_CALLS_SECONDS)

        site.play(story)
        context.plays.append((row["when"], site.got))


@then("each time the second caller got the response to its own body")
def own_body(context):
    for when_, got in context.plays:
        assert (got.status, got.body) == (200, b"answer to second"), (when_, got)


def with_ids(handle):
    """Return a handler that returns the id of every call, including control calls."""

    async def handler(request, exchange):
        name = header_value(request.headers, b"x-request-id")
        kept = exchange.respond

        async def respond(status, headers, body):
            if name and not header_value(headers, b"x-request-id"):
                headers = (*headers, (b"x-request-id", name))
            await kept(status, headers, body)

        exchange.respond = respond
        await handle(request, exchange)

    return handler


@when("the gateway queries a report that is repeated with the next request of a caller")
def repeat_report(context):
    context.plays = []
    for row in context.table:
        site = GatewayWorld()
        runner = site.add("p1", "crm")
        if row["ids"] == "yes":
            runner.handle = with_ids(runner.handle)
        send_surplus_from(SurplusSender(once(repeat_response), 0.0), site, ("p1",))

        async def story(site):
            upstream = site.node.gateway.context.upstreams.get("p1")
            await RunnerControl(site.pool).query_load(upstream)
            site.got = await site.ask("once", "")

        site.play(story)
        context.plays.append((row["ids"], site.got))


@then("each time the caller without an id got its own response, or learned that it may have run")
def nameless_own(context):
    for ids, got in context.plays:
        assert got.status == MAY_HAVE_RUN_STATUS or got.body == b"answer to ", (ids, got)


class ControlledRunner:
    """A runner whose answer to orders and whose report can be changed between calls."""

    def __init__(self):
        self.order_status = 409
        self.sequence, self.pace = 7, 3.0

    async def handle(self, request, exchange):
        await trio.sleep(ANSWER_SECONDS)
        known = {"sequence": self.sequence, "running": 1, "queued": 0, "pace": self.pace}
        report = json.dumps(known).encode()
        if request.target == b"/v1/report":
            await exchange.respond(200, (), report)
        elif request.target == b"/v1/order":
            moved = json.loads(request.body)["op"] == "repath"
            await exchange.respond(404 if moved else self.order_status, (), b"{}")
        else:
            # The response to a caller may look like a report.
            name = header_value(request.headers, b"x-request-id")
            await exchange.respond(200, ((b"x-request-id", name),) if name else (), report)


class ControlWorld:
    """A runner, and the control calls made to it on kept-alive connections."""

    def __init__(self, ids, surplus_sender):
        self.runner = ControlledRunner()
        self.handle = with_ids(self.runner.handle) if ids == "yes" else self.runner.handle
        self.surplus_sender = surplus_sender
        self.counters = MemoryCounters()
        self.upstream = SimpleNamespace(address=ADDRESS, instance="u")

    def play(self, story):
        """Run a story, an async function of this world; return its result."""

        async def work():
            async with trio.open_nursery() as nursery:
                network = MemoryNetwork(nursery, CallerBounds)
                network.listen(ADDRESS, self.handle)
                dial = with_surplus(network.dial, self.surplus_sender, (ADDRESS,))
                self.pool = ConnectionPool(self.counters.count, dial)
                self.control = RunnerControl(self.pool)
                got = await story(self)
                nursery.cancel_scope.cancel()
                return got

        return virtually(work)

    async def call(self, what):
        """Make one call; return the result that was accepted."""
        if what == "order":
            result = await self.control.place(self.upstream, Assignment("u", 0, 4, ""), 0)
            return str(result)
        if what == "report":
            count = await self.control.order_count(self.upstream)
            return "unanswered" if count is None else f"{count} orders"
        if what == "move":
            path = LayerPath((PathStage("u", ADDRESS, 0, LAYERS),), "x", 0, 1.0)
            result, _ = await self.control.move(self.upstream, "r1", path)
            return str(result)
        if what == "pulse":
            reading = await self.control.probe(self.upstream, 1.0)
            return f"{reading.result} at pace {reading.pace:g}"
        await self._request("c1" if what == "caller's call" else "")
        return ""

    async def _request(self, name):
        """Send a caller's request as the gateway does."""
        dialect = PlatformDialect()
        headers = ((b"host", b"h"), *(((b"x-request-id", name.encode()),) if name else ()))
        caller = dialect.read(IncomingRequest(b"POST", b"/a", headers, b"{}"))
        limits = RateLimitBook(trio.current_time, lambda limit, source: None)
        async with self.pool.borrow(ADDRESS) as connection:
            reply, _ = await send_request(
                SimpleNamespace(
                    dialect=dialect,
                    reachability=SimpleNamespace(note_answer=lambda *_: None, note_broken=print),
                    ends=SimpleNamespace(note_request=print, note_answer=lambda reply: None),
                    notices=NoticeIntake(
                        UpstreamTable(trio.current_time),
                        limits,
                        lambda what: None,
                        print,
                        trio.current_time,
                    ),
                ),
                SimpleNamespace(caller=caller, service=SimpleNamespace(model=None, health_path="")),
                connection,
                Dispatch("u", 1.0),
            )
            await reply.read_body()


ORDER_CALLS = {"order taken": "order", "order held": "order"}


@when("an upstream's response to one call is repeated in place of the next one")
def repeat_control_response(context):
    context.plays = []
    for row in context.table:
        world = ControlWorld(row["ids"], SurplusSender(once(repeat_response), 0.0))

        async def story(world, row=row):
            first = row["first"]
            runner = world.runner
            runner.sequence, runner.pace = 5, 1.0
            runner.order_status = 200 if first == "order held" else 202
            await world.call(ORDER_CALLS.get(first, first))
            runner.sequence, runner.pace, runner.order_status = 7, 3.0, 409
            return await world.call(row["next"])

        believed = world.play(story)
        # If the copy could be taken for another response, the call uses another connection.
        assert world.surplus_sender.late == 1 or row["ids"] == "no", row
        context.plays.append((row.cells, believed, row["believed"].split(", ")))


@then("each time the accepted answer is correct, or the call counts as unanswered")
def believed(context):
    wrong = [(cells, got) for cells, got, allowed in context.plays if got not in allowed]
    assert not wrong, wrong


@then("this many connections are opened for calls one after the other")
def opened(context):
    wrong = []
    for row in context.table:
        world = ControlWorld(row["ids"], SurplusSender(lambda answer: b""))

        async def story(world, row=row):
            for each in row["calls"].split(", "):
                await world.call(each)

        world.play(story)
        got = world.counters.counts["connection.opened"]
        if got != int(row["opened"]):
            wrong.append((row.cells, got))
    assert not wrong, wrong


@then("{calls:d} moves one after the other leave at most {most:d} connections open")
def left_open(context, calls, most):
    for ids in ("yes", "no"):
        world = ControlWorld(ids, SurplusSender(lambda answer: b""))

        async def story(world):
            for _ in range(calls):
                await world.call("move")
            return world.pool.idle_count(ADDRESS)

        assert world.play(story) <= most, ids


LATE_BYTES = {
    "bytes that are no head": b"12345 what\r\n\r\n",
    "an empty line": b"\r\n",
    "a head that breaks off": b"HTTP/1.1 421 Misdirected Request\r\nserver: a",
    "one that breaks off earlier": b"HTTP/1.1 421 Misdir",
    "a switch of protocols": b"HTTP/1.1 101 Switching Protocols\r\nupgrade: a\r\n\r\n",
    "half a copy": b"HTTP/1.1 200 \r\nx-request-id: r1\r\ncontent-length: 500\r\n\r\nhalf",
    "a copy that says close": b"HTTP/1.1 200 \r\nx-request-id: r1\r\n"
    b"content-length: 1\r\nconnection: close\r\n\r\na",
    "a copy without a length": b"HTTP/1.1 200 \r\nx-request-id: r1\r\n\r\na",
    "an informational answer": b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n",
    "one with the call's own id": b"HTTP/1.1 103 Early Hints\r\nx-request-id: r2\r\n\r\n",
}


@when("a call receives on a kept-alive connection")
def receive_late_bytes(context):
    context.plays = []
    for row in context.table:
        route = row["route"]
        surplus_sender = SurplusSender(
            once(lambda answer, late=LATE_BYTES[row["late"]]: late), 0.0, is_callers
        )
        first = "stream" if route in STREAMING else "again"
        site = play_two(context, surplus_sender, first, route)
        assert surplus_sender.late == 1, (row, site.counters.counts)
        context.plays.append((row["late"], route, site))


@then("each time it was retried if allowed, else the caller learned that it may have run")
def retried_or_unknown(context):
    wrong = []
    for late, route, site in context.plays:
        runs = [each.instance for each in site.runs if each.request == "r2"]
        was_served = site.got.status == 200 and is_own(site, route, "r2")
        is_unknown = site.got.status == MAY_HAVE_RUN_STATUS
        expected = (2, True, False) if route in REPEATABLE else (1, False, True)
        if (len(runs), was_served, is_unknown) != expected:
            wrong.append((late, route, runs, site.got))
    assert not wrong, wrong


@then("each time it was served in one run")
def served_once(context):
    for late, route, site in context.plays:
        runs = [each.instance for each in site.runs if each.request == "r2"]
        assert site.got.status == 200 and is_own(site, route, "r2"), (late, route, site.got)
        assert len(runs) == 1, (late, route, runs)

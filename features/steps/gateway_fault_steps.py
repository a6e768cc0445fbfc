"""Steps for upstreams that fail, become silent or refuse while streams are in flight."""

from contextlib import ExitStack
from functools import partial
from unittest.mock import patch

import trio
from behave import given, then, when
from gateway_runner import EVENT_SECONDS
from gateway_story import ask_while, assert_whole, two_chains
from gateway_world import default_config

from deckcourse.gateway.rate_gate import RateGate
from deckcourse.gateway.stream_runner import AttemptRunner

# The difference that is allowed between a wait and what the log says of it.
TIMING_TOLERANCE_MS = 25


@when("the {part} upstream of a stream {fault} after {count:d} events")
def upstream_fails(context, part, fault, count):
    async def fail(site):
        runner = site.runners["x1" if part == "first" else "x2"]
        if fault == "dies":
            runner.die()
        else:
            runner.dead = True
            site.network.silence(runner.address)

    ask_while(context, count, fail)


@when("the {part} upstream's row is removed after {count:d} events and it then {fault}")
def row_goes(context, part, count, fault):
    async def leave(site):
        runner = site.runners["x1" if part == "first" else "x2"]
        site.store.put("servers", runner.instance, None)
        await trio.sleep(2 * EVENT_SECONDS)
        if fault == "goes dark":
            runner.dead = True
            site.network.silence(runner.address)
        else:
            site.paused_until = trio.current_time() + float(fault.split()[2])

    ask_while(context, count, leave)


@when(
    "streams are requested every {gap:g} seconds for {long:g} seconds while the first "
    "upstream is full"
)
def asked_while_full(context, gap, long):
    context.all = []
    for runner in context.site.runners.values():
        runner.slots = 96
    context.site.runners["x1"].behaviour = "full"

    async def story(site):
        async def one(name):
            context.all.append(await site.ask(name=name))

        async with trio.open_nursery() as nursery:
            for number in range(round(long / gap)):
                nursery.start_soon(one, f"r{number}")
                await trio.sleep(gap)

    context.site.play(story)


@then("all of them are served and the first upstream refused no more than {most:d}")
def served_and_refused(context, most):
    assert all(each.status == 200 and each.whole for each in context.all), [
        (each.status, each.body[:80]) for each in context.all if each.status != 200
    ]
    assert 0 < context.site.refusals <= most, context.site.refusals


@when("the second upstream blocks streams after {count:d} events but answers probes")
def holds_up(context, count):
    async def hold(site):
        site.runners["x2"].blocks_streams = True

    ask_while(context, count, hold, rest=1.0)


@then("no order was given")
def no_order(context):
    assert context.site.orders == [], context.site.orders


@when(
    "the first upstream is silent for {long:g} seconds after {count:d} events and the "
    "retry budget is spent"
)
def silent_without_retry(context, long, count):
    async def fall_silent(site):
        # The issuer stops: the retries that it may still grant are not available either.
        site.node.stop()
        while await site.node.gateway.context.budget("llm").acquire():
            pass
        site.paused_until = trio.current_time() + long
        site.runners["x1"].silent_until = site.paused_until

    ask_while(context, count, fall_silent)


@when("the first upstream dies after {count:d} events and the others are full for {long:g} seconds")
def dies_while_full(context, count, long):
    async def fail(site):
        site.runners["y1"].behaviour = "full"
        site.runners["x1"].die()
        await trio.sleep(long)
        site.runners["y1"].behaviour = ""

    ask_while(context, count, fail)


@when("the second upstream is silent for {long:g} seconds after {count:d} events")
def silent_for_a_moment(context, long, count):
    async def story(site):
        async def fall_silent():
            await trio.sleep((count + 0.5) * EVENT_SECONDS)
            site.paused_until = trio.current_time() + long
            site.runners["x2"].silent_until = site.paused_until + 0.05

        async with trio.open_nursery() as nursery:
            nursery.start_soon(fall_silent)
            context.got = await site.ask()
        await trio.sleep(0.5)
        context.suspect = [each for each in "x1 x2 y1 y2".split() if site.is_suspected(each)]

    context.site.play(story)


@then("the suspicion has ended and no upstream was ordered to unload its layers")
def suspicion_ended(context):
    assert "suspicion-ended" in [decision for decision, _ in context.site.lines]
    assert context.suspect == []
    assert not any(each.unloaded_at_once for each in context.site.runners.values())


@when("the second upstream of a stream dies while the other chain executes {running:d} requests")
def dies_while_other_works(context, running):
    # Another upstream in domain x, so that paths from there to the other domain are considered.
    context.site.add("x3", "llm", "x", 0, 2)

    async def story(site):
        site.runners["y1"].running = running
        # The load is queried only while requests come in.
        await site.ask(name="r0")
        await trio.sleep(0.5)
        site.runs.clear()

        async def die():
            await trio.sleep(5.5 * EVENT_SECONDS)
            site.runners["x2"].die()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(die)
            context.got = await site.ask()

    context.site.play(story)


@then("{count:d} upstreams ran the stream")
def so_many_ran(context, count):
    assert len({each.instance for each in context.site.runs}) == count, context.site.runs


@then("one upstream ran the stream")
def one_ran(context):
    so_many_ran(context, 1)


@then("the caller got every event once, with no pause over {seconds:g} seconds")
def whole_without_pause(context, seconds):
    assert_whole(context)
    assert context.got.max_pause <= seconds, context.got.max_pause


@given("two chains of runners and a plain one")
def chains_and_plain(context):
    two_chains(context)
    context.site.add("p1", "crm", "x")


async def stand_still(request, exchange):
    await trio.sleep_forever()


def make_upstreams_stand_still(site):
    for runner in site.runners.values():
        site.network.listen(runner.address, stand_still)


def hold_events_back(site, seconds):
    """Let the runners start to send events only after some time."""
    handlers = {each.address: each.run for each in site.runners.values()}

    async def run_later(address, request, exchange):
        await trio.sleep(seconds)
        await handlers[address](request, exchange)

    for runner in site.runners.values():
        runner.run = partial(run_later, runner.address)


async def wait_for_ever(*_args):
    await trio.sleep_forever()


@when("a caller asks for {route} with a deadline of 1 second and {fault}")
def asks_until_deadline(context, route, fault):
    async def story(site):
        with ExitStack() as patches:
            if fault == "all upstreams stand still":
                make_upstreams_stand_still(site)
            elif fault.startswith("the caller never reads"):
                hold_events_back(site, 0.5 if "after 0.5 s" in fault else 0.0)
                patches.enter_context(patch.object(AttemptRunner, "_start_response", wait_for_ever))
            else:
                patches.enter_context(patch.object(RateGate, "acquire", wait_for_ever))
            await site.ask(route, headers=[("X-Deadline-Ms", "1000")])

    context.site.play(story)


@then("the log says that it waited for its {what} for {ms:d} ms")
def log_says_what(context, what, ms):
    (line,) = [fields for decision, fields in context.site.lines if decision == "deadline"]
    assert (line["request"], line["waits_for"]) == ("r1", what), line
    assert abs(line["waited_ms"] - ms) <= TIMING_TOLERANCE_MS, line
    assert bool(line["instance"]) == (what != "entry"), line


@given("each route has a timeout of {timeout:d} ms")
def route_timeouts(context, timeout):
    config = default_config()
    for route in config["routes"]:
        route["timeoutMs"] = timeout
    context.site.config = config


@when("a caller asks for {route} with a deadline of {deadline:d} ms, and {fault}")
def asks_until_limit(context, route, deadline, fault):
    async def story(site):
        if fault == "all upstreams stand still":
            make_upstreams_stand_still(site)
        else:
            send_part(site)
        context.got = await site.ask(route, headers=[("X-Deadline-Ms", str(deadline))])

    context.site.play(story)


def send_part(site):
    """Let the runners send one event of a stream and then nothing."""

    async def run_part(request, exchange):
        headers = {name.decode().lower(): value for name, value in request.headers}
        name = headers["x-request-id"]
        seal = (b"x-response-seal", b"seal-" + name)
        kind = (b"content-type", b"text/event-stream")
        await exchange.start(200, [(b"x-request-id", name), seal, kind])
        await exchange.send(b"id: 1\ndata: part\n\n")
        await trio.sleep_forever()

    for runner in site.runners.values():
        site.network.listen(runner.address, run_part)


@then(
    "the log says that the limit was the one of the {whose}, {limit:d} ms on {route}, and cut {cut}"
)
def log_says_limit(context, whose, limit, route, cut):
    lines = context.site.lines
    (line,) = [fields for decision, fields in lines if decision == "deadline"]
    assert (line["limit"], line["timeout_ms"], line["route"]) == (whose, limit, route), line
    assert line["begun"] == (cut == "yes"), line
    (ended,) = [fields for decision, fields in lines if decision in ("unknown", "refused")]
    assert (ended["request"], ended["reason"]) == (line["request"], "deadline-passed"), ended
    assert ended["cut"] == (cut == "yes"), ended
    assert context.got.whole == (cut == "no"), context.got


@when("the handling of a {route} request raises an error")
def handling_fails(context, route):
    def fail(*_args, **_more):
        raise LookupError("a fault of this program")

    async def story(site):
        with patch.object(RateGate, "acquire", fail):
            context.got = await site.ask(route)

    context.site.play(story)


@then("its caller gets {status:d} with reason {reason}")
def got_reason(context, status, reason):
    got = context.got
    assert got.status == status and got.whole, got
    assert context.site.header(got, "deckcourse-reason") == reason, got.headers


@then("the log names the request and the error")
def log_names_error(context):
    (line,) = [fields for decision, fields in context.site.lines if decision == "unknown"]
    assert line["request"] == "r1" and "LookupError" in line["what"], line

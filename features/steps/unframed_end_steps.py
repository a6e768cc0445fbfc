"""Steps for answers of plain upstreams that have no length."""

from contextlib import asynccontextmanager

import trio
from behave import given, then, when
from gateway_world import GatewayWorld, default_config
from unframed_upstream import HEALTH_PATH, UnframedUpstream, body_of

SETTLE_SECONDS = 2.0
MAX_CALLS = 100
# A caller that was refused calls again after this time.
RETRY_SECONDS = 0.05
PAUSE_SECONDS = 0.9


def new_world(upstream, has_health_path):
    """Return a world whose plain service has this one upstream."""
    world = GatewayWorld()
    config = default_config()
    for service in config["services"]:
        if service["name"] == "crm" and has_health_path:
            service["healthPath"] = HEALTH_PATH
    for route in config["routes"]:
        route["timeoutMs"] = 3000
    world.config = config
    world.add(upstream.process.instance, "crm").slots = upstream.slots

    async def dial(address):
        if address == upstream.address:
            return await upstream.dial(address)
        return await world.network.dial(address)

    world.dial = dial
    return world


@asynccontextmanager
async def watched_load(world):
    """Let a gateway watch its event loop, which shows it pauses of its process."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.node.watch_load)
        yield
        nursery.cancel_scope.cancel()


@given(
    "a plain upstream with {slots:d} slots whose answers have no length and take {work:g} seconds"
)
def full_upstream(context, slots, work):
    context.upstream = UnframedUpstream("c1:1", "c1", slots, work=work)


@given(
    "a plain upstream with {slots:d} slots that sends its answers without a length, in two halves"
)
def halving_upstream(context, slots):
    context.upstream = UnframedUpstream("c1:1", "c1", slots, work=0.05, pause=PAUSE_SECONDS)


@given(
    "other processes that keep all its slots and its queue taken for {seconds:g} seconds"
    " after a call"
)
def filled_by_others(context, seconds):
    context.filled_seconds = seconds


async def fill(upstream, seconds):
    """Take all slots and the whole queue of an upstream once a call has run there."""
    while not upstream.ran:
        await trio.sleep(0.01)
    await trio.sleep(upstream.work - 0.02)
    process = upstream.process
    for _ in range(upstream.slots - 1):
        process.slots.acquire_on_behalf_of_nowait(object())
    upstream_owner = object()
    process.queued += upstream.queue
    await process.slots.acquire_on_behalf_of(upstream_owner)
    await trio.sleep(seconds)
    process.slots.release_on_behalf_of(upstream_owner)
    process.queued -= upstream.queue


@when("{count:d} callers each call it again and again, up to 100 calls, with{out}a health path")
def many_calls(context, count, out):
    play_calls(context, count, MAX_CALLS, out.strip() != "out")


@when("1 caller calls it once")
def one_call(context):
    play_calls(context, 1, 1, True)


def play_calls(context, count, calls, has_health_path):
    upstream = context.upstream
    context.got = {}
    numbers = iter(range(calls))

    async def call_again(world):
        for number in numbers:
            name = f"r{number}"
            context.got[name] = await world.ask("once", name)
            if context.got[name].status != 200:
                await trio.sleep(RETRY_SECONDS)

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        async with trio.open_nursery() as nursery:
            if hasattr(context, "filled_seconds"):
                nursery.start_soon(fill, upstream, context.filled_seconds)
            for _ in range(count):
                nursery.start_soon(call_again, world)

    new_world(upstream, has_health_path).play(story)


@then("each call that ran there is served")
def all_served(context):
    ran = context.upstream.ran
    assert ran and len(set(ran)) == len(ran), ran
    lost = {
        name: context.got[name].status
        for name in ran
        if context.got[name].status != 200 or context.got[name].body != body_of(name)
    }
    assert not lost, f"{len(lost)} of {len(ran)}: {lost}"


@then("at most {most:d} health queries were sent")
def few_queries(context, most):
    assert context.upstream.health_queries <= most, context.upstream.health_queries


@when(
    "it restarts between the halves of an answer to {route} while this process is paused,"
    " with{out}a health path, beside {beside}"
)
def restart_during_pause(context, route, out, beside):
    restart_between_halves(context, route, out, beside, is_paused=True)


@when(
    "it restarts between the halves of an answer to {route},"
    " with{out}a health path, beside {beside}"
)
def restart_unpaused(context, route, out, beside):
    restart_between_halves(context, route, out, beside, is_paused=False)


def restart_between_halves(context, route, out, beside, is_paused):
    upstream = context.upstream
    context.got = {}

    async def call(world, name, delay=0.0):
        await trio.sleep(delay)
        context.got[name] = await world.ask(route, name)

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        if beside in ("a silent connection", "a kept connection"):
            upstream.sends_length, upstream.pause = True, 0.0
            await call(world, "earlier")
            upstream.sends_length, upstream.pause = False, PAUSE_SECONDS
        if beside == "a silent connection":
            upstream.silence()
            await trio.sleep(SETTLE_SECONDS)
        async with watched_load(world), trio.open_nursery() as calling:
            for number in range(3 if beside == "other calls" else 1):
                calling.start_soon(call, world, f"r{number}", 0.02 * number)
            await trio.sleep(0.3)
            if beside == "a call after it":
                calling.start_soon(call, world, "after")
            upstream.restart("c1-next")
            if is_paused:
                # Nothing runs during the jump, as in a process that is paused.
                world.clock.jump(PAUSE_SECONDS)

    world = new_world(upstream, out.strip() != "out")
    world.play(story)


@then("no caller got half an answer as whole")
def no_half(context):
    assert context.got
    for name, got in context.got.items():
        is_whole = got.status == 200 and got.whole
        assert not is_whole or got.body == body_of(name), (name, len(got.body))

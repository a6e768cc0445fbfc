"""Steps about streams at dark upstreams, and what makes their search for others fail."""

import trio
from behave import when
from bound_steps import EVENTS_BEFORE
from bound_world import POLL_SECONDS
from gateway_world import LAYERS
from kept_attempt_steps import find_upstream, play

# Requests that earn a further retry.
EARNING_REQUESTS = 12


async def wait_for_run(site, count):
    while len(site.runs) < count:
        await trio.sleep(POLL_SECONDS)
    return site.runs[count - 1].instance


async def add_later(site, others, seconds):
    await trio.sleep(seconds)
    site.add("x9", "llm", "x", 0, LAYERS).start()


async def silence_queries(site, others, seconds):
    for instance in others:
        site.node.gateway.context.upstreams.suspect(instance, seconds, lost=True)
        site.silence(instance, seconds)
    await trio.sleep(seconds)


async def refuse(site, others, seconds):
    for instance in others:
        site.runners[instance].behaviour = "full"
    await trio.sleep(seconds)
    for instance in others:
        site.runners[instance].behaviour = ""


async def refuse_without_retries(site, others, seconds):
    with trio.move_on_after(seconds):
        for instance in others:
            site.runners[instance].behaviour = "full"
        while not site.refusals:
            await trio.sleep(POLL_SECONDS)
        for instance in others:
            site.runners[instance].behaviour = ""
        await trio.sleep_forever()
    for _ in range(EARNING_REQUESTS):
        site.node.gateway.context.budget("llm").earn()


async def reset_next(site, others, seconds):
    site.reset(await wait_for_run(site, 2))


FAILURES = {
    "there are none": add_later,
    "the others answer no query": silence_queries,
    "the others refuse it": refuse,
    "one refuses it, and no retry is left": refuse_without_retries,
    "the next one resets its connection": reset_next,
}


@when(
    "the upstream of a stream goes dark {moment}, with {retries:d} retries left: {others},"
    " until {seconds:g} seconds later"
)
def goes_dark(context, moment, retries, others, seconds):
    async def fault(site):
        site.events = 400
        first = await find_upstream(site, EVENTS_BEFORE[moment])
        site.darken(first)
        await FAILURES[others](site, site.runners.keys() - {first, "y1"}, seconds)

    # It begins no path, but shows that the process itself isn't partitioned.
    context.site.add("y1", "llm", "x", LAYERS // 2, LAYERS).accepts_orders = False
    play(context, retries, fault)

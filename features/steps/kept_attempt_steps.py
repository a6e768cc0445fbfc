"""Steps about streams whose upstream is silent while others refuse them or take them over."""

from itertools import pairwise

import trio
from behave import given, then, when
from bound_steps import EVENTS_BEFORE
from bound_world import POLL_SECONDS, SILENCE_SECONDS
from gateway_runner import EVENT_SECONDS
from gateway_world import LAYERS, GatewayWorld

from deckcourse.gateway.retry_issuer import RetryGrant

# Requests that earn so many retries together with the one that spends them.
EARNING_REQUESTS = {1: 7, 2: 12, 3: 17, 12: 67}
LONG_SILENCE_SECONDS = 3.0
DENIED_SECONDS = 2.0
# A run that the other upstream resets has had no event by then.
RESET_AFTER_SECONDS = 0.3
# The events of a stream that its upstream holds back.
HELD_BACK_EVENTS = 60
# The runners' records of a cancelled run may be this late by the rules.
CANCEL_SECONDS = 0.5


async def deny(need):
    return RetryGrant(0, DENIED_SECONDS)


def limit_retries(site, count):
    """Let the process have so many retries for its next stream, and none of the shared slack."""
    budget = site.node.gateway.context.budget("llm")
    budget._request = deny
    for _ in range(EARNING_REQUESTS[count]):
        budget.earn()


def count_retries(context, site):
    """Count in `context.spent` the retries that are spent and not returned."""
    budget = site.node.gateway.context.budget("llm")
    add_to_tally = budget._add_to_tally
    context.spent = 0

    def add_counted(**counts):
        context.spent += counts.get("retries", 0)
        add_to_tally(**counts)

    budget._add_to_tally = add_counted


async def find_upstream(site, events):
    """Return the upstream that runs the stream once it has sent so many events."""
    while not any(len(each.events) >= events for each in site.runs):
        await trio.sleep(POLL_SECONDS)
    return site.runs[0].instance


def play(context, retries, fault):
    async def story(site):
        limit_retries(site, retries)
        count_retries(context, site)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault, site)
            context.got = await site.ask()
            nursery.cancel_scope.cancel()
        await trio.sleep(CANCEL_SECONDS)

    context.site.play(story)


@when(
    "the upstream of a stream falls silent for a second {moment}, with {retries:d} retries left:"
    " {others}"
)
def silent_beside_others(context, moment, retries, others):
    async def fault(site):
        first = await find_upstream(site, EVENTS_BEFORE[moment])
        site.silence(first)
        for instance in site.runners.keys() - {first}:
            if others == "the others refuse it":
                site.runners[instance].behaviour = "full"
            else:
                site.silence(instance, LONG_SILENCE_SECONDS)

    play(context, retries, fault)


@when(
    "the upstream of a stream is silent, and another one has its next event {seconds:g} seconds"
    " after it"
)
def next_event_elsewhere(context, seconds):
    async def fault(site):
        first = await find_upstream(site, EVENTS_BEFORE["after five events"])
        site.silence(first)
        goes_on_at = trio.current_time() + SILENCE_SECONDS
        for instance in site.runners.keys() - {first}:
            # Each next one sends no event before then, but answers queries.
            site.runners[instance].held_until = goes_on_at + seconds

    play(context, 3, fault)


@when(
    "the upstream of a stream sends no event for {seconds:g} seconds, but answers queries, and"
    " {others}"
)
def held_back(context, seconds, others):
    async def fault(site):
        site.events = HELD_BACK_EVENTS
        first = await find_upstream(site, EVENTS_BEFORE["after five events"])
        held_until = trio.current_time() + seconds
        for runner in site.runners.values():
            runner.behaviour = "full" if others == "all are full" else ""
        site.runners[first].held_until = held_until
        await trio.sleep_until(held_until - POLL_SECONDS)
        context.in_flight = site.node.gateway.context.upstreams.in_flight(first)

    async def story(site):
        site.earn_retries()
        count_retries(context, site)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fault, site)
            context.got = await site.ask()
            nursery.cancel_scope.cancel()

    context.site.play(story)


@then("its arrivals beyond the first are no more than the retries that were spent")
def arrivals_are_paid(context):
    arrivals = [each for each in context.site.received_requests if each.request == "r1"]
    assert len(arrivals) - 1 <= context.spent, (arrivals, context.spent)


@then("its arrivals are at least {seconds:g} seconds apart")
def arrivals_are_apart(context, seconds):
    times = [each.at for each in context.site.received_requests if each.request == "r1"]
    pauses = [later - earlier for earlier, later in pairwise(times)]
    assert pauses and min(pauses) >= seconds, (times, context.site.lines[-20:])


@then(
    "its upstream had {arrivals:d} arrivals of it, and one run in progress at the end of the pause"
)
def one_run_in_progress(context, arrivals):
    received = [each for each in context.site.received_requests if each.request == "r1"]
    found = len(received), context.in_flight
    assert found == (arrivals, 1), (found, context.site.lines[-20:])


@then("one upstream ran it to its end, and the other one stopped within half a second")
def one_runs_to_its_end(context):
    site = context.site
    assert [each.ended for each in site.runs].count("answered") == 1, site.runs
    # An upstream that worked on for longer would have sent the last event.
    stopped = [each for each in site.runs if each.ended != "answered"]
    last = max((number for each in stopped for number, _ in each.events), default=0)
    assert stopped and last <= site.events - CANCEL_SECONDS / EVENT_SECONDS, (last, site.lines)


@then("no retry was spent")
def no_retry_spent(context):
    assert context.spent == 0, (context.spent, context.site.lines[-20:])


@given("a first upstream, and a host behind it")
def first_and_host(context):
    context.site = site = GatewayWorld()
    for name, start, end in (("x1", 0, LAYERS // 2), ("x2", LAYERS // 2, LAYERS)):
        site.add(name, "llm", "x", start, end).accepts_orders = False


@when(
    "that host is lost after five events, and another one holds its layers after {seconds:g}"
    " seconds"
)
def host_replaced(context, seconds):
    async def fault(site):
        await find_upstream(site, EVENTS_BEFORE["after five events"])
        lost = site.runners["x2"]
        lost.dead = True
        site.network.silence(lost.address)
        await trio.sleep(seconds)
        site.add("x3", "llm", "x", lost.first, lost.end).start()

    play(context, 3, fault)


@when(
    "the stream's connection is silent for good, its upstream for {seconds:g} seconds, and the"
    " other one resets it"
)
def connection_lost(context, seconds):
    async def fault(site):
        first = await find_upstream(site, EVENTS_BEFORE["after five events"])
        (other,) = site.runners.keys() - {first}
        site.silence(first, seconds)
        site.runners[first].keeps_silent_connections = True
        site.runners[other].held_until = site.runners[first].held_until + LONG_SILENCE_SECONDS

        async def reset_other():
            while len(site.runs) < 2:
                await trio.sleep(POLL_SECONDS)
            await trio.sleep(RESET_AFTER_SECONDS)
            site.reset(other)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(reset_other)
            # The run on the old connection goes on before that and never sends again.
            await trio.sleep(seconds + EVENT_SECONDS)
            site.runners[first].keeps_silent_connections = False

    play(context, 3, fault)


@when(
    "the upstream of a stream is silent for four seconds after five events, with {retries:d}"
    " retries left"
)
def silent_for_long(context, retries):
    async def fault(site):
        first = await find_upstream(site, EVENTS_BEFORE["after five events"])
        site.silence(first, 4.0)
        await trio.sleep(3.0)
        context.kept = context.spent

    play(context, retries, fault)


@then("it kept no retry after three seconds")
def no_retry_kept(context):
    assert context.kept == 0, (context.kept, context.site.lines[-20:])

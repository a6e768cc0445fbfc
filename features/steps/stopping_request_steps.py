"""Steps about requests that are in flight at a process while it stops."""

from contextlib import ExitStack
from unittest.mock import patch

import trio
from behave import given, then, when
from gateway_runner import EVENT_SECONDS
from gateway_story import expected_events
from gateway_world import Got
from interruption_world import EARLIER_REQUESTS
from stop_world import StopWorld

from deckcourse.gateway.rate_gate import RateGate

SERVICES = ("llm", "crm")
AT_ONCE_SECONDS = 0.05


async def wait_for_ever(*_args):
    await trio.sleep_forever()


@given("a process that is stopped with a grace period of {grace:g} s")
def stoppable(context, grace):
    context.site = StopWorld(grace)
    context.got = Got()


@given("upstreams that begin each request and never answer")
def never_answer(context):
    context.site.let_upstreams_work_forever()


@given("streams that usually take {seconds:g} s")
def usual_streams(context, seconds):
    engine = context.site.config["services"][0]["engine"]
    engine["usual"] = {"answer": seconds * 1000 / engine["step_ms"]}


async def stop_and_wait(context, process):
    """Stop a process, and wait until its grace period is over."""
    context.process, context.stopped_at = process, trio.current_time()
    process.server.stop()
    await trio.sleep(context.site.grace)


@when("a caller sends {route} {lead:g} s before the stop")
def sends_before(context, route, lead):
    route, _, circumstance = route.partition(" ")

    async def story(site):
        process = site.processes[0]
        with ExitStack() as patches:
            if circumstance == "while partitioned":
                await site.partition_entry()
            elif circumstance == "without a token":
                patches.enter_context(patch.object(RateGate, "acquire", wait_for_ever))
            async with trio.open_nursery() as nursery:

                async def ask():
                    context.got = await site.ask_at(process, route)

                nursery.start_soon(ask)
                await trio.sleep(lead)
                await stop_and_wait(context, process)

    context.site.play(story)


@when("a caller sends {route:w} {delay:g} s after the stop")
def sends_after(context, route, delay):
    async def story(site):
        process = site.processes[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop_and_wait, context, process)
            await trio.sleep(delay)
            context.got = await site.ask_at(process, route)
        answer = expected_events(site, "r1", site.events)
        context.expected = b"answer to r1" if route == "once" else answer

    context.site.play(story)


@when("a caller sends {route} {delay:g} s after the stop, beside an earlier request that goes on")
def sends_late(context, route, delay):
    async def story(site):
        process = site.processes[0]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(site.ask_at, process, "again", "earlier")
            await trio.sleep(0.1)
            nursery.start_soon(stop_and_wait, context, process)
            await trio.sleep(delay)
            context.got = await site.ask_at(process, route)

    context.site.play(story)


@then("its upstream was handed between {least:g} and {most:g} s")
def handed(context, least, most):
    (run,) = context.site.runs
    assert least <= float(run.headers["x-deadline-ms"]) / 1000 <= most, run.headers


@then("it gets {status:d} with outcome {outcome}, reason {reason} and a Retry-After")
def refused(context, status, outcome, reason):
    got, header = context.got, context.site.header
    assert got.status == status and got.whole, got
    found = header(got, "deckcourse-outcome"), header(got, "deckcourse-reason")
    assert found == (outcome, reason), got.headers
    assert float(header(got, "retry-after")) > 0, got.headers


@then("it is refused at once, before it is sent to an upstream")
def refused_at_once(context):
    assert context.got.seconds < AT_ONCE_SECONDS and not context.site.runs, context.got


@when(
    "{route} of a partitioned process is at a peer that stops, and upstreams work again after that"
)
def peer_stops(context, route):
    async def story(site):
        await site.partition_entry()
        for budget in (site.processes[0].node.gateway.context.budget(each) for each in SERVICES):
            for _ in range(EARLIER_REQUESTS):
                budget.earn()
        async with trio.open_nursery() as nursery:

            async def ask():
                context.got = await site.ask_at(site.processes[0], route)

            nursery.start_soon(ask)
            await trio.sleep(0.1)
            (peer,) = [
                each for each in site.processes if each.node.gateway.requests and each.name != "g0"
            ]
            for each in site.runners.values():
                each.behaviour, each.work = "", 0.1
            await stop_and_wait(context, peer)
        answer = expected_events(site, "r1", site.events)
        context.expected = answer if route == "stream" else b"answer to r1"

    context.site.play(story)


@then("it gets {status:d} with outcome {outcome}, and one upstream has it")
def one_upstream(context, status, outcome):
    got = context.got
    assert got.status == status and got.whole, got
    assert context.site.header(got, "deckcourse-outcome") == outcome, got.headers
    assert len(context.site.runs) == 1, context.site.runs


@then("the process has ended by itself within its grace period")
def ended_in_time(context):
    seconds = (context.process.ended_at or float("inf")) - context.stopped_at
    assert seconds < context.site.grace, seconds


@when("a stream goes on until {share:g} of the grace period")
def stream_goes_on(context, share):
    async def story(site):
        process = site.processes[0]
        site.events = round(share * site.grace / EVENT_SECONDS)
        async with trio.open_nursery() as nursery:

            async def ask():
                context.got = await site.ask_at(process, "stream")

            nursery.start_soon(ask)
            await trio.sleep(2 * EVENT_SECONDS)
            await stop_and_wait(context, process)
        context.expected = expected_events(site, "r1", site.events)

    context.site.play(story)


@when("an answer that its caller reads slowly goes on until {share:g} of the grace period")
def answer_goes_on(context, share):
    async def story(site):
        process = site.processes[0]
        for each in site.runners.values():
            each.work = 0.1
        async with trio.open_nursery() as nursery:

            async def ask():
                context.got = await site.ask_at(process, "once")

            nursery.start_soon(ask)
            await trio.sleep(0.05)
            connection = process.connections[-1]
            connection.is_blocked = True
            nursery.start_soon(stop_and_wait, context, process)
            await trio.sleep(share * site.grace)
            connection.unblock()
        context.expected = b"answer to r1"

    context.site.play(story)


@then("its caller got the whole answer")
def got_whole(context):
    assert context.got.whole and context.got.status == 200, context.got
    assert context.got.body == context.expected, context.got.body


@then("the log says that r1, which had begun, was cut by the stop and waited for its upstream")
def log_names(context):
    lines = context.site.lines
    (interrupted,) = [fields for decision, fields in lines if decision == "interrupted"]
    assert interrupted["request"] == "r1" and interrupted["begun"], interrupted
    assert interrupted["waits_for"] == "upstream" and interrupted["instance"], interrupted
    (unknown,) = [fields for decision, fields in lines if decision == "unknown"]
    assert (unknown["request"], unknown["reason"]) == ("r1", "stopping"), unknown
    assert not context.got.whole, context.got


@then("the log says that {count:d} request was unfinished")
def log_counts(context, count):
    (stopped,) = [fields for decision, fields in context.process.lines if decision == "stopped"]
    assert stopped["unfinished"] == count, stopped

"""Steps for requests that wait in a gateway process, with in-memory stand-ins."""

from dataclasses import replace
from unittest.mock import patch

import trio
from behave import given, then, when
from gateway_story import two_chains
from gateway_world import default_config

from deckcourse.gateway.retry_allowance import RetryAllowance
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.settings import LoadSettings

WAIT_SECONDS = 0.1
# The reports of all runners have been queried by then.
REPORTED_AFTER_SECONDS = 1.5
CALLERS = 3
SLOTS = 4


@given("two chains of runners with admission control")
def chains_with_admission(context):
    two_chains(context)
    for runner in context.site.runners.values():
        runner.slots = 1
    context.site.load = LoadSettings(admission=True)
    # The only process of its site; the share that it measures over few requests is far lower.
    whole_share = patch.object(TrafficShare, "share", 1.0)
    whole_share.start()
    context.add_cleanup(whole_share.stop)
    # One account for each priority, and one without.
    names = [("a", None), *((f"p{each}", each) for each in range(CALLERS))]
    context.site.config = default_config(
        tenants=[{"name": name, "apiKeys": [name], "priority": each} for name, each in names]
    )
    # Admission control takes effect where the stream routes of a service differ in priority.
    context.site.config["routes"][1]["priority"] = 2


@given("two runners that begin streams in one failure domain, with admission control")
def beginning_runners(context):
    chains_with_admission(context)
    context.site.add("x3", "llm", "x", 0, 4)
    for runner in context.site.runners.values():
        runner.slots = SLOTS


@given("the stream routes of the service have one priority")
def one_priority(context):
    context.site.config["routes"][1]["priority"] = context.site.config["routes"][0]["priority"]


@then("at full chains {count:d} streams wait in the process")
def streams_wait(context, count):
    async def story(site):
        await fill(site)
        await ask_all(context, ["a"] * CALLERS, end_streams)

    context.site.play(story)
    assert context.waiting == count, context.waiting


def set_running(site, count):
    """Let the first upstreams report a number of running streams."""
    for name in ("x1", "y1"):
        site.runners[name].running = count


async def fill(site):
    """Let the process learn that the chains are full."""
    set_running(site, 1)
    await site.ask(name="warm", key="a")
    await trio.sleep(2.0)


def queue_of(site):
    return site.node.gateway.context.admission.of("llm")


async def ask_all(context, keys, change):
    """Ask once with each key, and change the site once these requests wait."""
    site = context.site
    context.got = [None] * len(keys)

    async def ask(number):
        leave_after = 2 * WAIT_SECONDS if number == 0 and change is leave else None
        context.got[number] = await site.ask(
            name=f"r{number}", key=keys[number], leave_after=leave_after
        )

    async with trio.open_nursery() as nursery:
        for number in range(len(keys)):
            nursery.start_soon(ask, number)
            await trio.sleep(0.01)
        await trio.sleep(WAIT_SECONDS)
        context.waiting = queue_of(site).waiting
        await change(site)


@when("the same requests are sent with it and without it")
def sent_with_and_without(context):
    site, context.times = context.site, []

    async def story(site):
        await site.ask(name="warm", key="a")
        for number in range(CALLERS):
            got = await site.ask(name=f"r{number}", key="a")
            context.times.append((got.status, round(got.seconds, 6)))

    for is_on in (True, False):
        site.load = LoadSettings(admission=is_on)
        site.play(story)
        assert not any(kind == "admission" for kind, _ in site.lines), site.lines


@then("they took the same time and the log has no line about admission")
def same_time(context):
    assert context.times[:CALLERS] == context.times[CALLERS:], context.times
    assert all(status == 200 for status, _ in context.times), context.times


async def end_streams(site):
    set_running(site, 0)


async def leave(site):
    await trio.sleep(2 * WAIT_SECONDS)
    assert queue_of(site).waiting == CALLERS - 1
    set_running(site, 0)


async def stop(site):
    site.node.stop()
    site.node.refuse_new()


async def lose_paths(site):
    for name in site.runners:
        site.store.put("servers", name, None)


async def turn_off(site):
    site.load = LoadSettings()
    set_running(site, 0)


async def bound_queue(site):
    site.load = replace(site.load, max_waiting=1)
    await site.ask(name="one more", key="a", leave_after=WAIT_SECONDS)
    set_running(site, 0)


async def nothing(site):
    pass


EVENTS = {
    "the first caller leaves": leave,
    "the process stops": stop,
    "all paths are lost": lose_paths,
    "no capacity comes": nothing,
    "the settings turn admission off": turn_off,
    "the settings allow one waiting request": bound_queue,
}


@when("the chains are full, callers of priority 2, 1 and 0 wait, and streams end one by one")
def priorities_wait(context):
    async def story(site):
        await fill(site)
        await ask_all(context, ["p2", "p1", "p0"], end_streams)

    context.site.play(story)


@then("they began in the order 0, 1, 2 and got their whole answers")
def began_in_order(context):
    assert context.waiting == CALLERS, context.waiting
    runs = [each.request for each in context.site.runs if each.request != "warm"]
    assert runs == ["r2", "r1", "r0"], (runs, context.site.lines)
    assert all(each.status == 200 and each.whole for each in context.got), context.got


@when("the chains are full, three callers wait, and {event}")
def event_while_waiting(context, event):
    async def story(site):
        await fill(site)
        await ask_all(context, ["a"] * CALLERS, EVENTS[event])
        context.left_waiting = queue_of(site).waiting

    context.site.play(story)


@then("the waiting callers got {result}, within {seconds:g} seconds")
def waiting_got(context, result, seconds):
    assert context.waiting == CALLERS, (context.waiting, context.site.lines)
    got = ["nothing" if not each.status else str(each.status) for each in context.got]
    assert got == result.split(", "), (got, context.site.lines)
    assert all(each.seconds <= seconds for each in context.got), context.got
    refused = [each for each in context.got if each.status in (429, 503)]
    assert all(float(context.site.header(each, "retry-after")) > 0 for each in refused)


@then("the queue is empty, and no refused or abandoned request was executed")
def nothing_left(context):
    assert context.left_waiting == 0
    served = {f"r{number}" for number, each in enumerate(context.got) if each.status == 200}
    assert {each.request for each in context.site.runs} == served | {"warm"}, context.site.runs


@given("two chains of runners with admission control and no retry until {seconds:g} s have passed")
def no_retry(context, seconds):
    chains_with_admission(context)
    context.retry_seconds = seconds


@when("a caller asks for a stream, and its first upstream refuses it")
def first_refuses(context):
    async def story(site):
        await site.ask(name="warm", key="a")
        site.runners["x1"].behaviour = "full"
        available_at = trio.current_time() + context.retry_seconds

        async def acquire(self, reserve_share=0.0):
            return trio.current_time() >= available_at

        with patch.object(RetryAllowance, "acquire", acquire):
            context.got = await site.ask(name="r1", key="a")

    context.site.play(story)
    assert context.site.refusals == 1, context.site.refusals


@then("the caller got {status:d} within {most:g} seconds")
def caller_got(context, status, most):
    assert context.got.status == status and context.got.seconds <= most, context.got


@then("each refusal is logged with its age, those that waited by priority, and a full upstream")
def refusals_are_logged(context):
    lines = [
        fields
        for kind, fields in context.site.lines
        if kind == "admission" and fields["result"] == "refused"
    ]
    assert len(lines) == CALLERS, context.site.lines
    for each in lines:
        assert not each["retry"] and each["age_ms"] == each["waited_ms"] > 1000, each
        assert sum(each["waiting_by_priority"].values()) == each["waiting"] < CALLERS, each
        assert each["instance"] and each["utilization"] >= 1.0, each
        assert each["age_ms"] <= each["allowed_ms"] == 1800, each
    assert max(each["waiting"] for each in lines) == CALLERS - 1, lines


@when(
    "an upstream refuses an urgent request after {refuses:g} s, "
    "and a lesser one comes {lesser:g} s after it"
)
def refused_late(context, refuses, lesser):
    context.refuses_after, context.lesser_after = refuses, lesser


@when("the other runner has room {room:g} s after it")
def room_after(context, room):
    context.got = {}

    async def ask(site, key):
        context.got[key] = await site.ask(route="fragile", name=f"r-{key}", key=key)

    async def ask_at(site, key, after):
        await trio.sleep(after)
        await ask(site, key)

    async def story(site):
        first, other = site.runners["x1"], site.runners["x3"]
        first.behaviour, first.refusal_delay = "full", context.refuses_after
        for each in ("x3", "y1"):
            site.runners[each].running = SLOTS
        await site.ask(name="warm", key="a", leave_after=0.01)
        await trio.sleep(REPORTED_AFTER_SECONDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, site, "p0")
            await trio.sleep(0.01)
            first.running = SLOTS
            nursery.start_soon(ask_at, site, "p2", context.lesser_after)
            await trio.sleep(room)
            other.running = 0

    context.site.play(story)


@then("the requests that began are {begun}, the others got 429, within {most:g} s")
def began_by_rank(context, begun, most):
    got = context.got
    runs = [each.request for each in context.site.runs if each.request.startswith("r-")]
    expected = [f"r-{each}" for each in begun.split(", ") if each != "none"]
    # Of those that begin at the same time, one may arrive a round trip later on a new connection.
    last_arrival = {each.request: round(each.at, 2) for each in context.site.received_requests}
    arrivals = [last_arrival[each] for each in expected]
    assert sorted(runs) == sorted(expected) and arrivals == sorted(arrivals), (
        runs,
        context.site.lines,
    )
    for key, each in got.items():
        assert each.status == (200 if f"r-{key}" in runs else 429), (key, each, context.site.lines)
        assert each.whole and each.seconds <= most, (key, each)
    assert len(got) == 2 and context.site.refusals == 1, (got, context.site.refusals)


@then(
    "the urgent request is told that the upstream refused it, within {most:g} s, and spent no retry"
)
def told_of_refusal(context, most):
    urgent, lesser = context.got["p0"], context.got["p2"]
    site = context.site
    assert (urgent.status, lesser.status) == (503, 200), (context.got, site.lines)
    assert site.header(urgent, "deckcourse-reason") == "upstream-refused", urgent
    assert float(site.header(urgent, "retry-after")) > 0 and urgent.seconds <= most, urgent
    (refused,) = [each for kind, each in site.lines if kind == "admission"]
    assert refused["why"] == "refused-late" and refused["retry"], site.lines
    spent = sum(each["retries"] for kind, each in site.lines if kind == "retry-budget")
    assert spent == 0, site.lines

"""Steps about how many upstreams execute one request."""

import re

import trio
from behave import given, then, when
from bound_world import (
    LONG_SILENCE_SECONDS,
    POLL_SECONDS,
    BoundPartitionWorld,
    BoundWorld,
    executed_by,
    silence,
)
from gateway_runner import EVENT_SECONDS
from gateway_story import expected_events, play_outage
from partition_world import Cut
from trio.testing import MockClock

from deckcourse.gateway.admitted import EarlierExecutions
from deckcourse.gateway.executions import Executions

# How many upstreams fall silent one after the other, each once it executes the stream.
IN_SERIES = {
    "the first one": 1,
    "two, one after the other": 2,
    "three, one after the other": 3,
    "four, one after the other": 4,
}
# The events of its run after which an upstream falls silent.
EVENTS_BEFORE = {"before its first event": 0, "after five events": 5}
# The time after an outage of the store in which live upstreams write their rows again, seconds.
ROWS_RETURN_SECONDS = 1.5
# Requests that earn retries at each of the processes.
EARNING_REQUESTS = 60


@given("{count:d} first upstreams and a route that allows {bound:d}")
def first_upstreams(context, count, bound):
    context.site = BoundWorld(count, bound)


async def silence_upstreams(site, silences, events):
    if silences in IN_SERIES:
        await site.fail_in_series("r1", IN_SERIES[silences], events, site.silence)
        return
    while not site.executed_by("r1") or len(site.runs[0].events) < events:
        await trio.sleep(POLL_SECONDS)
    for instance in site.runners:
        site.silence(instance)


async def lapse_rows(site):
    await play_outage(site, tuple(site.runners))
    await trio.sleep(ROWS_RETURN_SECONDS)
    for runner in site.runners.values():
        site.store.put("servers", runner.instance, runner.row())


def play(context, *faults):
    """Play one stream beside faults, async functions of the site."""

    async def story(site):
        site.earn_retries()
        async with trio.open_nursery() as nursery:
            for fault in faults:
                nursery.start_soon(fault, site)
            context.got = await site.ask()
            nursery.cancel_scope.cancel()

    context.site.play(story)


@when("upstreams that run a stream fall silent for a second {moment}: {silences}")
def fall_silent(context, moment, silences):
    play(context, lambda site: silence_upstreams(site, silences, EVENTS_BEFORE[moment]))


@when(
    "rows lapse in an outage, and upstreams fall silent for a second after five events: {silences}"
)
def fall_silent_in_outage(context, silences):
    play(context, lambda site: silence_upstreams(site, silences, 5), lapse_rows)


@when("upstreams that run a stream end one after the other {moment}: {count:d} of them")
def end_in_series(context, moment, count):
    async def end_upstreams(site):
        await site.fail_in_series("r1", count, EVENTS_BEFORE[moment], site.end)

    play(context, end_upstreams)


@when("upstreams that run a stream are silent for {seconds:g} seconds after five events, and end")
def silent_then_ends(context, seconds):
    async def silence_and_end(site):
        await site.fail_in_series("r1", 1, 5, lambda instance: site.silence(instance, seconds))
        (instance,) = site.executed_by("r1")
        await trio.sleep(seconds)
        site.end(instance)

    play(context, silence_and_end)


@when(
    "upstreams that run a stream go dark after five events,"
    " {gap:g} seconds apart: {count:d} of them"
)
def go_dark(context, gap, count):
    async def darken(site):
        site.events = 400
        for number in range(count):
            await trio.sleep(gap if number else 0)
            await site.fail_in_series("r1", 1, 5, site.darken, site.dark)

    play(context, darken)


@when(
    "the upstream of a stream answers no query for six seconds, and sends events every {seconds:g}"
    " seconds"
)
def answers_no_query(context, seconds):
    async def pause_between_events(site):
        await events_of(site, 5)
        instance = site.runs[0].instance
        runner = site.runners[instance]
        runner.silent_until = trio.current_time() + 6.0
        while trio.current_time() < runner.silent_until:
            runner.held_until = trio.current_time() + seconds
            await trio.sleep(seconds + EVENT_SECONDS)

    play(context, pause_between_events)


@when("that upstream resets the connection of each stream before its first event")
def reset_before_events(context):
    async def reset_streams(site):
        while True:
            await site.fail_in_series("r1", 1, 0, site.reset)
            await trio.sleep(POLL_SECONDS)

    play(context, reset_streams)


@then("it executed the stream once")
def executed_once(context):
    site = context.site
    assert [each.request for each in site.runs] == ["r1"], (site.runs, site.lines[-20:])


@then("its caller got the whole stream")
def stream_whole(context):
    got, site = context.got, context.site
    body = expected_events(site, "r1", site.events)
    assert (got.status, got.whole, got.body) == (200, True, body), (got, site.lines[-20:])


@then("its caller got the whole stream, with no pause over {seconds:g} seconds")
def stream_whole_in_time(context, seconds):
    stream_whole(context)
    assert context.got.max_pause <= seconds, (context.got.max_pause, context.site.lines[-20:])


@then("it was executed by no more than {bound:d} upstreams")
def within_bound(context, bound):
    site = context.site
    instances = site.executed_by("r1")
    assert 0 < len(instances) <= bound, (instances, site.lines[-20:])


@given("{processes:d} gateway processes, {count:d} first upstreams and routes that allow {bound:d}")
def partitioned_site(context, processes, count, bound):
    context.site = BoundPartitionWorld(count, bound)
    context.losses = []


@when(
    "{route} requests of a partitioned process are handed over,"
    " and {count:d} runners of each are silent"
)
def handed_over(context, route, count):
    context.route, context.lost_runners = route, count


@when("each peer is then {loss}")
def each_peer_lost(context, loss):
    async def lose_peers(site):
        lost = set()
        for _ in site.processes[1:]:
            await site.lose_runners("r1", context.lost_runners, lost)
            peer = next((each for each in site.processes[1:] if has_request(each)), None)
            if peer is None:
                return
            lost |= set(executed_by(site, "r1"))
            if loss == "killed":
                peer.kill()
            else:
                peer.scope.cancel()
                site.network.silence(peer.peer_address)
                site.medium.open(peer.peer_address)
            context.losses.append(peer.name)
            await site.next_runner("r1", lost)
        site.mend()

    async def story(site):
        for number in range(EARNING_REQUESTS):
            process = site.processes[number % len(site.processes)]
            await site.ask_at(process, context.route, f"w{number}", b"w")
        site.events = 200
        await site.partition_entry()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lose_peers, site)
            context.got = await site.ask_at(site.processes[0], context.route, "r1", b"r1")
            nursery.cancel_scope.cancel()

    context.site.play(story)


async def play_beside(context, site, disturb, prepare=trio.lowlevel.checkpoint):
    """Play a stream of g0 beside a disturbance of the site, after requests that earn retries."""
    for number in range(EARNING_REQUESTS):
        process = site.processes[number % len(site.processes)]
        await site.ask_at(process, "stream", f"w{number}", b"w")
    site.events = 200
    await prepare()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(disturb)
        context.got = await site.ask_at(site.processes[0], "stream", "r1", b"r1")
        nursery.cancel_scope.cancel()


async def events_of(site, count):
    """Wait until the stream has had so many events; return the upstream that runs it."""
    while not any(each.request == "r1" and len(each.events) >= count for each in site.runs):
        await trio.sleep(POLL_SECONDS)
    return executed_by(site, "r1")[0]


@when("all but one first upstream refuse a stream that is handed over, and its peer is then killed")
def refused_at_peer(context):
    async def story(site):
        async def disturb():
            instance = await events_of(site, 3)
            for runner in site.runners.values():
                runner.behaviour = ""
            silence(site, instance, LONG_SILENCE_SECONDS)
            peer = next(each for each in site.processes[1:] if has_request(each))
            peer.kill()
            context.losses.append(peer.name)

        async def prepare():
            await site.partition_entry()
            for instance, runner in site.runners.items():
                runner.behaviour = "full" if runner.end and instance != "f1" else ""

        await play_beside(context, site, disturb, prepare)

    context.site.play(story)


@when("new connections to an upstream are refused, and it is silent for a second")
def refused_beside_open(context):
    async def story(site):
        async def disturb():
            instance = await events_of(site, 5)
            context.losses.append(instance)
            site.cuts["g0"] = (Cut.KEPT_LIVE, {site.runners[instance].address})
            async with trio.open_nursery() as nursery:
                for number in range(8):
                    ask = site.ask_at, site.processes[0], "stream", f"o{number}", b"o"
                    nursery.start_soon(*ask)
                await trio.sleep(0.1)
                silence(site, instance)

        await play_beside(context, site, disturb)

    context.site.play(story)


def has_request(process):
    """Return whether a live process serves a request that was handed over to it."""
    return process.node.gateway._handed_requests > 0 and not process.scope.cancel_called


@then("no request was executed by more than {bound:d} upstreams")
def all_within_bound(context, bound):
    site = context.site
    found = {each.request: executed_by(site, each.request) for each in site.runs}
    over = {name: instances for name, instances in found.items() if len(instances) > bound}
    assert context.losses, (context.got, site.lines[-20:])
    assert found["r1"] and not over, (over, context.losses, site.lines[-40:])


@given("a request that {allowed:d} upstreams may execute")
def allowed_upstreams(context, allowed):
    context.allowed = allowed


@when("this happens: {events}")
def events_happen(context, events):
    async def main():
        context.executions = replay(context.allowed, events)

    trio.run(main, clock=MockClock())


def replay(allowed, events):
    """Return the executions of a request after events that are described in a table."""
    sent_at, ended_at = {}, {}

    def has_ended(instance, since):
        return ended_at.get(instance, -1) > sent_at.get(instance, 0)

    executions = Executions(allowed, has_ended)
    for now, event in enumerate(re.split(r", (?!granted|named)", events)):
        words = event.replace(",", "").split()
        match words:
            case ["sent", "to", instance]:
                sent_at[instance] = now
                executions.note_sent(instance)
            case ["refused", "by", instance]:
                executions.note_not_executed(instance)
            case [instance, "ends"]:
                ended_at[instance] = now
            case ["peer", "lost", "granted", granted, "named", *named]:
                named = [each for each in named if each != "none"]
                executions.note_lost_handover(int(granted), named)
            case ["handed", "over", "by", instance, "granted", granted]:
                earlier = EarlierExecutions((instance,), 1, int(granted))
                executions = Executions(allowed, has_ended, earlier)
            case _:
                raise ValueError(event)
    return executions


@then("{left:d} further ones may execute it, and again {again}")
def further_upstreams(context, left, again):
    executions = context.executions
    expected = () if again == "none" else tuple(again.split())
    assert (executions.allowance, executions.instances) == (left, expected), (
        executions.allowance,
        executions.instances,
    )


@when("a stream is sent to its upstream, which answers queries")
def stream_sent(context):
    play(context)
    assert context.got.status == 200, context.got


@then("no connection was opened beside that of the stream")
def none_beside(context):
    assert "sibling.opened" not in context.site.counters.counts, context.site.counters.counts

"""Steps about parts of prompts that crash the upstreams that begin to answer."""

import json

import trio
from behave import given, then, when
from crash_steps import CIRCUMSTANCES
from part_world import SHARED_PART, PartWorld

REASON = "ends-upstreams"
CONTACT_SECONDS = 3.0
# The crash from whose time the bounds count.
COUNTED_CRASH = 5
MAX_LATE_ARRIVALS = 3
DEADLY_INTERVAL_SECONDS = 0.6
SOUND_INTERVAL_SECONDS = 0.1
IMMEDIATE_SECONDS = 0.01


@given("three gateway processes and upstreams that end under a part of a prompt")
def part_world(context):
    context.site = PartWorld()
    context.deadly = []
    context.sound = []


async def two_parts(site):
    site.deadly_parts.add("dead02")


CIRCUMSTANCES_OF_PARTS = {**CIRCUMSTANCES, "two parts do so": two_parts}


async def send(context, site, responses, number, route, name, prefix):
    began = trio.current_time()
    process = site.processes[number % len(site.processes)]
    responses.append((began, await site.ask_part(process, route, name, prefix)))


async def keep_sending_deadly(context, site, route, until):
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            part = sorted(site.deadly_parts)[number % len(site.deadly_parts)]
            prefix = f"{SHARED_PART}:40,{part}:700,{number + 1:08x}:20"
            name = f"d{number}"
            nursery.start_soon(send, context, site, context.deadly, number, route, name, prefix)
            number += 1
            await trio.sleep(DEADLY_INTERVAL_SECONDS)


async def keep_sending_sound(context, site, route, until):
    number = 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            prefix = f"{SHARED_PART}:40,bbbb{number % 3:02d}:700,{number + 1:08x}:20"
            name = f"s{number}"
            nursery.start_soon(send, context, site, context.sound, number, route, name, prefix)
            number += 1
            await trio.sleep(SOUND_INTERVAL_SECONDS)


def play(context, route, seconds, what):
    async def story(site):
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(CIRCUMSTANCES_OF_PARTS[what], site)
            async with trio.open_nursery() as senders:
                senders.start_soon(keep_sending_sound, context, site, route, until)
                await trio.sleep(1.0)
                senders.start_soon(keep_sending_deadly, context, site, route, until)
            nursery.cancel_scope.cancel()

    context.site.play(story)


@when(
    "requests for {route} with such a part, no two alike, come among sound ones for"
    " {seconds:d} seconds, while {what}"
)
def deadly_among_sound(context, route, seconds, what):
    play(context, route, seconds, what)


def counted_crash(context):
    crashes = context.site.crashes
    return crashes[min(COUNTED_CRASH, len(crashes)) - 1].at


@then("at most 3 of them reach upstreams later than 3 seconds after the fifth end")
def bound_kept(context):
    assert context.site.crashes
    late = context.site.deadly_arrivals_after(counted_crash(context) + CONTACT_SECONDS)
    times = [round(each.at, 1) for each in context.site.crashes]
    assert len(late) <= MAX_LATE_ARRIVALS, (len(late), times)
    assert len(context.deadly) > 30


@then("sound requests with the same first part are served meanwhile")
def sound_served(context):
    since = counted_crash(context) + 2 * CONTACT_SECONDS
    later = [got for began, got in context.sound if began > since]
    served = sum(got.status == 200 and got.whole for got in later)
    assert len(later) >= 20 and 2 * served >= len(later), (served, len(later))


@then("no sound request is refused for ends of upstreams from then on")
def sound_not_refused(context):
    since = counted_crash(context) + 2 * CONTACT_SECONDS
    refused = [got for began, got in context.sound if began > since and is_refused_for_ends(got)]
    assert not refused, len(refused)


def is_refused_for_ends(got):
    try:
        return json.loads(got.body).get("reason", "") == REASON
    except ValueError:
        return False


@then("its later callers are refused at once, with the reason")
def refused_at_once(context):
    since = counted_crash(context) + CONTACT_SECONDS
    later = [got for began, got in context.deadly if began > since]
    refused = [each for each in later if is_refused_for_ends(each)]
    assert len(later) > 5 and len(refused) >= len(later) - MAX_LATE_ARRIVALS, later
    for got in refused:
        assert got.status in (502, 503)
        if got.status == 503:
            assert got.seconds <= IMMEDIATE_SECONDS, got.seconds

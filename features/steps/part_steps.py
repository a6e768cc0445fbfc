"""Steps about parts of prompts that crash the upstreams that begin to answer."""

import json

import trio
from behave import given, then, when
from crash_steps import CIRCUMSTANCES
from part_world import DEADLY_PART, SHARED_PART, PartWorld

from deckcourse.decisions.quarantine import part_quarantine_seconds
from deckcourse.gateway.part_evidence import PartEvidence
from deckcourse.peers.crash import Crash

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


async def ask_deadly(site, number, name):
    process = site.processes[number % len(site.processes)]
    prefix = f"{SHARED_PART}:40,{DEADLY_PART}:700,{name}:20"
    return await site.ask_part(process, "fragile", name, prefix)


@when("a part is quarantined, its fault is fixed, and an operator releases it")
def released(context):
    async def story(site):
        for number in range(5):
            await ask_deadly(site, number, f"d{number}")
            await trio.sleep(0.5)
            await site.ask_part(site.processes[0], "stream", f"s{number}", f"{SHARED_PART}:40,ff:1")
        context.listed = [await listed_at(site, each) for each in site.processes]
        site.cured = True
        await trio.sleep(5.0)
        identity = next(each for each in context.listed[0] if each["kind"] == "part")["identity"]
        target = b"/quarantine?" + identity.encode()
        status, _ = await site.ask_peer(site.processes[0], b"DELETE", target)
        assert status == 200
        await trio.sleep(1.0)
        context.after = [await ask_deadly(site, number, f"a{number}") for number in range(3)]

    context.site.play(story)


async def listed_at(site, process):
    status, body = await site.ask_peer(process)
    assert status == 200
    return json.loads(body)


@then("every process listed it as a part")
def was_listed(context):
    for views in context.listed:
        parts = [each for each in views if each["kind"] == "part" and each["refused_seconds"] > 0]
        assert len(parts) == 1 and parts[0]["ends"] >= 3, views


@then("requests with it are served at every process within 1 second after")
def served_after(context):
    assert [got.status for got in context.after] == [200, 200, 200], context.after


PREFIXES = {
    "no parts": "",
    "one part": "aa:10",
    "700 parts": ",".join(f"{each:08x}:1" for each in range(700)),
    "a part of 9000 bytes": "ab" * 4500 + ":700,aa:10",
    "the same part twice": "aa:10,aa:10,aa:10",
    "bytes that aren't hex": "z\x7f\xe9!:x,::,aa:10",
    "nothing but commas": ",,,,,",
}


@when("a prompt has {parts}")
def sends_parts(context, parts):
    prefixes = ("aa:10,bb:10", "cc:10") if parts == "two headers" else (PREFIXES[parts],)

    async def story(site):
        site.deadly_parts = set()
        headers = tuple(("X-Prompt-Prefix", each) for each in prefixes)
        entry = site.processes[0]
        context.got = await site.ask_at(entry, "stream", "r1", b"r1", headers=headers)
        # An end with these parts in the prompt.
        site.cured, site.is_deadly_run = False, lambda run: run.request == "r2"
        await site.ask_at(entry, "fragile", "r2", b"r2", headers=headers)
        await trio.sleep(1.5)
        context.rows = [each for each in site.store.log if each[1] == "crashes" and each[3]]

    context.site.play(story)


@then("it is served as any other request")
def served_as_usual(context):
    assert context.got.status == 200 and context.got.whole, context.got


@then("the evidence of one end stays small")
def few_rows(context):
    assert len(context.rows) <= 65, len(context.rows)


@then("evidence on {count:d} parts, each with an end, takes no more than {most:d} records")
def evidence_bounded(context, count, most):
    now = [0.0]
    evidence = PartEvidence(lambda: now[0])
    for number in range(count):
        now[0] += 0.01
        evidence.record(Crash(f"{number:032x}", f"i{number}", 0, is_part=True))
        evidence.record_success([f"{number + count:032x}"])
    assert len(evidence.identities) <= most, len(evidence.identities)
    assert len(evidence._succeeded_at) <= most


@then(
    "after {crashes:d} crashes in a row of {upstreams:d} upstreams within {span:g} seconds a part"
    " is refused for {seconds:g} seconds"
)
def part_refused_for(context, crashes, upstreams, span, seconds):
    assert part_quarantine_seconds(crashes, upstreams, span) == seconds

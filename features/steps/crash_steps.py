"""Steps about requests that crash the upstreams that execute them."""

import json

import trio
from behave import given, then, when
from crash_world import DEADLY, CrashWorld

# The reason in the refusal of a request that crashes upstreams.
REASON = "ends-upstreams"
# Interval between other callers' requests, seconds.
OTHERS_INTERVAL_SECONDS = 0.2
IMMEDIATE_SECONDS = 0.01


@given("three gateway processes and upstreams that some requests crash")
def three_processes(context):
    context.site = CrashWorld()
    context.deadly = []
    context.others = []


async def all_is_well(site):
    """Change nothing."""


async def processes_apart(site):
    site.apart = True
    for process in site.processes:
        process.node.peers.feed.server.stop()


async def store_dark(site):
    site.store.away = True


async def store_dark_at_first(site):
    site.store.away = True
    await trio.sleep(2.5)
    site.store.away = False


async def killed_in_turn(site):
    while True:
        for process in list(site.processes):
            await trio.sleep(2.0)
            await site.restart(process)


async def all_killed(site):
    while len(site.crashes) < 2:
        await trio.sleep(0.05)
    await trio.sleep(0.1)
    async with trio.open_nursery() as nursery:
        for process in list(site.processes):
            nursery.start_soon(site.restart, process)


async def no_row_goes(site):
    site.lapses = False


CIRCUMSTANCES = {
    "all is well": all_is_well,
    "processes don't reach each other": processes_apart,
    "the store is dark": store_dark,
    "the store is dark at first": store_dark_at_first,
    "processes are killed one after the other": killed_in_turn,
    "all processes are killed after two ends": all_killed,
    "no row goes": no_row_goes,
}


async def keep_sending(context, site, route, seconds, body=DEADLY):
    """Send one request repeatedly, each time under another id and to another process."""
    until, number = trio.current_time() + seconds, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            nursery.start_soon(send, site, context.deadly, number, route, f"d{number}", body)
            number += 1
            await trio.sleep(0.7)


async def send(site, responses, number, route, name, body):
    began = trio.current_time()
    process = site.processes[number % len(site.processes)]
    responses.append((began, await site.ask_at(process, route, name, body)))


async def keep_others(context, site, route, seconds):
    until, number = trio.current_time() + seconds, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            body = f"other {number}".encode()
            nursery.start_soon(send, site, context.others, number, route, f"o{number}", body)
            number += 1
            await trio.sleep(OTHERS_INTERVAL_SECONDS)


@when(
    "a crashing request for {route} is sent every 0.7 seconds for {seconds:d}"
    " seconds, while {what}"
)
def comes_while(context, route, seconds, what):
    async def story(site):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(CIRCUMSTANCES[what], site)
            await trio.sleep(0.05)
            await keep_sending(context, site, route, seconds)
            nursery.cancel_scope.cancel()

    context.site.play(story)


@when(
    "a crashing request for {route} is sent every 0.7 seconds for {seconds:d}"
    " seconds, among others"
)
def comes_among_others(context, route, seconds):
    async def story(site):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_others, context, site, route, seconds)
            nursery.start_soon(keep_sending, context, site, route, seconds)

    context.site.play(story)


async def keep_sending_same(context, site, seconds, gap, route="stream"):
    """Send the same request from many concurrent callers to all processes."""
    until, number = trio.current_time() + seconds, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            nursery.start_soon(send, site, context.others, number, route, f"s{number}", b"same")
            number += 1
            await trio.sleep(gap)


def end_first(site, domain):
    """End the first stage of a domain, not caused by a request."""
    runner = next(
        each
        for each in site.runners.values()
        if (each.domain, each.first, each.end) == (domain, 0, 4) and not each.dead
    )
    site.crash(runner, b"")


async def two_at_once(site):
    await trio.sleep(2.0)
    end_first(site, "x")
    end_first(site, "y")


async def three_in_turn(site):
    for domain in "xyx":
        await trio.sleep(4.5)
        end_first(site, domain)


async def reset_three_times(site):
    # Stands for the first crash, from which on other callers are checked.
    site.crash_nothing()
    for _ in range(3):
        await trio.sleep(0.7)
        for name in ("x1", "y1"):
            site.network.reset(f"{name}:1")


async def plain_restart_in_turn(site):
    """Restart the plain upstreams in turn, each after a phase in which it breaks off responses."""
    for name in ("px", "py") * 3:
        site.runners[name].behaviour = "reset"
        await trio.sleep(0.3)
        site.runners[name].behaviour = ""
        await trio.sleep(0.3)
        site.crash(site.runners[name], b"")
        await trio.sleep(2.0)


@when(
    "all callers send the same request while plain upstreams break off responses"
    " and restart in turn"
)
def same_at_plain(context):
    play_same(context, plain_restart_in_turn, route="again")


@when("all callers send the same request while two upstreams end at once")
def same_at_once(context):
    play_same(context, two_at_once, 0.01)


@when("all callers send the same request while three upstreams end in turn")
def same_in_turn(context):
    play_same(context, three_in_turn)


@when("the first upstreams' connections are reset three times")
def same_reset(context):
    play_same(context, reset_three_times)


def play_same(context, event, gap=0.03, route="stream"):
    async def story(site):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(event, site)
            nursery.start_soon(keep_sending_same, context, site, 16.0, gap, route)

    context.site.play(story)


@when("the plain upstreams break off every response and keep running")
def plain_break_off(context):
    async def story(site):
        for name in ("px", "py"):
            site.runners[name].behaviour = "reset"
        await keep_others(context, site, "again", 4.0)

    context.site.play(story)


@then("upstreams received only requests that callers sent")
def only_callers_requests(context):
    unasked = [
        each for each in context.site.received_requests if each.request not in context.site.bodies
    ]
    assert context.site.received_requests and not unasked, (len(unasked), unasked[:3])


@when("another account sends what is deadly from the first one, and to nobody")
def another_account(context):
    site = context.site
    site.config["tenants"].append({"name": "other", "apiKeys": ["other-key"], "priority": 3})

    async def story(site):
        await keep_sending(context, site, "stream", 6.0)
        site.cured = True
        for number in range(60):
            await trio.sleep(0.2)
            began = trio.current_time()
            process = site.processes[number % 3]
            got = await site.ask_at(process, "stream", f"a{number}", DEADLY, key="other-key")
            context.others.append((began, got))

    site.play(story)


@then("it reached upstreams at most 3 times later than 3 seconds after the third crash")
def bound_kept(context):
    assert context.site.ends_under(DEADLY), "nothing was crashed"
    late = context.site.sent_after_third(DEADLY)
    assert len(late) <= 3, (len(late), [each.at for each in context.site.crashes])


@then("it crashed at most {most:d} upstreams")
def crashes_bounded(context, most):
    ends = context.site.ends_under(DEADLY)
    assert len(ends) <= most, (len(ends), [(each.instance, round(each.at, 2)) for each in ends])


def reason_of(got):
    try:
        return json.loads(got.body).get("reason", "")
    except ValueError:
        return ""


@then("no other caller was refused because of crashes")
def others_not_refused(context):
    assert context.others
    refused = [got for _, got in context.others if reason_of(got) == REASON]
    assert not refused, (len(refused), len(context.others))


@then("every other caller that came {seconds:d} seconds after the first crash was served")
def others_served(context, seconds):
    first = context.site.crashes[0].at
    later = [got for at, got in context.others if at > first + seconds]
    failed = [(got.status, got.body[:80]) for got in later if got.status != 200 or not got.whole]
    assert len(later) > 50 and not failed, (len(later), len(failed), failed[:3])


@then("its later callers were refused within 0.01 seconds, because it crashes upstreams")
def refused_at_once(context):
    third = context.site.ends_under(DEADLY)[:3][-1].at
    later = [got for at, got in context.deadly if at > third + 1.0]
    assert len(later) > 5
    for got in later:
        assert got.status == 503 and reason_of(got) == REASON, got
        assert got.seconds <= IMMEDIATE_SECONDS, got.seconds
        assert float(context.site.header(got, "retry-after")) > 0

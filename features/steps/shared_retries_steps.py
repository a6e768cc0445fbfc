"""Steps about the retries of all processes together, and the budget that they share."""

import trio
from behave import given, then, when
from issuer_faults import FAULT_SECONDS, FAULTS
from retry_world import RetryWorld
from slack_world import SlackWorld

from deckcourse.gateway.retry_issuer import URGENT_RESERVE_SHARE
from deckcourse.gateway.retry_limits import RetryLimits

# Time before a fault, and after the longest one.
SECONDS_BEFORE = 4.0
SECONDS_AFTER = 6.0
PEAK_SECONDS = 2.0
BURST_SECONDS = 0.2


@given("{count:d} gateway processes, and upstreams that fail every request as {how}")
def failing_upstreams(context, count, how):
    context.site = RetryWorld(count)
    context.site.behave(how)


@when("callers ask all processes for {route}, {rate:d} a second for {seconds:d} seconds")
def callers_ask(context, route, rate, seconds):
    context.site.play(lambda site: site.keep_asking(route, rate, seconds))


@then("the retries that reached the upstreams are within the budget of all processes")
def within_budget(context):
    excess = context.site.excess()
    retries = len(context.site.retries())
    assert excess <= 0, f"{retries} retries, {excess:.1f} too many in a window"


@given("{count:d} processes that share a slack of {slack:d} retries")
def sharing_processes(context, count, slack):
    context.site = SlackWorld(count, RetryLimits(slack=slack))


async def traffic_jumps(site, rate):
    await site.fail_requests(9 * rate, PEAK_SECONDS)


async def traffic_jumps_twice(site, rate):
    for _ in range(2):
        await traffic_jumps(site, rate)
        await trio.sleep(FAULT_SECONDS)


TRAFFIC = {
    "traffic jumps tenfold for 2 seconds": traffic_jumps,
    "traffic jumps tenfold twice": traffic_jumps_twice,
}


async def all_requests_fail(site, rate, what):
    """Send failing requests before, during and after a fault."""
    async with trio.open_nursery() as nursery:
        seconds = SECONDS_BEFORE + 2 * FAULT_SECONDS + SECONDS_AFTER
        if what == "traffic falls to a tenth":
            nursery.start_soon(site.fail_requests, rate / 10, seconds)
            await site.fail_requests(rate, SECONDS_BEFORE + FAULT_SECONDS)
            return
        nursery.start_soon(site.fail_requests, rate, seconds)
        await trio.sleep(SECONDS_BEFORE)
        site.fault_began_at = trio.current_time()
        if what in TRAFFIC:
            await TRAFFIC[what](site, rate)
        elif what in FAULTS:
            await FAULTS[what](site)
        site.fault_ended_at = trio.current_time()


@when("every attempt fails, {rate:d} requests a second, while {what}")
def every_attempt_fails_while(context, rate, what):
    site = context.site
    if what == "a third of the datagrams are lost":
        site.lost = 1 / 3
    if what == "they have just started":
        site.settle_seconds = 0.0
    site.play(lambda site: all_requests_fail(site, rate, what))


@then("no window has more retries than the budget of all processes")
def shared_budget_kept(context):
    excess, begin = context.site.excess()
    assert excess <= 0, f"{excess:.1f} retries too many in the window from {begin:.1f} s"


@then("retries were made")
def retries_made(context):
    assert context.site.retries


@when("one process needs {wanted:d} retries at once, with no traffic before, for {what}")
def needs_at_once(context, wanted, what):
    reserve_share = 0.0 if what == "interrupted streams" else URGENT_RESERVE_SHARE

    context.site.play(lambda site: need_at_once(site, wanted, reserve_share))


async def need_at_once(site, wanted, reserve_share):
    with trio.move_on_after(BURST_SECONDS):
        async with trio.open_nursery() as nursery:
            for _ in range(wanted):
                nursery.start_soon(site.processes[-1].fail, 1, reserve_share)


async def ask_for_retries(site):
    """Have a process need a retry, so that there is an issuer."""
    await need_at_once(site, 1, 0.0)


@when("a process needs {wanted:d} retries {seconds:d} seconds after {what}")
def needs_after(context, wanted, seconds, what):
    async def story(site):
        await ask_for_retries(site)
        site.retries.clear()
        async with trio.open_nursery() as nursery:
            if what in FAULTS:
                nursery.start_soon(FAULTS[what], site)
            for _ in range(seconds):
                await trio.sleep(1.0)
                if what in FAULTS:
                    await ask_for_retries(site)
        site.retries.clear()
        await need_at_once(site, wanted, 0.0)

    context.site.play(story)


@then("it gets at least {least:d} of them within {seconds:g} seconds")
def gets_retries(context, least, seconds):
    assert seconds == BURST_SECONDS
    assert len(context.site.retries) >= least, len(context.site.retries)


@then("every process retries at least {share:g} of its requests meanwhile")
def retries_by_own_requests(context, share):
    site = context.site
    for process in site.processes:
        requests = site.between(process.requested)
        retries = site.between(process.retried)
        assert retries >= share * requests, (process.name, requests, retries)

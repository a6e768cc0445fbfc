"""Steps about upstreams that announce a rate limit for all processes together."""

import trio
from behave import given, then, when
from crash_world import DEADLY
from rate_world import CONTACT_SECONDS, IMMEDIATE_SECONDS, SLACK, USED_SHARE, RateWorld

# By route: the runner that announces a limit, and all first runners.
FIRST = {"stream": "x1", "once": "px", "again": "px"}
ALL = {"stream": ("x1", "y1"), "once": ("px", "py"), "again": ("px", "py")}
CALLERS_SECONDS = 14.0
# Maximum delay of a Retry-After beyond the time at which a token is free, seconds.
MAX_DELAY_SECONDS = 1.5
# Maximum time until the end of a limit of 0 is detected, seconds.
MAX_DETECTION_SECONDS = 5.0


@given("{count:d} processes, and a first upstream that will announce a limit of {rate:g} a second")
def one_limited(context, count, rate):
    context.site = RateWorld(count)
    context.rate, context.all_limited = rate, False


@given("{count:d} processes, and upstreams that will all announce a limit of {rate:g} a second")
def all_limited(context, count, rate):
    one_limited(context, count, rate)
    context.all_limited = True


@given(
    "{count:d} processes, and upstreams that will all announce a limit of {rate:g} a"
    " second, and spare ones"
)
def all_limited_but_spare(context, count, rate):
    all_limited(context, count, rate)
    for domain in "xy":
        context.site.add(f"{domain}3", "llm", domain, 4, 8)
    for runner in context.site.runners.values():
        runner.accepts_orders, runner.slots = True, 96


def limited_names(context):
    return ALL[context.route] if context.all_limited else (FIRST[context.route],)


async def callers_meet_limits(context, fault=None, share_of_first=None, demand=24.0):
    """Send callers' requests for some seconds without a limit and then with one."""
    site = context.site
    if context.route != "stream":
        for runner in site.runners.values():
            runner.slots = 96
    await site.keep_asking(context.route, demand, 1.0, share_of_first)
    site.limit(limited_names(context), f"{context.rate:g}")
    context.limited_since = trio.current_time() + CONTACT_SECONDS
    async with trio.open_nursery() as nursery:
        if fault is not None:
            nursery.start_soon(fault, site)
        await site.keep_asking(context.route, demand, CALLERS_SECONDS, share_of_first)
    context.limited_until = context.limited_since + CALLERS_SECONDS - CONTACT_SECONDS


@when("callers keep asking all processes for {route}")
def asked_evenly(context, route):
    context.route = route
    context.site.play(lambda site: callers_meet_limits(context))


@when("callers keep asking for {route}, half of them at one process")
def asked_unevenly(context, route):
    context.route = route
    context.site.play(lambda site: callers_meet_limits(context, share_of_first=0.5))


async def peers_cut_off(site):
    await trio.sleep(4.0)
    site.apart = True
    await trio.sleep(5.0)
    site.apart = False


async def store_dark(site):
    await trio.sleep(4.0)
    site.store.away = True
    await trio.sleep(5.0)
    site.store.away = False


async def peers_cut_and_store_dark(site):
    site.store.away = True
    await peers_cut_off(site)
    site.store.away = False


async def every_process_in_turn(site):
    await trio.sleep(4.0)
    for process in list(site.processes):
        await site.restart(process)


async def all_at_once(site):
    await trio.sleep(4.0)
    async with trio.open_nursery() as nursery:
        for process in list(site.processes):
            nursery.start_soon(site.restart, process)


async def half_lose_the_store(site):
    await trio.sleep(4.0)
    for process in site.processes[::2]:
        process.store.cut = True
    await trio.sleep(5.0)
    for process in site.processes[::2]:
        process.store.cut = False


async def broken_elsewhere(site, address):
    await trio.sleep(4.0)
    for _ in range(12):
        site.network.reset(address)
        await trio.sleep(0.4)


async def streams_break(site):
    await broken_elsewhere(site, "y1:1")


async def calls_break(site):
    await broken_elsewhere(site, "py:1")


async def deadly_request(site):
    await trio.sleep(4.0)
    for number in range(4):
        await site.ask_at(site.processes[number], "stream", f"deadly-{number}", DEADLY)
        await trio.sleep(0.5)


async def stage_stalls(site):
    await trio.sleep(4.0)
    site.runners["x2"].blocks_streams = True
    await trio.sleep(1.5)
    site.runners["x2"].blocks_streams = False


async def stage_lost(site):
    for runner in site.runners.values():
        runner.rate_limits = site.runners["x1"].rate_limits
    await trio.sleep(4.0)
    site.ordered = len(site.orders)
    for name in ("x2", "x3"):
        site.runners[name].die()
        site.store.put("servers", name, None)
    site.lost_at = trio.current_time()


async def row_lapses(site):
    site.lost_names = set()
    await trio.sleep(4.0)
    site.store.away = True
    await trio.sleep(1.0)
    row = site.runners["x1"].row()
    site.store.put("servers", "x1", None)
    site.store.away = False
    await trio.sleep(1.5)
    site.store.put("servers", "x1", row)


async def limit_ends(site):
    await trio.sleep(6.0)
    site.runners["x1"].rate_limits = ()
    site.ended_at = trio.current_time()


HAPPENINGS = {
    "a part is lost for good": stage_lost,
    "streams elsewhere break off and resume": streams_break,
    "calls elsewhere break off and are retried": calls_break,
    "a request crashes those that run it": deadly_request,
    "an upstream behind it holds streams up": stage_stalls,
    "the store comes back without its row": row_lapses,
    "the limit ends after 6 seconds": limit_ends,
    "peers are cut off from each other": peers_cut_off,
    "the store is dark": store_dark,
    "peers are cut off and the store is dark": peers_cut_and_store_dark,
    "each process is killed and starts in turn": every_process_in_turn,
    "all processes are killed and start at once": all_at_once,
    "half of the processes lose the store": half_lose_the_store,
}


@when("callers keep asking for {route} while {what}")
def asked_meanwhile(context, route, what):
    context.route = route
    context.site.play(lambda site: callers_meet_limits(context, HAPPENINGS[what]))


@then("no upstream got more requests than its rate limit allows")
def limit_kept(context):
    site = context.site
    most = {name: site.most_in_window(name) for name in limited_names(context)}
    allowed = 4.0 * context.rate + SLACK
    assert all(site.sendings(name) for name in most)
    assert max(most.values()) <= allowed, (most, allowed)


@then("every caller of the processes was served")
def everybody_served(context):
    unserved = [got.status for _, got in context.site.got if got.status != 200 or not got.whole]
    assert context.site.got and not unserved, (len(unserved), len(context.site.got), unserved[:5])


@then("at least 0.85 of the allowed rate was used")
def limit_used(context):
    site = context.site
    until = context.limited_until
    for name in limited_names(context):
        used = site.used(name, context.rate, context.limited_since, until)
        assert used >= USED_SHARE, (name, used)


@then("every other caller was refused at once, with the time at which a token is free")
def refused_with_retry_after(context):
    site = context.site
    refused = [got for at, got in site.got if got.status != 200 and at >= context.limited_since]
    assert refused
    for got in refused:
        assert got.status == 503, got
        assert got.seconds <= IMMEDIATE_SECONDS, got.seconds
        retry_after = float(site.header(got, "retry-after"))
        assert 0.0 < retry_after <= MAX_DELAY_SECONDS + 0.3 * 20.0, retry_after
    # Each retry time is given out once: the first refused callers get the earliest.
    all_refused = [got for _, got in site.got if got.status != 200]
    earliest = min(float(site.header(got, "retry-after")) for got in all_refused)
    assert earliest <= MAX_DELAY_SECONDS, earliest


@then("it was queried about them")
def was_asked(context):
    site = context.site
    asked = [
        each for each in site.control_calls if each.instance == "x1" and each.at > site.named_at
    ]
    assert asked


@then("it is not recorded as lost")
def not_lost(context):
    lines = context.site.lines
    lost = [
        each
        for each in lines
        if each[1].get("instance") == "x1"
        and (each[0] == "first-upstream-lost" or each[1].get("answers") is False)
    ]
    assert not lost, lost[:3]


@then("the first upstream gets a share of all requests again")
def load_returns(context):
    site = context.site
    # Under a limit of 0 the upstream gets a query once in some seconds.
    since = site.ended_at + MAX_DETECTION_SECONDS
    begun = [
        each
        for each in site.received_requests
        if each.at >= since and each.instance in ALL["stream"]
    ]
    own = sum(each.instance == "x1" for each in begun)
    assert begun and own >= 0.2 * len(begun), (own, len(begun))


@then(
    "other upstreams began paths {first:d} to {last:d} seconds after the limit, by"
    " at most {most:d} orders"
)
def others_begin(context, first, last, most):
    site = context.site
    begun = [
        each.at - site.named_at
        for each in site.received_requests
        if each.at > site.named_at and each.instance not in ALL["stream"]
    ]
    assert begun and first <= min(begun) <= last, begun[:3]
    assert len(site.orders) <= most, site.orders


@then("{share:g} of the callers were served at the end")
def served_at_end(context, share):
    site = context.site
    served = site.served(since=context.limited_until - 2.0)
    assert served >= share, served


@then("the lost layers were ordered from others within {seconds:d} seconds")
def ordered_elsewhere(context, seconds):
    site = context.site
    taken = [
        each
        for each in site.control_calls
        if each.instance == "x1" and site.lost_at < each.at <= site.lost_at + seconds
    ]
    held = set(range(site.runners["x1"].first, site.runners["x1"].end))
    assert taken
    assert held == set(range(8)), (held, site.orders[site.ordered :])

"""Steps about processes that are partitioned from upstreams."""

import trio
from behave import given, then, when
from gateway_story import expected_events
from partition_world import Cut, PartitionWorld

# Interval between two requests of each route, seconds.
REQUEST_INTERVAL_SECONDS = 0.1
# Time after the start of a partition from which its processes must serve as the others do.
CONTACT_SECONDS = 3.0
# Times of the partition after the start of the traffic, seconds.
CUT_AT_SECONDS = 2.0
MENDED_AT_SECONDS = 9.0
END_SECONDS = 14.0


@given("{count:d} gateway processes in two failure domains")
def several_processes(context, count):
    context.site = PartitionWorld(count)
    context.requests = []
    context.routes = ("stream", "again", "once")


async def send_regularly(context, site, route):
    """Send requests of a route to all processes in turn."""
    until, number = trio.current_time() + END_SECONDS, 0
    async with trio.open_nursery() as nursery:
        while trio.current_time() < until:
            process = site.processes[number % len(site.processes)]
            name = f"{route}-{number}"
            nursery.start_soon(send, context, site, process, route, name)
            number += 1
            await trio.sleep(REQUEST_INTERVAL_SECONDS)


async def send(context, site, process, route, name):
    began = trio.current_time()
    got = await site.ask_at(process, route, name, name.encode())
    context.requests.append((began, process.name, route, name, got))


def play(context, cut):
    async def story(site):
        context.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for route in context.routes:
                nursery.start_soon(send_regularly, context, site, route)
            await trio.sleep(CUT_AT_SECONDS)
            cut(site)
            await trio.sleep(MENDED_AT_SECONDS - CUT_AT_SECONDS)
            site.mend()

    context.site.play(story)


@when("{names} are partitioned from all upstreams: {how}")
def partitioned(context, names, how):
    context.cut_off = names.replace(" and ", " ").split()
    play(context, lambda site: site.cut(context.cut_off, Cut(how)))


@when("{names} are partitioned from the upstreams of {service}: {how}")
def partitioned_from_service(context, names, service, how):
    context.cut_off = names.replace(" and ", " ").split()
    play(context, lambda site: site.cut(context.cut_off, Cut(how), service=service))


@when("{names} are partitioned from the upstreams in domain {domain}: {how}")
def partitioned_from_domain(context, names, domain, how):
    context.cut_off = names.replace(" and ", " ").split()
    play(context, lambda site: site.cut(context.cut_off, Cut(how), domain=domain))


def is_served(context, route, name, got):
    if got.status != 200 or not got.whole:
        return False
    is_stream = route in ("stream", "fragile")
    return not is_stream or got.body == expected_events(context.site, name, context.site.events)


def shares(context, route, since, until):
    """Return the requests and the served ones at partitioned processes and at the others."""
    counts = {True: [0, 0], False: [0, 0]}
    for began, process, each, name, got in context.requests:
        if each == route and since <= began - context.started_at < until:
            count = counts[process in context.cut_off]
            count[0] += 1
            count[1] += is_served(context, route, name, got)
    return counts


@then("they serve at least two thirds as often as the others from 3 seconds after the start")
def serve_as_others(context):
    for route in context.routes:
        counts = shares(context, route, CUT_AT_SECONDS + CONTACT_SECONDS, MENDED_AT_SECONDS)
        (asked, served), (others_asked, others_served) = counts[True], counts[False]
        assert asked >= 10 and others_asked >= 10, (route, counts)
        assert served / asked >= 2 / 3 * others_served / others_asked, (route, counts)


@then("all callers are served once the upstreams are reachable again")
def served_afterwards(context):
    for route in context.routes:
        counts = shares(context, route, MENDED_AT_SECONDS + 1.0, END_SECONDS)
        for asked, served in counts.values():
            assert asked >= 10 and served == asked, (route, counts)


@then("no call that must not be repeated is executed twice")
def executed_once(context):
    names = [each.request for each in context.site.runs if each.request.startswith("once-")]
    twice = {each for each in names if names.count(each) > 1}
    assert names and not twice, twice


@then("no request is refused that an upstream executed")
def refused_not_executed(context):
    executed = {each.request for each in context.site.runs}
    refused = {name for *_, name, got in context.requests if got.status in (429, 503)}
    wrong = {each for each in refused & executed if each.startswith("once-")}
    assert not wrong, wrong

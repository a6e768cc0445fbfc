"""Steps about what upstreams tell in responses around a restart under their id.

Each step forces one order of events: the restart, the request, the response and the row.
"""

from functools import partial

import trio
from behave import given, then, when
from gateway_story import two_chains
from gateway_world import GatewayWorld
from notice_happenings import row, table
from notice_world import Notices, arrivals_after_leaving, arrivals_during_backoff, keep_asking
from store_reads import wait_for_read

from deckcourse.layers.hosts import Assignment

FIRST = "p1"
FIRST_WITH_LAYERS = "x1"
# Milliseconds on the world's clock, as all start times: before the world's first request.
OLDER_START = 1
# Time between two forced events, seconds; a response takes 0.05 by itself.
STEP_SECONDS = 0.1
LATE_SECONDS = 2 * STEP_SECONDS
# The same for queries and orders, which are given up after 0.12 and more.
CONTROL_STEP_SECONDS = 0.04
# How long callers ask afterwards, seconds.
ASKING_SECONDS = 2
# What the stand-in is set to for each kind of notice.
TOLD = {
    "leaving": {"says_leaving": True},
    "backoff": {"behaviour": "full", "requested_backoffs": ("3",)},
    # The backoff ends before the callers stop asking.
    "leaving with a backoff": {
        "behaviour": "full",
        "requested_backoffs": ("1",),
        "says_leaving": True,
    },
    "limit": {"rate_limits": ("2",)},
    "fails": {"behaviour": "fails"},
    "refuses": {"behaviour": "full"},
}
UNTOLD = {"says_leaving": False, "behaviour": "", "requested_backoffs": (), "rate_limits": ()}


def tell(runner, fields):
    """Set what a stand-in tells in its responses."""
    for name, value in fields.items():
        setattr(runner, name, value)


@given("two plain upstreams that report their start times")
def plain_with_starts(context):
    context.site, context.notices = GatewayWorld(), Notices()
    for name, domain in ((FIRST, "x"), ("p2", "y")):
        # Its domain makes the first one preferred, unless it has failed or may get no requests.
        context.site.add(name, "crm", domain).born = OLDER_START


@given("upstreams with layers that report their start times")
def layers_with_starts(context):
    two_chains(context)
    for runner in context.site.runners.values():
        runner.born, runner.slots, runner.accepts_orders = OLDER_START, 96, False


def listen_with_late_response(site, runner):
    """Let a stand-in take LATE_SECONDS to handle each request."""

    async def handle(request, exchange):
        await trio.sleep(LATE_SECONDS)
        await runner.handle(request, exchange)

    site.network.listen(runner.address, handle)


def restart(site, name, told, resets=True, late=False):
    """Restart an upstream without its row; return the stand-in of the new incarnation."""
    started_at = int(trio.current_time() * 1000)
    after = site.runners[name].restart(started_at, tells=False, resets=resets)
    tell(after, told)
    if late:
        listen_with_late_response(site, after)
    return after


async def write_row(site, name):
    """Write the row of the current incarnation; return once the process knows it."""
    site.store.put("servers", name, site.runners[name].row())
    await trio.sleep(STEP_SECONDS / 5)
    assert table(site).by_name(name).start == site.runners[name].born


async def row_sent_response(site, told):
    restart(site, FIRST, told)
    await write_row(site, FIRST)
    await site.ask("once", name="c-first")


async def sent_response(site, told):
    restart(site, FIRST, told)
    await site.ask("once", name="c-first")
    assert table(site).by_name(FIRST).start == OLDER_START


async def sent_response_row(site, told):
    await sent_response(site, told)
    await trio.sleep(STEP_SECONDS)
    await write_row(site, FIRST)


async def sent_row_response(site, told):
    after = restart(site, FIRST, told, late=True)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(site.ask, "once", name="c-first"))
        await trio.sleep(STEP_SECONDS)
        await write_row(site, FIRST)
        site.network.listen(after.address, after.handle)


async def sent_restart(site, told, row_first):
    """Restart the upstream while the connection of a request is being opened."""
    usual = site.dial

    async def dial(address):
        if address == site.runners[FIRST].address:
            await trio.sleep(LATE_SECONDS)
        return await usual(address)

    site.dial = dial
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(site.ask, "once", name="c-first"))
        await trio.sleep(STEP_SECONDS / 2)
        restart(site, FIRST, told)
        if row_first:
            await write_row(site, FIRST)
    site.dial = usual
    if not row_first:
        assert table(site).by_name(FIRST).start == OLDER_START
        await write_row(site, FIRST)


NEWER_TELLS = {
    "row, sent, response": row_sent_response,
    "sent, response": sent_response,
    "sent, response, row": sent_response_row,
    "sent, row, response": sent_row_response,
    "sent, restart, response, row": partial(sent_restart, row_first=False),
    "sent, restart, row, response": partial(sent_restart, row_first=True),
}


async def older_then_restart(site, told):
    tell(site.runners[FIRST], told)
    await site.ask("once", name="c-first")
    await trio.sleep(STEP_SECONDS)
    restart(site, FIRST, {})
    await write_row(site, FIRST)


async def restart_then_older(site, told):
    """Let the response of the older incarnation be read after the new row."""
    tell(site.runners[FIRST], told)
    listen_with_late_response(site, site.runners[FIRST])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(partial(site.ask, "once", name="c-first"))
        await trio.sleep(STEP_SECONDS)
        # Its connections stay open, so that the response still arrives.
        older = site.runners[FIRST]
        restart(site, FIRST, {}, resets=False)
        older.keeps_silent_connections = False
        await write_row(site, FIRST)
    # Its process has ended: no later request may use its connection.
    site.network.reset(older.address)


OLDER_TELLS = {
    "sent, response, restart, row": older_then_restart,
    "sent, restart, row, response": restart_then_older,
}


def newer_start(context, name=FIRST):
    """Return the start time of the incarnation that runs last."""
    return context.site.runners[name].born


def play(context, force, told):
    async def story(site):
        await force(site, told)
        # Requests that arrive right after a response count as sent before it.
        await trio.sleep(STEP_SECONDS)
        listed = table(site).by_name(FIRST).instance
        context.failure_share = table(site).failure_share(listed)
        context.is_limited = table(site).throttles.is_limited(listed)
        await keep_asking(site, context.notices, "once", ASKING_SECONDS)

    context.site.play(story)
    first = [each for each in context.site.received_requests if each.request == "c-first"]
    context.first_start = next(each.start for each in first if each.instance == FIRST)


@when('the first one restarts and tells "{what}", in the order "{order}"')
def newer_tells(context, what, order):
    play(context, NEWER_TELLS[order], TOLD[what])
    assert context.first_start == newer_start(context)


@when('the first one tells "{what}" and restarts, in the order "{order}"')
def older_tells(context, what, order):
    play(context, OLDER_TELLS[order], TOLD[what])
    assert context.first_start == OLDER_START


@then("the new incarnation got no request after its announcement")
def newer_leaving_kept(context):
    assert any(each.start == newer_start(context) for each in context.site.leaving_notices)
    late = arrivals_after_leaving(context.site, FIRST)
    assert not late, (len(late), late[:2])


@then("the first upstream got no request during its backoff")
def newer_backoff_kept(context):
    assert any(each.instance == FIRST for each in context.site.backoff_notices)
    late = arrivals_during_backoff(context.site, FIRST)
    assert not late, (len(late), late[:2])


@then("it got the first request once")
def first_request_once(context):
    reached = [
        each
        for each in context.site.received_requests
        if (each.request, each.instance) == ("c-first", FIRST)
    ]
    assert len(reached) == 1, reached


@when("the row of a new incarnation comes before it {what} a call")
def row_before_failure(context, what):
    async def story(site):
        after = restart(site, FIRST, TOLD[what], late=True)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(site.ask, "again", name="c-first"))
            await trio.sleep(STEP_SECONDS)
            await write_row(site, FIRST)
            site.network.listen(after.address, after.handle)

    context.site.play(story)


@then("the call reached each upstream once")
def each_upstream_once(context):
    reached = [each.instance for each in context.site.received_requests]
    assert sorted(reached) == [FIRST, "p2"], reached


@then("the limit holds for the listed incarnation")
def newer_limited(context):
    assert context.is_limited


@then("the listed incarnation has a failure share above 0")
def newer_failures(context):
    assert context.failure_share > 0, context.failure_share


def newer_requests(context):
    """Return the requests that the new incarnation received."""
    newer = FIRST, newer_start(context)
    return [each for each in context.site.received_requests if (each.instance, each.start) == newer]


@then("the new incarnation got requests")
def newer_got_requests(context):
    assert len(newer_requests(context)) > 5, newer_requests(context)


async def control_call(site, call, upstream):
    """Send a query, an order or a caller's stream to an upstream."""
    if call == "a stream":
        await site.ask("stream")
    elif call == "an order":
        await site.control.place(upstream, Assignment(upstream.instance, 0, 4, ""), 0)
    else:
        await site.control.query_load(upstream)


async def control_story(site, call, told, order):
    older = row(site, f"{FIRST_WITH_LAYERS}@{OLDER_START}")
    after = restart(site, FIRST_WITH_LAYERS, told)
    after.refuses_control = call == "a refused query"
    after.behaviour = "full" if call == "a stream" else ""
    if order == "row, sent, response":
        await write_row(site, FIRST_WITH_LAYERS)
        older = table(site).by_name(FIRST_WITH_LAYERS)
    if order == "sent, row, response":
        after.control_delay = 2 * CONTROL_STEP_SECONDS
    async with trio.open_nursery() as nursery:
        nursery.start_soon(control_call, site, call, older)
        if order == "sent, row, response":
            await trio.sleep(CONTROL_STEP_SECONDS)
            await write_row(site, FIRST_WITH_LAYERS)
    # Told once: later queries of the process itself must not tell it again.
    tell(after, UNTOLD)
    after.refuses_control = False
    if order == "sent, response, row":
        await write_row(site, FIRST_WITH_LAYERS)


def known_of_first(site):
    """Return what the process knows of the first upstream with layers."""
    listed = table(site).by_name(FIRST_WITH_LAYERS)
    return {
        "leaving": not table(site).accepts(listed.instance),
        "rate limited": table(site).throttles.is_limited(listed.instance),
        "backing off": table(site).backoff_until(listed.instance) is not None,
    }


@when('the first one restarts and tells "{what}" in the response to {call}, in the order "{order}"')
def newer_tells_control(context, what, call, order):
    told = {name: value for name, value in TOLD[what].items() if name != "behaviour"}

    async def story(site):
        await control_story(site, call, told, order)
        context.known = known_of_first(site)

    context.site.play(story)
    reached = [*context.site.control_calls, *context.site.received_requests]
    newer = FIRST_WITH_LAYERS, newer_start(context, FIRST_WITH_LAYERS)
    assert any((each.instance, each.start) == newer for each in reached)


@given("upstreams with layers whose rows have no start times")
def layers_without_starts(context):
    layers_with_starts(context)
    for runner in context.site.runners.values():
        runner.born = None


@when('the first one tells "{what}" and its start time in the response to {call}')
def tells_start_in_response(context, what, call):
    async def story(site):
        runner = site.runners[FIRST_WITH_LAYERS]
        tell(runner, TOLD[what])
        runner.behaviour = ""
        runner.born, runner.refuses_control = OLDER_START, call == "a refused query"
        await control_call(site, call, table(site).by_name(FIRST_WITH_LAYERS))
        context.known = known_of_first(site)

    context.site.play(story)


@when("the first one restarts, and names a limit and then none before its row comes")
def limit_ends_before_row(context):
    async def story(site):
        await sent_response(site, TOLD["limit"])
        tell(site.runners[FIRST], UNTOLD)
        await keep_asking(site, context.notices, "once", ASKING_SECONDS)
        assert len(newer_requests(context)) > 1
        assert not table(site).throttles.is_limited(table(site).by_name(FIRST).instance)
        # Not in the pause of the process between two reads of the list.
        await wait_for_read(site.store, "servers")
        await write_row(site, FIRST)
        context.is_limited = table(site).throttles.is_limited(table(site).by_name(FIRST).instance)

    context.site.play(story)


@then("the limit doesn't hold for the listed incarnation")
def newer_not_limited(context):
    assert not context.is_limited


@then("the listed incarnation counts as {known}")
def newer_counts_as(context, known):
    assert context.known[known], context.known


@given("the wall clock of the process is {seconds:d} seconds ahead")
def clock_ahead(context, seconds):
    context.site.clock_lead = seconds


@when('the first one announces its shutdown and restarts, in the order "{order}"')
def leaves_and_restarts_in_order(context, order):
    async def story(site):
        await OLDER_TELLS[order](site, TOLD["leaving"])
        context.restarted_at = trio.current_time()
        await keep_asking(site, context.notices, "once", 25)

    context.site.play(story)


@when("the first one announces its shutdown and restarts")
def leaves_and_restarts(context):
    leaves_and_restarts_in_order(context, "sent, response, restart, row")


@when("all of them announce their shutdown and restart within a second")
def all_leave_and_restart(context):
    async def story(site):
        for runner in site.runners.values():
            tell(runner, TOLD["leaving"])
            await site.ask("once")
        for name in list(site.runners):
            after = restart(site, name, {})
            site.store.put("servers", name, after.row())
        # The second row comes with a later poll of the store.
        await trio.sleep(3 * STEP_SECONDS)
        assert all(table(site).by_name(name).start != OLDER_START for name in site.runners)
        await keep_asking(site, context.notices, "once", ASKING_SECONDS)

    context.site.play(story)
    left = {(each.instance, each.start) for each in context.site.leaving_notices}
    assert left == {(name, OLDER_START) for name in context.site.runners}, left


@then("every caller is served")
def every_caller_served(context):
    statuses = [got.status for _, got in context.notices.got]
    assert statuses and set(statuses) == {200}, statuses


@then("the new incarnation got no request for {idle:d} seconds, and some within {end:d}")
def idle_for_a_time(context, idle, end):
    times = [each.at - context.restarted_at for each in newer_requests(context)]
    assert times and idle < min(times) < end, times[:3]


@when("the first one restarts and {what} while the connection of a request is being opened")
def restarts_while_connecting(context, what):
    async def story(site):
        usual = site.dial

        async def dial(address):
            if address == site.runners[FIRST].address:
                await trio.sleep(LATE_SECONDS)
            return await usual(address)

        site.dial = dial
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(site.ask, "once", name="c-first"))
            await trio.sleep(STEP_SECONDS / 2)
            after = restart(site, FIRST, {})
            state = "draining" if what == "its row says that it leaves" else "ready"
            site.store.put("servers", FIRST, after.row(state))
            await trio.sleep(STEP_SECONDS / 5)
            if what == "it has asked for a backoff":
                table(site).note_backoff(table(site).by_name(FIRST).instance, 3.0)

    context.site.play(story)


@then("the new incarnation got no request")
def newer_got_nothing(context):
    assert not newer_requests(context), newer_requests(context)

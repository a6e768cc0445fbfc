"""Steps about upstreams that request a backoff or announce their shutdown."""

import json

import trio
from behave import given, then, when
from gateway_runner import StandinRunner
from gateway_story import ask_while
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies
from notice_happenings import HAPPENINGS, row, table
from notice_world import (
    FIRST,
    IMMEDIATE_SECONDS,
    IN_FLIGHT_SECONDS,
    arrivals_after_leaving,
    arrivals_during_backoff,
    first_upstreams,
    keep_asking,
    site_with_notices,
)

from deckcourse.explain import explain
from deckcourse.http1.client import UpstreamReply
from deckcourse.layers.hosts import Assignment
from deckcourse.platform.names import LEAVING, RETRY_AFTER
from deckcourse.platform.notices import MAX_BACKOFF_SECONDS, parse_notice

MANY_DIGITS = "9" * 401
# Header values that are too long for the table, by the text that stands for them.
ODD_ASKS = {"9 and 400 more digits": (MANY_DIGITS,)}
# Maximum pause without a valid Retry-After, the longest default backoff, seconds.
MAX_DEFAULT_PAUSE_SECONDS = 0.7
# Maximum delay of the next request after a backoff, seconds: callers come 0.05 s apart.
MAX_DELAY_SECONDS = 0.1


@given("upstreams of which the first one refuses requests with Retry-After {asks}")
def first_asks(context, asks):
    for runner in first_upstreams(site_with_notices(context)):
        runner.behaviour = "full"
        runner.requested_backoffs = ODD_ASKS.get(asks, tuple(asks.split(" / ")))


@given("upstreams of which the first one refuses requests for x2's sake, with Retry-After 3")
def asks_for_another(context):
    first_asks(context, "3")
    context.site.runners["x1"].at_fault = "x2:1"


@given("upstreams that all refuse requests, the first one with Retry-After 3 and the others with 2")
def all_ask(context):
    first_asks(context, "3")
    for name in ("y1", "p2"):
        context.site.runners[name].behaviour = "full"
        context.site.runners[name].requested_backoffs = ("2",)


@given(
    "upstreams that all refuse requests, the first one with Retry-After 3 and the"
    " others without it"
)
def one_asks(context):
    all_ask(context)
    for name in ("y1", "p2"):
        context.site.runners[name].requested_backoffs = ()


@then("the first caller that both refused may retry within {seconds:g} seconds")
def may_retry(context, seconds):
    site = context.site
    refused = [got for _, got in context.notices.got if got.status == 503]
    assert refused and arrivals_during_backoff(site, "x1") == []
    retry_after = float(site.header(refused[0], "retry-after"))
    assert 0 < retry_after <= seconds, retry_after


@given("upstreams of which the first one will refuse requests with Retry-After 3")
def will_ask(context):
    site_with_notices(context)


@given("upstreams of which the first one sends Retry-After 3 in the response to {answer}")
def asks_in_control(context, answer):
    runner, _ = first_upstreams(site_with_notices(context))
    runner.requested_backoffs, runner.refuses_control = ("3",), True
    context.control_call = answer


@given("upstreams of which the first one announces its shutdown in the response to {answer}")
def says_leaving(context, answer):
    context.control_call = ""
    for runner in first_upstreams(site_with_notices(context)):
        runner.says_leaving = True
        if answer == "a call that fails":
            runner.behaviour = "fails"
        elif answer == "a request that it refuses":
            runner.behaviour = "full"
        elif answer in ("a question for its load", "an order"):
            context.control_call = answer


@given("upstreams that all announce their shutdown")
def all_leave(context):
    for runner in site_with_notices(context).runners.values():
        runner.says_leaving = True


@given("upstreams of which another, leaving one responds at the address of the first one")
def another_answers(context):
    site = site_with_notices(context)
    other = StandinRunner(site, "another", "crm", "x")
    other.says_leaving = True

    async def answer_for(request, exchange):
        await other.handle(request, exchange)

    site.runners["p1"].handle = answer_for


async def make_control_call(context):
    site, call = context.site, getattr(context, "control_call", "")
    if call == "an order":
        await site.control.place(row(site, "x1"), Assignment("x1", 0, 4, ""), 0)
    elif call:
        await site.control.query_load(row(site, "x1"))


@when("a caller asks for {route} every 0.05 seconds for {seconds:d} seconds")
def callers_ask(context, route, seconds):
    async def story(site):
        await make_control_call(context)
        await send_first_request(context, site, route)
        await keep_asking(site, context.notices, route, seconds)
        context.usable = {each.instance for each in table(site).usable("crm")}

    context.site.play(story)


async def send_first_request(context, site, route):
    """Send one request to the first upstream, then apply the event of the scenario."""
    if getattr(context, "happens", ""):
        await site.ask(route, name="c-first")
        await HAPPENINGS[context.happens](site, FIRST[route])
        await trio.sleep(0.1)


@when("the first one has sent it, and {what}")
@when("the first one has announced it, and {what}")
def happens(context, what):
    context.happens = what


@when("a connection to the first one opens after 0.8 seconds, and another is refused meanwhile")
def slow_connection(context):
    async def story(site):
        usual, slow = site.dial, []

        async def dial(address):
            if address == "x1:1" and not slow:
                slow.append(address)
                await trio.sleep(0.8)
            return await usual(address)

        site.dial = dial
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_asking, site, context.notices, "stream", 0.1)
        assert slow

    context.site.play(story)


def turns_away(runner):
    runner.behaviour, runner.requested_backoffs = "full", ("3",)


@when("it does so in the middle of a stream")
def turns_away_meanwhile(context):
    async def change(site):
        turns_away(site.runners["x1"])
        await keep_asking(site, context.notices, "stream", 0.1)

    ask_while(context, 5, change)
    context.site.runs = [each for each in context.site.runs if each.request == "r1"]


@when("its stream breaks off after it did so")
def breaks_after(context):
    async def change(site):
        turns_away(site.runners["x1"])
        await site.ask(name="c1")
        site.network.reset("x1:1")

    ask_while(context, 5, change)


@when("a caller asks for one stream")
def one_stream(context):
    async def story(site):
        context.got = await site.ask()

    context.site.play(story)


@when("the first one has announced it while its row doesn't show it")
def said_without_store(context):
    for runner in context.site.runners.values():
        runner.accepts_orders = True

    async def story(site):
        context.before = len(site.orders)
        await site.ask()
        await trio.sleep(2.0)

    context.site.play(story)


@then("another upstream is ordered to hold its layers within 2 seconds")
def held_elsewhere(context):
    orders = context.site.orders[context.before :]
    assert any(name != "x1" and first == 0 for name, first, _ in orders), context.site.orders


def assert_was_asked(context, name):
    assert any(
        each.instance == name for each in context.site.backoff_notices
    ), context.site.received_requests


@then("the first one got no request during its backoff")
def backoff_kept(context):
    name = FIRST[context.notices.route]
    assert_was_asked(context, name)
    late = arrivals_during_backoff(context.site, name)
    assert not late, (len(late), late[:3], context.site.lines[-5:])


@then("no upstream got a request during its backoff")
def backoffs_kept(context):
    backoff_kept(context)
    for name in context.site.runners:
        assert not arrivals_during_backoff(context.site, name)


@then("the first one got requests again after its backoff")
def used_again(context):
    name = FIRST[context.notices.route]
    over = max(
        each.at + each.seconds for each in context.site.backoff_notices if each.instance == name
    )
    first = min(each.at for each in context.site.backoff_notices if each.instance == name)
    again = [each.at for each in context.site.received_requests if each.at >= first + 3.0]
    assert again and min(again) < first + 3.0 + 0.5, (first, over, again[:3])


@then("every caller was served")
def all_served(context):
    got = [each for _, each in context.notices.got]
    assert got and all(each.status == 200 and each.whole for each in got), [
        (each.status, each.headers) for each in got if each.status != 200
    ][:3]


@then("every later caller was refused within 0.01 seconds, to retry when the first backoff is over")
def refused_until_first_backoff_ends(context):
    site = context.site
    firsts = {each.instance: each.at + each.seconds for each in reversed(site.backoff_notices)}
    names = {"stream": ("x1", "y1")}.get(context.notices.route, ("p1", "p2"))
    opens = min(firsts[name] for name in names)
    all_asked = max(each.at for each in site.backoff_notices)
    later = [(at, got) for at, got in context.notices.got if at > all_asked + IN_FLIGHT_SECONDS]
    assert len(later) > 20, len(later)
    for at, got in later:
        assert got.status == 503 and got.seconds <= IMMEDIATE_SECONDS, got
        retry_at = at + float(site.header(got, "retry-after"))
        assert opens - IN_FLIGHT_SECONDS <= retry_at, (at, retry_at, opens)
    # The first callers may retry when that backoff ends, the others one after the other.
    first_retry_at = min(at + float(site.header(got, "retry-after")) for at, got in later)
    assert first_retry_at <= opens + MAX_DEFAULT_PAUSE_SECONDS, (first_retry_at, opens)


@then("every later caller was refused within 0.01 seconds")
def refused_at_once(context):
    site, names = context.site, {"p1", "p2"}
    firsts = {each.instance: each.at for each in reversed(site.leaving_notices)}
    assert names <= set(firsts), firsts
    all_announced_at = max(firsts[name] for name in names)
    later = [got for at, got in context.notices.got if at > all_announced_at + IN_FLIGHT_SECONDS]
    assert later and all(got.status == 503 for got in later), later[:3]
    assert all(got.seconds <= IMMEDIATE_SECONDS for got in later)


@then("the first one got its next request after {seconds} seconds, {malformed} malformed responses")
def next_after(context, seconds, malformed):
    site = context.site
    at = [each.at for each in site.received_requests if each.instance == "x1"]
    pause = at[1] - at[0] if len(at) > 1 else None
    if seconds == "never":
        assert pause is None, at
    elif seconds.startswith("less than"):
        assert pause is not None and pause < float(seconds.split()[-1]), at[:3]
    else:
        assert pause is not None and 0.0 <= pause - float(seconds) < MAX_DELAY_SECONDS, at[:3]
    counted = site.counters.counts.get("malformed.notice", 0)
    assert (counted > 0) == (malformed == "with"), counted


@then("the first one got no request after its announcement")
def leaving_kept(context):
    name = FIRST[context.notices.route]
    assert any(each.instance == name for each in context.site.leaving_notices)
    late = arrivals_after_leaving(context.site, name)
    assert not late, (len(late), late[:3])


@then("no upstream got a request after its announcement")
def all_leaving_kept(context):
    leaving_kept(context)
    for name in context.site.runners:
        assert not arrivals_after_leaving(context.site, name)


@then("the first one got requests as a new incarnation")
def new_start_used(context):
    name = FIRST[context.notices.route]
    start = context.site.runners[name].born
    assert start is not None
    found = [
        each
        for each in context.site.received_requests
        if (each.instance, each.start) == (name, start)
    ]
    assert found, context.site.received_requests[-3:]


@then("the first one is not recorded as leaving")
def not_leaving(context):
    assert context.notices.got
    assert "p1" in context.usable, context.usable


@then("the explanation of a later refusal names the upstreams and their backoffs")
def explained(context):
    lines = [
        json.dumps({"node": "n", "at": 0.0, "message_type": kind, **fields})
        for kind, fields in context.site.lines
    ]
    refused = [
        fields
        for kind, fields in context.site.lines
        if kind == "refused" and fields["reason"] == "upstream-backoff"
    ]
    assert refused
    found = explain(refused[-1]["request"], lines)
    asked = {
        (each.inputs["instance"], each.inputs["seconds"])
        for each in found.surroundings
        if each.kind == "upstream-backoff"
    }
    assert asked == {("x1", 3.0), ("y1", 2.0)}, asked


HEADER_VALUES = strategies.one_of(
    strategies.binary(max_size=40),
    strategies.from_regex(rb"[0-9 .,e+-]{0,30}", fullmatch=True),
)
HEADERS = strategies.lists(
    strategies.tuples(strategies.sampled_from([RETRY_AFTER, LEAVING, b"x"]), HEADER_VALUES),
    max_size=6,
)


@then("any response headers are parsed")
def any_headers(context):
    @settings(max_examples=500, derandomize=True, deadline=None, database=None)
    @hypothesis_given(HEADERS, strategies.sampled_from([200, 421, 429, 500, 503]))
    def read(headers, status):
        notice = parse_notice(UpstreamReply(status, tuple(headers), None))
        assert 0.0 <= notice.backoff <= MAX_BACKOFF_SECONDS
        assert not notice.backoff or status in (429, 503)
        assert not notice.leaving or (LEAVING, b"1") in [(n, v.strip()) for n, v in headers]

    read()

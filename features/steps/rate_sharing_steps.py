"""Steps about the rate limit that many processes share for one upstream."""

import re

import trio
from behave import given, then, when
from issuer_faults import FAULTS
from token_world import UPSTREAM, TokenWorld

from deckcourse.gateway.notice_intake import NoticeIntake
from deckcourse.gateway.rate_limits import RateLimitBook
from deckcourse.gateway.token_issuer import TOKEN_LIFETIME_SECONDS
from deckcourse.gateway.upstream_notice import NoticeOrigin, UpstreamNotice
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.client import UpstreamReply
from deckcourse.peers.issuer_messages import ISSUER_PREFIX, TokenRequest, encode_message
from deckcourse.peers.rate_limit import RateLimit
from deckcourse.platform.names import RATE_LIMIT
from deckcourse.platform.notices import parse_notice

WINDOW_SECONDS = 4.0
SLACK = 3
USED_SHARE = 0.85
# Time until there is an issuer after the limit is known, seconds.
ELECTION_SECONDS = 3.0
MEASURED_SECONDS = 18.0


@given(
    "{count:d} processes before an upstream that accepts {rate:g} a second, {lost:g}"
    " of datagrams lost"
)
def processes(context, count, rate, lost):
    context.site = TokenWorld(count, rate, lost)


async def callers_come(context, demand, share=None, fault=None):
    site = context.site
    site.record_limit_everywhere()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.callers, demand, ELECTION_SECONDS + MEASURED_SECONDS, share)
        await trio.sleep(ELECTION_SECONDS)
        context.since = trio.current_time()
        if fault is not None:
            await fault(site)
        context.over_at = trio.current_time()
    context.until = context.since + MEASURED_SECONDS


async def limit_ends(site):
    site.rate = None
    await trio.sleep(1.0)
    site.ended_at = trio.current_time()
    await trio.sleep(2.0)
    site.calls_at_end = site.store.reads + site.store.transactions


@when("callers come {demand:d} a second, {how}")
def callers_come_how(context, demand, how):
    site = context.site
    how, _, what = how.partition(", and ")
    share = 0.5 if how == "half of them to one" else None
    site.unused_share = 0.33 if "leave" in how else 0.0
    fault = (FAULTS | {"the limit ends": limit_ends})[what] if what else None
    site.play(lambda _: callers_come(context, demand, share, fault))


@then("no 4 seconds had more requests than the rate allows plus 3")
def rate_kept(context):
    site = context.site
    most, allowed = site.most_in(WINDOW_SECONDS, context.since), 4.0 * site.rate + SLACK
    assert site.sent
    assert most <= allowed, (most, allowed)


@then("at least 0.85 of the rate was used")
def rate_used(context):
    site = context.site
    count = sum(context.since <= at < context.until for at, _ in site.sent)
    used = count / (site.rate * (context.until - context.since))
    assert used >= USED_SHARE, used


@then("requests were sent again afterwards")
def went_on(context):
    site = context.site
    begin = context.over_at + ELECTION_SECONDS + 2.0
    late = [at for at, _ in site.sent if begin < at < context.until]
    span = context.until - begin
    assert len(late) >= USED_SHARE * site.rate * span, (len(late), site.rate * span)


@when("the store is unavailable before the limit is known, and a process starts after it")
def starts_in_the_dark(context):
    async def story(site):
        site.store.away = True
        site.record_limit_everywhere()
        await trio.sleep(1.0)
        site.restart(site.processes[4])
        await trio.sleep(0.5)
        context.process = site.processes[4]

    context.site.play(story)


@then("the process knows the limit within 0.5 seconds, from a peer")
def knows_from_peer(context):
    assert context.process.start == 2
    assert context.process.limits.rate_of(UPSTREAM) == context.site.rate
    assert [fields["source"] for _, fields in context.process.lines] == ["peer"]


@then("a token acquired {seconds:g} seconds ago can't be used")
def stale_token(context, seconds):
    async def story(site):
        site.record_limit_everywhere()
        await trio.sleep(ELECTION_SECONDS)
        for process in site.processes:
            token = None
            while token is None:
                token = await process.gate.acquire(UPSTREAM)
                await trio.sleep(0.0 if token else 0.1)
            await trio.sleep(seconds)
            assert seconds > TOKEN_LIFETIME_SECONDS
            assert not process.gate.may_send(token)

    context.site.play(story)


@when("a caller comes each second for a while, and then 100 at once")
def hundred_at_once(context):
    async def story(site):
        site.record_limit_everywhere()
        await site.callers(1, 20.0)
        context.since = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(100):
                nursery.start_soon(site.pick(None).serve)

    context.site.play(story)


@then("at most {most:d} of the hundred were sent within 0.05 seconds")
def few_saved(context, most):
    sent = [at for at, _ in context.site.sent if context.since <= at < context.since + 0.05]
    assert 1 <= len(sent) <= most, len(sent)


@then("responses with the limit {text} are read as {rate}, {malformed} malformed headers")
def named(context, text, rate, malformed):
    status = 421 if text.endswith("in a 421") else 200
    values = [each.encode() for each in text.removesuffix(" in a 421").split(" / ")]
    values = [b""] if text == "empty" else values
    notice = parse_notice(UpstreamReply(status, tuple((RATE_LIMIT, each) for each in values), None))
    assert notice.rate_limit == (None if rate == "nothing" else float(rate)), notice
    assert notice.malformed == (malformed == "with"), notice


@given("a process that received {heard}")
def receives_limits(context, heard):
    clock = iter(range(1000))
    now = [0.0]
    upstreams = UpstreamTable(lambda: now[0])
    book = context.book = RateLimitBook(lambda: now[0], lambda limit, source: None)
    intake = NoticeIntake(upstreams, book, lambda name: None, lambda *_, **__: None, lambda: now[0])
    for each in heard.split(", then "):
        now[0] = float(next(clock)) + 1.0
        if each.endswith("from a peer"):
            rate = None if "end" in each else float(each.split()[0])
            version = 2 if rate is None else 1
            book.merge(RateLimit(UPSTREAM, version, rate, "questions" in each))
            continue
        number = re.match(r"[\d.]+", each)
        malformed = each.startswith("unreadable")
        notice = UpstreamNotice(
            rate_limit=float(number[0]) if number else None, malformed=malformed
        )
        sent_at = -1.0 if "before" in each else now[0]
        intake.apply(
            UPSTREAM, notice, NoticeOrigin(sent_at, sent_at, is_control="question" in each)
        )


@then("its limit is {rate}")
def keeps_to(context, rate):
    assert context.book.rate_of(UPSTREAM) == (None if rate == "nothing" else float(rate))


@when("a process receives a limit from 5000 upstreams, and 1000 from one more within a second")
def receives_many_limits(context):
    async def story(site):
        process = site.processes[0]
        for number in range(5000):
            process.limits.record(f"flood-{number}", 1.0, trio.current_time())
        for number in range(1000):
            process.limits.record("changing", float(number), trio.current_time())
            await trio.sleep(0.001)
        await trio.sleep(0.5)
        context.process = process

    context.site.play(story)


@then("it retains at most {most:d} limits")
def bounded(context, most):
    assert len(context.process.limits.limits()) <= most


@then("it logged the one upstream at most {most:d} times")
def logged(context, most):
    lines = [each for _, each in context.process.lines if each["instance"] == "changing"]
    assert 1 <= len(lines) <= most, len(lines)


@when("malformed datagrams about limits arrive")
def strange(context):
    async def story(site):
        site.record_limit_everywhere()
        await trio.sleep(ELECTION_SECONDS)
        target = site.processes[0].address
        request = encode_message(TokenRequest(1, "nobody:1", RateLimit(UPSTREAM, 1, 2.3)))
        for data in (b"", b"\xff" * 50, request[1:-3], b"\x81" * 3000, request[1:]):
            site.medium.deliver("x", target, ISSUER_PREFIX + data)
        await trio.sleep(0.1)
        await callers_come(context, 20)
        context.counts = site.processes[0].counters.counts

    context.site.play(story)


@then("they are counted and the limit still holds")
def counted(context):
    assert context.counts.get("malformed.token-message", 0) == 4, context.counts
    rate_kept(context)


@then("every process sends without tokens within 1 second")
def ended(context):
    site = context.site
    assert all(each.limits.rate_of(UPSTREAM) is None for each in site.processes)
    after = [at for at, _ in site.sent if site.ended_at <= at < site.ended_at + 5.0]
    assert len(after) > 20 * 5.0 * USED_SHARE, len(after)


@then("the store receives no more calls about limits")
def no_calls(context):
    calls = context.site.store.reads + context.site.store.transactions
    assert calls <= context.site.calls_at_end, (calls, context.site.calls_at_end)

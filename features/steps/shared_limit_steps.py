"""Steps for limits on all processes together, of which each uses its share of the traffic."""

from random import Random

import trio
from behave import given, then, when
from slack_world import SlackWorld
from trio.testing import MockClock

from deckcourse.decisions.sliding_count import SlidingCount
from deckcourse.gateway.dialect import LoadReport
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.retry_allowance import EARNED_SHARE, RetryAllowance
from deckcourse.gateway.retry_issuer import (
    BURST_SHARE,
    URGENT_RESERVE_SHARE,
    RetryGrant,
    RetryIssuer,
)
from deckcourse.gateway.retry_limits import RetryLimits
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.issuer_messages import RetryNeed
from deckcourse.peers.loads import LoadBoard

LIMITS = RetryLimits()
RATE = 100
MEASURING_INTERVAL_SECONDS = 0.4
# More retries than any request gets.
MANY = 10_000


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def numbers(text):
    return [] if text == "none" else [int(each) for each in text.split()]


@given("measurements of {own} own requests among {all}")
def measurements(context, own, all):  # noqa: A002
    clock = Clock()
    context.traffic = TrafficShare(clock)
    for own_requests, total in zip(numbers(own), numbers(all), strict=True):
        clock.now += MEASURING_INTERVAL_SECONDS
        context.traffic.note(own_requests, total)


@then("the process estimates its share at {least:g} to {most:g}")
def estimated_share(context, least, most):
    assert least <= context.traffic.share <= most, context.traffic.share


@given("{count:d} processes that share 100 requests a second {how}")
def processes(context, count, how):
    context.site = SlackWorld(count, LIMITS)
    context.site.random, context.site.is_random = Random(1), False
    if how == "unevenly":
        context.site.weights = [1.0 + index for index in range(count)]


@when("every attempt fails for {seconds:d} seconds")
def every_attempt_fails(context, seconds):
    context.site.play(lambda site: site.fail_requests(RATE, seconds, MANY))


@then("no 10 seconds have more retries than 0.2 of the requests and 200")
def within_bound(context):
    excess, begin = context.site.excess()
    assert context.site.retries
    assert excess <= 0, (begin, excess)


@then("no process waits longer than {seconds:g} seconds for a retry")
def none_waits(context, seconds):
    assert context.site.longest_wait <= seconds, context.site.longest_wait


@when("{spent:d} retries are spent, and {seconds:g} seconds later {count:d} requests come")
def spent_and_later(context, spent, seconds, count):
    assert all(context.allowance.spend() for _ in range(spent))
    context.clock.now += seconds
    for _ in range(count):
        context.allowance.earn()


@then("{retries:d} retries can be made at once")
def can_be_made(context, retries):
    made = sum(context.allowance.spend() for _ in range(30))
    assert made == retries, made


@given("events at {times}")
def events_at(context, times):
    context.counted = SlidingCount()
    for each in [] if times == "none" else times.split():
        context.counted.add(float(each))


@then(
    "in the {seconds:g} seconds before {now:g} there were at least {least:d} and at most"
    " {most:d}"
)
def counted_events(context, seconds, now, least, most):
    found = context.counted.at_least(now, seconds), context.counted.at_most(now, seconds)
    assert found == (least, most), found


async def deny(need):
    return RetryGrant(0, 1.0)


@given("an allowance of which requests have earned {count:d} retries")
def earned_allowance(context, count):
    clock = context.clock = Clock()
    context.allowance = RetryAllowance("s", lambda: LIMITS, deny, clock)
    clock.now = 1000.0
    for _ in range(round(count / (EARNED_SHARE * LIMITS.ratio)) + 1):
        context.allowance.earn()


@then(
    "with a share of {kept:g} reserved others get {others:d} and those that need them get "
    "{rest:d}"
)
def kept_retries(context, kept, others, rest):
    assert sum(context.allowance.spend(kept) for _ in range(30)) == others
    assert sum(context.allowance.spend() for _ in range(30)) == rest


@given("an allowance to which an issuer grants {count:d} retries at once")
def granting_issuer(context, count):
    async def grant(need):
        return RetryGrant(count)

    context.clock = Clock()
    context.allowance = RetryAllowance("s", lambda: LIMITS, grant, context.clock)


@when("one of them is spent and {seconds:g} seconds pass")
def one_spent(context, seconds):
    assert trio.run(context.allowance.acquire)
    context.clock.now += seconds


@given("an issuer that may issue {count:d} retries at once")
def full_issuer(context, count):
    limits = RetryLimits(slack=count / BURST_SHARE)
    context.issuer = RetryIssuer(lambda: limits)
    context.issuer.start_term(0.0, is_first=True)


@then("others get all but a third, and urgent retries get the rest")
def issued_by_urgency(context):
    count = 20
    others = sum(context.issuer.issue(RetryNeed("s", 1, False, True), 0.0).count for _ in range(30))
    urgent = sum(context.issuer.issue(RetryNeed("s", 1, True, True), 0.0).count for _ in range(30))
    assert others == int(count * (1 - URGENT_RESERVE_SHARE)), others
    assert others + urgent == count, urgent


@then("it issues retries at no more than {count:d} services")
def bounded_services(context, count):
    needs = [RetryNeed(f"s{each}", 1, True, True) for each in range(count + 5)]
    assert sum(context.issuer.issue(each, 0.0).count for each in needs) == count


@given("a process that answers {rate:d} requests a second")
def answering(context, rate):
    context.clock = Clock()
    context.schedule = ReturnSchedule(context.clock)
    for _ in range(round(20 * rate)):
        context.clock.now += 1 / rate
        context.schedule.note_answered()


@when("{count:d} requests are refused at once, with a retry-after of at least {least:g} seconds")
def refused_at_once(context, count, least):
    context.times = [context.schedule.take_slot(least) for _ in range(count)]


@then(
    "the first may retry after {least:g} seconds and the last between {early:g} and "
    "{late:g} seconds"
)
def coming_back(context, least, early, late):
    assert context.times[0] == least, context.times
    assert early <= context.times[-1] <= late, context.times


@then("no second has more than {most:d} of these retries")
def spread_out(context, most):
    count = max(sum(start <= each < start + 1 for each in context.times) for start in context.times)
    assert count <= most, sorted(context.times)


class DelayedControl:
    """Answers each load query after a delay."""

    def __init__(self, seconds):
        self.seconds = seconds

    async def query_load(self, upstream):
        await trio.sleep(self.seconds)
        return LoadReport(running=30, queued=0, cache_used=0, cache_total=1)


@given("a process that queries upstreams which answer after {seconds:g} seconds")
def delayed_upstreams(context, seconds):
    context.control = DelayedControl(seconds)


@then(
    "its share of the traffic is unknown after {early:g} seconds and known after {late:g} "
    "seconds"
)
def known_later(context, early, late):
    upstream = Upstream("u", "s", "u:1", "x")

    async def story():
        traffic = TrafficShare(trio.current_time)
        board = LoadBoard(trio.current_time)
        watch = LoadWatch(
            context.control, "x", lambda: [upstream], lambda name: 5, traffic, board,
            lambda: True, lambda: sum(each.requests for each in board.all()),
        )  # fmt: skip
        watch.note_request()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch.run)
            await trio.sleep(early)
            assert not traffic.is_measured
            await trio.sleep(late - early)
            assert traffic.is_measured and 0.1 < traffic.share < 0.2, traffic.share
            nursery.cancel_scope.cancel()

    trio.run(story, clock=MockClock(autojump_threshold=0))

"""Steps for limits on all processes together, of which each uses its share of the traffic."""

from collections import Counter
from random import Random

import trio
from behave import given, then, when
from trio.testing import MockClock

from deckcourse.gateway.dialect import LoadReport
from deckcourse.gateway.load_watch import LoadWatch
from deckcourse.gateway.retry_allowance import BURST_SHARE, RetryAllowance, RetryLimits
from deckcourse.gateway.return_schedule import ReturnSchedule
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.peers.loads import LoadBoard

LIMITS = RetryLimits()
RATE = 100
MEASURING_INTERVAL_SECONDS = 0.4
STEP_SECONDS = 0.1
# Streams that are in flight at the upstreams at any time; measurements are drawn from them.
IN_FLIGHT = 150
# Interval between the starts of the windows in which retries are counted.
WINDOW_STEP_SECONDS = 0.5


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
    context.clock = Clock()
    context.weights = [1.0 if how == "evenly" else 1.0 + index for index in range(count)]
    context.traffic = [TrafficShare(context.clock) for _ in range(count)]
    context.allowances = [
        RetryAllowance(lambda: LIMITS, lambda each=each: each.share, context.clock)
        for each in context.traffic
    ]


@when("every attempt fails for {seconds:d} seconds")
def every_attempt_fails(context, seconds):
    random = Random(1)
    names = range(len(context.weights))
    context.retries = []
    context.retried_at = dict.fromkeys(names, 0.0)
    context.longest = 0.0
    for step in range(round(seconds / STEP_SECONDS)):
        context.clock.now = step * STEP_SECONDS
        if step % round(MEASURING_INTERVAL_SECONDS / STEP_SECONDS) == 0:
            in_flight = Counter(random.choices(names, context.weights, k=IN_FLIGHT))
            for name, traffic in enumerate(context.traffic):
                traffic.note(in_flight[name], IN_FLIGHT)
        for name in random.choices(names, context.weights, k=round(RATE * STEP_SECONDS)):
            context.allowances[name].earn()
            while context.allowances[name].spend():
                context.retries.append(context.clock.now)
                context.retried_at[name] = context.clock.now
        waits = (context.clock.now - at for at in context.retried_at.values())
        context.longest = max(context.longest, *waits)


@then("no 10 seconds have more retries than 0.2 of the requests and 200")
def within_bound(context):
    allowed = LIMITS.ratio * RATE * LIMITS.window + LIMITS.slack
    for start in range(round(context.clock.now / WINDOW_STEP_SECONDS)):
        begin = start * WINDOW_STEP_SECONDS
        count = sum(begin <= each < begin + LIMITS.window for each in context.retries)
        assert count <= allowed, (begin, count, allowed)


@then("no process waits longer than {seconds:g} seconds for a retry")
def none_waits(context, seconds):
    assert context.longest <= seconds, context.longest


@given("an allowance for a burst of {count:d} retries")
def allowance(context, count):
    clock = Clock()
    limits = RetryLimits(slack=count / BURST_SHARE)
    context.allowance = RetryAllowance(lambda: limits, lambda: 1.0, clock)
    clock.now = 1000.0


@then(
    "with a share of {kept:g} reserved others get {others:d} and those that need them get "
    "{rest:d}"
)
def kept_retries(context, kept, others, rest):
    assert sum(context.allowance.spend(kept) for _ in range(30)) == others
    assert sum(context.allowance.spend() for _ in range(30)) == rest


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


@given("an allowance that started with a share of {share:g} and a slack of {slack:g}")
def began_with(context, share, slack):
    context.clock = Clock()
    context.share = share
    limits = RetryLimits(slack=slack)
    context.allowance = RetryAllowance(lambda: limits, lambda: context.share, context.clock)


@when("its share becomes {share:g} after {seconds:g} seconds")
def share_becomes(context, share, seconds):
    context.clock.now += seconds
    # What came back until then came by the share until then.
    assert context.allowance.balance == context.allowance.max_balance
    context.share = share


@then("{retries:d} retries can be made at once, a third of the largest balance kept")
def can_be_made(context, retries):
    made = sum(context.allowance.spend(0.33) for _ in range(100))
    assert made == retries, made

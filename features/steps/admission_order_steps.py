"""Steps about the decisions of admission control, and replays of traffic against its queues."""

from collections import Counter
from dataclasses import replace
from random import Random

from admission_replay import Replay
from behave import given, then, when

from deckcourse.decisions.admission_order import (
    CALLER_TIMEOUT_SECONDS,
    AccountUse,
    Limits,
    Prospect,
    RequestNeed,
    SharedRoom,
    decide,
    rank_of,
)

VERDICTS = {"begins": "begin", "waits": "wait", "refuses": "refuse"}
# The phases of each traffic: seconds, and requests a second by priority. The upstream serves 58.
TRAFFICS = {
    "a swing by half": ((8, (48,)), (8, (72,)), (12, (48,))),
    "a route at 2.4 times its rate": ((8, (16, 16, 16)), (8, (16, 38, 16)), (12, (16, 16, 16))),
    "a burst in which urgent requests are many": (
        (8, (22, 8, 16)),
        (8, (28, 10, 40)),
        (12, (22, 8, 16)),
    ),
}
CHANGE_AT, CHANGE_ENDS_AT, SETTLED_AT, END_AT = 8, 16, 20, 28
NOW = 100.0


@given("a path with a first event in {first:d} ms, pauses of {pause:d} ms and utilization {used:g}")
def path_offers(context, first, pause, used):
    context.prospect = Prospect(first / 1000, pause / 1000, 0.1, 0.02, used, 4.0)


@given("a path with a first event in {first:d} ms even if idle")
def slow_path(context, first):
    context.prospect = Prospect(first / 1000, 0.05, first / 1000, 0.05, 0.1, 4.0)


@when(
    "a request that waited {waited:d} ms asks for it behind {ahead:d} others, "
    "with a reserve of {reserve:g}"
)
def request_asks(context, waited, ahead, reserve):
    need = RequestNeed(1, "a", 100, 0.5, CALLER_TIMEOUT_SECONDS, NOW - waited / 1000)
    limits = Limits(0.25, reserve, ahead=ahead, ends_per_second=5.0)
    context.verdict = decide(need, context.prospect, limits, NOW)


@then('it {verdict} because of "{why}"')
def verdict_is(context, verdict, why):
    assert (context.verdict.kind, context.verdict.why) == (VERDICTS[verdict], why), context.verdict


@given(
    "the room that {count:d} drawn reports show to a process, with streams that it sent and that "
    "ended"
)
def drawn_rooms(context, count):
    random = Random("rooms")
    context.prospects = []
    for _ in range(count):
        shared = SharedRoom(
            random.uniform(0.5, 1.5),
            random.randint(1, 40),
            random.uniform(0.02, 1.0),
            random.randint(0, 4),
            random.randint(0, 4),
            random.random(),
        )
        prospect = Prospect(0.1, 0.05, 0.1, 0.02, shared.estimated_utilization, 4.0)
        context.prospects.append(replace(prospect, shared=shared))


@then("each path on which a lesser request begins takes an urgent one as well")
def urgent_begin_as_well(context):
    lesser = RequestNeed(2, "a", 100, 0.5, CALLER_TIMEOUT_SECONDS, NOW)
    urgent = replace(lesser, priority=0)
    taken = [
        each
        for each in context.prospects
        if decide(lesser, each, Limits(reserve=0.1, is_short=True), NOW).kind == "begin"
    ]
    left = [each for each in taken if decide(urgent, each, Limits(), NOW).kind != "begin"]
    assert len(taken) >= 100 and not left, (len(taken), len(left), left[:1])


def need_of(text):
    """Return the request of a text such as "p1 a 400 tokens 300 ms"."""
    priority, account, cost, _, waited, _ = text.split()
    return RequestNeed(
        int(priority[1:]),
        account,
        float(cost),
        0.5,
        CALLER_TIMEOUT_SECONDS,
        NOW - float(waited) / 1000,
    )


@given('requests {first} and {second} that wait, and an account "big" that used much')
def requests_wait(context, first, second):
    context.needs = need_of(first), need_of(second)
    context.use = AccountUse()
    for name, cost in (("a", 1.0), ("big", 1000.0)):
        context.use.note_begun(RequestNeed(1, name, cost, 0.5, 1.8, NOW), NOW)
    old = [each for each in context.needs if each.account == "old"]
    for at in (NOW - 4.0, NOW - 1.0) if old else ():
        context.use.note_asked(old[0], at)


@then("{first} goes first")
def goes_first(context, first):
    ranks = [rank_of(each, context.use, NOW, 0.1) for each in context.needs]
    assert ranks[0] < ranks[1], ranks


@when("{processes:d} processes replay {traffic} with callers that return")
def replay_returns(context, processes, traffic):
    context.replay = Replay(processes, TRAFFICS[traffic], returns=True)


@when("{processes:d} processes replay {traffic}")
def replay(context, processes, traffic):
    context.replay = Replay(processes, TRAFFICS[traffic])


def in_time(context, begin, end, priority=None):
    return context.replay.in_time(begin, end, priority)


@then("before it all requests are in time and none is refused")
def all_in_time(context):
    assert in_time(context, 0, 5) == 1.0, in_time(context, 0, 5)
    assert context.replay.refusals(0, 5) == 0


@then("during it at least {urgent:g} of priority 0 and {every:g} of all requests are in time")
def served(context, urgent, every):
    shares = in_time(context, CHANGE_AT, CHANGE_ENDS_AT, 0), in_time(
        context, CHANGE_AT, CHANGE_ENDS_AT
    )
    assert shares[0] >= urgent and shares[1] >= every, shares


@then("requests of priority 0 are in time more often than those of the last priority")
def urgent_first(context):
    last = max(each.priority for each in context.replay.outcomes)
    shares = [in_time(context, CHANGE_AT, CHANGE_ENDS_AT, each) for each in (0, last)]
    assert last == 0 or shares[0] > shares[1] + 0.2, shares


@then("4 seconds after it at least {share:g} are in time")
def settled(context, share):
    assert in_time(context, SETTLED_AT, END_AT) >= share, in_time(context, SETTLED_AT, END_AT)


@then("no half second has more than {most:d} returning callers")
def spread_out(context, most):
    counts = Counter(int(at * 2) for each in context.replay.outcomes for at in each.returns_at)
    assert counts and max(counts.values()) <= most, counts.most_common(3)


@when(
    "{first:d} callers of priority 2 and then {second:d} of priority 0 are refused, "
    "with at least {least:g} seconds"
)
def two_refused(context, first, second, least):
    context.slots = {}
    for priority, count in ((2, first), (0, second)):
        take_slots(context, priority, count, least)


@when("{count:d} callers of priority 1 are refused, with at least {least:g} seconds")
def middle_refused(context, count, least):
    take_slots(context, 1, count, least)


def take_slots(context, priority, count, least):
    context.slots[priority] = [
        context.schedule.take_ranked_slot(priority, least, number / count)
        for number in range(count)
    ]


@then("those of priority 0 return before those of priority 1, none at the same time")
def urgent_return_first(context):
    slots = context.slots
    assert min(slots[0]) >= 0.5 and max(slots[0]) < min(slots[1]), slots
    assert sorted(slots[0] + slots[1]) == slots[0] + slots[1] == sorted({*slots[0], *slots[1]})

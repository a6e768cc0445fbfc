"""Steps about streams that are taken from their upstream at odd moments.

A process that stood still for 0.2 s found, in one tick, an upstream's answer in its socket and its
own question to that upstream timed out. It took the answer that it had not read yet for silence,
and all its streams from an upstream that was there. Of 20 questions whose answers came while the
process stood still, 6 counted as unanswered.
"""

import trio
from behave import then, when
from connection_world import BOUNDS, virtually
from gateway_runner import EVENT_SECONDS
from gateway_story import expected_events, two_chains
from gateway_world import LAYERS
from interruption_world import Meeting, ask_held_up, watch_streams

from deckcourse.gateway.active_stream import Interruption
from deckcourse.gateway.dialect import Pulse
from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.client import ConnectionPool
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.platform.runners import RunnerControl

STOOD_STILL_SECONDS = 0.2
# The upstream answers after this, seconds: later than a stand-still begins, sooner than it ends.
ANSWER_SECONDS = 0.1
STANDS_STILL_AT_SECONDS = 0.05
REPORT = b'{"sequence": 7, "running": 1, "queued": 0, "kvUsed": 1, "kvTotal": 2, "stalled": []}'
HEAD = b"HTTP/1.1 200"
REFUSAL = b"HTTP/1.1 503"


async def refuse_and_stop(request, exchange):
    """Refuse a request with a body whose end never comes."""
    name = next(value for key, value in request.headers if key == b"x-request-id")
    await exchange.start(503, ((b"x-request-id", name), (b"x-not-executed", b"1")))
    await trio.sleep_forever()


def ask_taken_early(site, when_taken):
    """Play one stream that is taken from x1 at a moment before its answer began."""
    meeting = Meeting(Interruption.FIRST_SILENT)
    if when_taken == "while the rest of a refusal is due":
        site.runners["x1"].handle = refuse_and_stop
    sought = {
        "before anything came": b"",
        "in the tick in which the head came": HEAD,
        "while the rest of a refusal is due": REFUSAL,
    }.get(when_taken)

    async def dial(address):
        transport = await site.network.dial(address)
        if sought is None:
            meeting.interrupt()
            await trio.sleep(EVENT_SECONDS)
        return meeting.on(transport, sought) if sought is not None else transport

    async def story(site):
        watch_streams(site, meeting.streams)
        site.got = await site.ask()

    site.dial = dial
    site.play(story)
    return site


@when("a stream is detached from its first upstream")
def taken_early(context):
    context.plays = []
    for row in context.table:
        two_chains(context)
        context.plays.append((row, ask_taken_early(context.site, row["when"])))


@then("each time the stream was detached and its caller got every event once")
def taken_and_whole(context):
    for row, site in context.plays:
        taken = [fields for kind, fields in site.lines if kind == "try-interrupted"]
        assert len(taken) == 1, (row["when"], site.lines)
        assert_got_all(site, row["when"])
        assert site.runs[-1].instance != taken[0]["instance"], (row["when"], site.runs)


def assert_got_all(site, what):
    got = site.got
    assert got.status == 200 and got.whole, (what, got, site.lines)
    assert got.body == expected_events(site, "r1", site.events), (what, got.body)


async def ask_while_standing_still(what):
    """Ask an upstream that answers while this process stands still; return what was learned."""

    async def answer(request, exchange):
        await trio.sleep(ANSWER_SECONDS)
        await exchange.whole(200, (), REPORT)

    async def stand_still():
        await trio.sleep(STANDS_STILL_AT_SECONDS)
        clock = trio.lowlevel.current_clock()
        clock.jump(STOOD_STILL_SECONDS)

    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery, lambda: BOUNDS)
        network.listen("u:1", answer)
        control = RunnerControl(ConnectionPool(lambda name: None, network.dial))
        upstream = Upstream("u", "s", "u:1", "x")
        nursery.start_soon(stand_still)
        ask = {
            "its stalls": lambda: control.stalled(upstream),
            "its load": lambda: control.load(upstream),
            "its orders": lambda: control.order_count(upstream),
            "its pulse": lambda: control.pulse(upstream, 0.15),
        }
        learned = await ask[what]()
        nursery.cancel_scope.cancel()
    return learned


@when("a process is paused for 0.2 seconds while it queries an upstream for")
def stands_still(context):
    context.learned = {
        row["what"]: virtually(lambda row=row: ask_while_standing_still(row["what"]))
        for row in context.table
    }


@then("each time it gets the answer")
def has_answer(context):
    pulse = context.learned.pop("its pulse", None)
    missing = [what for what, learned in context.learned.items() if learned is None]
    assert not missing, missing
    assert pulse is not None and pulse.pulse is Pulse.ALIVE, pulse


@when(
    "a stream is detached while a write to its caller is blocked, and its second upstream "
    "is lost"
)
def taken_while_held_up(context):
    context.site.add("x3", "llm", "x", 4, LAYERS)

    async def lose_second(streams):
        gateway = context.site.node.gateway.context
        (second,) = {each.path.parts[1].instance for each in streams}
        context.site.runners[second].die()
        gateway.upstreams.suspect(second, 1.0, lost=True)
        await gateway.monitor._move_all()

    ask_held_up(context, lose_second)
    assert context.got.whole, context.got


@then("no upstream was sent another path for it")
def not_moved(context):
    moves = [fields for kind, fields in context.site.lines if kind == "move"]
    assert not moves, moves


def ask_to_the_end(site, when_met):
    """Play one stream whose end an interruption meets; count the retries that it kept."""
    meeting = Meeting(Interruption.FIRST_SILENT)
    site.spent = 0

    async def dial(address):
        transport = await site.network.dial(address)
        return meeting.on(transport, b"0\r\n\r\n") if "tick" in when_met else transport

    async def story(site):
        watch_streams(site, meeting.streams)
        count_retries(site)
        site.got = await site.ask()
        if "after" in when_met:
            meeting.interrupt()

    site.dial = dial
    site.play(story)
    return site


def count_retries(site):
    """Count in `site.spent` the retries that are taken and not given back."""
    allowance = site.node.gateway.context.budget("llm")
    spend, give_back = allowance.spend, getattr(allowance, "give_back", None)

    def spend_counted(*args):
        taken = spend(*args)
        site.spent += taken
        return taken

    def give_back_counted():
        site.spent -= 1
        give_back()

    allowance.spend, allowance.give_back = spend_counted, give_back_counted


@when("an interruption coincides with the end of a stream")
def meets_end(context):
    context.plays = []
    for row in context.table:
        two_chains(context)
        context.plays.append((row["when"], ask_to_the_end(context.site, row["when"])))


@then("each time the caller got every event once and no retry was spent")
def nothing_spent(context):
    for when_met, site in context.plays:
        assert_got_all(site, when_met)
    assert not any(site.spent for _, site in context.plays), [
        (when_met, site.spent) for when_met, site in context.plays
    ]

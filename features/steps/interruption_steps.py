"""Steps for streams that are detached from their upstream at inconvenient moments.

They guard against a paused process taking an unread answer for a timeout. After a pause of 0.2 s, a
process found an upstream's answer in its socket and its own query timed out in the same scheduler
tick. It detached all its streams from that live upstream. Of 20 queries whose answers came during
the pause, 6 counted as unanswered.
"""

import trio
from behave import then, when
from connection_world import BOUNDS, virtually
from gateway_runner import EVENT_SECONDS
from gateway_story import expected_events, two_chains
from gateway_world import LAYERS
from interruption_world import TriggeredInterruption, play_blocked_caller, watch_streams

from deckcourse.gateway.active_stream import Interruption
from deckcourse.gateway.dialect import ProbeResult
from deckcourse.gateway.upstream import Upstream
from deckcourse.http1.memory import MemoryNetwork
from deckcourse.http1.pool import ConnectionPool
from deckcourse.platform.runners import RunnerControl

PAUSE_SECONDS = 0.2
# The upstream's answer comes after the pause began and before it ends.
ANSWER_SECONDS = 0.1
PAUSED_AT_SECONDS = 0.05
REPORT = b'{"sequence": 7, "running": 1, "queued": 0, "kvUsed": 1, "kvTotal": 2, "stalled": []}'
HEAD = b"HTTP/1.1 200"
REFUSAL = b"HTTP/1.1 503"


async def refuse_and_stop(request, exchange):
    """Refuse a request with a body that never ends."""
    name = next(value for key, value in request.headers if key == b"x-request-id")
    await exchange.start(503, ((b"x-request-id", name), (b"x-not-executed", b"1")))
    await trio.sleep_forever()


def play_early_detachment(site, moment):
    """Play one stream that is detached from x1 at a moment before its response began."""
    interruption = TriggeredInterruption(Interruption.FIRST_SILENT)
    if moment == "while the rest of a refusal is due":
        site.runners["x1"].handle = refuse_and_stop
    trigger = {
        "before anything came": b"",
        "in the tick in which the head came": HEAD,
        "while the rest of a refusal is due": REFUSAL,
    }.get(moment)

    async def dial(address):
        transport = await site.network.dial(address)
        if trigger is None:
            interruption.interrupt()
            await trio.sleep(EVENT_SECONDS)
        return interruption.on(transport, trigger) if trigger is not None else transport

    async def story(site):
        watch_streams(site, interruption.streams)
        site.got = await site.ask()

    site.dial = dial
    site.play(story)
    return site


@when("a stream is detached from its first upstream")
def detach_early(context):
    context.plays = []
    for row in context.table:
        two_chains(context)
        context.plays.append((row, play_early_detachment(context.site, row["when"])))


@then("each time the stream was detached and its caller got every event once")
def detached_and_complete(context):
    for row, site in context.plays:
        taken = [fields for kind, fields in site.lines if kind == "try-interrupted"]
        assert len(taken) == 1, (row["when"], site.lines)
        assert_got_all(site, row["when"])
        assert site.runs[-1].instance != taken[0]["instance"], (row["when"], site.runs)


def assert_got_all(site, what):
    got = site.got
    assert got.status == 200 and got.whole, (what, got, site.lines)
    assert got.body == expected_events(site, "r1", site.events), (what, got.body)


async def query_while_paused(what):
    """Query an upstream that answers while this process is paused; return the result."""

    async def answer(request, exchange):
        await trio.sleep(ANSWER_SECONDS)
        await exchange.respond(200, (), REPORT)

    async def pause():
        await trio.sleep(PAUSED_AT_SECONDS)
        clock = trio.lowlevel.current_clock()
        clock.jump(PAUSE_SECONDS)

    async with trio.open_nursery() as nursery:
        network = MemoryNetwork(nursery, lambda: BOUNDS)
        network.listen("u:1", answer)
        control = RunnerControl(ConnectionPool(lambda name: None, network.dial))
        upstream = Upstream("u", "s", "u:1", "x")
        nursery.start_soon(pause)
        ask = {
            "its stalls": lambda: control.query_stalled(upstream),
            "its load": lambda: control.query_load(upstream),
            "its orders": lambda: control.order_count(upstream),
            "its pulse": lambda: control.probe(upstream, 0.15),
        }
        results = await ask[what]()
        nursery.cancel_scope.cancel()
    return results


@when("a process is paused for 0.2 seconds while it queries an upstream for")
def paused_while_querying(context):
    context.results = {
        row["what"]: virtually(lambda row=row: query_while_paused(row["what"]))
        for row in context.table
    }


@then("each time it gets the answer")
def has_answer(context):
    pulse = context.results.pop("its pulse", None)
    missing = [what for what, results in context.results.items() if results is None]
    assert not missing, missing
    assert pulse is not None and pulse.result is ProbeResult.ALIVE, pulse


@when(
    "a stream is detached while a write to its caller is blocked, and its second upstream "
    "is lost"
)
def detach_while_blocked(context):
    context.site.add("x3", "llm", "x", 4, LAYERS)

    async def lose_second(streams):
        gateway = context.site.node.gateway.context
        (second,) = {each.path.stages[1].instance for each in streams}
        context.site.runners[second].die()
        gateway.upstreams.suspect(second, 1.0, lost=True)
        await gateway.monitor._move_all()

    play_blocked_caller(context, lose_second)
    assert context.got.whole, context.got


@then("no upstream was sent another path for it")
def not_moved(context):
    moves = [fields for kind, fields in context.site.lines if kind == "move"]
    assert not moves, moves


def play_to_the_end(site, moment):
    """Play one stream whose end coincides with an interruption; count the retries it spent."""
    interruption = TriggeredInterruption(Interruption.FIRST_SILENT)
    site.spent = 0

    async def dial(address):
        transport = await site.network.dial(address)
        return interruption.on(transport, b"0\r\n\r\n") if "tick" in moment else transport

    async def story(site):
        watch_streams(site, interruption.streams)
        count_retries(site)
        site.got = await site.ask()
        if "after" in moment:
            interruption.interrupt()

    site.dial = dial
    site.play(story)
    return site


def count_retries(site):
    """Count in `site.spent` the retries that are spent and not returned."""
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
def interrupt_at_end(context):
    context.plays = []
    for row in context.table:
        two_chains(context)
        context.plays.append((row["when"], play_to_the_end(context.site, row["when"])))


@then("each time the caller got every event once and no retry was spent")
def nothing_spent(context):
    for moment, site in context.plays:
        assert_got_all(site, moment)
    assert not any(site.spent for _, site in context.plays), [
        (moment, site.spent) for moment, site in context.plays
    ]

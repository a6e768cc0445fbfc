"""Steps about upstreams that restart under their id."""

import json
from contextlib import suppress
from types import SimpleNamespace

import trio
from behave import given, then, when
from gateway_story import ask_while, two_chains
from gateway_world import LAYERS, GatewayWorld, default_config, is_machine

from deckcourse.gateway.dialect import Dispatch
from deckcourse.gateway.row_intake import RowIntake
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.http1.message import IncomingRequest, header_value
from deckcourse.http1.pool import ConnectionPool
from deckcourse.layers.hosts import Assignment
from deckcourse.layers.paths import LayerPath, PathStage
from deckcourse.peers.replica import TableReplica, TableUpdate
from deckcourse.platform.dialect import PlatformDialect
from deckcourse.platform.rows import PlatformRows

# Values of `born` that are not integers, and the word for a missing one.
ODD = {"fraction": 5.5, "text": "7", "null": None}
NAMELESS = "nameless"
SERVICE = "crm"


def start_of(word):
    """Return the fields of a runner's message that hold its start time."""
    if word == NAMELESS:
        return {}
    return {"born": ODD[word] if word in ODD else int(word)}


class ReportingRunner:
    """A runner whose replies all report a given start time, and that may refuse orders."""

    def __init__(self):
        self.start, self.status, self.seen = {}, 202, []
        self.is_another = False

    async def handle(self, request, exchange):
        self.seen.append(header_value(request.headers, b"x-expected-instance").decode())
        if request.target == b"/v1/report":
            said = {**self.start, "sequence": 3, "running": 1, "queued": 0}
            await exchange.respond(421 if self.is_another else 200, (), json.dumps(said).encode())
        elif self.is_another:
            await exchange.respond(421, (), json.dumps(self.start).encode())
        else:
            await exchange.respond(self.status, (), json.dumps(self.start).encode())


def known(site):
    return site.node.gateway.context.upstreams.of_service(SERVICE)


def listed(site, name):
    """Return the gateway's row of a runner with layers."""
    rows = site.node.gateway.context.upstreams.of_service("llm")
    return next(each for each in rows if each.address == f"{name}:1")


def usable_starts(site, name):
    """Return the start times of the usable incarnations of a runner with layers."""
    rows = site.node.gateway.context.upstreams.usable("llm")
    return [each.start for each in rows if each.address == f"{name}:1"]


def held_by(runners):
    return {layer for each in runners for layer in range(each.first, each.end)}


def row_of(name, start):
    row = {"service": SERVICE, "address": "p:1", "zone": "x", "slots": 6, "state": "ready"}
    return {**row, **start}


MOVED = LayerPath((PathStage("p", "p:1", 0, LAYERS),), "x", 0, 1.0)


async def exchange_with(site, what, upstream):
    """Send an upstream a query or an order; return the result."""
    if what == "report":
        count = await site.control.order_count(upstream)
        return "unanswered" if count is None else f"{count} orders"
    if what == "pulse":
        return str((await site.control.probe(upstream, 0.1)).result)
    if what == "place":
        return str(await site.control.place(upstream, Assignment("p", 0, 4, ""), 3))
    result, _ = await site.control.move(upstream, "r1", MOVED)
    return str(result)


async def apply_report(site, runner, said, asked):
    """Apply one report about the upstream; `asked` are the rows known so far."""
    what, _, word = said.rpartition(" ")
    if said == "gone":
        site.store.put("servers", "p", None)
    elif what == "row":
        site.store.put("servers", "p", row_of("p", start_of(word)))
    elif what == "all rows":
        # A source without a change history sends all of its rows.
        site.store.has_no_change_feed = True
        site.store.put("servers", "p", row_of("p", start_of(word)))
    else:
        runner.start = start_of(word)
        runner.status = 409 if what == "refused order" else 202
        # Another upstream at the address refuses messages to this one.
        runner.is_another = what.startswith("misdirected")
        upstream = asked[0 if what == "old report" else -1]
        call = what.rpartition(" ")[2].replace("order", "place")
        await exchange_with(site, call, upstream)
    await trio.sleep(0.3)
    site.store.has_no_change_feed = False


@then("after these reports about one id this start time is known")
def start_known(context):
    wrong = []
    for row in context.table:
        site = GatewayWorld()
        runner = ReportingRunner()

        async def story(site, row=row, runner=runner):
            site.network.listen("p:1", runner.handle)
            asked = []
            for said in row["said"].split(", "):
                await apply_report(site, runner, said, asked)
                asked += [each for each in known(site) if each not in asked]
            starts = [
                "-" if getattr(each, "start", None) is None else str(each.start)
                for each in known(site)
            ]
            if starts != ([] if row["known"] == "none" else [row["known"]]):
                wrong.append((row["said"], row["known"], starts))

        site.play(story)
    assert not wrong, wrong


@then("after these updates from peers about one id this start time is known")
def start_known_from_peers(context):
    wrong = []
    for row in context.table:
        replica, table = TableReplica("servers"), UpstreamTable(lambda: 100.0)
        intake = RowIntake(
            PlatformRows(is_machine),
            table,
            None,
            ConnectionPool(lambda what: None),
            *4 * (do_nothing,),
        )
        intake.operator_row("config", json.dumps(default_config()).encode(), 1)
        replica.merge(TableUpdate("servers", None, 1))
        for told in row["told"].split(", "):
            what, _, word = told.rpartition(" ")
            # A peer that is behind sends the state of a superseded version.
            version = 2 if what.endswith("older") else replica.version + 10
            after = None if what.startswith("all") else 1
            value = json.dumps(row_of("p", start_of(word))).encode()
            if replica.merge(TableUpdate("servers", after, version, (("p", value, version),))):
                intake.upstream_rows(replica.rows)
        starts = [each.start for each in table.of_service(SERVICE)]
        if starts != [int(row["known"])]:
            wrong.append((row["told"], row["known"], starts))
    assert not wrong, wrong


def do_nothing(*_, **__):
    """Ignore a callback."""


@then("each reply has this result")
def answers_count(context):
    wrong = []
    for row in context.table:
        for what in ("report", "pulse", "place", "move"):
            site = GatewayWorld()
            runner = ReportingRunner()

            async def story(site, row=row, runner=runner, what=what):
                site.network.listen("p:1", runner.handle)
                asked = {} if row["asked"] == "none" else start_of(row["asked"])
                site.store.put("servers", "p", row_of("p", asked))
                await trio.sleep(0.3)
                (upstream,) = known(site)
                runner.start = start_of(row["answers"])
                got = await exchange_with(site, what, upstream)
                if got != row[what]:
                    wrong.append((row["asked"], row["answers"], what, got))
                assert set(runner.seen) == {"p"}, runner.seen

            site.play(story)
    assert not wrong, wrong


@then("upstreams with these ids and start times are distinct, each with its own id on the wire")
def ids_apart(context):
    # Two rows of one id are the same upstream, so each is checked in a site of its own.
    instances = []
    for row in context.table:
        site = GatewayWorld()

        async def story(site, row=row):
            start = {"born": int(row["born"])} if row["born"] else {}
            site.store.put("servers", row["id"], row_of(row["id"], start))
            await trio.sleep(0.3)
            (upstream,) = known(site)
            instances.append(upstream.instance)
            caller = SimpleNamespace(message=IncomingRequest(b"GET", b"/", (), b""))
            headers = PlatformDialect().headers_for(caller, Dispatch(upstream.instance, 1.0))
            assert header_value(headers, b"x-expected-instance").decode() == row["id"], headers

        site.play(story)
    assert len(set(instances)) == len(instances), instances


@given("two chains of runners that report their start times")
def chains_with_starts(context):
    two_chains(context)
    for runner in context.site.runners.values():
        runner.born, runner.slots = 1000, 96


@given("a chain of runners that report their start times, each with room for all layers")
def chain_with_starts(context):
    context.site = GatewayWorld()
    for name, first in (("x1", 0), ("x2", 4)):
        context.site.add(name, "llm", "x", first, first + 4).born = 1000


@when(
    "{part} restarts after {count:d} events, its connections {connections}, and"
    " {told} reports it"
)
def starts_again_under_stream(context, part, count, connections, told):
    async def change(site):
        context.older = listed(site, part)
        runner = site.runners[part].restart(
            2000, tells=told == "its row", resets=connections == "reset"
        )
        if told == "a late row":
            await trio.sleep(1.0)
            site.store.put("servers", part, runner.row())

    async def look(site):
        upstreams = site.node.gateway.context.upstreams
        older = context.older.instance
        context.left = upstreams.last_known(older), upstreams.in_flight(older)
        context.newer = listed(site, part)

    ask_while(context, count, change, rest=1.5, after=look)


@then("nothing counts as held or in flight at the older incarnation")
def nothing_at_older(context):
    assert context.left == (None, 0), context.left
    assert context.newer.start == 2000, context.newer


@when("the first stage of a stream restarts three times during the stream")
def three_restarts(context):
    async def change(site):
        for number in range(3):
            firsts = [each.instance for each in site.runs]
            before = site.runners[firsts[-1]]
            after = before.restart(2000 + number, tells=False)
            # Restores its layers, so that the next attempt may be sent there.
            after.first, after.end = before.first, before.end
            site.store.put("servers", after.instance, after.row())
            await trio.sleep(0.1)

    ask_while(context, 3, change)
    assert len(context.site.runs) == 4, context.site.runs


@given("a chain of runners that report their start times, and an empty one to fill a gap")
def chain_and_empty(context):
    chain_with_starts(context)
    engine = context.site.config["services"][0]["engine"]
    engine["kinds"][0]["mb"] = 6.5 * engine["layer_mb"]
    context.site.add("x3", "llm", "x").born = 1000


@when("x2 restarts and {told} reports it")
def starts_again_at_rest(context, told):
    async def story(site):
        old = listed(site, "x2")
        site.runners["x2"].restart(2000, tells=told == "its row")
        if told == "a report":
            await site.control.query_load(old)
        told_at = trio.current_time()
        with trio.move_on_after(5.0):
            while held_by(site.runners.values()) != set(range(LAYERS)):
                await trio.sleep(0.02)
        context.ordered_after = trio.current_time() - told_at

    context.site.play(story)


@then("every layer is ordered again within {late:g} seconds of that report")
def ordered_again(context, late):
    assert context.ordered_after <= late, (context.ordered_after, context.site.lines)


@when("x2 is lost, and x3 restarts and accepts the order meant for its older incarnation")
def newer_takes_order(context):
    times = context.times = SimpleNamespace(row=None, order=None)

    async def story(site):
        async def take(order, exchange):
            # The crash happens between the query for the order count and the order.
            runner = site.runners["x3"] = site.runners["x3"].restart(2000, tells=False)
            runner.orders, runner.on_order = 1, refuse
            await exchange.respond(202, (), json.dumps(runner.start_fields).encode())

        async def refuse(order, exchange):
            times.order = times.order or trio.current_time()
            await exchange.respond(409, (), json.dumps({"born": 2000}).encode())

        # The order in flight gets a reply, as if the restart had been quick enough.
        site.network.kill = lambda address, kept=site.network.kill: (
            None if address == "x3:1" else kept(address)
        )
        site.runners["x3"].on_order = take
        site.runners["x2"].die()
        site.store.put("servers", "x2", None)
        with trio.move_on_after(6.0):
            while site.runners["x3"].born == 1000:
                await trio.sleep(0.02)
            await trio.sleep(0.3)
            site.store.put("servers", "x3", site.runners["x3"].row())
            times.row = trio.current_time()
            while times.order is None:
                await trio.sleep(0.02)

    context.site.play(story)


@then("x3 got another order within {late:g} seconds of its row, though a load takes 4 seconds")
def another_order(context, late):
    times = context.times
    assert times.row is not None and times.order is not None, (times, context.site.lines)
    assert times.order - times.row <= late, (times, context.site.lines)


@when("x2 restarts while the store is unavailable and only a report shows it")
def restart_without_store(context):
    async def story(site):
        old = listed(site, "x2")
        site.store.away = True
        await trio.sleep(0.2)
        runner = site.runners["x2"].restart(2000, tells=False)
        await site.control.query_load(old)
        refused = site.counters.counts.get("retry.refused.421", 0)
        context.firsts = []
        for number in range(6):
            got = await site.ask(name=f"r{number}")
            assert got.status == 200, got
            context.firsts.append(site.runs[-1].instance)
        context.refused = site.counters.counts.get("retry.refused.421", 0) - refused
        runner.first, runner.end = 4, LAYERS
        site.store.put("servers", "x2", runner.row())
        site.store.away = False
        with trio.move_on_after(5.0):
            while not (usable := usable_starts(site, "x2")):
                await trio.sleep(0.05)
        context.usable = usable

    context.site.play(story)


@then("streams run in domain y from that report on, and x2 is usable after the store's return")
def without_store(context):
    assert context.firsts == ["y1"] * 6 and not context.refused, (context.firsts, context.refused)
    assert context.usable == [2000], (context.usable, context.site.lines[-8:])


@given("a plain upstream that reports its start time")
def plain_with_start(context):
    context.site = GatewayWorld()
    context.site.add("p1", SERVICE).born = 1000


@when("it restarts between two calls without closing its connections")
def silent_restart(context):
    async def story(site):
        assert (await site.ask("again", "r1")).status == 200
        site.runners["p1"].restart(2000, resets=False)
        await trio.sleep(0.3)
        context.got = await site.ask("again", "r2")

    with suppress(trio.TooSlowError):
        context.site.play(story)


@then("the second call was answered within {seconds:g} seconds")
def second_answered(context, seconds):
    assert context.got.status == 200 and context.got.seconds <= seconds, context.got

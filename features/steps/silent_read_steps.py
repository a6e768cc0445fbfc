"""Steps for reads of the store whose connections go silent."""

import json

import trio
from behave import given, then, when
from connection_world import virtually
from crash_world import CrashWorld
from gateway_world import GatewayWorld, default_config
from returns.result import Failure
from store_reads import wait_for_read

from deckcourse.http1.pool import ConnectionPool
from deckcourse.peers.crash import Crash
from deckcourse.peers.replica import TableUpdate
from deckcourse.platform.store import Store
from deckcourse.settings import GatewaySettings
from deckcourse.table import TableFailure

LIST = "servers"
SETTLE_SECONDS = 6.0
PLAY_SECONDS = 8.0
# From the silence to the change.
CHANGE_DELAY_SECONDS = 0.2
# From the silence of the first process to that of the last one, if they fall silent in turn.
TURN_SECONDS = 1.0
IDENTITY = "ab" * 16
PLAN = {"number": 1, "author": "x/1", "model": "m", "assignments": []}
SITES = {
    "a process alone": (("g0", "x"),),
    "three processes in three areas": (("g0", "x"), ("g1", "y"), ("g2", "z")),
    "eight processes in two areas": tuple((f"g{each}", "xy"[each % 2]) for each in range(8)),
}
# A version that no table has.
FUTURE_VERSION = 10**9


def silence_pending_read(store, table):
    """Make the reads of a table that are under way stay unanswered; return a function to begin.

    Args:
      store: where a process reads.
      table: the table; empty for all, with an idle connection that the next read uses.
    """
    original, silent_at, idle = store.changes, [], []

    async def changes(name, after, seconds):
        began_at = trio.current_time()
        is_idle_used = bool(silent_at and idle and idle.pop())
        answer = await original(name, after, seconds)
        is_silenced = table in ("", name) and silent_at and began_at <= silent_at[0]
        if is_silenced or is_idle_used:
            await trio.sleep_forever()
        return answer

    def begin():
        silent_at.append(trio.current_time())
        if not table:
            idle.append(True)

    store.changes = changes
    store.renew_connections = idle.clear
    return begin


@when(
    "the read of the list goes silent for good,"
    " and a plain upstream leaves {seconds:g} seconds later"
)
def silent_list(context, seconds):
    world = context.world = GatewayWorld()
    for name in ("c1", "c2"):
        world.add(name, "crm")

    async def story(world):
        silence = silence_pending_read(world.store, LIST)
        await trio.sleep(SETTLE_SECONDS)
        await wait_for_read(world.store, LIST)
        context.silent_at = trio.current_time()
        silence()
        await trio.sleep(seconds)
        world.store.put(LIST, "c1", None)
        context.arrivals = []
        number = 0
        while trio.current_time() < context.silent_at + PLAY_SECONDS:
            number += 1
            sent_at = trio.current_time()
            await world.ask("again", f"w{number}")
            context.arrivals += [
                (sent_at, each.instance) for each in world.runs if each.request == f"w{number}"
            ]
            await trio.sleep(0.05)

    world.play(story)


@then("{seconds:g} seconds after the silence began, no request reaches that upstream")
def check_arrivals(context, seconds):
    at_left = [at - context.silent_at for at, name in context.arrivals if name.startswith("c1")]
    assert at_left and max(at_left) < seconds, at_left[-1:]
    assert any(name.startswith("c2") for _, name in context.arrivals)


@given("{processes}, with a revocation time of {seconds:g} seconds")
def some_processes(context, processes, seconds):
    context.world = CrashWorld()
    context.world.names = SITES[processes]
    context.world.seeds = tuple(f"{name}-peer:1" for name, _ in SITES[processes][:3])
    context.world.settings = GatewaySettings(revocation=seconds)


def change(world, table):
    """Change a table as the operator, an upstream or another process does."""
    if table == "servers":
        world.store.put("servers", "px", None)
    elif table == "plans":
        world.store.put("plans", "group", PLAN)
    elif table == "op":
        config = default_config(version=2)
        config["routes"] = [{**config["routes"][3], "name": "new", "pathPrefix": "/new/"}]
        world.store.put("op", "config", config)
    else:
        for instance in ("u1", "u2", "u3"):
            crash = Crash(IDENTITY, instance)
            row = [crash.identity, crash.instance, crash.known_crashes, crash.is_part]
            world.store.put("crashes", f"{IDENTITY}.{instance}", row)


async def knows_change(world, process, table):
    """Return whether a process acts by the change of a table."""
    if table == "plans":
        return process.node._plan_book.last_plan("group") is not None
    if table == "crashes":
        _, body = await world.ask_peer(process)
        return IDENTITY in body.decode()
    if table == "op":
        return (await world.ask_at(process, "new", f"op-{process.name}")).status == 200
    names = [f"{process.name}-{each}" for each in range(8)]
    for name in names:
        await world.ask_at(process, "again", name)
    return not any(each.instance == "px" for each in world.runs if each.request in names)


@when(
    "all reads of every one go silent for good,"
    " and the only plain upstream leaves 0.2 seconds later"
)
def silent_reads_and_only_upstream(context):
    del context.world.runners["py"]
    silent_reads_and_change(context, "all reads of every one", LIST)


@when("{reads} go silent for good, and table {table} changes 0.2 seconds later")
def silent_reads_and_change(context, reads, table):
    world = context.world

    async def story(world):
        silenced_table = "" if reads.startswith("all") else table
        silences = {
            each.name: silence_pending_read(each.store, silenced_table) for each in world.processes
        }
        await trio.sleep(SETTLE_SECONDS)
        first = next(each for each in world.processes if each.node.peers.feed.follows)
        await wait_for_read(first.store, table)
        for each in world.processes if "one" not in reads or "every" in reads else [first]:
            silences[each.name]()
            if reads.endswith("each"):
                await trio.sleep(TURN_SECONDS / len(world.processes))
        silent_at = trio.current_time()
        await trio.sleep(CHANGE_DELAY_SECONDS)
        change(world, table)
        await trio.sleep_until(silent_at + 3.0)
        context.known = [await knows_change(world, each, table) for each in world.processes]

    world.play(story)


@then("3 seconds after the silence began, every process knows the change")
def all_know(context):
    assert all(context.known), context.known


@when("the read of the list stays unanswered while a source sends that an upstream has left")
def source_sends_change(context):
    async def story(world):
        (process,) = world.processes
        silence = silence_pending_read(process.store, LIST)
        await trio.sleep(SETTLE_SECONDS)
        await wait_for_read(process.store, LIST)
        silence()
        replica = process.node.peers.feed._shared_state.replica(LIST)
        await trio.sleep(CHANGE_DELAY_SECONDS)
        version = replica.version
        rows = (("px", None, version + 1),)
        replica.merge(TableUpdate(LIST, version, version + 1, rows))
        await trio.sleep(1.0)
        context.known = await knows_change(world, process, LIST)

    context.world.play(story)


@then("a second later no request reaches that upstream")
def change_known(context):
    assert context.known


@when("all reads of one go silent for good")
def all_reads_of_one_silent(context):
    world = context.world

    async def story(world):
        process = world.processes[0]
        silence = silence_pending_read(process.store, "")
        await trio.sleep(SETTLE_SECONDS)
        silence()
        silent_at = trio.current_time()
        context.readiness, context.statuses = [], []
        await trio.sleep_until(silent_at + 3.0)
        while trio.current_time() < silent_at + PLAY_SECONDS:
            context.readiness.append(process.node.ready)
            number = len(context.readiness)
            context.statuses.append((await world.ask_at(process, "again", f"s{number}")).status)
            await trio.sleep(0.1)

    world.play(story)


@then("3 seconds after the silence began, it is ready and serves its callers")
def ready_and_serving(context):
    assert all(context.readiness), context.readiness.index(False)
    assert set(context.statuses) == {200}, context.statuses


@when("all reads of one but that of the configuration stand still, and that one fails")
def one_read_fails(context):
    async def story(world):
        process = world.processes[0]
        for table in (LIST, "plans", "crashes"):
            silence_pending_read(process.store, table)()
        await trio.sleep(SETTLE_SECONDS)
        original, read_at = process.store.changes, []

        async def changes(name, after, seconds):
            if not read_at and name == "op":
                read_at.append(trio.current_time())
                return Failure(TableFailure.UNAVAILABLE)
            if name == "op":
                read_at.append(trio.current_time())
            return await original(name, after, seconds)

        process.store.changes = changes
        await trio.sleep(SETTLE_SECONDS)
        context.seconds = read_at[1] - read_at[0]

    context.world.play(story)


@then("the store is read again within {seconds:g} seconds")
def read_again(context, seconds):
    assert context.seconds <= seconds, context.seconds


async def count_reads(world, seconds):
    """Return how often each process reads the store within some seconds."""
    counts = []
    for process in world.processes:
        counts.append(0)
        number = len(counts) - 1

        async def counting(name, after, seconds, original=process.store.changes, number=number):
            counts[number] += 1
            return await original(name, after, seconds)

        process.store.changes = counting
    await trio.sleep(seconds)
    return counts


@when("another process reports a change of servers that the store doesn't have, each second")
def wrong_reports(context):
    async def report(world):
        while True:
            for process in world.processes:
                process.node.peers.feed.stalled_reads.note_reported({"servers": FUTURE_VERSION})
            await trio.sleep(1.0)

    context.report = report


@then("in {seconds:g} seconds each process reads the store at most {most:d} times")
def few_reads(context, seconds, most):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        if hasattr(context, "report"):
            world.nursery.start_soon(context.report, world)
        context.counts = await count_reads(world, seconds)

    context.world.play(story)
    assert max(context.counts) <= most, context.counts


class SilentConnection:
    """A connection whose other end answers the first calls and then falls silent."""

    def __init__(self, answers):
        self.answers = answers
        self.has_request = False

    async def send_all(self, data):
        self.has_request = True
        await trio.sleep(0)

    async def receive_some(self, max_bytes):
        if not self.answers or not self.has_request:
            await trio.sleep_forever()
        self.answers -= 1
        self.has_request = False
        body = json.dumps({"rows": [], "ver": 1}).encode()
        return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body

    def readable(self):
        return False

    def is_open(self):
        return True

    def close(self):
        self.answers = 0


@when("a call of the store stays unanswered beside {count:d} idle connections")
def unanswered_call(context, count):
    async def work():
        opened = []

        async def dial(address):
            opened.append(SilentConnection(1 if len(opened) <= count else 100))
            return opened[-1]

        store = Store(ConnectionPool(lambda what: None, dial), "s:1")
        async with trio.open_nursery() as nursery:
            for _ in range(count + 1):
                nursery.start_soon(store.snapshot, "op")
        before = len(opened)
        await store.snapshot("op")
        answer = await store.snapshot("op")
        return before, len(opened), answer

    context.opened_before, context.opened, context.answer = virtually(work)


@then("the next call uses a new connection")
def new_connection(context):
    assert context.opened == context.opened_before + 1, (context.opened_before, context.opened)
    assert "Success" in type(context.answer).__name__, context.answer

"""Steps for reads of the store whose connections go silent."""

import trio
from behave import given, then, when
from crash_world import CrashWorld
from gateway_world import GatewayWorld

from deckcourse.settings import GatewaySettings

LIST = "servers"
SETTLE_SECONDS = 6.0
PLAY_SECONDS = 8.0
SITES = {"a process alone": (("g0", "x"),)}


def silence_pending_read(store, table):
    """Make the reads of a table that are under way stay unanswered; return a function to begin.

    Args:
      store: where a process reads.
      table: the table, empty for all.
    """
    original, silent_at = store.changes, []

    async def changes(name, after, seconds):
        began_at = trio.current_time()
        answer = await original(name, after, seconds)
        if table in ("", name) and silent_at and began_at <= silent_at[0]:
            await trio.sleep_forever()
        return answer

    store.changes = changes
    return lambda: silent_at.append(trio.current_time())


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

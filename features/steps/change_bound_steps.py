"""Steps for the time within which processes know changes, whatever their sources do."""

from collections import Counter

import trio
from behave import given, then, when
from peer_world import SETTLE_SECONDS, TABLES, PeerWorld

from deckcourse.peers.followers import followers

FURTHER_TABLES = ("plans", "crashes")
TURN_SECONDS = 0.7
TROUBLE_SECONDS = 8.0
# The change that comes right after the trouble begins.
FIRST_CHANGE_SECONDS = 0.05
CHECK_SECONDS = 0.02


def followers_by_domain(world):
    """Return the processes that follow the store of each domain, in rank order."""
    by_name = {each.name: each for each in world.live_processes}
    domains = sorted({each.domain for each in world.live_processes})
    return [
        [by_name[each.name] for each in followers(by_name_members(world), domain)]
        for domain in domains
    ]


def by_name_members(world):
    return [each.peers.roster.own for each in world.live_processes]


def disturb(process, how):
    """Freeze a process, cut it off from the store or end it."""
    if "freeze" in how:
        process.become_silent()
    elif "cut off" in how:
        process.store.is_held = True
    elif "refused" in how:
        process.store.is_cut_off = True
    else:
        process.kill()


def chosen(world, trouble):
    """Return the processes to disturb, and how each is."""
    groups = followers_by_domain(world)
    if trouble.startswith("one follower of each"):
        return [(group[0], trouble) for group in groups]
    if trouble.startswith("all followers"):
        return [(each, trouble) for group in groups for each in group]
    first, second = groups[0]
    if trouble.startswith("one follower"):
        return [(first, "freezes"), (second, "is cut off")]
    return [(first, trouble), (second, trouble)]


async def change_tables(world, tables, pace, changes, until):
    """Change the tables in turn; record when each change was made."""
    await trio.sleep(FIRST_CHANGE_SECONDS)
    while trio.current_time() < until:
        for table in tables:
            key = f"change-{len(changes)}"
            world.store.put(table, key, {"n": 1})
            changes[key] = trio.current_time()
        await trio.sleep(pace)


@given("{count:d} processes in each of {domains:d} domains that also read plans and crashes")
def reads_further_tables(context, count, domains):
    context.world = PeerWorld(count, domains, tables=(*TABLES, *FURTHER_TABLES))
    context.changed_tables = FURTHER_TABLES


@given("idle connections to the store that have gone silent at those that don't read it")
def silent_idle_connections(context):
    context.has_silent_connections = True


@given("changes must be known within {seconds:g} seconds")
def bound_is(context, seconds):
    context.world.bounds = dict.fromkeys(TABLES, seconds)


@then("in {seconds:d} seconds the store is read at most {most:d} times")
def reads_in_calm(context, seconds, most):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.calls.clear()
        await trio.sleep(seconds)
        context.calls = len(world.calls)

    context.world.play(story)
    assert context.calls <= most, context.calls


@when("they have settled and changes come each {pace:g} seconds while {trouble}")
def trouble_beside_changes(context, pace, trouble):
    context.late = {}
    tables = getattr(context, "changed_tables", TABLES)

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        disturbed, changes = chosen(world, trouble), {}
        for each in world.live_processes:
            is_silent = getattr(context, "has_silent_connections", False)
            each.store.has_silent_connection = is_silent and not each.peers.feed.follows
        ends_at = trio.current_time() + TROUBLE_SECONDS
        world.nursery.start_soon(change_tables, world, tables, pace, changes, ends_at - 3.0)
        names = {each.name for each, _ in disturbed}
        for process, how in disturbed:
            disturb(process, how)
            if "in turn" in trouble:
                await trio.sleep(TURN_SECONDS)
        others = [each for each in world.live_processes if each.name not in names]
        assert others
        while trio.current_time() < ends_at:
            note_late(context.late, others, changes)
            await trio.sleep(CHECK_SECONDS)
        assert len(changes) >= len(tables)

    context.world.play(story)


def note_late(late, processes, changes):
    """Record for how long each process has not known each change."""
    for each in processes:
        for key, made_at in changes.items():
            if key not in each.rows:
                late[each.name, key] = trio.current_time() - made_at


@then("every process beside those knew each change within {seconds:g} seconds")
def known_in_time(context, seconds):
    slowest = max(context.late.items(), key=lambda each: each[1], default=("", 0.0))
    assert slowest[1] < seconds, slowest


@when(
    "they have settled and the store {how} to all for {seconds:d} seconds,"
    " and changes as it returns"
)
@when(
    "they have settled and the store {how} all for {seconds:d} seconds, and changes as it returns"
)
def dark_store(context, how, seconds):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.calls.clear()
        is_silent = how == "is silent"
        for each in world.processes:
            each.store.is_held = is_silent
            each.store.is_cut_off = not is_silent
        await trio.sleep(seconds)
        for each in world.processes:
            each.store.is_held = each.store.is_cut_off = False
        world.store.put("servers", "after", {"n": 1})
        context.elapsed = await world.until(
            lambda: all("after" in each.rows for each in world.live_processes), 10.0
        )
        await trio.sleep(2.0)
        context.reads = Counter(int(at) for at in world.calls)
        context.reads_by_tenth = Counter(int(10 * at) for at in world.calls)

    context.world.play(story)


@then(
    "it got {reads:d} reads in each second of that time and of its return at most,"
    " and all knew the change within {seconds:g} seconds"
)
def few_reads(context, reads, seconds):
    assert max(context.reads.values()) <= reads, context.reads
    assert context.elapsed is not None and context.elapsed <= seconds, context.elapsed


@then("it got {most:d} in each tenth of a second at most")
def few_at_once(context, most):
    assert max(context.reads_by_tenth.values()) <= most, max(context.reads_by_tenth.values())

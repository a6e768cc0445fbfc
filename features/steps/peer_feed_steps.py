"""Steps about reads of the store and the relay of its changes between processes."""

from functools import partial
from random import Random

import trio
from behave import given, then, when
from peer_world import SETTLE_SECONDS, PeerWorld

from deckcourse.http1.pool import ConnectionPool
from deckcourse.peers.followers import FOLLOWERS_PER_DOMAIN
from deckcourse.peers.loads import LoadRow
from deckcourse.peers.replica import TableReplica, TableUpdate
from deckcourse.peers.view import MEMBERS_PATH, decode_view

# Time for a process to read a table for the first time: three attempts.
FIRST_READ_SECONDS = 3.0


def is_known_to_all(world, key):
    return all(key in each.rows for each in world.live_processes)


@when("{changes:d} rows change over {seconds:d} seconds")
def rows_change(context, changes, seconds):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.calls.clear()
        context.late = 0.0
        for number in range(changes):
            world.store.put("servers", f"r{number}", {"n": number})
            late = await world.until(partial(is_known_to_all, world, f"r{number}"), 5.0)
            context.late = max(context.late, 9.0 if late is None else late)
            await trio.sleep(max(0.0, seconds / changes - (late or 0.0)))
        if not changes:
            await trio.sleep(seconds)
        context.calls = len(world.calls)

    context.world.play(story)


@then("every process has every change within {late:g} seconds")
def in_time(context, late):
    assert context.late <= late, context.late


@then("the store was read at most {calls:d} times from the tenth second on")
def reads_bounded(context, calls):
    assert context.calls <= calls, context.calls


def apply_event(world, event):
    """Apply an event to the followers of the store."""
    followers = sorted(world.following(), key=lambda each: each.name)
    first, both = followers[0], followers[:2]
    if event.endswith("killed"):
        for each in [first] if event.startswith("the first") else both:
            each.kill()
    elif event.endswith("falls silent"):
        first.become_silent()
    elif event.startswith("all but"):
        for each in world.processes:
            each.store.is_cut_off = each is not first
    else:
        for each in [first] if event.startswith("the first") else both:
            each.store.is_cut_off = True


@when("they have settled and {event} the store")
@when("they have settled and {event} killed")
@when("they have settled and {event} silent")
def followers_affected(context, event):
    step = context.step_text if hasattr(context, "step_text") else event
    endings = {"the first that follows is": "killed", "both that follow are": "killed"}
    event_text = f"{event} {endings[event]}" if event in endings else event
    event_text = f"{event} silent" if event.endswith("falls") else event_text
    assert step

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        assert len(world.following()) == FOLLOWERS_PER_DOMAIN, [
            each.name for each in world.following()
        ]
        apply_event(world, event_text)
        await trio.sleep(0.3)
        world.store.put("servers", "after", {"n": 1})
        context.max_age = 0.0

        def is_known():
            ages = [trio.current_time() - each.as_of for each in world.live_processes]
            context.max_age = max(context.max_age, *ages)
            return all("after" in each.rows for each in world.live_processes)

        context.elapsed = await world.until(is_known, 20.0)

    context.world.play(story)


@then("the next change reaches all live processes within {late:g} seconds")
def change_known(context, late):
    assert context.elapsed is not None and context.elapsed <= late, context.elapsed


@then("no live process is ever more than {age:g} seconds stale")
def not_stale(context, age):
    assert context.max_age <= age, context.max_age


@when("they {case} and the store answers {delay:g} seconds late for {seconds:d} seconds")
def store_answers_late(context, case, delay, seconds):
    if case == "start":
        context.world.answer_delay = delay

    async def story(world):
        # A process that starts has this time to read the store, one that has settled needs none.
        await trio.sleep(FIRST_READ_SECONDS if case == "start" else SETTLE_SECONDS)
        world.answer_delay = delay
        world.calls.clear()
        context.max_age = 0.0
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            ages = [trio.current_time() - each.as_of for each in world.live_processes]
            context.max_age = max(context.max_age, *ages, 0.0)
            await trio.sleep(0.05)
        context.calls = len(world.calls)

    context.world.play(story)


@then("the store was read at most {calls:d} times meanwhile")
def reads_bounded_meanwhile(context, calls):
    assert context.calls <= calls, context.calls


@when("they have settled and an upstream's load becomes known to a follower")
def load_known(context):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        sources_in_use = [each.peers.feed.source for each in world.live_processes]
        follower = max(world.following(), key=lambda each: sources_in_use.count(each.name))
        queried_at = trio.current_time() - 0.1
        follower.peers.loads.record(LoadRow("late", 1, 0, 0.1, queried_at + 0.05))
        follower.peers.loads.record(LoadRow("u", 90, 6, 0.4, queried_at))
        # Other followers query upstreams themselves.
        subscribers = [
            each for each in world.live_processes if each.peers.feed.source == follower.name
        ]
        assert subscribers
        context.elapsed = await world.until(
            lambda: all(
                each.peers.loads.get("u") and each.peers.loads.get("late") for each in subscribers
            ),
            5.0,
        )
        rows = [each.peers.loads.get("u") for each in subscribers]
        context.is_correct = all(
            each.requests == 96 and queried_at - 0.1 < each.at <= queried_at for each in rows
        )

    context.world.play(story)


@then("all subscribers know it within {late:g} seconds, with its true age")
def load_in_time(context, late):
    assert context.elapsed is not None and context.elapsed <= late, context.elapsed
    assert context.is_correct


@when("they have settled and an operator requests the view of each")
def operator_asks(context):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        pool = ConnectionPool(lambda what: None, world.network.dial)
        context.views = []
        for each in world.processes:
            async with pool.borrow(each.address) as connection:
                reply = await connection.call(b"GET", MEMBERS_PATH, ((b"host", b"x"),), b"")
                context.views.append(decode_view(await reply.read_body()))

    context.world.play(story)


@then("each lists {count:d} members, {few:d} follow the store and are the sources of the others")
def operator_sees(context, count, few):
    assert all(len(each.members) == count for each in context.views)
    following = {each.name for each in context.views if each.follows}
    assert len(following) == few, following
    sources = {each.source for each in context.views if not each.follows}
    assert sources <= following and sum(each.serving for each in context.views) == count - few
    assert all(each.seconds_behind < 2.0 for each in context.views)


@when("they have settled and {lost} can't reach the store for {seconds:g} seconds")
def cut_from_store(context, lost, seconds):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        everybody = lost == "everybody"
        cut = (
            world.live_processes
            if everybody
            else sorted(world.following(), key=lambda each: each.name)[:1]
        )
        for each in world.live_processes:
            each.recoveries.clear()
        for each in cut:
            each.store.is_cut_off = True
        await trio.sleep(seconds)
        for each in cut:
            each.store.is_cut_off = False
        await trio.sleep(4.0)
        context.recoveries = [bool(each.recoveries) for each in world.live_processes]

    context.world.play(story)


@then("afterwards {who} record a recovery of it")
def recoveries_recorded(context, who):
    assert set(context.recoveries) == {who == "all"}, context.recoveries


@when("they have settled and the store is unavailable for {seconds:d} seconds")
def store_unavailable(context, seconds):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.calls.clear()
        world.store.away = True
        await trio.sleep(seconds)
        context.calls = len(world.calls)
        world.store.away = False
        world.store.put("servers", "after", {"n": 1})
        context.elapsed = await world.until(
            lambda: all("after" in each.rows for each in world.live_processes), 10.0
        )
        context.is_correct = all(each.recoveries for each in world.live_processes)

    context.world.play(story)


@then("the store was read at most {most:d} times during the outage")
def reads_during_outage(context, most):
    assert 0 < context.calls <= most, (context.calls, context.elapsed)


@then("all processes learn of its recovery within {seconds:g} seconds")
def recovery_known(context, seconds):
    assert context.elapsed is not None and context.elapsed <= seconds, context.elapsed
    assert context.is_correct


@given("processes whose frames take {seconds:g} seconds to arrive")
def slow_frames(context, seconds):
    context.world = PeerWorld(6, 1)
    context.delay = seconds


@then("each process has every change before the time that it is current as of")
def times_are_true(context):
    changed_at = {}
    seen = []

    def check(world):
        for each in world.live_processes:
            missing_keys = changed_at.keys() - each.rows.keys()
            for key in missing_keys:
                assert each.followers[1].as_of <= changed_at[key], (each.name, key)
            seen.append(not each.peers.feed.follows and trio.current_time() - each.as_of < 4.0)

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.frame_delay = context.delay
        for each in world.processes:
            world.network.reset(each.address)
        for number in range(400):
            if number % 10 == 0:
                changed_at[f"r{number}"] = trio.current_time()
                world.store.put("servers", f"r{number}", {"n": number})
            await trio.sleep(0.05)
            check(world)

    context.world.play(story)
    assert sum(seen) > 0.4 * len(seen), sum(seen) / len(seen)


@then(
    "{count:d} random series of updates, snapshots and duplicates leave replicas that equal the "
    "store"
)
def replicas_agree(context, count):
    for seed in range(count):
        random = Random(seed)
        store, history = {}, [{}]
        for _ in range(20):
            key = random.choice("abcd")
            if random.random() < 0.3:
                store.pop(key, None)
            else:
                store[key] = str(random.random()).encode()
            history.append(dict(store))
        replica, other = TableReplica("t"), TableReplica("t")
        at = 0
        while at < 20:
            end = min(20, at + random.randint(1, 4))
            after = (
                None
                if random.random() < 0.2 or replica.version is None
                else random.randint(max(0, at - 2), at)
            )
            base = {} if after is None else history[after]
            keys = set(base) | {key for one in history[(after or 0) : end + 1] for key in one}
            rows = tuple((key, history[end].get(key), end) for key in sorted(keys))
            rows = rows if after is not None else tuple(row for row in rows if row[1] is not None)
            replica.merge(TableUpdate("t", after, end, rows))
            at = end
            if random.random() < 0.6:
                other.merge(replica.since(other.version))
                held = {row.key[2:]: row.value for row in other.rows}
                assert held == history[other.version], (seed, held, history[other.version])

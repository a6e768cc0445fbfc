"""Steps about what processes know together."""

from functools import partial
from random import Random

import trio
from behave import given, then, when
from peer_world import PeerWorld

from deckcourse.http1.client import ConnectionPool
from deckcourse.peers.followers import FOLLOWERS, followers
from deckcourse.peers.gossip import MEMBERS_PER_DIGEST
from deckcourse.peers.loads import LoadRow
from deckcourse.peers.member import Digest, Member, encode_digest
from deckcourse.peers.replica import TableReplica, TableUpdate
from deckcourse.peers.roster import Roster
from deckcourse.peers.view import MEMBERS_PATH, decode_view
from deckcourse.rendezvous import ranked

SETTLE_SECONDS = 10.0


@given("{count:d} processes in each of {domains:d} domains that know only {seeds:d} seeds")
def processes_in_domains(context, count, domains, seeds):
    context.world = PeerWorld(count, domains, seeds)


@given("{count:d} processes of one domain over one store")
def processes_of_domain(context, count):
    context.world = PeerWorld(count, 1)


@when("datagrams are lost {lost:d} times in 100 and {seconds:d} seconds pass")
def time_passes(context, lost, seconds):
    world = context.world
    world.lost = lost / 100

    async def story(world):
        await trio.sleep(seconds)
        context.known = [(each, each.live_names()) for each in world.processes]
        context.firsts = {
            (
                each.domain,
                tuple(one.name for one in followers(each.peers.roster.live(), each.domain)),
            )
            for each in world.processes
        }

    world.play(story)


@then("each process knows all of its domain, and each domain has the same 2 that follow")
def knows_domain(context):
    for process, known in context.known:
        there = {each.name for each in context.world.processes if each.domain == process.domain}
        assert there <= known, (process.name, there - known)
    domains = {each.domain for each in context.world.processes}
    assert len(context.firsts) == len(domains), context.firsts
    assert FOLLOWERS == 2


def killed(world):
    gone = world.processes[3]
    gone.kill()
    return lambda: all(gone.name not in each.live_names() for each in world.living)


def leaves(world):
    gone = world.processes[3]
    gone.alive = False
    world.nursery.start_soon(gone.peers.leave)

    def holds():
        near = [each for each in world.living if each.domain == gone.domain]
        return all(gone.name not in able(each) for each in near)

    return holds


def able(process):
    members = process.peers.roster.live()
    return {each.name for each in members if each.domain == process.domain and not each.leaving}


def restarts(world):
    from peer_world import PeerProcess

    gone = world.processes[3]
    gone.kill()
    anew = PeerProcess(world, gone.name, gone.domain, 2)
    world.processes[3] = anew
    world.nursery.start_soon(anew.run)

    def holds():
        starts = [
            member.start
            for each in world.living
            for member in each.peers.roster.live()
            if each.domain == gone.domain and member.name == gone.name
        ]
        near = [each for each in world.living if each.domain == gone.domain]
        return starts == [2] * len(near)

    return holds


async def cut_and_join(world):
    world.cut_apart = True
    await trio.sleep(20.0)
    assert not any(other_domain(each) for each in world.processes)
    world.cut_apart = False


def other_domain(process):
    return {name for name in process.live_names() if name[0] != process.domain}


@when("they have found each other and {event}")
def event_happens(context, event):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        if event.startswith("the domains"):
            await cut_and_join(world)
            holds = lambda: all(other_domain(each) for each in world.processes)  # noqa: E731
        else:
            words = {"killed": killed, "leaves": leaves, "clock": restarts}
            holds = next(act for word, act in words.items() if event.endswith(word))(world)
        context.after = await world.until(holds, 30.0)

    context.world.play(story)


@then("within {seconds:d} seconds nobody counts it as live")
@then("within {seconds:d} seconds nobody of its domain would ask it")
@then("within {seconds:d} seconds everybody of its domain knows its new start")
@then("within {seconds:d} seconds each knows somebody of the other domain")
def outcome_in_time(context, seconds):
    assert context.after is not None and context.after <= seconds, context.after


@when("one of them knows all others")
def knows_all(context):
    clock = lambda: 0.0  # noqa: E731
    names = [f"front-some-hall-{each}" for each in range(400)]
    members = [
        Member(each, 1784329529238, "10.201.64.123:18229", "some-hall", 200.0, 9999)
        for each in names
    ]
    context.roster = Roster(members[0], clock)
    context.roster.take(members)


@then("its digest has at most {most:d} bytes")
def digest_size(context, most):
    told = context.roster.news("some-hall", MEMBERS_PER_DIGEST)
    assert len(told) == MEMBERS_PER_DIGEST
    assert len(encode_digest(Digest(context.roster.own, told))) <= most


@then(
    "over {keys:d} keys a node of weight {heavy:d} among {light:d} of weight 1 comes first "
    "{low:d} to {high:d} times in 100"
)
def weighted(context, keys, heavy, light, low, high):
    weights = {"heavy": float(heavy), **{f"n{each}": 1.0 for each in range(light)}}
    first = sum(ranked(str(key), weights)[0] == "heavy" for key in range(keys))
    assert low * keys <= first * 100 <= high * keys, first


def known_to_all(world, key):
    return all(key in each.rows for each in world.living)


@when("{changes:d} rows change over {seconds:d} seconds")
def rows_change(context, changes, seconds):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.calls.clear()
        context.late = 0.0
        for number in range(changes):
            world.store.put("servers", f"r{number}", {"n": number})
            late = await world.until(partial(known_to_all, world, f"r{number}"), 5.0)
            context.late = max(context.late, 9.0 if late is None else late)
            await trio.sleep(max(0.0, seconds / changes - (late or 0.0)))
        if not changes:
            await trio.sleep(seconds)
        context.calls = len(world.calls)

    context.world.play(story)


@then("every process has every change within {late:g} seconds")
def in_time(context, late):
    assert context.late <= late, context.late


@then("the store was asked at most {calls:d} times from the tenth second on")
def asked_at_most(context, calls):
    assert context.calls <= calls, context.calls


def lose(world, event):
    """Let an event happen to those that follow; return the processes that it may leave behind."""
    ranked_first = sorted(world.following(), key=lambda each: each.name)
    first, both = ranked_first[0], ranked_first[:2]
    if event.endswith("killed"):
        for each in [first] if event.startswith("the first") else both:
            each.kill()
    elif event.endswith("falls silent"):
        first.fall_silent()
    elif event.startswith("all but"):
        for each in world.processes:
            each.store.cut = each is not first
    else:
        for each in [first] if event.startswith("the first") else both:
            each.store.cut = True


@when("they have settled and {event} the store")
@when("they have settled and {event} killed")
@when("they have settled and {event} silent")
def those_that_follow(context, event):
    step = context.step_text if hasattr(context, "step_text") else event
    words = {"the first that follows is": "killed", "both that follow are": "killed"}
    whole = f"{event} {words[event]}" if event in words else event
    whole = f"{event} silent" if event.endswith("falls") else whole
    assert step

    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        assert len(world.following()) == FOLLOWERS, [each.name for each in world.following()]
        lose(world, whole)
        await trio.sleep(0.3)
        world.store.put("servers", "after", {"n": 1})
        context.worst = 0.0

        def known():
            ages = [trio.current_time() - each.as_of for each in world.living]
            context.worst = max(context.worst, *ages)
            return all("after" in each.rows for each in world.living)

        context.after = await world.until(known, 20.0)

    context.world.play(story)


@then("a change that follows is known to all that live within {late:g} seconds")
def change_known(context, late):
    assert context.after is not None and context.after <= late, context.after


@then("nobody who lives is more than {age:g} seconds behind meanwhile")
def not_behind(context, age):
    assert context.worst <= age, context.worst


@when("they have settled and an upstream's load becomes known to one that follows")
def load_known(context):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        asked = [each.peers.feed.source for each in world.living]
        teller = max(world.following(), key=lambda each: asked.count(each.name))
        asked_at = trio.current_time() - 0.1
        teller.peers.loads.note(LoadRow("late", 1, 0, 0.1, asked_at + 0.05))
        teller.peers.loads.note(LoadRow("u", 90, 6, 0.4, asked_at))
        # Those that follow hear of it by their own questions.
        hearers = [each for each in world.living if each.peers.feed.source == teller.name]
        assert hearers
        context.after = await world.until(
            lambda: all(
                each.peers.loads.known("u") and each.peers.loads.known("late") for each in hearers
            ),
            5.0,
        )
        rows = [each.peers.loads.known("u") for each in hearers]
        context.told = all(
            each.requests == 96 and asked_at - 0.1 < each.at <= asked_at for each in rows
        )

    context.world.play(story)


@then("all know it within {late:g} seconds, as old as it is")
def load_in_time(context, late):
    assert context.after is not None and context.after <= late, context.after
    assert context.told


@when("they have settled and an operator asks each of them")
def operator_asks(context):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        pool = ConnectionPool(lambda what: None, world.network.dial)
        context.views = []
        for each in world.processes:
            async with pool.lent(each.address) as connection:
                reply = await connection.call(b"GET", MEMBERS_PATH, ((b"host", b"x"),), b"")
                context.views.append(decode_view(await reply.whole_body()))

    context.world.play(story)


@then("each tells of {count:d} members, {few:d} follow the store and the others hear from those")
def operator_sees(context, count, few):
    assert all(len(each.members) == count for each in context.views)
    following = {each.name for each in context.views if each.follows}
    assert len(following) == few, following
    heard = {each.source for each in context.views if not each.follows}
    assert heard <= following and sum(each.serving for each in context.views) == count - few
    assert all(each.seconds_behind < 2.0 for each in context.views)


@when("they have settled and the store is away for {seconds:d} seconds")
def store_away(context, seconds):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        world.calls.clear()
        world.store.away = True
        await trio.sleep(seconds)
        context.calls = len(world.calls)
        world.store.away = False
        world.store.put("servers", "after", {"n": 1})
        context.after = await world.until(
            lambda: all("after" in each.rows for each in world.living), 10.0
        )
        context.told = all(each.returned for each in world.living)

    context.world.play(story)


@then("the store was asked at most {most:d} times meanwhile")
def asked_meanwhile(context, most):
    assert 0 < context.calls <= most, context.calls


@then("everybody knows of its return within {seconds:g} seconds")
def return_known(context, seconds):
    assert context.after is not None and context.after <= seconds, context.after
    assert context.told


@given("processes whose frames take {seconds:g} seconds to arrive")
def slow_frames(context, seconds):
    context.world = PeerWorld(6, 1)
    context.delay = seconds


@then("whoever takes a moment for known has every change before it")
def moments_are_true(context):
    changed_at = {}
    seen = []

    def check(world):
        for each in world.living:
            lacking = changed_at.keys() - each.rows.keys()
            for key in lacking:
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
    "{count:d} random series of updates, readings and repeats leave copies that hold what the "
    "store held"
)
def copies_agree(context, count):
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
        copy, other = TableReplica("t"), TableReplica("t")
        at = 0
        while at < 20:
            end = min(20, at + random.randint(1, 4))
            after = (
                None
                if random.random() < 0.2 or copy.version is None
                else random.randint(max(0, at - 2), at)
            )
            base = {} if after is None else history[after]
            keys = set(base) | {key for one in history[(after or 0) : end + 1] for key in one}
            rows = tuple((key, history[end].get(key), end) for key in sorted(keys))
            rows = rows if after is not None else tuple(row for row in rows if row[1] is not None)
            copy.take(TableUpdate("t", after, end, rows))
            at = end
            if random.random() < 0.6:
                other.take(copy.since(other.version))
                held = {row.key[2:]: row.value for row in other.rows}
                assert held == history[other.version], (seed, held, history[other.version])

"""Steps about what processes know together."""

import trio
from behave import given, then, when
from peer_world import SETTLE_SECONDS, PeerProcess, PeerWorld

from deckcourse.peers.followers import FOLLOWERS_PER_DOMAIN, followers
from deckcourse.peers.gossip import MEMBERS_PER_DIGEST
from deckcourse.peers.member import Digest, Member, encode_digest
from deckcourse.peers.roster import Roster
from deckcourse.rendezvous import ranked


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


@then("each process knows all members of its domain and agrees on its 2 followers")
def knows_domain(context):
    for process, known in context.known:
        there = {each.name for each in context.world.processes if each.domain == process.domain}
        assert there <= known, (process.name, there - known)
    domains = {each.domain for each in context.world.processes}
    assert len(context.firsts) == len(domains), context.firsts
    assert FOLLOWERS_PER_DOMAIN == 2


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


@when("they have discovered each other and {event}")
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


@when("one of them knows all other members")
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
    told = context.roster.select_for_digest("some-hall", MEMBERS_PER_DIGEST)
    assert len(told) == MEMBERS_PER_DIGEST
    assert len(encode_digest(Digest(context.roster.own, told))) <= most


@then(
    "over {keys:d} keys a node of weight {heavy:d} among {light:d} of weight 1 ranks first "
    "{low:d} to {high:d} times in 100"
)
def weighted(context, keys, heavy, light, low, high):
    weights = {"heavy": float(heavy), **{f"n{each}": 1.0 for each in range(light)}}
    first = sum(ranked(str(key), weights)[0] == "heavy" for key in range(keys))
    assert low * keys <= first * 100 <= high * keys, first

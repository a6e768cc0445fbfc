"""Steps about the membership view, digests and the ranking of members."""

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
    world.loss_share = lost / 100

    async def story(world):
        await trio.sleep(seconds)
        context.known = [(each, each.live_names()) for each in world.processes]
        context.follower_sets = {
            (
                each.domain,
                tuple(one.name for one in followers(each.peers.roster.live(), each.domain)),
            )
            for each in world.processes
        }

    world.play(story)


@then("each process knows all members of its domain and agrees on its 2 followers")
def members_known(context):
    for process, known in context.known:
        members = {each.name for each in context.world.processes if each.domain == process.domain}
        assert members <= known, (process.name, members - known)
    domains = {each.domain for each in context.world.processes}
    assert len(context.follower_sets) == len(domains), context.follower_sets
    assert FOLLOWERS_PER_DOMAIN == 2


def kill_process(world):
    target = world.processes[3]
    target.kill()
    return lambda: all(target.name not in each.live_names() for each in world.live_processes)


def leave(world):
    target = world.processes[3]
    target.alive = False
    world.nursery.start_soon(target.peers.leave)

    def condition():
        domain_peers = [each for each in world.live_processes if each.domain == target.domain]
        return all(target.name not in available_names(each) for each in domain_peers)

    return condition


def available_names(process):
    members = process.peers.roster.live()
    return {each.name for each in members if each.domain == process.domain and not each.leaving}


def restart_process(world):
    target = world.processes[3]
    target.kill()
    restarted = PeerProcess(world, target.name, target.domain, 2)
    world.processes[3] = restarted
    world.nursery.start_soon(restarted.run)

    def condition():
        starts = [
            member.start
            for each in world.live_processes
            for member in each.peers.roster.live()
            if each.domain == target.domain and member.name == target.name
        ]
        domain_peers = [each for each in world.live_processes if each.domain == target.domain]
        return starts == [2] * len(domain_peers)

    return condition


async def partition_and_join(world):
    world.is_partitioned = True
    await trio.sleep(20.0)
    assert not any(names_outside(each) for each in world.processes)
    world.is_partitioned = False


def names_outside(process):
    return {name for name in process.live_names() if name[0] != process.domain}


@when("they have discovered each other and {event}")
def event_happens(context, event):
    async def story(world):
        await trio.sleep(SETTLE_SECONDS)
        if event.startswith("the domains"):
            await partition_and_join(world)
            condition = lambda: all(names_outside(each) for each in world.processes)  # noqa: E731
        else:
            actions = {"killed": kill_process, "leaves": leave, "clock": restart_process}
            condition = next(act for ending, act in actions.items() if event.endswith(ending))(
                world
            )
        context.elapsed = await world.until(condition, 30.0)

    context.world.play(story)


@then("within {seconds:d} seconds nobody counts it as live")
@then("within {seconds:d} seconds nobody of its domain would ask it")
@then("within {seconds:d} seconds everybody of its domain knows its new start")
@then("within {seconds:d} seconds each knows somebody of the other domain")
def outcome_in_time(context, seconds):
    assert context.elapsed is not None and context.elapsed <= seconds, context.elapsed


@when("one of them knows all other members")
def all_known(context):
    clock = lambda: 0.0  # noqa: E731
    names = [f"front-some-hall-{each}" for each in range(400)]
    members = [
        Member(each, 1784329529238, "10.201.64.123:18229", "some-hall", 200.0, 9999)
        for each in names
    ]
    context.roster = Roster(members[0], clock)
    context.roster.merge(members)


@then("its digest has at most {most:d} bytes")
def digest_size(context, most):
    selected = context.roster.select_for_digest("some-hall", MEMBERS_PER_DIGEST)
    assert len(selected) == MEMBERS_PER_DIGEST
    assert len(encode_digest(Digest(context.roster.own, selected))) <= most


@then(
    "over {keys:d} keys a node of weight {heavy:d} among {light:d} of weight 1 ranks first "
    "{low:d} to {high:d} times in 100"
)
def weighted(context, keys, heavy, light, low, high):
    weights = {"heavy": float(heavy), **{f"n{each}": 1.0 for each in range(light)}}
    first = sum(ranked(str(key), weights)[0] == "heavy" for key in range(keys))
    assert low * keys <= first * 100 <= high * keys, first

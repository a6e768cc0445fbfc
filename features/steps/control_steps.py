"""Steps about calls, claims, plans, orders and the lease."""

from dataclasses import replace

import msgspec
import trio
from behave import given, then, when
from faults import LAPSE_SECONDS, Fault, race
from outcome_words import told, was_told
from world import engine_specs

from deckcourse.configuration import Change, Configuration, apply_change
from deckcourse.lease import LEASE_KEY, LeaseRecord
from deckcourse.outcomes import Answered
from deckcourse.plans import Confirmed, PlanConflict

LATE_SECONDS = 6.0


def armed(context, fault: str, victim: str, step: str, times: int = 1) -> Fault:
    one = Fault(context.world, fault, victim, step, times)

    async def arm() -> None:
        one.arm()

    context.world.do(arm)
    return one


@given("the van service refuses connections")
def service_dead(context):
    async def kill() -> None:
        context.world.site.kill("vans-1")

    context.world.do(kill)


@given("the van service refuses connections for {seconds:d} seconds")
def service_dead_for(context, seconds):
    service_dead(context)

    async def revive() -> None:
        await trio.sleep(seconds)
        context.world.site.services["vans-1"].revive()

    context.world.background(revive)


@given("the platform is out")
def platform_out(context):
    async def out() -> None:
        context.world.site.platform_out(True)

    context.world.do(out)


@given("the van service loses a reply")
def service_loses(context):
    async def lose() -> None:
        context.world.site.services["vans-1"].lose_replies(1)

    context.world.do(lose)


@when("a van is called once with a key")
def call_once_with_key(context):
    context.world.do(lambda: context.world.call("van", key="key", tries=1))


@when("a van is called once without a key")
def call_once(context):
    context.world.do(lambda: context.world.call("van", tries=1))


@when("a van is called with a key")
def call_with_key(context):
    context.world.do(lambda: context.world.call("van", key="key", tries=10))


@when("another van is called with the same key")
def call_other(context):
    context.world.do(lambda: context.world.call("other", key="key", tries=1))


@then("the call was told {wanted} within {seconds:f} seconds")
def call_told(context, wanted, seconds):
    one = context.world.finish().called["van"].tries[-1]
    assert was_told(one.outcome, wanted), one
    assert one.ended - one.began <= seconds, one


@then("the other was told {wanted}")
def other_told(context, wanted):
    one = context.world.finish().called["other"].tries[-1]
    assert told(one.outcome) == wanted, one


@then("the last try was told {wanted}")
def last_told(context, wanted):
    tries = context.world.finish().called["van"].tries
    assert told(tries[-1].outcome) == wanted, tries


@then("the call was answered")
def call_answered(context):
    tries = context.world.finish().called["van"].tries
    assert isinstance(tries[-1].outcome, Answered), tries


@then("the van ran exactly {count:d} time")
def ran_exactly(context, count):
    world = context.world.finish()
    runs = [run for service in world.site.services.values() for run in service.runs]
    assert len(runs) == count, runs


@then("the van ran at most {count:d} time")
def ran_at_most(context, count):
    world = context.world.finish()
    assert len(world.service_runs("van")) <= count


@then("every van ran exactly 1 time")
def each_ran_once(context):
    world = context.world.finish()
    counts = {name: len(world.service_runs(name)) for name in world.called}
    assert set(counts.values()) == {1}, counts


@when("{count:d} callers send the same van at once")
def same_van(context, count):
    world = context.world
    for number in range(count):
        entry = f"entry-{number % 2 + 1}"

        async def call(name=f"van-{number}", entry=entry) -> None:
            await world.call(name, key="key", entry=entry, tries=12, body="one van")

        world.background(call)


@when("{count:d} callers send vans of their own at once")
def own_vans(context, count):
    world = context.world

    async def note() -> None:
        world.notes["transactions"] = world.site.memory_table.transactions

    world.do(note)
    for number in range(count):
        entry = f"entry-{number % 2 + 1}"

        async def call(name=f"van-{number}", key=f"key-{number}", entry=entry) -> None:
            await world.call(name, key=key, entry=entry)

        world.background(call)
    world.pause(3)


@then("the claims and results took at most {count:d} transactions")
def transactions(context, count):
    world = context.world.finish()
    taken = world.site.memory_table.transactions - world.notes["transactions"]
    assert taken <= count, taken


@given("the next claim reaches the platform {seconds:d} seconds late")
def late_claim(context, seconds):
    world = context.world

    async def hold() -> None:
        world.site.table.hold(lambda write: write.key.startswith("claim/"))

    async def arrive() -> None:
        await trio.sleep(seconds)
        await world.site.table.let_arrive()

    world.do(hold)
    world.background(arrive)


@given("the entry dies when the van is called")
def entry_dies(context):
    armed(context, "kill", "entry", "call")


@given("the entry is paused for 20 seconds when the claim is made")
def entry_paused(context):
    armed(context, "lapsed-lease", "entry", "claim")


@when("two operators confirm conflicting plans at the same moment")
def two_operators(context):
    context.world.do(lambda: race(context.world))


@then("one is accepted and the other is told what changed and shown a new plan")
def one_accepted(context):
    world = context.world.finish()
    last = [world.confirmed[name][-1] for name in ("race-0a", "race-0b")]
    accepted = [result for result in last if isinstance(result, Confirmed)]
    refused = [result for result in last if isinstance(result, PlanConflict)]
    assert len(accepted) == len(refused) == 1, last
    assert refused[0].fresh is not None or "free runners" in refused[0].message, refused


def changes(world) -> list[Change]:
    rows = world.site.memory_table.rows
    prefix = "configuration/change/"
    found = [
        msgspec.json.decode(row.value, type=Change)
        for key, row in rows.items()
        if key.startswith(prefix)
    ]
    return sorted(found, key=lambda change: change.version)


@then("no accepted plan took away what another had placed")
def no_displacement(context):
    configuration = Configuration()
    for change in changes(context.world.finish()):
        for place in change.placements:
            known = configuration.placements.get(place.instance)
            gone = place.instance in change.drop_placements
            assert known is None or gone, (known, place)
        configuration = apply_change(configuration, change)


@given("the reply to the confirmation is lost {times:d} times")
def confirm_lost(context, times):
    armed(context, "lost-reply", "reply", "confirm", 1)
    if times > 1:
        armed(context, "lost-reply", "reply", "config accept", times - 1)


@then("only one version was made for it")
def one_version(context):
    world = context.world.finish()
    plan = world.plans["change"].name
    made = [change.version for change in changes(world) if change.plan == plan]
    assert len(made) == 1, made


@given("the upstreams {check} fences")
def fences(context, check):
    specs = engine_specs(8, checks_fence=check == "check")
    context.world.plan = replace(context.world.plan, engines=specs)


@given("the holder of the lease is paused for 25 seconds at its next {step}")
def holder_paused(context, step):
    assert LAPSE_SECONDS > 20
    context.pausing = armed(context, "lapsed-lease", "controller", step)


@given("the reply of the next order is lost {times:d} times")
def order_lost(context, times):
    armed(context, "lost-reply", "reply", "order reply", times)


@then("every runner holds what is confirmed")
def holds_confirmed(context):
    world = context.world.finish()
    configuration = Configuration()
    for change in changes(world):
        configuration = apply_change(configuration, change)
    wanted = {
        name: (place.model, place.first, place.end)
        for name, place in configuration.placements.items()
    }
    for name, engine in world.site.engines.items():
        if engine.alive:
            assert engine.held == wanted.get(name, ("", 0, 0)), (name, engine.held, wanted)


@then("the lease went to another controller")
def lease_moved(context):
    world = context.world.finish()
    assert context.pausing.came == 1, "the holder was not paused"
    record = msgspec.json.decode(world.site.memory_table.rows[LEASE_KEY].value, type=LeaseRecord)
    assert record.epoch >= 2, record


@when("a runner of the middle stage dies")
def middle_dies(context):
    world = context.world

    async def kill() -> None:
        engine = world.held(4)[0]
        world.site.kill(engine.spec.name)

    world.do(kill)


@then("every stage has {count:d} replicas")
def replicas(context, count):
    world = context.world.finish()
    for first in (0, 4, 8):
        assert len(world.held(first)) >= count, first


@given("the reporters are paused")
def reporters_paused(context):
    world = context.world

    async def pause() -> None:
        world.notes["version"] = world.site.controllers[0].node.holder.version
        for process in world.site.entries:
            world.faulted.add(process.name)
            world.site.freeze(process.name)

    world.do(pause)


@given("the reporters are paused and the holder of the lease is cut off from every runner")
def holder_blind(context):
    reporters_paused(context)
    world = context.world

    async def cut() -> None:
        for controller in world.site.controllers:
            for runner in world.site.engines:
                world.site.links.cut(controller.name, runner)

    world.do(cut)


@then("nothing was dropped")
def nothing_dropped(context):
    world = context.world.finish()
    later = [each for each in changes(world) if each.version > world.notes["version"]]
    assert not [each.drop_placements for each in later], later

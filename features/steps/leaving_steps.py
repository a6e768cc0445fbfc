"""Steps about leaving upstreams and planned stops."""

from dataclasses import replace

import trio
from behave import given, then, when
from world import MODEL, World

FIRST = {"head": 0, "middle": 4, "last": 8}
SIGN_SECONDS = 3.0


@given("the list lags by {seconds:d} seconds")
def lag(context, seconds):
    context.world.plan = replace(context.world.plan, list_lag=float(seconds))


@when("{sign} comes for a busy runner")
def sign_comes(context, sign):
    world = context.world

    async def give() -> None:
        engine = world.held(4)[0]
        world.notes["left"] = engine.spec.name
        if sign == "the upstream's word":
            engine.leave()
        elif sign == "the platform's list":
            relist(world, engine.spec.name, leaving=True)
        else:
            await world.intend("leave", {"kind": "retire", "instance": engine.spec.name})
        world.signs[engine.spec.name] = trio.current_time()

    world.do(give)


def relist(world: World, name: str, leaving: bool) -> None:
    line = world.site.memory_list._instances[name]
    world.site.memory_list.put(replace(line, leaving=leaving))


@when("the platform lists it as live again {seconds:d} seconds later")
def listed_again(context, seconds):
    world = context.world

    async def put_back() -> None:
        relist(world, world.notes["left"], leaving=True)
        await trio.sleep(seconds)
        relist(world, world.notes["left"], leaving=False)

    world.do(put_back)


@then("requests that began 3 seconds after the sign did not touch it")
def not_touched(context):
    world = context.world.finish()
    ((name, sign),) = world.signs.items()
    before, later = 0, 0
    for asked in world.asked.values():
        for request, one in zip(asked.requests, asked.tries, strict=False):
            touched = any(run.engine == name for run in world.layer_runs(request))
            if one.began > sign + SIGN_SECONDS:
                later += 1
                assert not touched, (request, one.began - sign)
            elif one.began < sign:
                before += touched
    assert before > 0, "the runner was not busy before the sign"
    assert later > 10, "too few requests came after the sign"


@when("retire of a busy runner comes after {seconds:f} seconds")
def retire_later(context, seconds):
    world = context.world

    async def retire() -> None:
        await trio.sleep(seconds)
        name = world.held(4)[0].spec.name
        world.notes["left"] = name
        await world.intend("retire", {"kind": "retire", "instance": name})
        await trio.sleep(60)

    world.do(retire)


@when("stop of the model comes after {seconds:f} seconds")
def stop_later(context, seconds):
    world = context.world

    async def stop() -> None:
        await trio.sleep(seconds)
        await world.intend("stop", {"kind": "stop", "model": MODEL})
        await trio.sleep(60)

    world.do(stop)


@then("the retired runner is unloaded at last")
def unloaded_at_last(context):
    world = context.world.finish()
    assert world.site.engines[world.notes["left"]].held[0] == ""


@then("nothing is loaded at last")
def nothing_loaded(context):
    world = context.world.finish()
    held = {name: engine.held for name, engine in world.site.engines.items() if engine.held[0]}
    assert not held, held


@when("an operator retires a runner")
def operator_retires(context):
    world = context.world

    async def retire() -> None:
        name = world.held(4)[0].spec.name
        world.notes["left"] = name
        await world.intend("retire", {"kind": "retire", "instance": name})

    world.do(retire)


@then("the plan's lowest capacity is that before it")
def lowest_capacity(context):
    plan = context.world.finish().plans["retire"]
    assert plan.capacity_lowest == plan.capacity_before > 0, plan

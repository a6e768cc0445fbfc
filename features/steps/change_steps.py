"""Steps about configuration changes and the time when they take effect."""

import trio
from behave import given, then, when
from faults import Fault
from world import ACCOUNT

from deckcourse.plans import Confirmed

FIRST = {"head": 0, "middle": 4, "last": 8}
SIGN_SECONDS = 3.0


@when("an operator changes the account")
def change_account(context):
    world = context.world
    key_hash = "0" * 64
    account = {"kind": "account", "account": ACCOUNT, "key_hash": key_hash}

    async def change() -> None:
        await world.intend("change", account | {"tokens_per_second": 5000.0})
        world.notes["accepted at"] = trio.current_time()

    world.do(change)
    world.background(trio.sleep, 45)


@then("it was accepted")
def accepted(context):
    results = context.world.finish().confirmed["change"]
    assert isinstance(results[-1], Confirmed), results


@given("the platform goes out {when_} acceptance of the change for {seconds:d} seconds")
def out_at_acceptance(context, when_, seconds):
    if when_ == "right at":
        fault = Fault(context.world, "platform-outage", "platform", "config accept")
        fault.seconds = float(seconds)

        async def arm() -> None:
            fault.arm()

        context.world.do(arm)


@then("it was in force on every entry within {seconds:d} seconds of the answer")
def in_force(context, seconds):
    world = context.world.finish()
    version = world.confirmed["change"][-1].version
    at = world.notes["accepted at"]
    checked = 0
    for name, seen in world.versions.items():
        if name.startswith("entry"):
            later = [each for when_, each in seen if when_ >= at + seconds]
            assert later and min(later) >= version, (name, version, later[:5])
            checked += 1
    assert checked == world.plan.entries


@when("{name} restarts {seconds:d} seconds later")
def restarts_later(context, name, seconds):
    world = context.world

    async def restart() -> None:
        await trio.sleep(seconds)
        world.site.kill(name)
        await trio.sleep(0.5)
        world.site.start(name)
        world.notes["restarted"] = world.site.processes[name].node.identity.incarnation

    world.do(restart)


@then("{name} was never ready with an older version")
def never_ready_older(context, name):
    world = context.world.finish()
    ready = world.ready.get(world.notes["restarted"], [])
    assert ready, "it was never ready"
    assert min(version for _, version in ready) >= world.confirmed["change"][-1].version, ready[:4]


@then("{name} was ready before the platform came back")
def ready_before(context, name):
    world = context.world.finish()
    first = world.ready[world.notes["restarted"]][0][0]
    assert first < world.notes["accepted at"] + 39, first


@when("the platform goes out for {seconds:d} seconds")
def goes_out(context, seconds):
    world = context.world

    async def out() -> None:
        world.site.platform_out(True)
        world.notes["out"] = trio.current_time()

    async def back() -> None:
        await trio.sleep(seconds)
        world.site.platform_out(False)
        world.notes["back"] = trio.current_time()
        await trio.sleep(8)

    world.do(out)
    world.background(back)


@when("entry-1 and the controllers restart")
def all_restart(context):
    world = context.world

    async def restart() -> None:
        for name in ("entry-1", "controller-1"):
            world.site.kill(name)
        await trio.sleep(0.5)
        for name in ("entry-1", "controller-1"):
            world.site.start(name)
        world.notes["restarted"] = world.site.processes["entry-1"].node.identity.incarnation

    world.do(restart)


@then("entry-1 was not ready while the platform was out")
def not_ready_while_out(context):
    world = context.world.finish()
    ready = world.ready.get(world.notes["restarted"], [])
    assert all(when_ >= world.notes["back"] for when_, _ in ready), ready[:3]


@then("entry-1 was ready afterwards")
def ready_afterwards(context):
    world = context.world.finish()
    assert world.ready.get(world.notes["restarted"])

"""Steps of the fault matrix."""

import trio
from behave import given, then, when
from faults import Fault
from invariants import broken

from deckcourse.outcomes import Answered

SETTLE_SECONDS = 25.0


@given("{fault} hits the {victim} at {step}")
def arm(context, fault, victim, step):
    arm_times(context, fault, victim, 1, step)


@given("{fault} strikes the {victim} {times:d} times at {step}")
def arm_times(context, fault, victim, times, step):
    fault_object = Fault(context.world, fault, victim, step, times)
    context.faults = [*getattr(context, "faults", []), fault_object]

    async def arm_it() -> None:
        fault_object.arm()

    context.world.do(arm_it)


@when("callers and operators go about their work")
def work(context):
    world = context.world

    async def everything() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(world.ask, "first")
            nursery.start_soon(world.ask, "second", 10, "entry-2")
            nursery.start_soon(world.ask, "third", 14)
            nursery.start_soon(world.call, "keyed", "vans", "key-1")
            nursery.start_soon(world.call, "keyed-too", "vans", "key-2", "entry-2")
            nursery.start_soon(world.call, "keyless", "vans")
            nursery.start_soon(world.call, "lookup", "records")
            retire = {"kind": "retire", "instance": "runner-3"}
            nursery.start_soon(world.intend, "retire", retire)
            service = {"kind": "service", "service": "tickets", "repeatable": False}
            nursery.start_soon(world.intend, "tickets", service, "controller-2")

    async def settle() -> None:
        await trio.sleep(SETTLE_SECONDS)
        await world.ask("after", 8, "entry-2")
        await world.call("after-call", "vans", "key-after")

    world.do(everything)
    world.do(settle)


@then("the fault came")
def came(context):
    context.world.finish()
    for fault in context.faults:
        assert fault.came == fault.wanted, (fault.fault, fault.step, fault.came)


@then("afterwards a request is answered as if nothing had been")
def answered_afterwards(context):
    world = context.world.finish()
    assert isinstance(world.asked["after"].outcome, Answered), world.asked["after"].tries
    assert isinstance(world.called["after-call"].outcome, Answered), world.called["after-call"]


@then("everything still holds")
def still_holds(context):
    wrong = broken(context.world.finish())
    assert not wrong, "\n".join(wrong[:10])

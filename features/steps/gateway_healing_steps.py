"""Steps for the layers of the gateway's upstreams: placement and healing."""

import trio
from behave import given, then, when
from gateway_world import LAYERS, GatewayWorld


@given("{count:d} empty runners in domain x")
def empty_runners(context, count):
    context.site = GatewayWorld()
    for number in range(count):
        context.site.add(f"e{number}")


def play_loss(context, instance, stopping=False):
    """Play the loss of a runner, whose row is removed at once, and the time needed to heal it."""

    async def story(site):
        if stopping:
            site.node.stop()
        site.runners[instance].die()
        site.store.put("servers", instance, None)
        await trio.sleep(2.0)

    context.site.play(story)


@when("an upstream of domain x is lost permanently")
def gone_for_good(context):
    play_loss(context, "x2")


@when("an upstream of domain x is lost permanently while the process is stopping")
def gone_while_stopping(context):
    play_loss(context, "x2", stopping=True)


@given("upstreams of domain x with room for 2 layers each, one of them redundant")
def small_chain(context):
    context.site = GatewayWorld()
    engine = context.site.config["services"][0]["engine"]
    engine["kinds"][0]["mb"] = 2.5 * engine["layer_mb"]
    for name, first in (("x1", 0), ("x2", 2), ("x3", 4), ("x4", 4), ("x5", 6)):
        context.site.add(name, "llm", "x", first, first + 2)


@when("the first of them is lost permanently")
def first_gone(context):
    play_loss(context, "x1")


@then("a redundant one is ordered to load the gap, and to unload its layers at once")
def moved_at_once(context):
    site = context.site
    assert len(site.orders) == 1 and site.orders[0][1:] == (0, 2), site.orders
    name = site.orders[0][0]
    assert name in ("x3", "x4") and site.runners[name].unloaded_at_once


@then("its neighbours are ordered to load its layers, each order within memory")
def ordered(context):
    assert context.site.orders == [("x1", 0, LAYERS)], context.site.orders


@when("the rows have been listed for {seconds:d} seconds")
def pass_seconds(context, seconds):
    async def story(site):
        await trio.sleep(seconds)

    context.site.play(story)


@then("every layer is held")
def all_held(context):
    held = [range(each.first, each.end) for each in context.site.runners.values()]
    assert {layer for each in held for layer in each} == set(range(LAYERS)), held


@then("after a fault in the healer streams are served and a later loss is healed")
def fault_told(context):
    async def story(site):
        healer = site.node._healers["llm"]
        kept = healer._drop_finished_orders

        def broken(now):
            healer._drop_finished_orders = kept
            raise KeyError("made by the test")

        healer._drop_finished_orders = broken
        await trio.sleep(0.5)
        assert (await site.ask()).status == 200
        site.runners["x2"].die()
        site.store.put("servers", "x2", None)
        await trio.sleep(1.5)

    context.site.play(story)
    told = [fields for what, fields in context.site.lines if what == "fault"]
    assert len(told) == 1 and "made by the test" in told[0]["error"], told
    assert context.site.orders == [("x1", 0, LAYERS)], context.site.orders

"""Steps about upstreams whose rows are missing when the store recovers."""

import trio
from behave import then, when
from gateway_runner import parse_path
from gateway_story import play_outage, refuse_orders, two_chains


@then(
    "streams are served while the rows are missing for {seconds:g} seconds after the store's return"
)
def lapsed(context, seconds):
    async def story(site):
        await play_outage(site, site.runners)
        await trio.sleep(seconds)
        assert (await site.ask()).status == 200
        assert not site.orders

    context.site.play(story)


@when(
    "the rows of {lapsed} are missing at the store's return and {back} is back after {seconds:g} "
    "seconds"
)
def some_lapsed(context, lapsed, back, seconds):
    refuse_orders(context)
    context.site.events = 2
    for each in context.site.runners.values():
        each.slots = 96

    async def story(site):
        await play_outage(site, [lapsed])
        await trio.sleep(0.4)
        context.passed = []
        returned_at = trio.current_time() + seconds
        for number in range(12):
            if number == 6:
                await trio.sleep_until(returned_at)
                if back in site.runners:
                    site.store.put("servers", back, site.runners[back].row())
                await trio.sleep(0.3)
            got = await site.ask(name=f"r{number}")
            assert got.status == 200, (number, got, site.lines[-6:])
            path = parse_path(site.runs[-1].headers["path"])
            context.passed.append(f"{lapsed}:1" in {address for address, _, _ in path})

    context.site.play(story)


@then(
    "of 12 streams in the second that follows {before} of the first 6 and {after} of the others "
    "pass {lapsed}"
)
def passed_lapsed(context, before, after, lapsed):
    assert any(context.passed[:6]) == (before == "some"), (lapsed, context.passed)
    assert any(context.passed[6:]) == (after == "some"), (lapsed, context.passed)


@when("the row of x2 is missing at the store's return and x2 {state}")
def one_lapsed(context, state):
    async def story(site):
        runner = site.runners["x2"]

        def lost():
            if state == "is dead":
                runner.die()
            if state == "started again":
                runner.restart(2000, tells=False)
            if state == "is silent":
                runner.silent_until = trio.current_time() + 10.0

        await play_outage(site, ["x2"], lost)
        returned_at = trio.current_time()
        while not site.orders:
            await trio.sleep(0.05)
        context.ordered_after = trio.current_time() - returned_at

    context.site.play(story)


@then("its layers are ordered elsewhere between {least:g} and {most:g} seconds after it")
def ordered_between(context, least, most):
    assert least <= context.ordered_after <= most, context.ordered_after


@then("a row still missing {seconds:g} seconds after it counts as gone")
def lapsed_for_good(context, seconds):
    two_chains(context)
    refuse_orders(context)

    async def story(site):
        await play_outage(site, site.runners)
        await trio.sleep(seconds + 0.5)
        assert (await site.ask()).status == 503

    context.site.play(story)


@then("a stream takes domain y once another upstream has the address of x2")
def address_taken(context):
    refuse_orders(context)

    async def story(site):
        newer = site.runners["x2"].row()
        site.store.put("servers", "x3", {**newer, "layers": None, "models": []})
        await trio.sleep(0.3)
        await site.ask()

    context.site.play(story)
    assert [each.instance for each in context.site.runs] == ["y1"], context.site.runs

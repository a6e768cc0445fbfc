"""Steps about orders to upstreams whose rows are stale.

An order that exceeds an upstream's memory crashes the upstream and breaks every stream on it.
"""

from random import Random

import trio
from behave import given, then, when
from healer_standins import SimulatedUpstreams, SlowTable
from layer_world import LAYER_MB, model_of, ranges
from trio.testing import MockClock

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.healer import Healer
from deckcourse.layers.plan_book import PlanBook

LAYERS = 80
# A kind with memory for 60 layers.
KIND = "mid"
# End of a load that runs at the start, seconds; later reports may still show it as busy.
LOAD_END_SECONDS = 0.1
# When another upstream becomes the fullest, and when the stale row is updated, seconds.
FILL_DELAY_SECONDS = 7.0
ROW_DELAY_SECONDS = 14.0
RUN_SECONDS = 30.0


def row(name, first=0, end=0):
    return Upstream(name, "s", name, "x", kind=KIND, first=first, end=end)


@given("an upstream whose row lists {listed} and that holds {held} after {orders:d} orders")
def stale_row(context, listed, held, orders):
    context.simulated = SimulatedUpstreams(model_of(LAYERS, LAYER_MB))
    context.rows = {"a": (0, 40), "b": ranges(f"b {listed}")["b"], "c": (0, 0)}
    context.simulated.set_state("a", 0, 40, orders=1)
    context.simulated.set_state("b", *ranges(f"b {held}")["b"], orders=orders)
    context.simulated.set_state("c", 0, 0, orders=0)
    context.stale = {"b"}


@given("its last order was carried out {moment}")
def order_carried_out(context, moment):
    if moment == "a moment ago":
        context.simulated.set_loading("b", LOAD_END_SECONDS)


@given("an empty upstream whose row stays empty after orders, and that is {limited}")
def row_stays_empty(context, limited):
    stale_row(context, "nothing", "nothing", 0)
    context.rows["c"] = 40, 80
    context.simulated.set_state("c", 40, 80, orders=1)
    context.limited = limited == "rate limited"


@given("an empty upstream that drops accepted orders, and another that carries them out")
def upstream_drops_orders(context):
    stale_row(context, "nothing", "nothing", 0)
    context.stale = set()
    context.simulated.dropping_upstreams = {"b"}


def heal(context, seconds, story):
    """Run one healer and a story concurrently on a virtual clock."""

    async def run():
        upstreams = UpstreamTable(trio.current_time)
        for name, (first, end) in context.rows.items():
            upstreams.put(row(name, first, end))
        if getattr(context, "limited", False):
            upstreams.note_limited("b", True)

        def update_row(name, first, end):
            if name not in context.stale:
                upstreams.put(row(name, first, end))

        async def update_stale_rows():
            await trio.sleep(ROW_DELAY_SECONDS)
            for name in list(context.stale):
                context.stale.remove(name)
                update_row(name, *context.simulated.range_of(name))

        context.simulated.on_range_changed = update_row
        context.simulated.start()

        healer = Healer(
            "s",
            upstreams,
            PlanBook(SlowTable(), "me"),
            context.simulated,
            Random(1),
            lambda *_, **__: 0,
        )
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(update_stale_rows)
                nursery.start_soon(story, upstreams)
                await healer.run(lambda: context.simulated.model, lambda: True)

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(0)
    trio.run(run, clock=MockClock(autojump_threshold=0))


@when("a gap of the model is healed, and the row is updated after 14 seconds")
def healed(context):
    async def no_story(upstreams):
        await trio.sleep(0)

    heal(context, RUN_SECONDS, no_story)


@when("another upstream becomes the fullest, and the row is updated after 14 seconds")
def another_is_fullest(context):
    async def fill(upstreams):
        await trio.sleep(FILL_DELAY_SECONDS)
        context.simulated.set_state("c", 30, 80, orders=2)
        upstreams.put(row("c", 30, 80))

    heal(context, RUN_SECONDS, fill)


@then("no order exceeded an upstream's memory")
def within_memory(context):
    assert not context.simulated.over_capacity, context.simulated.over_capacity
    assert context.simulated.taken


@then("every layer of the model is held")
def all_held(context):
    missing = set(range(LAYERS)) - context.simulated.held_layers()
    assert not missing, (sorted(missing), context.simulated.taken)


@then("the upstream that drops orders accepted at most {most:d} orders")
def dropped_orders_limited(context, most):
    dropped = [order for order in context.simulated.taken if order[0] == "b"]
    assert 0 < len(dropped) <= most, context.simulated.taken

"""Steps about the claims of plans and their orders."""

from random import Random

import trio
from behave import given, then, when
from healer_standins import (
    CountingOrderer,
    NotifyingTable,
    SharedStoreUpstreams,
    SilentOrderer,
    SlowTable,
)
from layer_world import LAYER_MB, model_of
from returns.result import Success
from trio.testing import MockClock

from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layer_bench import DOMAINS, MODEL
from deckcourse.layers.healer import CHECK_INTERVAL_SECONDS, TURN_SECONDS, Healer
from deckcourse.layers.orders import OrderResult
from deckcourse.layers.plan_book import ClaimLost, ClaimUnanswered, PlanBook, PlanWon


@given("two processes that know the same plan")
def two_processes(context):
    context.claims = SlowTable()
    context.books = [PlanBook(context.claims, name) for name in "ab"]


@when("both claim the next plan")
def both_claim(context):
    async def claim():
        return [await each.claim("g", "m", ()) for each in context.books]

    context.results = trio.run(claim)


@then("one has won and the other knows the winner's plan")
def one_won(context):
    won, lost = context.results
    assert isinstance(won, PlanWon) and isinstance(lost, ClaimLost)
    assert lost.record == won.record


@then("after a claim whose answer is lost no orders may be sent")
def no_orders_allowed(context):
    context.claims.lost = True

    async def claim():
        return await context.books[0].claim("g", "m", ())

    assert isinstance(trio.run(claim), ClaimUnanswered)
    assert context.books[0].last_plan("g").number == 2
    match trio.run(context.claims.read, ["plans/g"]):
        case Success((row,)):
            assert row is not None


def run_healer(table, orderer, seconds):
    """Run one healer for a model with a gap on a virtual clock."""

    async def run():
        upstreams = UpstreamTable(trio.current_time)
        for name, first, end in (("a", 0, 38), ("b", 42, 80)):
            upstreams.put(Upstream(name, "s", name, "x", kind="big", first=first, end=end))
        book = PlanBook(table, "me")
        healer = Healer("s", upstreams, book, orderer, Random(1), lambda *_, **__: None)
        with trio.move_on_after(seconds):
            await healer.run(lambda: model_of(80, LAYER_MB), lambda: True)

    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(0)
    trio.run(run, clock=MockClock(autojump_threshold=0))


@given("a process whose claim is answered after {seconds:g} seconds")
def late_claim(context, seconds):
    context.orderer = CountingOrderer(OrderResult.ACCEPTED)
    run_healer(SlowTable(seconds), context.orderer, seconds + 1.5)


@then("it sends no orders")
def no_orders(context):
    assert context.orderer.orders == 0


@given("a process whose orders are answered with a conflict")
def conflicts(context):
    context.orderer = CountingOrderer(OrderResult.CONFLICT)
    run_healer(SlowTable(), context.orderer, 2.0 + 0.8)


@then("it sends at most {max_orders:d} orders in 2.8 seconds")
def orders_at_most(context, max_orders):
    # Without the cooldown there would be some 90 rounds, each with two orders to two hosts.
    assert 0 < context.orderer.orders <= max_orders, context.orderer.orders


@given("a process whose first two orders to each upstream get no answer")
def orders_without_answer(context):
    context.orderer = SilentOrderer(2)
    run_healer(SlowTable(), context.orderer, 2.0)


@then("each upstream accepts an order within {seconds:g} seconds of the first attempt")
def ordered_soon(context, seconds):
    times = context.orderer.accepted_at
    assert set(times) == {"a", "b"}, times
    assert max(times.values()) <= TURN_SECONDS * 2 + CHECK_INTERVAL_SECONDS + seconds, times


@given("{count:d} processes that see the same gap, of which the first {lost:d} are lost")
def many_healers(context, count, lost):
    context.turns = range(lost, count)
    context.held = (("a", 0, 38), ("b", 42, 80))


@given("{count:d} processes that all saw a failure, and then see another gap")
def saw_failure(context, count):
    many_healers(context, count, 0)
    context.saw_before = (("a", 0, 36), ("b", 44, 80))


@given("{count:d} processes that see only empty upstreams")
def all_empty(context, count):
    context.turns = range(count)
    context.held = (("a", 0, 0), ("b", 0, 0))


def put_rows(upstreams, held):
    for name, first, end in held:
        upstreams.put(Upstream(name, "s", name, "x", kind="big", first=first, end=end))


async def see_failure(context, tables):
    """Let all processes see a failure, carry out a plan for it, and then open the next gap."""
    for _, healer, _ in context.plan_table.listeners:
        healer.record_failure("x")
    await trio.sleep(2.0)
    assert context.plan_table.claims > 0
    for each in tables:
        put_rows(each, (("a", 0, 40), ("b", 40, 80)))
    await trio.sleep(4.0)
    context.plan_table.claims = context.orderer.orders = 0
    for each in tables:
        put_rows(each, context.held)


@when("plans reach the other processes after {seconds:g} seconds")
def plans_propagate(context, seconds):
    context.plan_table = NotifyingTable(seconds)
    context.orderer = CountingOrderer(OrderResult.ACCEPTED)
    context.ordered_at = None
    saw_before = getattr(context, "saw_before", ())

    async def run():
        model = model_of(80, LAYER_MB)
        tables = []
        async with trio.open_nursery() as nursery:
            for turn in context.turns:
                upstreams = UpstreamTable(trio.current_time)
                tables.append(upstreams)
                put_rows(upstreams, saw_before or context.held)
                book = PlanBook(context.plan_table, f"p{turn}")
                healer = Healer(
                    "s", upstreams, book, context.orderer, Random(turn),
                    lambda *_, **__: None, lambda group, turn=turn: turn,
                )  # fmt: skip
                context.plan_table.listeners.append((book, healer, model))
                nursery.start_soon(healer.run, lambda: model, lambda: True)
            context.plan_table.nursery = nursery
            if saw_before:
                await see_failure(context, tables)
            gap_at = trio.current_time()
            with trio.move_on_after(3.0):
                while not context.orderer.orders:
                    await trio.sleep(0.01)
                context.ordered_at = trio.current_time() - gap_at
                await trio.sleep(0.5)
            nursery.cancel_scope.cancel()

    trio._core._run._r.seed(0)
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then(
    "orders to close the gap are sent within {seconds:g} seconds with at most {max_claims:d} claims"
)
def few_claims(context, seconds, max_claims):
    assert context.ordered_at is not None and context.ordered_at <= seconds, context.ordered_at
    assert 0 < context.plan_table.claims <= max_claims, context.plan_table.claims


@given("{count:d} domains of empty upstreams that load from one store")
def domains_load(context, count):
    context.domains = DOMAINS[:count]


@when("processes place the model for {seconds:d} seconds")
def model_placed(context, seconds):
    """Run two processes that know of each other's plans."""
    plan_table = NotifyingTable(0.1)
    tables = [UpstreamTable(trio.current_time) for _ in range(2)]
    kinds = {
        f"{domain}-{index}": (f"d{domain}", kind)
        for domain, domain_kinds in enumerate(context.domains)
        for index, kind in enumerate(domain_kinds)
    }
    context.held = {}
    context.whole_at = {}

    def put_row(name, first, end):
        domain, kind = kinds[name]
        context.held[name] = first, end
        for each in tables:
            each.put(Upstream(name, "s", name, domain, kind=kind, first=first, end=end))
        layers = {
            layer
            for other, held in context.held.items()
            if kinds[other][0] == domain
            for layer in range(*held)
        }
        if len(layers) == MODEL.layers:
            context.whole_at.setdefault(domain, trio.current_time() - context.began_at)

    context.upstreams = SharedStoreUpstreams(MODEL, put_row)

    async def run():
        context.began_at = trio.current_time()
        for name in kinds:
            put_row(name, 0, 0)
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                plan_table.nursery = nursery
                nursery.start_soon(context.upstreams.run)
                for turn, upstreams in enumerate(tables):
                    book = PlanBook(plan_table, f"p{turn}")
                    healer = Healer(
                        "s", upstreams, book, context.upstreams, Random(turn),
                        lambda *_, **__: None, lambda group, turn=turn: turn,
                    )  # fmt: skip
                    plan_table.listeners.append((book, healer, MODEL))
                    nursery.start_soon(healer.run, lambda: MODEL, lambda: True)

    trio._core._run._r.seed(0)
    trio.run(run, clock=MockClock(autojump_threshold=0))


@then("each domain is whole within {seconds:g} seconds and no order reached a loading upstream")
def whole_without_conflicts(context, seconds):
    seen = context.whole_at, context.upstreams.conflicts
    assert len(context.whole_at) == len(context.domains), seen
    assert max(context.whole_at.values()) <= seconds, seen
    assert context.upstreams.conflicts == 0, seen

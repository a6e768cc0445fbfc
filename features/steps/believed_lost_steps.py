"""Steps about silence, refusals and hung connections that are taken for something else."""

import trio
from behave import then, when
from bound_steps import events_of, play, play_beside
from partition_world import Cut

ROW_GONE_SECONDS = 1.0
# When the row of a silent upstream goes, after the begin of its silence of a second.
ROW_REMOVAL_SECONDS = 0.9
RETRIES_EARNED = 200
# Requests follow each other at this interval.
INTERVAL_SECONDS = 0.2
RETRY_WINDOW_SECONDS = 10.0


@when(
    "{count:d} upstreams that run a stream fall silent before its first event,"
    " and their rows go for a second"
)
def silent_without_rows(context, count):
    async def remove_row(site, instance):
        await trio.sleep(ROW_REMOVAL_SECONDS)
        site.store.put("servers", instance, None)
        await trio.sleep(ROW_GONE_SECONDS)
        site.store.put("servers", instance, site.runners[instance].row())

    async def silence_without_rows(site):
        async with trio.open_nursery() as nursery:

            def fail(instance):
                site.silence(instance)
                nursery.start_soon(remove_row, site, instance)

            await site.fail_in_series("r1", count, 0, fail)

    play(context, silence_without_rows)


@then("no request counts as having crashed an upstream")
def no_crash(context):
    crashes = [each for each in context.site.lines if each[0] == "crash"]
    assert not crashes, crashes


@when(
    "{count:d} {route} requests of a partitioned process are handed over"
    " while all upstreams are full"
)
def handed_over_to_full(context, count, route):
    async def story(site):
        await site.partition_entry()
        for budget in budgets(site):
            for _ in range(RETRIES_EARNED):
                budget.earn()
        for runner in site.runners.values():
            runner.behaviour = "full"
        before = spent_retries(site), len(site.received_requests)
        for number in range(count):
            await site.ask_at(site.processes[0], route, f"r{number}", b"r")
            await trio.sleep(INTERVAL_SECONDS)
        context.spent = spent_retries(site) - before[0]
        context.arrivals = [each.request for each in site.received_requests[before[1] :]]

    context.site.play(story)


def budgets(site):
    return [
        each.node.gateway.context.budget(service)
        for each in site.processes
        for service in ("llm", "crm")
    ]


def spent_retries(site):
    now = trio.current_time()
    return sum(each._earned_retries.at_most(now, RETRY_WINDOW_SECONDS) for each in budgets(site))


@then("the arrivals beyond the first of each request are no more than the retries that were spent")
def arrivals_paid(context):
    beyond = len(context.arrivals) - len(set(context.arrivals))
    assert beyond <= context.spent, (beyond, context.spent)


@when("the open connections to the upstream of a stream go silent for good while new ones work")
def connections_hang(context):
    async def story(site):
        async def hang():
            instance = await events_of(site, 5)
            address = site.runners[instance].address
            for each, transport in site.transports.get("g0", []):
                if each == address:
                    transport.cut_of = lambda: Cut.KEPT_HANG
                    transport.opened_under = None

        await play_beside(context, site, hang)

    context.site.play(story)

"""Steps about placements that follow the demand, judged by the paths over them."""

from dataclasses import replace
from hashlib import sha256
from random import Random
from statistics import fmean

import trio
from behave import given, then, when
from call_count import calls_of
from healer_standins import CountingOrderer, SlowTable
from layer_world import carried_out, depth, within_memory
from trio.testing import MockClock

from deckcourse.decisions.interruptions import NO_DEMAND, PlacementDemand
from deckcourse.gateway.placement_demand import DemandWatch
from deckcourse.gateway.upstream import Upstream
from deckcourse.gateway.upstreams import UpstreamTable
from deckcourse.layers.healer import Healer
from deckcourse.layers.hosts import Group, LayerHost, groups_of
from deckcourse.layers.layouts import best_layout, target_of
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.layers.orders import OrderResult
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.placement import plan_group
from deckcourse.layers.plan_book import PlanBook
from deckcourse.peers.loads import LoadRow

# Number, memory, step factor and prefill factor of the hosts of each kind.
MIXES = {
    "mixed": {"a": (2, 36_000, 3.1, 3.2), "l": (13, 21_600, 16, 8.2), "t": (22, 14_400, 15, 15)},
    "uneven": {"b": (2, 72_000, 2.4, 3.2), "v": (24, 14_400, 5.3, 7.9), "l": (9, 21_600, 16, 8.2)},
}
MAX_PLANS = 30
ORDERS = {"names": lambda each: each.instance, "layers": lambda each: (each.first, each.end)}


@given("the hosts of the mix {mix}")
def hosts_of_mix(context, mix):
    kinds = MIXES[mix]
    context.model = ModelSpec(
        "m", 80, 1750.0, load_seconds=14.0, step_ms=0.85, prefill_per_ms=353.0,
        cache_bytes=656_000.0, requests=96, parallel_loads=6, usual_prompt=772.0,
        usual_answer=138.0,
        kinds={name: AcceleratorKind(name, *each[1:]) for name, each in kinds.items()},
    )  # fmt: skip
    context.empty = [
        LayerHost(f"{kind}{index:02}", "x", kind)
        for kind, (count, *_) in kinds.items()
        for index in range(count)
    ]


def settled(model, hosts, demand):
    """Return the hosts once no orders remain."""
    for _ in range(MAX_PLANS):
        (group,) = groups_of(model, hosts)
        plan = plan_group(model, group, demand=demand)
        if not plan:
            return hosts
        assert within_memory(model, plan, hosts), plan
        hosts = carried_out(hosts, plan)
    raise AssertionError("plans follow each other without end")


def shared_paths(model, hosts):
    """Return the paths with their shares of the running streams, as requests are distributed."""
    paths = PathSet(model, hosts).all_paths()
    total = sum(1.0 / each.cost for each in paths)
    return [(1.0 / each.cost / total, each) for each in paths]


def adjacent(hosts, lost, order):
    ordered = sorted(hosts, key=ORDERS[order])
    return [ordered[start : start + lost] for start in range(len(hosts) - lost + 1)]


def interrupted(model, hosts, lost):
    paths = shared_paths(model, hosts)
    losses = [{each.instance for each in gone} for gone in adjacent(hosts, lost, "names")]
    return fmean(sum(share for share, path in paths if path.instances & gone) for gone in losses)


def streams_run(model, hosts):
    """Return how many usual streams run at once: each takes the least used path with room."""
    by_name = {each.instance: each for each in hosts}
    paths = [path for _, path in shared_paths(model, hosts)]
    free = dict.fromkeys(by_name, 1.0)
    begun = dict.fromkeys(by_name, 0)

    def need(stage):
        host = by_name[stage.instance]
        held, run = host.end - host.first, stage.end - stage.first
        return 1.0 / model.request_capacity(host.kind, held, run)

    needs = [[(each.instance, need(each)) for each in path.stages] for path in paths]

    def room(stages):
        least = min(free[name] - needed for name, needed in stages)
        return min(least, 1.0 - (begun[stages[0][0]] + 1) / model.requests)

    count = 0
    while (best := max(needs, key=room)) and room(best) >= 0.0:
        begun[best[0][0]] += 1
        for name, needed in best:
            free[name] -= needed
        count += 1
    return count


@when("they are placed for {streams:g} streams")
def place(context, streams):
    context.demand = PlacementDemand(1.0, streams)
    context.hosts = settled(context.model, context.empty, context.demand)


@then(
    "every layer is held {copies:d} times, and a stream passes at most {stages:g} stages on average"
)
def copies_and_stages(context, copies, stages):
    assert min(depth(context.model, context.hosts)) == copies
    mean = sum(s * len(each.stages) for s, each in shared_paths(context.model, context.hosts))
    assert mean <= stages, mean


@then(
    "the loss of one host interrupts at most {one:g} of the streams, that of 4 adjacent ones "
    "{four:g}"
)
def interrupts(context, one, four):
    got = [interrupted(context.model, context.hosts, lost) for lost in (1, 4)]
    assert got[0] <= one and got[1] <= four, got


@then("today's layout interrupts at least {one:g} and {four:g} of them")
def interrupted_today(context, one, four):
    today = settled(context.model, context.empty, NO_DEMAND)
    got = [interrupted(context.model, today, lost) for lost in (1, 4)]
    assert got[0] >= one and got[1] >= four, got


@then("all paths together run at least {count:d} streams")
def run_together(context, count):
    got = streams_run(context.model, context.hosts)
    assert got >= count, got


@then(
    "the rest of any 4 hosts adjacent by {order} is made whole and runs at least {count:d} streams"
)
def rest_is_healed(context, order, count):
    got = []
    for gone in adjacent(context.hosts, 4, order):
        rest = [each for each in context.hosts if each not in gone]
        rest = settled(context.model, rest, context.demand)
        assert min(depth(context.model, rest)) >= 1, gone
        got.append(streams_run(context.model, rest))
    assert min(got) >= count, min(got)


@then("without a weight the layout is {layout}, also for 40 streams")
def same_layout(context, layout):
    (group,) = groups_of(context.model, context.empty)
    context.layout = best_layout(context.model, group)
    text = ";".join(
        ",".join(f"{each.instance}:{each.first}-{each.end}" for each in copy)
        for copy in context.layout
    )
    assert sha256(text.encode()).hexdigest()[:16] == layout
    assert best_layout(context.model, group, PlacementDemand(0.0, 40.0)) == context.layout


@then("for {streams:g} streams it is the same with a weight")
def same_for_many(context, streams):
    (group,) = groups_of(context.model, context.empty)
    demand = PlacementDemand(1.0, streams)
    assert best_layout(context.model, group, demand) == context.layout


@then("a layout for {streams:g} streams takes at most {factor:g} times the calls of today's")
def calls_compared(context, streams, factor):
    (group,) = groups_of(context.model, context.empty)
    demand = PlacementDemand(1.0, streams)
    today = calls_of(lambda: best_layout(context.model, group))
    got = calls_of(lambda: best_layout(context.model, group, demand))
    assert got <= factor * today, (got, today)


@when("4 hosts of one copy are lost and return empty, one after the other")
def lost_and_back(context):
    (group,) = groups_of(context.model, context.empty)
    copy = best_layout(context.model, group, context.demand)[-1]
    names = [each.instance for each in sorted(copy, key=lambda each: each.first)][4:8]
    gone = [each for each in context.hosts if each.instance in names]
    hosts = [each for each in context.hosts if each not in gone]
    hosts = settled(context.model, hosts, context.demand)
    context.held_after_return = []
    for each in gone:
        hosts = [*hosts, replace(each, first=0, end=0)]
        hosts = settled(context.model, hosts, context.demand)
        context.held_after_return.append(not hosts[-1].is_empty)
    context.hosts = hosts


@then("each of them holds layers before the next one returns")
def hold_at_once(context):
    assert all(context.held_after_return), context.held_after_return


@then("every layer is held {copies:d} times again")
def held_again(context, copies):
    assert min(depth(context.model, context.hosts)) == copies, depth(context.model, context.hosts)


@given("a demand of {streams:g} streams, observed for {seconds:d} seconds")
def observed(context, streams, seconds):
    context.now, context.running = 0.0, streams
    context.watch = DemandWatch(
        "llm", lambda domains: context.running, lambda: 1.0, lambda: context.now,
        lambda *_: None, lambda *_: None, lambda *_, **__: None,
    )  # fmt: skip
    sample(context, seconds)
    assert context.streams == streams, context.streams


def sample(context, seconds):
    for _ in range(seconds * 2):
        context.now += 0.5
        context.streams = context.watch.demand(Group("x", (), 1)).streams


@when("{streams} streams run for {seconds:d} seconds")
def streams_for(context, streams, seconds):
    context.running = None if streams == "unknown" else float(streams)
    sample(context, seconds)


@then("the demand is between {least:g} and {most:g} streams")
def demand_between(context, least, most):
    assert least <= context.streams <= most, context.streams


@then("for {streams:g} streams their memory is divided as for {others:g}")
def divided_alike(context, streams, others):
    (group,) = groups_of(context.model, context.empty)
    few, more = (
        target_of(context.model, group, PlacementDemand(1.0, each)) for each in (streams, others)
    )
    assert few == more is not None, (few, more)


@given("{count:d} streams begin at each first upstream")
def streams_begin(context, count):
    context.choice.choose(context.model)
    context.begun = dict.fromkeys("xyz", 0)
    passing = dict.fromkeys((each.instance for each in context.board.all()), 0)
    for path in context.choice._loads.path_set(context.model).all_paths():
        context.begun[path.domain] += count
        for stage in path.stages:
            passing[stage.instance] += count
    for name, running in passing.items():
        context.board.record(LoadRow(name, running, 0, 0.1, 1.01))
    context.now += 0.1


@then("the streams of each domain are counted, as many as begin there")
def counted_once(context):
    for domain, begun in context.begun.items():
        got = context.choice.running_streams(frozenset(domain))
        assert abs(got - begun) <= 0.01 * begun, (domain, got, begun)


@when("a healer places them for {streams:g} streams")
def healer_places(context, streams):
    context.lines = []

    async def run():
        upstreams = UpstreamTable(trio.current_time)
        for host in context.empty:
            upstreams.put(Upstream(host.instance, "s", host.instance, "x", kind=host.kind))
        healer = Healer(
            "s", upstreams, PlanBook(SlowTable(), "me"), CountingOrderer(OrderResult.ACCEPTED),
            Random(1), lambda kind, **fields: context.lines.append((kind, fields)),
            demand=lambda group: PlacementDemand(1.0, streams),
        )  # fmt: skip
        with trio.move_on_after(4.0):
            await healer.run(lambda: context.model, lambda: True)

    trio.run(run, clock=MockClock(autojump_threshold=0))
    orders = [fields for kind, fields in context.lines if kind == "order"]
    held = {each["instance"]: (each["first"], each["end"]) for each in orders}
    context.hosts = [
        replace(each, first=held[each.instance][0], end=held[each.instance][1])
        for each in context.empty
        if each.instance in held
    ]


@then("the plan is logged with the demand and the fills that it was made for")
def plan_logged(context):
    ((_, fields),) = [each for each in context.lines if each[0] == "plan"]
    assert fields["streams"] == 70 and fields["wanted_copies"] == 3, fields
    assert 0.6 < fields["fill"] <= fields["healing_fill"] <= 0.92, fields

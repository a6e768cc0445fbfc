"""Steps about placements that follow the demand, judged by the paths over them."""

from collections import Counter
from hashlib import sha256
from statistics import fmean

import trio
from behave import given, then
from gateway_world import GatewayWorld
from layer_world import carried_out, depth, paths_at_capacity, within_memory

from deckcourse.decisions.interruptions import NO_DEMAND, PlacementDemand
from deckcourse.decisions.smoothed_demand import SmoothedDemand
from deckcourse.layers.hosts import LayerHost, groups_of
from deckcourse.layers.layouts import best_layout
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.placement import plan_group
from deckcourse.peers.loads import LoadRow
from deckcourse.settings import LoadSettings

# Number, memory, step factor and prefill factor of the hosts of each kind.
MIXES = {
    "mixed": {"a": (2, 36_000, 3.1, 3.2), "l": (13, 21_600, 16, 8.2), "t": (22, 14_400, 15, 15)},
    "uneven": {"b": (2, 72_000, 2.4, 3.2), "v": (24, 14_400, 5.3, 7.9), "l": (9, 21_600, 16, 8.2)},
}
BY_NAME, BY_LAYERS = (lambda each: each.instance), (lambda each: (each.first, each.end))


@given("the hosts of the mix {mix}, placed for {streams:g} streams")
def place(context, mix, streams):
    context.model = ModelSpec(
        "m", 80, 1750.0, load_seconds=14.0, step_ms=0.85, prefill_per_ms=353.0, usual_prompt=772.0,
        usual_answer=138.0, cache_bytes=656_000.0, requests=96, parallel_loads=6,
        kinds={name: AcceleratorKind(name, *each[1:]) for name, each in MIXES[mix].items()},
    )  # fmt: skip
    counts = {kind: count for kind, (count, *_) in MIXES[mix].items()}
    names = [(kind, number) for kind, count in counts.items() for number in range(count)]
    context.empty = [LayerHost(f"{kind}{number:02}", "x", kind) for kind, number in names]
    context.demand = PlacementDemand(1.0, streams)
    context.hosts = settled(context.model, context.empty, context.demand)
    context.today = settled(context.model, context.empty, NO_DEMAND)


def settled(model, hosts, demand):
    """Return the hosts once no orders remain, after 30 plans at the most."""
    for _ in range(30):
        (group,) = groups_of(model, hosts)
        plan = plan_group(model, group, demand=demand)
        if not plan:
            return hosts
        assert within_memory(model, plan, hosts), plan
        hosts = carried_out(hosts, plan)
    raise AssertionError("plans follow each other without end")


def interrupted(model, hosts, lost):
    """Return the mean share of streams that lost hosts with adjacent names interrupt."""
    paths = PathSet(model, hosts).all_paths()
    total = sum(1.0 / each.cost for each in paths)
    losses = [{each.instance for each in gone} for gone in adjacent(hosts, lost, BY_NAME)]
    return fmean(
        sum(1.0 / each.cost for each in paths if each.instances & gone) / total for gone in losses
    )


def adjacent(hosts, lost, order):
    ordered = sorted(hosts, key=order)
    return [ordered[start : start + lost] for start in range(len(hosts) - lost + 1)]


@then(
    "every layer is held {copies:d} times, instead of {fewer:d}, on paths of {stages:g} stages, "
    "instead of {more:g}"
)
def copies_and_stages(context, copies, fewer, stages, more):
    for hosts, held in ((context.hosts, copies), (context.today, fewer)):
        assert min(depth(context.model, hosts)) == held
    # One lost host of all interrupts the streams in proportion to the stages of their paths.
    count = len(context.empty)
    got = [interrupted(context.model, each, 1) * count for each in (context.hosts, context.today)]
    assert got[0] <= stages and got[1] >= more, got


@then(
    "a loss of 1 and of 4 hosts interrupts {one:g} and {four:g} of the streams, instead of "
    "{today:g} to {today4:g}"
)
def interrupts(context, one, four, today, today4):
    got = [interrupted(context.model, context.hosts, lost) for lost in (1, 4)]
    before = [interrupted(context.model, context.today, lost) for lost in (1, 4)]
    assert got[0] <= one and got[1] <= four, got
    assert before[0] >= today and before[1] >= today4, before


@then("{count:d} streams have room, and {healed:d} once a loss of any 4 adjacent hosts is healed")
def rooms(context, count, healed):
    assert len(paths_at_capacity(context.model, context.hosts)) >= count
    for gone in (
        each for order in (BY_NAME, BY_LAYERS) for each in adjacent(context.hosts, 4, order)
    ):
        rest = [each for each in context.hosts if each not in gone]
        rest = settled(context.model, rest, context.demand)
        assert len(paths_at_capacity(context.model, rest)) >= healed, gone


@then(
    "the layout is {layout} without a weight, without a known demand, and for {streams:g} streams"
)
def same_layout(context, layout, streams):
    (group,) = groups_of(context.model, context.empty)
    unweighted, unknown = PlacementDemand(0.0, 40.0, 40.0), PlacementDemand(1.0)
    for demand in (NO_DEMAND, unweighted, unknown, PlacementDemand(1.0, streams)):
        copies = best_layout(context.model, group, demand)
        text = ";".join(
            ",".join(f"{each.instance}:{each.first}-{each.end}" for each in copy) for copy in copies
        )
        assert sha256(text.encode()).hexdigest()[:16] == layout, demand


@then("hosts of one copy that return empty hold layers at once, until all are held 3 times")
def return_empty(context):
    (group,) = groups_of(context.model, context.empty)
    copy = best_layout(context.model, group, context.demand)[-1]
    names = [each.instance for each in sorted(copy, key=lambda each: each.first)][4:8]
    hosts = [each for each in context.hosts if each.instance not in names]
    for host in (each for each in context.empty if each.instance in names):
        hosts = settled(context.model, [*hosts, host], context.demand)
        assert not hosts[-1].is_empty or min(depth(context.model, hosts)) == 3, host
    assert min(depth(context.model, hosts)) == 3


@then("40 streams for a minute, and then others for some seconds, are a demand of")
def demand_of(context):
    for row in context.table:
        smoothed = SmoothedDemand()
        samples = [40.0] * 60 + [float(row["streams"])] * int(row["seconds"])
        for now, each in enumerate(samples):
            smoothed.note(each, float(now))
        assert float(row["least"]) <= smoothed.value <= float(row["most"]), (row, smoothed.value)


@then("of streams that begin at each first upstream it counts those of each domain")
def counted_once(context):
    context.choice.choose(context.model)
    paths = context.choice._loads.path_set(context.model).all_paths()
    passing = Counter(name for path in paths for name in path.instances)
    for each in context.board.all():
        context.board.record(LoadRow(each.instance, passing[each.instance], 0, 0.1, 1.01))
    context.now += 0.1
    for domain in "xyz":
        begun = sum(each.domain == domain for each in paths)
        got = context.choice.running_streams(frozenset(domain))
        assert abs(got - begun) <= 0.01 * begun, (domain, got, begun)


@then("a process with empty runners logs the demand that its operators expect")
def plans_for_demand(context):
    site = GatewayWorld()
    site.load = LoadSettings(interruption_weight=1.0, expected_streams=60.0)
    for number in range(8):
        site.add(f"x{number}")
    site.play(lambda site: trio.sleep(5.0))
    plans = [fields for kind, fields in site.lines if kind == "plan"]
    assert plans and {each["streams"] for each in plans} == {60.0}, plans

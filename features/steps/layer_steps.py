"""Steps about the placement of layers: groups and their plans."""

from dataclasses import replace
from itertools import combinations
from random import Random

from behave import given, then, when
from layer_world import (
    DOMAIN,
    LAYER_MB,
    SEEDS,
    carried_out,
    depth,
    fit_together,
    model_of,
    plan_of,
    ranges,
    streams_a_second,
    within_memory,
)

from deckcourse.layers.cuts import restore
from deckcourse.layers.hosts import MAX_FILL, LayerHost, groups_of
from deckcourse.layers.layouts import best_layout, layout_rate
from deckcourse.layers.model import AcceleratorKind
from deckcourse.layers.placement import plan_group

# Kinds in random groups; each of the largest holds a large part of a model.
PLACED_KINDS = ["a100s", "l4", "t4", "big100", "v100", "mid"]


@given("a model of {layers:d} layers of {size:g} MB and a group holding {held}")
def group_holding(context, layers, size, held):
    context.model = model_of(layers, size)
    context.hosts = []
    for name, entry in zip("abcdefghijkl", held.split(","), strict=False):
        kind, _, place = entry.strip().partition(" ")
        first, _, end = place.partition("-")
        context.hosts.append(LayerHost(name, "x", kind, int(first) if end else 0, int(end or 0)))


@given("a model of {layers:d} layers of {size:g} MB and the upstreams of one domain, {state}")
def one_domain(context, layers, size, state):
    context.model = model_of(layers, size)
    context.hosts = [LayerHost(f"h{index:02}", "x", kind) for index, kind in enumerate(DOMAIN)]
    if state == "placed":
        context.hosts = carried_out(context.hosts, plan_of(context, {}))


@when("the group is planned with pending orders {pending}")
def planned(context, pending):
    context.plan = plan_of(context, ranges(pending))


@when("its hosts may only extend their ranges")
def only_extend(context):
    context.plan, is_whole = restore(context.model, context.hosts, {}, give_up=False)
    assert is_whole


@then("the plan is {plan}")
def plan_is(context, plan):
    got = {each.instance: (each.first, each.end) for each in context.plan}
    assert got == ranges(plan), got


@when("the group is planned until no orders remain")
def planned_until_done(context):
    context.plans = 0
    while plan := plan_of(context, {}):
        assert within_memory(context.model, plan, context.hosts)
        assert fit_together(context.model, plan, context.hosts)
        context.hosts = carried_out(context.hosts, plan)
        context.plans += 1
        assert min(depth(context.model, context.hosts)) >= 1


@then(
    "every layer is held after {max_plans:d} plans and no host is filled beyond {fill:g} of its "
    "memory"
)
def level_after(context, max_plans, fill):
    assert context.plans <= max_plans, context.plans
    assert max(each.fill(context.model) for each in context.hosts) <= fill


@then("the plan makes the model whole, and no host loads more than {max_load:d} layers")
def whole_after(context, max_load):
    before = {each.instance: each for each in context.hosts}
    for each in context.plan:
        host = before[each.instance]
        overlap = len(set(range(host.first, host.end)) & set(range(each.first, each.end)))
        assert each.end - each.first - overlap <= max_load, each
    hosts = carried_out(context.hosts, context.plan)
    assert min(depth(context.model, hosts)) >= 1, (context.plan, depth(context.model, hosts))
    assert within_memory(context.model, context.plan, context.hosts)
    assert fit_together(context.model, context.plan, context.hosts)


@then("every layer is held once and no host is filled beyond {fill:g} of its memory")
def held_once(context, fill):
    hosts = carried_out(context.hosts, context.plan)
    assert set(depth(context.model, hosts)) == {1}
    assert within_memory(context.model, context.plan, hosts)
    assert fill == MAX_FILL


@when(
    "{lost:d} hosts are lost, for each of several seeds, and the group is planned until no orders "
    "remain"
)
def lost_hosts(context, lost):
    context.ends = []
    context.orders_fit = context.fit_together = True
    all_hosts = context.hosts
    for seed in range(SEEDS):
        context.hosts = Random(seed).sample(all_hosts, len(all_hosts) - lost)
        for _ in range(20):
            groups = groups_of(context.model, context.hosts)
            plan = plan_group(context.model, groups[0]) if groups else ()
            if not plan:
                break
            context.fit_together &= fit_together(context.model, plan, context.hosts)
            context.orders_fit &= within_memory(context.model, plan, context.hosts)
            context.hosts = carried_out(context.hosts, plan)
        # Without the three largest hosts the rest can't hold the model at all.
        if groups:
            context.ends.append(context.hosts)


@then("every layer is held and no order exceeds {fill:g} of a host's memory")
def held_after(context, fill):
    assert len(context.ends) > SEEDS * 0.9
    assert context.orders_fit and fill == MAX_FILL
    for hosts in context.ends:
        assert min(depth(context.model, hosts)) >= 1, hosts


@then("the held and the ordered layers of a host always fit into its memory together")
def always_fit_together(context):
    assert context.fit_together


@given("a model of {layers:d} layers of {size:g} MB and the domains {domains}")
def domains_of(context, layers, size, domains):
    context.model = model_of(layers, size)
    context.hosts = []
    for entry in domains.replace(" and ", ", ").replace(" layers", "").split(","):
        name, _, room = entry.strip().partition(" of ")
        count = int(room) // 5
        context.hosts += [LayerHost(f"{name}{index:02}", name, "unit") for index in range(count)]
    unit = AcceleratorKind("unit", 5.0 / MAX_FILL * size + 1, 1.0, 1.0)
    context.model = replace(context.model, kinds={"unit": unit})


@then("the groups are {names}")
def groups_are(context, names):
    got = [each.name for each in groups_of(context.model, context.hosts)]
    assert got == names.split(" and "), got


@when("the first placement of the group {name} is carried out")
def first_placement(context, name):
    (group,) = groups_of(context.model, context.hosts)
    assert group.name == name
    context.hosts = carried_out(context.hosts, plan_group(context.model, group))


@then("every layer is held {times:d} times")
def held_times(context, times):
    assert set(depth(context.model, context.hosts)) == {times}, depth(context.model, context.hosts)


@given("a domain of {hosts} and a model with {requests:d} concurrent requests for each first stage")
def domain_of(context, hosts, requests):
    context.model = model_of(80, LAYER_MB, requests)
    context.hosts = []
    for entry in hosts.split(","):
        count, kind = entry.split()
        context.hosts += [LayerHost(f"{kind}-{each}", "x", kind) for each in range(int(count))]


@when("its first placement is carried out")
def place_first(context):
    context.hosts = carried_out(context.hosts, plan_of(context, {}))


@then(
    "{copies:d} copies serve at least {least:d} streams a second, and no host is filled beyond "
    "{fill:g} of its memory"
)
def copies_serve(context, copies, least, fill):
    assert min(depth(context.model, context.hosts)) >= copies
    assert max(each.fill(context.model) for each in context.hosts) <= fill
    rate = streams_a_second(context.model, context.hosts)
    assert rate >= least, rate


@then("after the loss of any {lost:d} hosts the rest serves at least {after:d} streams a second")
def rest_serves(context, lost, after):
    for missing in combinations(context.hosts, lost):
        rest = [each for each in context.hosts if each not in missing]
        rate = streams_a_second(context.model, rest)
        assert rate >= after, (missing, rate)


def random_groups(count):
    """Yield the random generators, models and hosts of groups that can hold their model."""
    for seed in range(count):
        random = Random(seed)
        model = replace(model_of(80, LAYER_MB, random.choice([96, 10_000])), stream_step_ms=0.01)
        kinds = random.sample(PLACED_KINDS, random.randint(1, 3))
        names = (f"h{index:02}" for index in range(random.randint(8, 30)))
        hosts = [LayerHost(name, "x", random.choice(kinds)) for name in names]
        if groups_of(model, hosts):
            yield random, model, hosts


def best_rate(model, hosts):
    (group,) = groups_of(model, hosts)
    layout = best_layout(model, group)
    return layout, layout_rate(model, group, layout)


@then(
    "for {count:d} random groups the first placement fits, and its rate doesn't depend on host "
    "names"
)
def layouts_fit(context, count):
    context.groups = list(random_groups(count))
    assert len(context.groups) > count * 0.7
    for random, model, hosts in context.groups:
        layout, rate = best_rate(model, hosts)
        for copy in layout:
            assert min(depth(model, carried_out(hosts, copy))) >= 1, copy
            assert within_memory(model, copy, hosts)
        placed = [each.instance for copy in layout for each in copy]
        assert len(placed) == len(set(placed)), placed
        renamed = [replace(each, instance=f"n{random.random()}") for each in hosts]
        random.shuffle(renamed)
        assert abs(best_rate(model, renamed)[1] - rate) <= 1e-9 * rate


@then(
    "its rate doesn't rise if some hosts are slower, and at most by a factor of {max_factor:g} "
    "with one host less"
)
def slower_is_worse(context, max_factor):
    for random, model, hosts in context.groups:
        layout, rate = best_rate(model, hosts)
        kind = random.choice(hosts).kind
        slower = replace(model.kinds[kind], step_factor=model.kinds[kind].step_factor * 1.5)
        slower_model = replace(model, kinds={**model.kinds, kind: slower})
        (group,) = groups_of(model, hosts)
        assert layout_rate(slower_model, group, layout) <= rate
        rest = random.sample(hosts, len(hosts) - 1)
        if groups_of(model, rest):
            assert best_rate(model, rest)[1] <= max_factor * rate


@then("with {kinds} an upstream of an undescribed accelerator has room for {layers:d} of 8 layers")
def undescribed_room(context, kinds, layers):
    described = {"card": AcceleratorKind("card", 500.0, 1.0, 1.0)}
    model = replace(model_of(8, 100.0), kinds=described if kinds.startswith("others") else {})
    assert model.max_layers("another") == layers

"""Steps about placement, paths and plans."""

from dataclasses import replace
from random import Random

import trio
from behave import given, then, when
from healer_standins import CountingOrderer, DeafOrderer, SlowTable
from returns.result import Success
from trio.testing import MockClock

from deckcourse.gateway.upstreams import Upstream, UpstreamTable
from deckcourse.layers.cuts import restore
from deckcourse.layers.healer import LOOK_SECONDS, OTHERS_WAIT_SECONDS, Healer, OrderResult
from deckcourse.layers.hosts import LARGEST_FILL, LayerHost, groups_of
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.paths import PathFinder
from deckcourse.layers.placement import plan_group
from deckcourse.layers.plan_book import ClaimLost, ClaimUnanswered, PlanBook, PlanWon

LAYER_MB = 1750.0
KINDS = {
    "big": AcceleratorKind("big", 90 * LAYER_MB, 3.0, 3.0),
    "mid": AcceleratorKind("mid", 60 * LAYER_MB, 3.0, 3.0),
    "full": AcceleratorKind("full", 20 * LAYER_MB, 3.0, 3.0),
    "a100s": AcceleratorKind("a100s", 36_000, 3.1, 3.2),
    "l4": AcceleratorKind("l4", 21_600, 16.0, 8.2),
    "t4": AcceleratorKind("t4", 14_400, 15.0, 15.0),
}
# One domain of the users' sites, and one with few fast upstreams.
DOMAIN = ["a100s"] * 3 + ["l4"] * 3 + ["t4"] * 5
SEEDS = 40


def model_of(layers, layer_mb):
    return ModelSpec("m", layers, layer_mb, kinds=KINDS, parallel_loads=6, load_seconds=14.0)


def ranges(text):
    """Return {name: (first, end)} of "a 0-4, b 4-8"; "none" and "nothing" are empty."""
    found = {}
    for entry in [] if text in ("none", "nothing") else text.split(","):
        name, _, layers = entry.strip().partition(" ")
        first, _, end = layers.partition("-")
        found[name] = (int(first), int(end)) if end else (0, 0)
    return found


def depth(model, hosts):
    return [sum(each.first <= layer < each.end for each in hosts) for layer in range(model.layers)]


def carried_out(hosts, plan):
    wanted = {each.instance: each for each in plan}
    return [
        (
            replace(each, first=wanted[each.instance].first, end=wanted[each.instance].end)
            if each.instance in wanted
            else each
        )
        for each in hosts
    ]


def within_memory(model, plan, hosts):
    kinds = {each.instance: each.kind for each in hosts}
    return all(
        each.end - each.first <= model.most_layers(kinds[each.instance], LARGEST_FILL)
        for each in plan
    )


def fit_together(model, plan, hosts):
    """Return whether each host can keep its old layers until nobody needs them any more."""
    held = {each.instance: each for each in hosts}
    for each in plan:
        host = held[each.instance]
        both = set(range(each.first, each.end))
        if not each.at_once:
            both |= set(range(host.first, host.end))
        if len(both) > model.most_layers(host.kind):
            return False
    return True


def plan_of(context, pending):
    (group,) = groups_of(context.model, context.hosts)
    return plan_group(context.model, group, pending)


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


@when("the group is planned with pending {pending}")
def planned(context, pending):
    context.plan = plan_of(context, ranges(pending))


@when("its hosts only widen their ranges")
def only_widen(context):
    context.plan, whole = restore(context.model, context.hosts, {}, give_up=False)
    assert whole


@then("the plan is {plan}")
def plan_is(context, plan):
    got = {each.instance: (each.first, each.end) for each in context.plan}
    assert got == ranges(plan), got


@when("the group is planned until it rests")
def planned_until_rest(context):
    context.plans = 0
    while plan := plan_of(context, {}):
        assert within_memory(context.model, plan, context.hosts)
        assert fit_together(context.model, plan, context.hosts)
        context.hosts = carried_out(context.hosts, plan)
        context.plans += 1
        assert min(depth(context.model, context.hosts)) >= 1


@then("every layer is held after {most:d} plans and no host holds more than {fill:g} of its memory")
def level_after(context, most, fill):
    assert context.plans <= most, context.plans
    assert max(each.fill(context.model) for each in context.hosts) <= fill


@then("the model is whole after it, with no load of more than {most:d} layers")
def whole_after(context, most):
    before = {each.instance: each for each in context.hosts}
    for each in context.plan:
        host = before[each.instance]
        kept = len(set(range(host.first, host.end)) & set(range(each.first, each.end)))
        assert each.end - each.first - kept <= most, each
    hosts = carried_out(context.hosts, context.plan)
    assert min(depth(context.model, hosts)) >= 1, (context.plan, depth(context.model, hosts))
    assert within_memory(context.model, context.plan, context.hosts)
    assert fit_together(context.model, context.plan, context.hosts)


@then("every layer is held once and no host holds more than {fill:g} of its memory")
def held_once(context, fill):
    hosts = carried_out(context.hosts, context.plan)
    assert set(depth(context.model, hosts)) == {1}
    assert within_memory(context.model, context.plan, hosts)
    assert fill == LARGEST_FILL


@when("{lost:d} hosts are lost, one seed after the other, and the group is planned until it rests")
def lost_hosts(context, lost):
    context.ends = []
    context.orders_fit = context.fit_together = True
    whole = context.hosts
    for seed in range(SEEDS):
        context.hosts = Random(seed).sample(whole, len(whole) - lost)
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


@then("every layer is held and no order went beyond {fill:g} of a host's memory")
def held_after(context, fill):
    assert len(context.ends) > SEEDS * 0.9
    assert context.orders_fit and fill == LARGEST_FILL
    for hosts in context.ends:
        assert min(depth(context.model, hosts)) >= 1, hosts


@then("what a host held and what it was ordered always fitted together")
def fitted_together(context):
    assert context.fit_together


@given("a model of {layers:d} layers of {size:g} MB and the domains {domains}")
def domains_of(context, layers, size, domains):
    context.model = model_of(layers, size)
    context.hosts = []
    for entry in domains.replace(" and ", ", ").replace(" layers", "").split(","):
        name, _, room = entry.strip().partition(" of ")
        count = int(room) // 5
        context.hosts += [LayerHost(f"{name}{index:02}", name, "unit") for index in range(count)]
    unit = AcceleratorKind("unit", 5.0 / LARGEST_FILL * size + 1, 1.0, 1.0)
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


def parsed_hosts(text):
    hosts = []
    for entry in text.split(","):
        name, domain, layers, *state = entry.strip().split(":")
        first, _, end = layers.partition("-")
        pace = 3.0 if state == ["slow"] else 1.0
        usable = state != ["leaving"]
        hosts.append(LayerHost(name, domain, "big", int(first), int(end), name, usable, pace))
    return hosts


def runs_each_once(path, layers):
    at = 0
    for part in path.parts:
        if part.first != at or part.end <= part.first:
            return False
        at = part.end
    return at == layers


def random_hosts(random, most, firsts, longest):
    """Return up to `most` hosts of three domains that hold ranges of up to `longest` layers."""
    hosts = []
    for index in range(random.randint(1, most)):
        first = random.choice(firsts)
        end = min(80, first + random.randint(1, longest))
        domain = random.choice("xyz")
        hosts.append(LayerHost(f"h{index}", domain, "l4", first, end, f"h{index}"))
    return hosts


@given("the hosts {hosts}")
def the_hosts(context, hosts):
    context.model = model_of(80, LAYER_MB)
    context.hosts = parsed_hosts(hosts)


@then("the best path from domain {domain} is {path}")
def best_path(context, domain, path):
    starts = [
        each for each in PathFinder(context.model, context.hosts).starts() if each.domain == domain
    ]
    if path == "nothing":
        assert not starts, starts
        return
    assert runs_each_once(starts[0], 80)
    if path == "one switch":
        assert len(starts[0].parts) == 2
        return
    got = {each.instance: (each.first, each.end) for each in starts[0].parts}
    assert got == ranges(path), got


@then("{count:d} sets of hosts give paths that run each layer once, or none where none is")
def generated_paths(context, count):
    model = model_of(80, LAYER_MB)
    for seed in range(count):
        hosts = random_hosts(Random(seed), 14, range(80), 40)
        starts = PathFinder(model, hosts).starts()
        whole = min(depth(model, hosts)) >= 1
        assert bool(starts) == whole, (seed, hosts)
        for path in starts:
            assert runs_each_once(path, 80), (seed, path)
            names = [each.instance for each in path.parts]
            assert len(names) == len(set(names))
            held = {each.instance: each for each in hosts}
            for part in path.parts:
                assert held[part.instance].first <= part.first < part.end <= held[part.instance].end


@then("the paths of domain {domain} are {paths}")
def paths_of_domain(context, domain, paths):
    found = PathSet(context.model, context.hosts).starts()
    got = [
        " ".join(part.instance for part in each.parts) for each in found if each.domain == domain
    ]
    assert sorted(got) == [each.strip() for each in paths.split(",")], got


@then(
    "{count:d} sets of hosts give sets of paths that run each layer once, from the same first hosts"
)
def generated_path_sets(context, count):
    model = model_of(80, LAYER_MB)
    # Half of the hosts can be the first of a path.
    firsts = [0] * 80 + list(range(80))
    for seed in range(count):
        hosts = random_hosts(Random(seed), 16, firsts, 60)
        starts = PathSet(model, hosts).starts()
        expected = {each.parts[0].instance for each in PathFinder(model, hosts).starts()}
        assert {each.parts[0].instance for each in starts} == expected, seed
        for path in starts:
            assert runs_each_once(path, 80), (seed, path)


@given("two processes with a view of the same plan")
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


@then("after an answer that was lost nobody gives orders")
def nobody_orders(context):
    context.claims.lost = True

    async def claim():
        return await context.books[0].claim("g", "m", ())

    assert isinstance(trio.run(claim), ClaimUnanswered)
    assert context.books[0].known("g").number == 2
    match trio.run(context.claims.read, ["plans/g"]):
        case Success((row,)):
            assert row is not None


def run_healer(table, orderer, seconds):
    """Run one healer over a model with a gap for a while, on a virtual clock."""

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
    context.orderer = CountingOrderer(OrderResult.TAKEN)
    run_healer(SlowTable(seconds), context.orderer, seconds + 1.5)


@then("it gives no orders")
def no_orders(context):
    assert context.orderer.orders == 0


@given("a process whose orders meet a conflict")
def conflicts(context):
    context.orderer = CountingOrderer(OrderResult.CONFLICT)
    run_healer(SlowTable(), context.orderer, 2.0 + 0.8)


@then("it gives at most {most:d} orders in 2.8 seconds")
def orders_at_most(context, most):
    # Without the pause there would be some 90 rounds, each with two orders to two hosts.
    assert 0 < context.orderer.orders <= most, context.orderer.orders


@given("a process whose orders get no answer twice")
def orders_without_answer(context):
    context.orderer = DeafOrderer(2)
    run_healer(SlowTable(), context.orderer, 2.0)


@then("each upstream has its order within {seconds:g} seconds of the first one")
def ordered_soon(context, seconds):
    times = context.orderer.taken
    assert set(times) == {"a", "b"}, times
    assert max(times.values()) <= OTHERS_WAIT_SECONDS * 2 + LOOK_SECONDS + seconds, times

"""Steps about paths over layers."""

from random import Random

from behave import given, then
from layer_world import (
    LAYER_MB,
    depth,
    model_of,
    ranges,
)

from deckcourse.layers.hosts import LayerHost
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.paths import PathFinder


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
    end = 0
    for part in path.stages:
        if part.first != end or part.end <= part.first:
            return False
        end = part.end
    return end == layers


def random_hosts(random, max_hosts, firsts, max_layers):
    """Return up to `max_hosts` hosts of three domains, each with up to `max_layers` layers."""
    hosts = []
    for index in range(random.randint(1, max_hosts)):
        first = random.choice(firsts)
        end = min(80, first + random.randint(1, max_layers))
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
        each
        for each in PathFinder(context.model, context.hosts).cheapest_paths()
        if each.domain == domain
    ]
    if path == "nothing":
        assert not starts, starts
        return
    assert runs_each_once(starts[0], 80)
    if path == "one switch":
        assert len(starts[0].stages) == 2
        return
    got = {each.instance: (each.first, each.end) for each in starts[0].stages}
    assert got == ranges(path), got


@then("{count:d} sets of hosts give paths that run each layer once, or none if a layer is missing")
def generated_paths(context, count):
    model = model_of(80, LAYER_MB)
    for seed in range(count):
        hosts = random_hosts(Random(seed), 14, range(80), 40)
        starts = PathFinder(model, hosts).cheapest_paths()
        is_whole = min(depth(model, hosts)) >= 1
        assert bool(starts) == is_whole, (seed, hosts)
        for path in starts:
            assert runs_each_once(path, 80), (seed, path)
            names = [each.instance for each in path.stages]
            assert len(names) == len(set(names))
            held = {each.instance: each for each in hosts}
            for part in path.stages:
                assert held[part.instance].first <= part.first < part.end <= held[part.instance].end


@then("the paths of domain {domain} are {paths}")
def paths_of_domain(context, domain, paths):
    paths_found = PathSet(context.model, context.hosts).all_paths()
    got = [
        " ".join(part.instance for part in each.stages)
        for each in paths_found
        if each.domain == domain
    ]
    assert sorted(got) == [each.strip() for each in paths.split(",")], got


@then(
    "{count:d} sets of hosts give sets of paths that run each layer once, one from each first stage"
)
def generated_path_sets(context, count):
    model = model_of(80, LAYER_MB)
    # About half of the hosts can be first stages.
    firsts = [0] * 80 + list(range(80))
    for seed in range(count):
        hosts = random_hosts(Random(seed), 16, firsts, 60)
        starts = PathSet(model, hosts).all_paths()
        expected = {each.stages[0].instance for each in PathFinder(model, hosts).cheapest_paths()}
        assert {each.stages[0].instance for each in starts} == expected, seed
        for path in starts:
            assert runs_each_once(path, 80), (seed, path)

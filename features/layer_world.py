"""Models, hosts and plans shared by the steps about layers."""

from dataclasses import replace

from deckcourse.layers.hosts import MAX_FILL, groups_of
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.layers.path_set import PathSet
from deckcourse.layers.placement import plan_group

LAYER_MB = 1750.0
KINDS = {
    "big": AcceleratorKind("big", 90 * LAYER_MB, 3.0, 3.0),
    "mid": AcceleratorKind("mid", 60 * LAYER_MB, 3.0, 3.0),
    "full": AcceleratorKind("full", 20 * LAYER_MB, 3.0, 3.0),
    "a100s": AcceleratorKind("a100s", 36_000, 3.1, 3.2),
    "l4": AcceleratorKind("l4", 21_600, 16.0, 8.2),
    "t4": AcceleratorKind("t4", 14_400, 15.0, 15.0),
    "big100": AcceleratorKind("big100", 72_000, 2.4, 3.2),
    "v100": AcceleratorKind("v100", 14_400, 5.3, 7.9),
}
# One domain of the users' sites, and one with few fast upstreams.
DOMAIN = ["a100s"] * 3 + ["l4"] * 3 + ["t4"] * 5
SEEDS = 40


def model_of(layers, layer_mb, requests=10_000):
    """Return a model; memory limits the streams of a path unless `requests` is lower."""
    return ModelSpec(
        "m",
        layers,
        layer_mb,
        kinds=KINDS,
        parallel_loads=6,
        load_seconds=14.0,
        cache_bytes=459_000.0,
        requests=requests,
    )


def ranges(text):
    """Return {name: (first, end)} of "a 0-4, b 4-8"; "none" and "nothing" are empty."""
    parsed = {}
    for entry in [] if text in ("none", "nothing") else text.split(","):
        name, _, layers = entry.strip().partition(" ")
        first, _, end = layers.partition("-")
        parsed[name] = (int(first), int(end)) if end else (0, 0)
    return parsed


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
        each.end - each.first <= model.max_layers(kinds[each.instance], MAX_FILL) for each in plan
    )


def fit_together(model, plan, hosts):
    """Return whether each host has memory for its old and its new layers together."""
    held = {each.instance: each for each in hosts}
    for each in plan:
        host = held[each.instance]
        both = set(range(each.first, each.end))
        if not each.at_once:
            both |= set(range(host.first, host.end))
        if len(both) > model.max_layers(host.kind):
            return False
    return True


def plan_of(context, pending):
    (group,) = groups_of(context.model, context.hosts)
    return plan_group(context.model, group, pending)


def streams_a_second(model, hosts):
    """Return how many usual streams a second the paths of a domain serve at full capacity."""
    return sum(1000.0 / each.cost for each in paths_at_capacity(model, hosts))


def paths_at_capacity(model, hosts):
    """Return the path of each usual stream that runs at full capacity.

    Streams are added to the fastest path until it is full, then to the next. Each takes a request
    slot of its first stage and memory of every host on its path.
    """
    by_instance = {each.instance: each for each in hosts}
    used = dict.fromkeys(by_instance, 0.0)
    started = dict.fromkeys(by_instance, 0)

    def memory_share(part):
        host = by_instance[part.instance]
        return 1.0 / model.request_capacity(host.kind, host.end - host.first, part.end - part.first)

    def has_capacity(path):
        slots = (started[path.stages[0].instance] + 1) / model.requests
        return (
            max(slots, *(used[each.instance] + memory_share(each) for each in path.stages)) <= 1.0
        )

    taken = []
    for path in PathSet(model, hosts).all_paths():
        while has_capacity(path):
            started[path.stages[0].instance] += 1
            for each in path.stages:
                used[each.instance] += memory_share(each)
            taken.append(path)
    return taken

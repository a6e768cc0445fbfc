"""Steps about decisions on paths."""

from collections import Counter
from random import Random

from behave import given, then, when

from deckcourse.decisions.path_draw import draw_path
from deckcourse.decisions.path_load import begun_at, passing
from deckcourse.decisions.usual_paths import usual_paths
from deckcourse.layers.paths import LayerPath, PathPart


def path_over(names, cost=1000.0):
    parts = tuple(PathPart(name, f"{name}:1", index, index + 1) for index, name in enumerate(names))
    return LayerPath(parts, "x", cost)


def numbers_of(text):
    """Return {name: number} of "a 10, b 4"."""
    entries = (entry.split() for entry in text.split(","))
    return {name: float(number) for name, number in entries}


@given("paths {paths}")
def paths_given(context, paths):
    context.paths = [path_over(entry.split()) for entry in paths.split(",")]


@when("the first upstreams tell of {told} running")
def told_running(context, told):
    context.begun = begun_at(context.paths, numbers_of(told).__getitem__)


@then("{begun} begin there and {passed} pass")
def begin_and_pass(context, begun, passed):
    assert context.begun == numbers_of(begun), context.begun
    found = passing(context.paths, context.begun)
    assert {name: found[name] for name in numbers_of(passed)} == numbers_of(passed), found


@given("{count:d} first upstreams with {slots:d} places, each of which has {running:d} running")
def upstreams_given(context, count, slots, running):
    context.slots = slots
    context.running = {f"u{each}": running for each in range(count)}
    # One of them is full, and the fastest.
    context.running["u0"] = slots + 20
    context.paths = [
        path_over([name, "tail"], 900.0 if name == "u0" else 1000.0) for name in context.running
    ]


@when("{arrivals:d} requests choose among them by that word, seed {seed:d}")
def requests_choose(context, arrivals, seed):
    random = Random(seed)

    def score(path):
        return path.cost * (1.0 + 5.0 * context.running[path.parts[0].instance] / context.slots)

    context.chosen = Counter(
        draw_path(context.paths, score, random).parts[0].instance for _ in range(arrivals)
    )


@then("the fullest has at most {most:d} more than it had")
def fullest(context, most):
    assert max(context.chosen.values()) <= most, context.chosen


@then("none choose the full one")
def none_full(context):
    assert context.chosen["u0"] == 0, context.chosen


@when(
    "{count:d} requests choose between a path of {fast:g} ms and two of {slow:g} ms, all scored "
    "alike"
)
def choose_by_cost(context, count, fast, slow):
    random = Random(5)
    paths = [path_over("a", fast), path_over("b", slow), path_over("c", slow)]
    # The first of the two drawn counts where both are scored alike.
    context.count = count
    context.chosen = Counter(
        draw_path(paths, lambda path: 1.0, random).parts[0].instance for _ in range(count)
    )


@then("the first is chosen between {low:d} and {high:d} times in 100")
def first_chosen(context, low, high):
    assert low <= 100 * context.chosen["a"] / context.count <= high, context.chosen


@given("{fast:d} paths of 700 ms and {slow:d} of {cost:d} ms from one domain's first upstreams")
def fast_and_slow(context, fast, slow, cost):
    context.fast = {f"f{each}" for each in range(fast)}
    context.paths = [path_over([name], 700.0) for name in sorted(context.fast)]
    context.paths += [path_over([f"s{each}"], float(cost)) for each in range(slow)]


@when("each of {processes:d} processes keeps to {count:d} of them")
def processes_keep(context, processes, count):
    kept = [usual_paths(context.paths, f"p{each}", count) for each in range(processes)]
    context.firsts = [[path.parts[0].instance for path in paths] for paths in kept]
    assert all(len(set(each)) == min(count, len(context.paths)) for each in context.firsts)


@then("between {least:d} and {most:d} keep to a fast one first")
def keep_to_fast(context, least, most):
    found = sum(each[0] in context.fast for each in context.firsts)
    assert least <= found <= most, found


@then("each path is kept to by at least {few:d} of them")
def kept_by(context, few):
    found = Counter(name for each in context.firsts for name in each)
    assert min(found[each.parts[0].instance] for each in context.paths) >= few, found

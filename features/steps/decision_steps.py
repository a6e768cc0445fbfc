"""Steps about the choice of paths."""

from collections import Counter
from random import Random

from behave import given, then, when

from deckcourse.decisions.path_draw import draw_path
from deckcourse.decisions.path_forecast import StageLoad, forecast_path
from deckcourse.decisions.path_load import streams_by_upstream, streams_started_at
from deckcourse.decisions.usual_paths import preferred_paths
from deckcourse.layers.model import AcceleratorKind, ModelSpec
from deckcourse.layers.paths import LayerPath, PathStage


def path_over(names, cost=1000.0):
    parts = tuple(
        PathStage(name, f"{name}:1", index, index + 1) for index, name in enumerate(names)
    )
    return LayerPath(parts, "x", cost)


def numbers_of(text):
    """Return {name: number} of "a 10, b 4"."""
    entries = (entry.split() for entry in text.split(","))
    return {name: float(number) for name, number in entries}


@given("paths {paths}")
def paths_given(context, paths):
    context.paths = [path_over(entry.split()) for entry in paths.split(",")]


@when("the first stages report {reported} running streams")
def report_running(context, reported):
    context.started = streams_started_at(context.paths, numbers_of(reported).__getitem__)


@then("{started} streams start there, and the upstreams run {running}")
def start_and_run(context, started, running):
    assert context.started == numbers_of(started), context.started
    streams = streams_by_upstream(context.paths, context.started)
    assert {name: streams[name] for name in numbers_of(running)} == numbers_of(running), streams


@given("{count:d} first stages with {slots:d} request slots, each running {running:d} streams")
def first_stages(context, count, slots, running):
    context.slots = slots
    context.running = {f"u{each}": running for each in range(count)}
    # The fastest of them is full.
    context.running["u0"] = slots + 20
    context.paths = [
        path_over([name, "tail"], 900.0 if name == "u0" else 1000.0) for name in context.running
    ]


@when("{arrivals:d} requests choose among them by these counts, seed {seed:d}")
def requests_choose(context, arrivals, seed):
    random = Random(seed)

    def score(path):
        return path.cost * (1.0 + 5.0 * context.running[path.stages[0].instance] / context.slots)

    context.chosen = Counter(
        draw_path(context.paths, score, random).stages[0].instance for _ in range(arrivals)
    )


@then("at most {max_count:d} of them choose the same stage")
def few_choose_same(context, max_count):
    assert max(context.chosen.values()) <= max_count, context.chosen


@then("none chooses the full stage")
def none_full(context):
    assert context.chosen["u0"] == 0, context.chosen


@when(
    "{count:d} requests choose between a path of {fast:g} ms and two of {slow:g} ms with "
    "equal scores"
)
def choose_by_cost(context, count, fast, slow):
    random = Random(5)
    paths = [path_over("a", fast), path_over("b", slow), path_over("c", slow)]
    # With equal scores the first of the two drawn paths is chosen.
    context.count = count
    context.chosen = Counter(
        draw_path(paths, lambda path: 1.0, random).stages[0].instance for _ in range(count)
    )


@then("the first is chosen between {low:d} and {high:d} times in 100")
def first_chosen(context, low, high):
    assert low <= 100 * context.chosen["a"] / context.count <= high, context.chosen


@given("{fast:d} paths of 700 ms and {slow:d} of {cost:d} ms from first stages of one domain")
def fast_and_slow(context, fast, slow, cost):
    context.fast = {f"f{each}" for each in range(fast)}
    context.paths = [path_over([name], 700.0) for name in sorted(context.fast)]
    context.paths += [path_over([f"s{each}"], float(cost)) for each in range(slow)]


@when("each of {processes:d} processes prefers {count:d} of them")
def processes_prefer(context, processes, count):
    preferred = [preferred_paths(context.paths, f"p{each}", count) for each in range(processes)]
    context.firsts = [[path.stages[0].instance for path in paths] for paths in preferred]
    assert all(len(set(each)) == min(count, len(context.paths)) for each in context.firsts)


@then("between {least:d} and {most:d} processes have a fast path as their first choice")
def prefer_fast(context, least, most):
    count = sum(each[0] in context.fast for each in context.firsts)
    assert least <= count <= most, count


@then("each path is preferred by at least {min_count:d} processes")
def preferred_by(context, min_count):
    counts = Counter(name for each in context.firsts for name in each)
    assert min(counts[each.stages[0].instance] for each in context.paths) >= min_count, counts


@given(
    "a model of {layers:d} layers with {step:g} ms a token, {stream:g} ms for each stream and "
    "{prefill:g} prompt tokens a ms"
)
def model_with_times(context, layers, step, stream, prefill):
    kinds = {"a": AcceleratorKind("a", 1000, 1.0, 1.0), "b": AcceleratorKind("b", 1000, 2.0, 3.0)}
    context.model = ModelSpec(
        "m",
        layers,
        100.0,
        step_ms=step,
        stream_step_ms=stream,
        prefill_per_ms=prefill,
        kinds=kinds,
    )


def stage_of(text):
    """Return the stage of a text such as "a 10", "a 10 with 40 streams" or "a 10 at pace 2"."""
    kind, layers, *load = text.split()
    if load[:1] == ["at"]:
        return StageLoad(kind, int(layers), pace=float(load[-1]))
    names = {"streams": "streams", "tokens": "queued_tokens"}
    amounts = {names[load[2]]: float(load[1])} if load else {}
    return StageLoad(kind, int(layers), **amounts)


@when("a prompt of {prompt:d} tokens is to run on stages {stages}, {delay:g} ms away")
def forecast_stages(context, prompt, stages, delay):
    loads = [stage_of(each.strip()) for each in stages.split(",")]
    context.forecast = forecast_path(context.model, loads, prompt, delay / 1000)


@then("its first event is predicted in {first:g} ms and its pauses as {pause:g} ms")
def forecast_is(context, first, pause):
    actual = context.forecast.first_event * 1000, context.forecast.pause * 1000
    assert abs(actual[0] - first) < 0.1 and abs(actual[1] - pause) < 0.1, actual

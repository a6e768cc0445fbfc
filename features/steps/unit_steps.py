"""Steps that test single modules without a running site."""

import tempfile
from configparser import ConfigParser
from dataclasses import MISSING, fields
from pathlib import Path

import msgspec
from behave import then
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies
from returns.result import Failure, Success

from deckcourse.configuration import Change, Configuration, ModelSpec, Placement
from deckcourse.configuration_holder import ConfigurationHolder
from deckcourse.engine import FinishFrame, TokenFrame
from deckcourse.errors import RouteError
from deckcourse.flow import model_flow
from deckcourse.intents import intent_from
from deckcourse.layer_bench import LAYER_POLICIES, bench_layers
from deckcourse.outcomes import NotRun, Unknown, response_head
from deckcourse.reasons import NotRunReason, UnknownReason
from deckcourse.relay import REORDER_WINDOW, Relay
from deckcourse.rendezvous import owner
from deckcourse.retry_budget import RetryBudget
from deckcourse.route import LayerRange, Route, Stage
from deckcourse.settings import Settings, read_settings
from deckcourse.token_gap import TokenGap

SAMPLE = Path(__file__).resolve().parent.parent.parent / "examples" / "deckcourse.ini"
MINIMAL = "[node]\nname = a\ndomain = b\nplatform = 127.0.0.1:1\n"


@then("the relay delivers the answer exactly once for {count:d} generated frame sequences")
def relay_once(context, count):
    arrivals = strategies.tuples(
        strategies.integers(1, 20),
        strategies.lists(strategies.tuples(strategies.integers(0, 25), strategies.booleans())),
        strategies.randoms(use_true_random=False),
    )

    @settings(max_examples=count, derandomize=True, database=None, deadline=None)
    @hypothesis_given(arrivals)
    def check(arrival):
        length, extras, random = arrival
        relay = Relay(length)
        relay.begin(2, "t")
        frames = [TokenFrame(2, index, index + 100, "", "t") for index in range(length)]
        frames += [
            TokenFrame(
                1 if old else 2, index % length, index % length + (0 if old else 100), "", "t"
            )
            for index, old in extras
        ]
        random.shuffle(frames)
        frames.insert(random.randint(0, len(frames)), FinishFrame(2, length, "length"))
        ready = []
        for frame in frames:
            ready += relay.accept((frame,))
            if isinstance(frame, FinishFrame) and len(ready) < length:
                assert not relay.finished
        assert relay.fault is None or len(relay.delivered) < length
        if relay.fault is None:
            assert [token.token for token in ready] == [index + 100 for index in range(length)]
            assert relay.finished

    check()
    assert REORDER_WINDOW > 20


@then("a route of layers {ranges} over {depth:d} layers is refused with {message}")
def route_refused(context, ranges, depth, message):
    stages = []
    for text in [] if ranges == "none" else ranges.split():
        first, _, end = text.partition("-")
        stages.append(Stage("a", "", "", LayerRange(int(first), int(end))))
    try:
        Route("m", depth, tuple(stages))
    except RouteError as error:
        assert message in str(error), error
    else:
        raise AssertionError("the route was accepted")


@then("settings with {line} in {section} are refused naming {expected}")
def settings_refused(context, line, section, expected):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "a.ini"
        path.write_text(f"{MINIMAL}[{section}]\n{line}\n", encoding="utf-8")
        match read_settings(str(path)):
            case Failure(problems):
                text = "\n".join(map(str, problems))
                assert expected in text and str(path) in text, text
            case _:
                raise AssertionError("the settings were accepted")


@then("the sample settings are valid")
def sample_valid(context):
    assert isinstance(read_settings(str(SAMPLE)), Success), read_settings(str(SAMPLE))


@then("the sample settings name every key with its default")
def sample_complete(context):
    lines = [line.lstrip("# ").rstrip() for line in SAMPLE.read_text(encoding="utf-8").splitlines()]
    setting_lines = [line for line in lines if line.startswith("[") or " = " in line]
    parser = ConfigParser(interpolation=None)
    parser.read_string("\n".join(setting_lines))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "all.ini"
        with path.open("w", encoding="utf-8") as file:
            parser.write(file)
        parsed_settings = read_settings(str(path)).unwrap()
    for section in fields(Settings):
        for key in fields(section.type):
            assert parser.has_option(section.name, key.name), (section.name, key.name)
            value = getattr(getattr(parsed_settings, section.name), key.name)
            if key.default is not MISSING and key.name not in ("peers", "host"):
                assert value == key.default, (section.name, key.name, value, key.default)


@then("{attempts:d} failed first attempts allow between {low:d} and {high:d} retries")
def retries_bounded(context, attempts, low, high):
    retry_budget = RetryBudget()
    allowed = 0
    for _ in range(attempts):
        retry_budget.earn()
        allowed += retry_budget.spend()
    assert low <= allowed <= high, allowed


@then(
    "over {runs:d} draws of one lost host, moving hosts is faster than widening and slicing afresh"
)
def moving_is_fastest(context, runs):
    results = {name: bench_layers(name, 1, runs, 1) for name in LAYER_POLICIES}
    assert all(each["runs"] == 3 * runs and each["never"] == 0 for each in results.values())
    moving = results["moving"]
    assert moving["seconds"] < min(results["widening"]["seconds"], results["afresh"]["seconds"])
    assert moving["rounds"] == 1 < results["widening"]["rounds"]


def make_change(version: int) -> Change:
    return Change(version, "p", models=(ModelSpec(f"m{version}", 4, 1.0),))


@then("changes {versions} leave version {version:d} and {models:d} models")
def changes_applied(context, versions, version, models):
    holder = ConfigurationHolder()
    for each in versions.split():
        holder.apply(make_change(int(each)))
    assert holder.version == version
    assert len(holder.configuration.models) == models


@then("an older configuration doesn't replace a newer one")
def no_older(context):
    holder = ConfigurationHolder()
    holder.replace(Configuration(5))
    holder.replace(Configuration(4))
    assert holder.version == 5


@then("at most {limit:d} of {count:d} keys move when the 10th node joins, and only to it")
def few_keys_move(context, limit, count):
    nodes = [f"node-{number}" for number in range(9)]
    keys = [f"runner-{number}" for number in range(count)]
    moved = [key for key in keys if owner(key, nodes) != owner(key, [*nodes, "new"])]
    assert 0 < len(moved) <= limit, len(moved)
    assert all(owner(key, [*nodes, "new"]) == "new" for key in moved)


def make_placements(counts: list[int], domain: str = "a") -> list[Placement]:
    placements = []
    for stage, count in enumerate(counts):
        for number in range(count):
            name = f"{stage}.{number}.{domain}"
            placements.append(Placement(name, 1, "", domain, "m", 4 * stage, 4 * stage + 4))
    return placements


@then("the flow through stages of 300, 200 and 400 tokens per second is 200")
def flow_through_stages(context):
    context.places = make_placements([3, 2, 4])
    rates = {placement.instance: 100.0 for placement in context.places}
    total, context.weights = model_flow(context.places, 12, rates, lambda source, target: 1e6)
    assert total == 200.0, total


@then("each of the 4 replicas of the last stage gets a flow of {share:d}")
def balanced(context, share):
    flows = {}
    for weight in context.weights:
        flows[weight.target] = flows.get(weight.target, 0.0) + weight.flow
    last = [flow for name, flow in flows.items() if name.startswith("2.")]
    assert len(last) == 4 and all(abs(flow - share) < 1.0 for flow in last), flows


@then("replicas behind a link of 1 token per second get 1 token per second")
def slow_link(context):
    near, far = make_placements([1, 1], "a"), make_placements([0, 1], "b")
    rates = {placement.instance: 100.0 for placement in [*near, *far]}
    rates["1.0.a"] = 40.0

    def link(source, target):
        return 1e6 if source == target else 1.0

    total, weights = model_flow([*near, *far], 8, rates, link)
    assert total == 41.0, total
    assert {weight.flow for weight in weights if weight.target == "1.0.b"} == {1.0}, weights


@then("the intent {intent} is refused naming {expected}")
def intent_refused(context, intent, expected):
    match intent_from(msgspec.json.decode(intent)):
        case Failure(message):
            assert expected in message, message
        case _:
            raise AssertionError("the intent was accepted")


@then("{outcome} is {status:d} with {header}")
def outcome_head(context, outcome, status, header):
    kind, _, reason = outcome.rpartition(" ")
    if kind == "not run":
        outcome_value = NotRun(NotRunReason(reason), "", retry_after=2.1)
    else:
        outcome_value = Unknown(UnknownReason(reason), "", repeatable=False)
    head = response_head(outcome_value)
    lines = [f"{name.decode()}: {value.decode()}" for name, value in head.headers]
    assert head.status == status and header in lines, (head.status, lines)


@then("after gaps of {gap:f} seconds the next token is due within {due:f} seconds")
def due_within(context, gap, due):
    token_gap = TokenGap()
    for _ in range(50):
        token_gap.observe(gap)
    deadline = token_gap.next_deadline(100.0) - 100.0
    assert gap < deadline <= due, deadline

"""Steps about the choice between failure domains."""

from collections import Counter
from random import Random

from behave import given, then, when
from domain_world import LIMITS, MODEL, DomainWorld

from deckcourse.decisions.domain_choice import (
    DomainOutlook,
    InterruptedStreams,
    Outflow,
    RouteLimits,
    choose_domain,
)
from deckcourse.decisions.path_forecast import PathForecast, StageLoad, forecast_path
from deckcourse.decisions.path_profile import profile_path
from deckcourse.gateway.call_balances import CallBalances
from deckcourse.gateway.path_prospects import PathProspects
from deckcourse.gateway.traffic_share import TrafficShare
from deckcourse.gateway.upstream import Upstream
from deckcourse.settings import LoadSettings

SEEDS = 4


@given("two domains with {count:d} processes each, and {x:g} and {y:g} requests a second")
def two_domains(context, count, x, y, shared_room=False):
    settings = LoadSettings(domain_forecast=True, shared_room=shared_room)
    context.worlds = [DomainWorld(seed, count, settings) for seed in range(SEEDS)]
    for world in context.worlds:
        world.rates = {"x": x, "y": y}
        world.run(8)
    context.since = world.now


@given(
    "two domains with {count:d} processes each that estimate free slots, "
    "{x:g} and {y:g} requests a second"
)
def two_domains_with_estimate(context, count, x, y):
    two_domains(context, count, x, y, shared_room=True)


@when("{case} and a process sends a stream")
def send_stream(context, case):
    world = context.worlds[0]
    if case == "the setting is switched off":
        world.settings = LoadSettings()
    elif case == "no report comes for 3.1 seconds":
        world.now += 3.1
    context.watch = world.processes[0].choice.load_watch
    context.watch.note_sent("x0-first")


@then("{low:g} to {high:g} requests wait there as far as it knows")
def wait_there(context, low, high):
    assert low <= context.watch.waiting("x0-first") <= high, context.watch.waiting("x0-first")


@then("its admission control finds the reported requests there")
def reported_found(context):
    world = context.worlds[0]
    process = world.processes[0]
    paths = process.choice.best_paths(MODEL, 10)
    (path,) = [each for each in paths if each.stages[0].instance == "x0-first"]
    share = TrafficShare(lambda: world.now)
    prospects = PathProspects(process.choice, process.table, share, Random(1))
    shared = prospects.find(MODEL, path, 0.0, 0.0, 1.0).shared
    expected = context.watch.reported("x0-first")
    assert expected > 0 and shared.sent > 0, (expected, shared)
    assert abs(shared.utilization * shared.capacity - expected) < 1e-6, (expected, shared)


def replay(context, seconds, change):
    for world in context.worlds:
        change(world)
        world.run(seconds)
    context.now = world.now


@when("domain x loses one of its two copies for {seconds:g} seconds")
def lose_copy(context, seconds):
    replay(context, seconds, lambda world: world.lose_copy("x", 0))


@when("the requests become {x:g} and {y:g} a second for {seconds:g} seconds")
def change_rates(context, x, y, seconds):
    replay(context, seconds, lambda world: world.rates.update(x=x, y=y))


@when("the copy returns and {seconds:g} seconds pass")
def copy_returns(context, seconds):
    context.returned_at = context.now
    replay(context, seconds, lambda world: world.add_copy("x", 0))


@when("a process of x compares y before it loses a copy, and again {seconds:g} s after")
def compare_again(context, seconds):
    world = context.worlds[0]
    routing = world.processes[0].choice._domains
    assert routing._view(MODEL, "y", LIMITS, world.now).streams > 0
    world.lose_copy("y", 0)
    world.now += seconds
    routing._view(MODEL, "y", LIMITS, world.now)
    context.restarting = routing._interrupted_in("y").restarting(world.now)


@then("{expected:w} of its streams restart as far as it knows")
def streams_restart(context, expected):
    assert (context.restarting > 0) == (expected == "some"), context.restarting


@when("a path is chosen {count:d} times for the only request of x in 10 s")
def choose_again(context, count):
    world = context.worlds[0]
    choice = world.processes[0].choice
    world.now += 10.0
    choice.load_watch._unseen.note_request()
    for _ in range(count):
        choice.choose(MODEL, frozenset(), LIMITS)
    context.requests = choice._loads.own_rate * 2.0


@then("its process counts one request")
def one_request(context):
    assert context.requests == 1, context.requests


def check_share(context, most, home, since, seconds, test):
    found = [each for world in context.worlds for each in world.placed(home, since, seconds)]
    share = sum(map(test, found)) / len(found)
    assert 100 * share <= most, share


@then("at most {most:d} in 100 requests of {home:w} waited for a slot")
def waited(context, most, home, seconds=float("inf")):
    check_share(context, most, home, context.since, seconds, lambda each: each.wait > 0.25)


@then("at most {most:d} in 100 requests of {home:w} waited for a slot in the first {seconds:g} s")
def waited_first(context, most, home, seconds):
    waited(context, most, home, seconds)


@then("no process has left domain x in that time, and all have returned")
def all_returned(context):
    for process in [each for world in context.worlds for each in world.processes]:
        kinds = [kind for at, kind in process.lines if at > context.returned_at]
        assert kinds in ([], ["domain-returned"]), kinds
        kinds = [kind for _, kind in process.lines]
        assert kinds.count("domain-left") == kinds.count("domain-returned"), kinds


@then("at most {most:d} in 100 requests of the last {seconds:g} seconds left x")
def left(context, most, seconds):
    since = context.now - seconds
    check_share(context, most, "x", since, seconds, lambda each: each.domain != "x")


@given("domains with their first events, pauses and free streams {domains}")
def domains_given(context, domains):
    context.outlooks = {}
    for name, *numbers in map(str.split, domains.split(",")):
        first, pause, free = map(float, numbers)
        context.outlooks[name] = DomainOutlook(name, PathForecast(first / 1000, pause / 1000), free)


@then("a request of x that wants {objective:g} and {pause:g} ms goes to {chosen}")
def goes_to(context, objective, pause, chosen):
    limits = RouteLimits(objective / 1000, pause / 1000)
    own = context.outlooks.pop("x", None)
    others = list(context.outlooks.values())
    found = {choose_domain(own, others, limits, Random(each)).domain for each in range(40)}
    assert found == set(chosen.split(" or ")), found


@given("a domain that every request leaves")
def all_leave(context):
    context.outflow = Outflow().next(0.9, 10.0)
    assert context.outflow.share == 1.0


@then("{share:d} in 100 leave it after a second in which its strain is {strain:g}")
def leave_after(context, share, strain):
    outflow = context.outflow
    for each in range(1, 6):
        outflow = outflow.next(strain, 10.0 + each / 5)
    assert round(100 * outflow.share) == share, outflow


@when("30 of 50 streams are interrupted in the second 10.0, and the same 30 in 10.2")
def interrupted(context):
    context.interrupted = InterruptedStreams()
    for at in (10.0, 10.2):
        context.interrupted.note(30.0, 0.0, 50.0, at)


@then("50 restart in the second 10.3, 30 in 11.1 and none in 11.8")
def restart(context):
    found = [round(context.interrupted.restarting(at), 6) for at in (10.3, 11.1, 11.8)]
    assert found == [50.0, 30.0, 0.0], found


@then("both agree for a path of a fast and a slow stage, at several loads")
def profile_agrees(context):
    for streams, queued, prompt in ((0.0, 0, 10.0), (12.0, 0, 770.0), (25.0, 1, 4000.0)):
        stages = {
            "a": StageLoad("k", 3, 1.0, streams, queued * MODEL.usual_prompt),
            "b": StageLoad("slow", 5, 1.5, streams + 3, queued * MODEL.usual_prompt),
        }
        expected = forecast_path(MODEL, list(stages.values()), prompt, 0.001)
        loads = {name: each.streams for name, each in stages.items()}
        found = profile_path(MODEL, stages, 0.001).forecast(loads, prompt, queued)
        assert abs(found.first_event - expected.first_event) < 1e-9, (found, expected)
        assert abs(found.pause - expected.pause) < 1e-9, (found, expected)


@given("its paths are chosen by predicted times")
def by_forecast(context):
    context.choice._settings = lambda: LoadSettings(domain_forecast=True)
    choose = context.choice.choose
    context.choice.choose = lambda model: choose(model, limits=LIMITS)


@given("200 processes that know upstreams a with 6, b with 6 and c with 12 slots")
def plain_processes(context):
    context.now = 100.0
    context.rows = [
        Upstream(name, "plain", f"{name}:1", "x", slots=slots)
        for name, slots in (("a", 6), ("b", 6), ("c", 12))
    ]
    context.balances = [
        CallBalances(
            lambda: LoadSettings(domain_forecast=True),
            TrafficShare(lambda: context.now),
            lambda: context.now,
            Random(each),
        )
        for each in range(200)
    ]


@when("b answered each in 60 ms for 5 s, and a in 180 ms twice just now")
def answered(context):
    for balance in context.balances:
        for at in range(10):
            context.now = 100.0 + at / 2
            balance.record("plain", "b", 0.06)
        for _ in range(2):
            balance.record("plain", "a", 0.18)


@when("each sends one call")
def send_calls(context):
    chosen = [each.choose("plain", context.rows, lambda row: 0.0) for each in context.balances]
    context.chosen = Counter(each.instance for each in chosen)


@when("3 seconds pass and each sends one call")
def send_later(context):
    context.now += 3.0
    send_calls(context)


@then("a gets {low:d} to {high:d} calls")
def gets_calls(context, low, high):
    assert low <= context.chosen["a"] <= high, context.chosen


@then("a and b get 30 to 70 calls each, and c gets 80 to 120")
def spread(context):
    assert all(30 <= context.chosen[each] <= 70 for each in "ab"), context.chosen
    assert 80 <= context.chosen["c"] <= 120, context.chosen

"""Steps about completions: whole answers, outcomes, planned stops, leaving."""

from dataclasses import replace

import trio
from behave import given, then, when
from faults import Fault
from invariants import broken
from odd_engines import make_odd
from outcome_words import was_told
from world import ACCOUNT, MODEL, World

from deckcourse.engine import EngineRefusal
from deckcourse.outcomes import Answered
from deckcourse.plans import Confirmed

FIRST = {"head": 0, "middle": 4, "last": 8}
SIGN_SECONDS = 3.0


@given("{count:d} entries")
def entries(context, count):
    world: World = context.world
    controllers = 1 if count == 1 else 2
    world.plan = replace(world.plan, entries=count, controllers=controllers)


@when("{name} asks for {tokens:d} tokens")
def ask(context, name, tokens):
    context.world.do(lambda: context.world.ask(name, tokens))


@when("{name} asks once for {tokens:d} tokens")
def ask_once(context, name, tokens):
    model = getattr(context, "model", MODEL)
    context.world.do(lambda: context.world.ask(name, tokens, tries=1, model=model))


@when("{name} asks once for {tokens:d} tokens with {seconds:d} seconds to go")
def ask_with_deadline(context, name, tokens, seconds):
    context.world.do(lambda: context.world.ask(name, tokens, deadline=seconds, tries=1))


@when("{count:d} callers ask for {tokens:d} tokens at once")
def ask_at_once(context, count, tokens):
    for number in range(count):
        entry = f"entry-{number % 2 + 1}"
        context.world.background(context.world.ask, f"caller-{number}", tokens, entry)


@when("callers keep asking for {seconds:d} seconds")
def keep_asking(context, seconds):
    world = context.world

    async def everyone() -> None:
        for number in range(int(seconds / 0.4)):
            entry = f"entry-{number % 2 + 1}"
            world.nursery.start_soon(world.ask, f"caller-{number}", 4, entry)
            await trio.sleep(0.4)

    world.background(everyone)
    world.pause(8)


@when("{seconds:d} seconds pass")
def pass_seconds(context, seconds):
    context.world.pause(seconds)


@then("{name} has the whole answer")
def has_whole_answer(context, name):
    world = context.world.finish()
    names = list(world.asked) if name == "every caller" else [name]
    assert names
    for each in names:
        asked = world.asked[each]
        assert isinstance(asked.outcome, Answered), (each, asked.tries)
        assert tuple(asked.received[-1]) == asked.expected, (asked.received, asked.expected)


@then("{name} was served in {count:d} attempt")
def served_in(context, name, count):
    world = context.world.finish()
    names = list(world.asked) if name == "every caller" else [name]
    for each in names:
        asked = world.asked[each]
        assert isinstance(asked.outcome, Answered), (each, asked.tries)
        seen = (len(asked.tries), world.attempts(asked))
        assert seen == (1, count), (each, seen)


@then("everything that must hold holds")
def holds(context):
    wrong = broken(context.world.finish())
    assert not wrong, "\n".join(wrong[:10])


@given("the links between the middle and the last stages are {fault} once 3 tokens came to fitter")
def links_fail(context, fault):
    world = context.world

    async def watch() -> None:
        await _tokens_came(world, "fitter", 3)
        request = world.asked["fitter"].requests[-1]
        on_route = {run.first: run.engine for run in world.layer_runs(request)}
        world.suspects |= {on_route[4], on_route[8], on_route[0]}
        if fault == "cut":
            world.site.links.cut(on_route[4], on_route[8])
        else:
            world.site.links.slow(on_route[4], on_route[8], 0.5)

    world.background(watch)


async def _tokens_came(world: World, name: str, count: int) -> None:
    while name not in world.asked or not world.asked[name].received:
        await trio.sleep(0.01)
    while len(world.asked[name].received[-1]) < count:
        await trio.sleep(0.01)


@then("the pause of {name} was at most {seconds:f} seconds")
def pause_at_most(context, name, seconds):
    times = context.world.finish().asked[name].times[-1]
    longest = max(later - earlier for earlier, later in zip(times, times[1:], strict=False))
    assert longest <= seconds, longest


@given("a head engine {does}")
def odd_heads(context, does):
    world = context.world

    async def make() -> None:
        for engine in world.held(0):
            make_odd(engine, does)
            # A head that breaks the protocol may be replaced; its layers then run elsewhere.
            world.suspects.add(engine.spec.name)

    world.do(make)


@given("every engine refuses as busy")
def refuses(context):
    async def refuse() -> None:
        for engine in context.world.site.engines.values():
            engine.refuse(EngineRefusal.BUSY)

    context.world.do(refuse)


@given("no last stage is usable")
def no_last(context):
    world = context.world

    async def kill() -> None:
        for engine in list(world.site.engines.values()):
            if engine.held[1] == 8 or not engine.held[0]:
                world.site.kill(engine.spec.name)
        await trio.sleep(7)

    world.do(kill)


@given("the account's limit is used up")
def limit_used(context):
    context.world.limit = 10.0
    context.world.do(lambda: context.world.ask("burner", 10, tries=1))


@given("the entry is stopping")
def stopping(context):
    async def stop() -> None:
        context.world.site.processes["entry-1"].node.stopping = True

    context.world.do(stop)


@given("the model is not served")
def not_served(context):
    context.model = "nobody"


@given("every last stage dies once 3 tokens came to fitter")
def last_dies(context):
    world = context.world

    async def watch() -> None:
        await _tokens_came(world, "fitter", 3)
        for engine in list(world.site.engines.values()):
            if engine.held[1] == 8 or not engine.held[0]:
                world.faulted.add(engine.spec.name)
                world.site.kill(engine.spec.name)

    world.background(watch)


@then("{name} was told {wanted} within {seconds:f} seconds")
def told_within(context, name, wanted, seconds):
    world = context.world.finish()
    one = world.asked[name].tries[-1]
    assert was_told(one.outcome, wanted), one
    assert one.ended - one.began <= seconds, one


@given("the list lags by {seconds:d} seconds")
def lag(context, seconds):
    context.world.plan = replace(context.world.plan, list_lag=float(seconds))


@when("{sign} comes for a busy runner")
def sign_comes(context, sign):
    world = context.world

    async def give() -> None:
        engine = world.held(4)[0]
        world.notes["left"] = engine.spec.name
        if sign == "the upstream's word":
            engine.leave()
        elif sign == "the platform's list":
            relist(world, engine.spec.name, leaving=True)
        else:
            await world.intend("leave", {"kind": "retire", "instance": engine.spec.name})
        world.signs[engine.spec.name] = trio.current_time()

    world.do(give)


def relist(world: World, name: str, leaving: bool) -> None:
    line = world.site.memory_list._instances[name]
    world.site.memory_list.put(replace(line, leaving=leaving))


@when("the platform lists it as live again {seconds:d} seconds later")
def listed_again(context, seconds):
    world = context.world

    async def put_back() -> None:
        relist(world, world.notes["left"], leaving=True)
        await trio.sleep(seconds)
        relist(world, world.notes["left"], leaving=False)

    world.do(put_back)


@then("requests that began 3 seconds after the sign did not touch it")
def not_touched(context):
    world = context.world.finish()
    ((name, sign),) = world.signs.items()
    before, later = 0, 0
    for asked in world.asked.values():
        for request, one in zip(asked.requests, asked.tries, strict=False):
            touched = any(run.engine == name for run in world.layer_runs(request))
            if one.began > sign + SIGN_SECONDS:
                later += 1
                assert not touched, (request, one.began - sign)
            elif one.began < sign:
                before += touched
    assert before > 0, "the runner was not busy before the sign"
    assert later > 10, "too few requests came after the sign"


@when("retire of a busy runner comes after {seconds:f} seconds")
def retire_later(context, seconds):
    world = context.world

    async def retire() -> None:
        await trio.sleep(seconds)
        name = world.held(4)[0].spec.name
        world.notes["left"] = name
        await world.intend("retire", {"kind": "retire", "instance": name})
        await trio.sleep(60)

    world.do(retire)


@when("stop of the model comes after {seconds:f} seconds")
def stop_later(context, seconds):
    world = context.world

    async def stop() -> None:
        await trio.sleep(seconds)
        await world.intend("stop", {"kind": "stop", "model": MODEL})
        await trio.sleep(60)

    world.do(stop)


@then("the retired runner is unloaded at last")
def unloaded_at_last(context):
    world = context.world.finish()
    assert world.site.engines[world.notes["left"]].held[0] == ""


@then("nothing is loaded at last")
def nothing_loaded(context):
    world = context.world.finish()
    held = {name: engine.held for name, engine in world.site.engines.items() if engine.held[0]}
    assert not held, held


@when("an operator retires a runner")
def operator_retires(context):
    world = context.world

    async def retire() -> None:
        name = world.held(4)[0].spec.name
        world.notes["left"] = name
        await world.intend("retire", {"kind": "retire", "instance": name})

    world.do(retire)


@then("the plan's lowest capacity is that before it")
def lowest_capacity(context):
    plan = context.world.finish().plans["retire"]
    assert plan.capacity_lowest == plan.capacity_before > 0, plan


@when("an operator changes the account")
def change_account(context):
    world = context.world
    key_hash = "0" * 64
    account = {"kind": "account", "account": ACCOUNT, "key_hash": key_hash}

    async def change() -> None:
        await world.intend("change", account | {"tokens_per_second": 5000.0})
        world.notes["accepted at"] = trio.current_time()

    world.do(change)
    world.background(trio.sleep, 45)


@then("it was accepted")
def accepted(context):
    results = context.world.finish().confirmed["change"]
    assert isinstance(results[-1], Confirmed), results


@given("the platform goes out {when_} acceptance of the change for {seconds:d} seconds")
def out_at_acceptance(context, when_, seconds):
    if when_ == "right at":
        fault = Fault(context.world, "platform-outage", "platform", "config accept")
        fault.seconds = float(seconds)

        async def arm() -> None:
            fault.arm()

        context.world.do(arm)


@then("it was in force on every entry within {seconds:d} seconds of the answer")
def in_force(context, seconds):
    world = context.world.finish()
    version = world.confirmed["change"][-1].version
    at = world.notes["accepted at"]
    checked = 0
    for name, seen in world.versions.items():
        if name.startswith("entry"):
            later = [each for when_, each in seen if when_ >= at + seconds]
            assert later and min(later) >= version, (name, version, later[:5])
            checked += 1
    assert checked == world.plan.entries


@when("{name} restarts {seconds:d} seconds later")
def restarts_later(context, name, seconds):
    world = context.world

    async def restart() -> None:
        await trio.sleep(seconds)
        world.site.kill(name)
        await trio.sleep(0.5)
        world.site.start(name)
        world.notes["restarted"] = world.site.processes[name].node.identity.incarnation

    world.do(restart)


@then("{name} was never ready with an older version")
def never_ready_older(context, name):
    world = context.world.finish()
    ready = world.ready.get(world.notes["restarted"], [])
    assert ready, "it was never ready"
    assert min(version for _, version in ready) >= world.confirmed["change"][-1].version, ready[:4]


@then("{name} was ready before the platform came back")
def ready_before(context, name):
    world = context.world.finish()
    first = world.ready[world.notes["restarted"]][0][0]
    assert first < world.notes["accepted at"] + 39, first


@when("the platform goes out for {seconds:d} seconds")
def goes_out(context, seconds):
    world = context.world

    async def out() -> None:
        world.site.platform_out(True)
        world.notes["out"] = trio.current_time()

    async def back() -> None:
        await trio.sleep(seconds)
        world.site.platform_out(False)
        world.notes["back"] = trio.current_time()
        await trio.sleep(8)

    world.do(out)
    world.background(back)


@when("entry-1 and the controllers restart")
def all_restart(context):
    world = context.world

    async def restart() -> None:
        for name in ("entry-1", "controller-1"):
            world.site.kill(name)
        await trio.sleep(0.5)
        for name in ("entry-1", "controller-1"):
            world.site.start(name)
        world.notes["restarted"] = world.site.processes["entry-1"].node.identity.incarnation

    world.do(restart)


@then("entry-1 was not ready while the platform was out")
def not_ready_while_out(context):
    world = context.world.finish()
    ready = world.ready.get(world.notes["restarted"], [])
    assert all(when_ >= world.notes["back"] for when_, _ in ready), ready[:3]


@then("entry-1 was ready afterwards")
def ready_afterwards(context):
    world = context.world.finish()
    assert world.ready.get(world.notes["restarted"])

"""Steps about completions: whole answers and outcomes."""

from dataclasses import replace

import trio
from behave import given, then, when
from invariants import broken
from odd_engines import make_odd
from outcome_words import was_told
from world import MODEL, World

from deckcourse.engine import EngineRefusal
from deckcourse.outcomes import Answered

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

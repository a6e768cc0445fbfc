"""Steps that run a virtual site."""

from behave import given, step, then, when
from invariants import broken
from world import World

from deckcourse.outcomes import Answered


def world_of(context) -> World:
    return context.world


@when("{name} asks for {tokens:d} tokens")
def ask(context, name, tokens):
    world = world_of(context)
    world.do(lambda: world.ask(name, tokens))


@then("{name} has the whole answer")
def has_whole_answer(context, name):
    world = world_of(context).finish()
    asked = world.asked[name]
    assert isinstance(asked.outcome, Answered), asked.tries
    assert tuple(asked.received[-1]) == asked.expected, (asked.received, asked.expected)


@then("everything that must hold holds")
def holds(context):
    wrong = broken(world_of(context).finish())
    assert not wrong, "\n".join(wrong[:10])


_ = (given, step)

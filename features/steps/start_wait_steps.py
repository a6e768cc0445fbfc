"""Steps about requests that arrive before a process knows its configuration."""

import trio
from behave import given, then, when
from gateway_world import default_config

from deckcourse.settings import LoadSettings


@given("the wait is {mode}, with room for {room:d} waiting requests")
def wait_mode(context, mode, room):
    context.site.load = LoadSettings(start_wait=mode == "on", max_waiting=room)


@when(
    "{count:d} callers ask {after:g} seconds after a first one and the configuration "
    "comes {seconds:g} later"
)
def ask_before_configuration(context, count, after, seconds):
    context.responses = []

    async def ask(site, number):
        context.responses.append(await site.ask(name=f"r{number}"))

    async def story(site):
        if after:
            await site.ask(name="first")
            await trio.sleep(after)
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(ask, site, number)
            await trio.sleep(seconds)
            site.store.put("op", "config", default_config())

    context.site.play(story)


@then("{count:d} are served, and the others get 503 within {most:g} seconds")
def served_or_refused(context, count, most):
    served = [each for each in context.responses if each.status == 200 and each.whole]
    refused = [each for each in context.responses if each.status == 503]
    assert (len(served), len(served) + len(refused)) == (count, len(context.responses))
    assert all(each.seconds <= most for each in refused), [each.seconds for each in refused]

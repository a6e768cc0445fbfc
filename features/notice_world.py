"""Upstreams that ask for time or say that they leave, and what callers and they saw of it."""

from dataclasses import dataclass, field

import trio
from gateway_story import two_chains
from gateway_world import Got

# The upstream that asks, by the route that leads to it.
FIRST = {"stream": "x1", "fragile": "x1", "once": "p1", "again": "p1"}
# What was on its way while an answer came counts as sent before it, seconds.
WAY_SECONDS = 0.02
# A caller who is told at once waits no longer than this, seconds.
AT_ONCE_SECONDS = 0.01


@dataclass
class Notices:
    """When upstreams asked for something, and what callers got, in the order in which they came."""

    asked: list = field(default_factory=list)
    got: list[tuple[float, Got]] = field(default_factory=list)
    route: str = "stream"


def site_with_notices(context):
    """Set up two chains and two plain upstreams, whose first ones are those that ask."""
    two_chains(context)
    for name in ("p1", "p2"):
        context.site.add(name, "crm")
    for runner in context.site.runners.values():
        runner.obeys = False
        runner.slots = 96
    context.notices = Notices()
    return context.site


def first_ones(site):
    """Return the first upstreams of both services."""
    return [site.runners[name] for name in ("x1", "p1")]


async def keep_asking(site, notices, route, seconds, gap=0.05):
    """Let callers ask, one each `gap` seconds; return once all have an answer."""
    notices.route = route
    until = trio.current_time() + seconds

    async def ask(number):
        began = trio.current_time()
        notices.got.append((began, await site.ask(route, name=f"c{number}")))

    async with trio.open_nursery() as nursery:
        number = 0
        while trio.current_time() < until:
            nursery.start_soon(ask, number)
            number += 1
            await trio.sleep(gap)


def arrivals_while_asked(site, instance):
    """Return the requests that reached an upstream in a time for which it had asked for none."""
    return [
        each
        for each in site.arrivals
        if each.instance == instance
        and any(
            asked.at + WAY_SECONDS < each.at < asked.at + asked.seconds
            for asked in site.asked
            if asked.instance == instance
        )
    ]


def arrivals_after_leaving(site, instance):
    """Return the requests that reached a start of an upstream after it had said that it leaves."""
    return [
        each
        for each in site.arrivals
        if any(
            told.instance == instance
            and (each.instance, each.start) == (told.instance, told.start)
            and each.at > told.at + WAY_SECONDS
            for told in site.told_leaving
        )
    ]
